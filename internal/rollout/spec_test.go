package rollout

import (
	"strings"
	"testing"

	"vetchstream/internal/wire"
)

func parseSpec(t *testing.T, doc map[string]any) (*Spec, error) {
	t.Helper()
	b, err := wire.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(b)
}

func specDocument(edit map[string]any) map[string]any {
	d := map[string]any{"service": "captions", "from": "run-1", "to": map[string]any{"uid": "run-2", "reel": "captions-2"},
		"batch": 2, "soak_s": 30, "deadline_s": 200, "most_extra": 1, "ready_s": 3}
	for k, v := range edit {
		d[k] = v
	}
	return d
}

// TestParse checks that the error for an invalid specification names the field at fault.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		edit map[string]any
		want string
	}{
		{"valid specification: accepted", nil, ""},
		{"service name with a space: refused", map[string]any{"service": "my service"}, "service: "},
		{"target without an image: refused", map[string]any{"to": map[string]any{"uid": "run-2"}}, "to.reel: missing"},
		{"job id without the form of a job id: refused", map[string]any{"to": map[string]any{"uid": "two", "reel": "i"}}, "to.uid: "},
		{"unknown field: refused", map[string]any{"speed": 3}, "speed: unknown field"},
		{"batch of 0 replicas: refused", map[string]any{"batch": 0}, "batch: "},
		{"batch as a number and as a fraction: refused", map[string]any{"batch_share": 0.5}, "batch: cannot be given together"},
		{"neither unavailable nor surplus replicas allowed: refused", map[string]any{"most_extra": 0, "most_missing": 0}, "most_missing: "},
		{"gate expression that is a number, not a condition: refused", map[string]any{"pass": "healthy + 1"}, "pass: "},
		{"gate expression with an unknown name: refused", map[string]any{"fail": "sadness > 3"}, "fail: "},
		{"gate expression with a function over a range: refused", map[string]any{"fail": "all(1..1000000, # > 0)"}, "fail: "},
		{"gate expression with too many nodes: refused", map[string]any{"fail": strings.Repeat("failures > 1 || ", 60) + "true"}, "fail: "},
		{"negative soak time: refused", map[string]any{"soak_s": -1}, "soak_s: "},
	}
	for _, tt := range tests {
		_, err := parseSpec(t, specDocument(tt.edit))
		if (err == nil) != (tt.want == "") || (err != nil && !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: error %v, want one that contains %q (empty: none)", tt.name, err, tt.want)
		}
	}
}

// TestPlanBatches checks that each batch lies within one zone, and in which order the zones come.
func TestPlanBatches(t *testing.T) {
	tests := []struct {
		name  string
		edit  map[string]any
		zones []string
		want  string
	}{
		{"no order given: zones by name, batches of two", nil, []string{"b", "a", "b", "a", "b"}, "a:1,3 b:0,2 b:4"},
		{"order given: the named zone is first", map[string]any{"zones": []string{"b"}}, []string{"b", "a"}, "b:0 a:1"},
		{"replica without a zone: its batch is last", nil, []string{"", "a", "a"}, "a:1,2 :0"},
		{"batch as a fraction: half of five replicas, rounded up", map[string]any{"batch": nil, "batch_share": 0.5}, []string{"a", "a", "a", "a", "a"}, "a:0,1,2 a:3,4"},
	}
	for _, tt := range tests {
		d := specDocument(tt.edit)
		if d["batch"] == nil {
			delete(d, "batch")
		}
		s, err := parseSpec(t, d)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, b := range PlanBatches(s, tt.zones) {
			text := make([]string, len(b.Replicas))
			for i, r := range b.Replicas {
				text[i] = string(rune('0' + r))
			}
			got = append(got, b.Zone+":"+strings.Join(text, ","))
		}
		if g := strings.Join(got, " "); g != tt.want {
			t.Errorf("%s: batches %q, want %q", tt.name, g, tt.want)
		}
	}
}
