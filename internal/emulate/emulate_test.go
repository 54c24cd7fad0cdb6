package emulate

import (
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"vetchstream/internal/config"
)

// TestParseFaultsNamesInvalidField: mistakes in a list of troubles are named by place and field.
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
	}
	for _, tt := range tests {
		_, err := ParseFaults([]byte(tt.text))
		if (err == nil) != (tt.want == "") || (err != nil && !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: %v, want %q", tt.text, err, tt.want)
		}
	}
}

// TestClusterSettingsAreValid: the settings that an emulation writes are ones that a controller
// takes, and what cannot be emulated is refused.
func TestClusterSettingsAreValid(t *testing.T) {
	tests := []struct {
		name string
		o    Options
		want string
	}{
		{"three controllers", Options{Controllers: 3, MaxMachines: 5, Listen: "127.0.0.1:20000"}, ""},
		{"none", Options{Controllers: 0, MaxMachines: 5, Listen: "127.0.0.1:20000"}, "controllers"},
		{"no machines", Options{Controllers: 1, MaxMachines: 0, Listen: "127.0.0.1:20000"}, "machines"},
		{"not loopback", Options{Controllers: 1, MaxMachines: 1, Listen: "10.0.0.1:20000"}, "loopback"},
		{"no port", Options{Controllers: 1, MaxMachines: 1, Listen: "127.0.0.1"}, "port"},
		{"no room for the peer ports", Options{Controllers: 3, MaxMachines: 1, Listen: "127.0.0.1:65500"}, "port"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl, err := Start(tt.o)
			if tt.want != "" {
				if err == nil || !strings.Contains(err.Error(), tt.want) {
					t.Errorf("%v, want %q", err, tt.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer cl.Close()
			for _, set := range cl.Settings {
				b, err := toml.Marshal(set)
				if err != nil {
					t.Fatal(err)
				}
				got, err := config.Parse(b)
				if err != nil {
					t.Fatalf("%v in\n%s", err, b)
				}
				if got.Member != set.Member || len(got.Siblings) != tt.o.Controllers-1 || got.External.State != set.External.State {
					t.Errorf("read back as %+v", got)
				}
			}
		})
	}
}
