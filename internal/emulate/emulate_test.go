package emulate

import (
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"vetchstream/internal/config"
)

// TestParseFaultsNamesInvalidField checks that the error about an invalid fault contains its index
// and the field.
func TestParseFaultsNamesInvalidField(t *testing.T) {
	tests := []struct{ text, want string }{
		{`[]`, ""},
		{`[{"at_s":1,"for_s":2,"kind":"state_outage"},{"kind":"machines_die","machines":3}]`, ""},
		{`[{"kind":"image_crashes","image":"i","after_s":5,"for_s":60},{"kind":"image_unhealthy","image":"i","after_s":5,"for_s":60}]`, ""},
		{`{}`, "cannot unmarshal"},
		{`[{"kind":"state_outage","how":"badly"}]`, "unknown field"},
		{`[{"kind":"state_outage"},{"kind":"flood"}]`, "troubles[1].kind"},
		{`[{"kind":"state_outage","at_s":-1}]`, "troubles[0].at_s"},
		{`[{"kind":"state_outage","for_s":1e9}]`, "troubles[0].for_s"},
		{`[{"kind":"machines_hang"}]`, "troubles[0].machines"},
		{`[{"kind":"image_crashes"}]`, "troubles[0].image"},
		{`[{"kind":"state_slow"}]`, "troubles[0].delay_ms"},
		{`[{"kind":"command_copies","share":0.2,"delay_ms":30000,"for_s":60}]`, ""},
		{`[{"kind":"command_copies","share":0.2}]`, "troubles[0].delay_ms"},
		{`[{"kind":"report_copies","share":1.2,"delay_ms":1}]`, "troubles[0].share"},
	}
	for _, tt := range tests {
		_, err := ParseFaults([]byte(tt.text))
		if (err == nil) != (tt.want == "") || (err != nil && !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("parsing %s: error %v, want one that contains %q", tt.text, err, tt.want)
		}
	}
}

// TestClusterSettingsAreValid checks that a controller can parse the settings that Start returns, and
// that Start refuses invalid options.
func TestClusterSettingsAreValid(t *testing.T) {
	tests := []struct {
		name    string
		options Options
		want    string
	}{
		{"three controllers are accepted", Options{Controllers: 3, MaxMachines: 5, Listen: "127.0.0.1:20000"}, ""},
		{"no controllers are refused", Options{Controllers: 0, MaxMachines: 5, Listen: "127.0.0.1:20000"}, "controllers"},
		{"no machines are refused", Options{Controllers: 1, MaxMachines: 0, Listen: "127.0.0.1:20000"}, "machines"},
		{"an address outside loopback is refused", Options{Controllers: 1, MaxMachines: 1, Listen: "10.0.0.1:20000"}, "loopback"},
		{"an address without a port is refused", Options{Controllers: 1, MaxMachines: 1, Listen: "127.0.0.1"}, "port"},
		{"a port without room for the peer ports is refused", Options{Controllers: 3, MaxMachines: 1, Listen: "127.0.0.1:65500"}, "port"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl, err := Start(tt.options)
			if tt.want != "" {
				if err == nil || !strings.Contains(err.Error(), tt.want) {
					t.Errorf("Start: error %v, want one that contains %q", err, tt.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer cl.Close()
			for _, settings := range cl.Settings {
				encoded, err := toml.Marshal(settings)
				if err != nil {
					t.Fatal(err)
				}
				got, err := config.Parse(encoded)
				if err != nil {
					t.Fatalf("parsing the settings: %v\n%s", err, encoded)
				}
				if got.Member != settings.Member || len(got.Siblings) != tt.options.Controllers-1 || got.External.State != settings.External.State {
					t.Errorf("parsed settings are %+v, want the encoded %+v", got, settings)
				}
			}
		})
	}
}
