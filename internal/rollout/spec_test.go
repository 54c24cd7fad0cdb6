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

// TestParse: mistakes are named by field.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		edit map[string]any
		want string
	}{
		{"as given", nil, ""},
		{"a name with spaces", map[string]any{"service": "my service"}, "service: "},
		{"no next version", map[string]any{"to": map[string]any{"uid": "run-2"}}, "to.reel: missing"},
		{"a job id of another form", map[string]any{"to": map[string]any{"uid": "two", "reel": "i"}}, "to.uid: "},
		{"an unknown field", map[string]any{"speed": 3}, "speed: unknown field"},
		{"an empty batch", map[string]any{"batch": 0}, "batch: "},
		{"both kinds of batch", map[string]any{"batch_share": 0.5}, "batch: given beside"},
		{"nothing may change", map[string]any{"most_extra": 0, "most_missing": 0}, "most_missing: "},
		{"a gate that is no condition", map[string]any{"pass": "healthy + 1"}, "pass: "},
		{"a gate with an unknown name", map[string]any{"fail": "sadness > 3"}, "fail: "},
		{"a gate with a loop", map[string]any{"fail": "all(1..1000000, # > 0)"}, "fail: "},
		{"a gate without end", map[string]any{"fail": strings.Repeat("failures > 1 || ", 60) + "true"}, "fail: "},
		{"a soak below 0", map[string]any{"soak_s": -1}, "soak_s: "},
	}
	for _, tt := range tests {
		_, err := parseSpec(t, specDocument(tt.edit))
		if (err == nil) != (tt.want == "") || (err != nil && !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.want)
		}
	}
}

// TestPlanBatches: a batch is never in two zones.
func TestPlanBatches(t *testing.T) {
	tests := []struct {
		name  string
		edit  map[string]any
		zones []string
		want  string
	}{
		{"by zone", nil, []string{"b", "a", "b", "a", "b"}, "a:1,3 b:0,2 b:4"},
		{"in the order asked for", map[string]any{"zones": []string{"b"}}, []string{"b", "a"}, "b:0 a:1"},
		{"what runs nowhere comes last", nil, []string{"", "a", "a"}, "a:1,2 :0"},
		{"a share", map[string]any{"batch": nil, "batch_share": 0.5}, []string{"a", "a", "a", "a", "a"}, "a:0,1,2 a:3,4"},
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
			t.Errorf("%s: %q, want %q", tt.name, g, tt.want)
		}
	}
}
