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

func TestParse(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"as given, with an unknown field", "", "", ""},
		{"no member", `member = "drover-0"`, ``, "settings: member: "},
		{"a listen without port", `listen = "10.0.0.1:8080"`, `listen = "10.0.0.1"`, "settings: listen: "},
		{"no state service", `state = "10.2.0.1:2379"`, ``, "settings: outside.state: "},
		{"a sibling named like the member", `member = "drover-1"`, `member = "drover-0"`, "settings: siblings[0].member: "},
		{"no lease", `lease_s = 14.0`, ``, "settings: facts.workers.lease_s: "},
		{"a lease below the reports", `lease_s = 14.0`, `lease_s = 1.0`, "settings: facts.workers.lease_s: "},
		{"a cancellation below the lease", `cancel_s = 34.0`, `cancel_s = 10.0`, "settings: facts.workers.cancel_s: "},
		{"a limit below the guarantee", `cpus_max = 8.0`, `cpus_max = 2.0`, "settings: facts.teams[0].cpus_max: "},
		{"a limit of accelerators below the guarantee", `cpus = 4.0`, "gpus = 4.0\ngpus_max = 2.0", "settings: facts.teams[0].gpus_max: "},
		{"a team without any limit", `cpus_max = 8.0`, ``, ""},
		{"text for a number", `rps = 3.0`, `rps = "many"`, "facts.cloud.rps"},
		{"no zones", `zones = ["austin"]`, ``, "settings: facts.zones: "},
		{"transactions that are too small", `txn_ops = 12`, `txn_ops = 1`, "settings: facts.state.txn_ops: "},
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
				t.Errorf("error %v, want one line with %q", err, tt.want)
			}
		})
	}
}

// TestParseFieldError: a caller can tell which setting is invalid.
func TestParseFieldError(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(validSettings, `txn_ops = 12`, `txn_ops = 1`, 1)))
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || fieldErr.Field != "facts.state.txn_ops" {
		t.Errorf("error %v, want a FieldError of facts.state.txn_ops", err)
	}
}

func TestParseTuning(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"nothing", `{}`, ""},
		{"one weight", `{"weights":{"queue":5}}`, ""},
		{"an unknown field", `{"weight":{}}`, "weight"},
		{"a negative weight", `{"weights":{"jobs":-1}}`, "/weights/jobs"},
		{"no load weight at all", `{"weights":{"queue":0,"jobs":0,"cpu":0}}`, "/weights"},
		{"an image penalty of nothing", `{"weights":{"image":0}}`, "/weights/image"},
		{"text", `{"leader_lease_ms":"long"}`, "/leader_lease_ms"},
		{"not JSON", `{`, "tuning"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tun := Defaults()
			err := ParseTuning([]byte(tt.in), tun)
			switch {
			case tt.want == "" && err != nil:
				t.Fatal(err)
			case tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)):
				t.Errorf("error %v, want %q", err, tt.want)
			case tt.want == "" && tun.Weights.Image != Defaults().Weights.Image:
				t.Error("a default was lost")
			}
		})
	}
}

// TestWarnings: contradictions that a controller can run with are one warning each.
func TestWarnings(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"none", "", "", ""},
		{"more nodes than siblings", `zones = ["austin"]`, "nodes = 3\nzones = [\"austin\"]", "facts.nodes: 3, but 2 controllers"},
		{"as many as siblings", `zones = ["austin"]`, "nodes = 2\nzones = [\"austin\"]", ""},
		{"a site that is no zone", `site = "austin"`, `site = "houston"`, "site: \"houston\""},
		{"a sibling's site that is no zone", `member = "drover-1"`, "member = \"drover-1\"\nsite = \"houston\"", "siblings[0].site: \"houston\""},
	}
	for _, tt := range tests {
		s, err := Parse([]byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		got := strings.Join(s.Warnings(), "\n")
		if (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}
