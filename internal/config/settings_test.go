package config

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `
member = "drover-0"
site = "austin"
listen = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
novelty = 3
[[siblings]]
member = "drover-1"
address = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["austin"]
[[facts.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[facts.workers]
report_s = 2.0
lease_s = 14.0
gang_wait_s = 45.0
gang_peer_s = 6.0
cancel_s = 34.0
[facts.state]
rps = 200.0
write_rps = 80.0
value_kb = 32.0
txn_ops = 12
[facts.cloud]
rps = 3.0
[facts.resources]
ram_mb = 98.0
max_sockets = 800
`

// TestParse checks that Parse accepts valid settings, and that its error for invalid settings names
// the field in one line.
func TestParse(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"valid settings with an unknown field: accepted", "", "", ""},
		{"missing member: error of member", `member = "drover-0"`, ``, "settings: member: "},
		{"listen address without a port: error of listen", `listen = "10.0.0.1:8080"`, `listen = "10.0.0.1"`, "settings: listen: "},
		{"missing address of the key-value store: error of outside.state", `state = "10.2.0.1:2379"`, ``, "settings: outside.state: "},
		{"sibling with the name of this controller: error of the sibling's member", `member = "drover-1"`, `member = "drover-0"`, "settings: siblings[0].member: "},
		{"missing lease: error of lease_s", `lease_s = 14.0`, ``, "settings: facts.workers.lease_s: "},
		{"lease shorter than the heartbeat interval: error of lease_s", `lease_s = 14.0`, `lease_s = 1.0`, "settings: facts.workers.lease_s: "},
		{"cancellation time shorter than the lease: error of cancel_s", `cancel_s = 34.0`, `cancel_s = 10.0`, "settings: facts.workers.cancel_s: "},
		{"CPU limit below the guarantee: error of cpus_max", `cpus_max = 8.0`, `cpus_max = 2.0`, "settings: facts.teams[0].cpus_max: "},
		{"GPU limit below the guarantee: error of gpus_max", `cpus = 4.0`, "gpus = 4.0\ngpus_max = 2.0", "settings: facts.teams[0].gpus_max: "},
		{"team without a limit: accepted", `cpus_max = 8.0`, ``, ""},
		{"text for a number: error with the field's path", `rps = 3.0`, `rps = "many"`, "facts.cloud.rps"},
		{"missing zones: error of zones", `zones = ["austin"]`, ``, "settings: facts.zones: "},
		{"transactions smaller than the end of a job needs: error of txn_ops", `txn_ops = 12`, `txn_ops = 1`, "settings: facts.state.txn_ops: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			if tt.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("Parse returned error %v, want one line that contains %q", err, tt.want)
			}
		})
	}
}

// TestParseFieldError checks that Parse returns a FieldError from which a caller can read the
// invalid field.
func TestParseFieldError(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(validSettings, `txn_ops = 12`, `txn_ops = 1`, 1)))
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || fieldErr.Field != "facts.state.txn_ops" {
		t.Errorf("Parse returned error %v, want a FieldError of facts.state.txn_ops", err)
	}
}

// TestParseTuning checks that ParseTuning keeps the defaults of fields that valid settings leave out,
// and that its error for invalid settings names the field.
func TestParseTuning(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"no fields: accepted", `{}`, ""},
		{"one weight: accepted", `{"weights":{"queue":5}}`, ""},
		{"unknown field: error with its name", `{"weight":{}}`, "weight"},
		{"negative weight: error of the weight", `{"weights":{"jobs":-1}}`, "/weights/jobs"},
		{"all load weights 0: error of the weights", `{"weights":{"queue":0,"jobs":0,"cpu":0}}`, "/weights"},
		{"image penalty 0: error of the penalty", `{"weights":{"image":0}}`, "/weights/image"},
		{"text for a number: error of the field", `{"leader_lease_ms":"long"}`, "/leader_lease_ms"},
		{"incomplete JSON: error of the file", `{`, "tuning"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tuning := Defaults()
			err := ParseTuning([]byte(tt.in), tuning)
			switch {
			case tt.want == "" && err != nil:
				t.Fatal(err)
			case tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)):
				t.Errorf("ParseTuning returned error %v, want one that contains %q", err, tt.want)
			case tt.want == "" && tuning.Weights.Image != Defaults().Weights.Image:
				t.Errorf("weight of the image %v, want the default %v", tuning.Weights.Image, Defaults().Weights.Image)
			}
		})
	}
}

// TestWarnings checks that each contradiction with which a controller can run gives one warning.
func TestWarnings(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"consistent settings: no warning", "", "", ""},
		{"more nodes than named controllers: a warning with both numbers", `zones = ["austin"]`, "nodes = 3\nzones = [\"austin\"]", "facts.nodes: 3, but 2 controllers"},
		{"as many nodes as named controllers: no warning", `zones = ["austin"]`, "nodes = 2\nzones = [\"austin\"]", ""},
		{"site that is not a zone: a warning of the site", `site = "austin"`, `site = "houston"`, "site: \"houston\""},
		{"sibling's site that is not a zone: a warning of the sibling's site", `member = "drover-1"`, "member = \"drover-1\"\nsite = \"houston\"", "siblings[0].site: \"houston\""},
	}
	for _, tt := range tests {
		s, err := Parse([]byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
		if err != nil {
			t.Errorf("%s: Parse returned error %v", tt.name, err)
			continue
		}
		got := strings.Join(s.Warnings(), "\n")
		if (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
			t.Errorf("%s: warnings %q, want %q", tt.name, got, tt.want)
		}
	}
}
