package job

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

func valid() map[string]any {
	return map[string]any{"uid": "run-000412", "breed": "train", "owner": "vision", "shape": "ensemble", "rank": "urgent", "pieces": uint64(16),
		"cpus": 8.0, "accelerators": 1.0, "mem_gb": 64.0, "reel": "img-07", "image_gb": 6.2, "builds": []any{"g8"}, "yard": nil,
		"same_place": true, "apart": false, "loaners": true, "guess_s": 240.0, "mark_s": 30.0, "stash_s": 4.0, "due_s": 900.0}
}

func TestParseSpec(t *testing.T) {
	nan := 0.0
	nan /= nan
	tests := []struct {
		name string
		edit func(m map[string]any)
		ok   bool
	}{
		{"the protocol's example", func(map[string]any) {}, true},
		{"nulls may be left out", func(m map[string]any) { delete(m, "yard"); delete(m, "builds"); delete(m, "due_s") }, true},
		{"unknown fields are ignored", func(m map[string]any) { m["colour"] = "red" }, true},
		{"amounts may be integers", func(m map[string]any) { m["cpus"] = uint64(8) }, true},
		{"a missing field", func(m map[string]any) { delete(m, "reel") }, false},
		{"a foreign id", func(m map[string]any) { m["uid"] = "job/1" }, false},
		{"an unknown shape", func(m map[string]any) { m["shape"] = "swarm" }, false},
		{"an unknown rank", func(m map[string]any) { m["rank"] = "high" }, false},
		{"no tasks", func(m map[string]any) { m["pieces"] = uint64(0) }, false},
		{"half a task", func(m map[string]any) { m["pieces"] = 1.5 }, false},
		{"too many tasks", func(m map[string]any) { m["pieces"] = uint64(MaxTasks + 1) }, false},
		{"a negative amount", func(m map[string]any) { m["cpus"] = -1.0 }, false},
		{"not a number", func(m map[string]any) { m["mem_gb"] = nan }, false},
		{"text for a number", func(m map[string]any) { m["guess_s"] = "long" }, false},
		{"a number for a flag", func(m map[string]any) { m["loaners"] = uint64(1) }, false},
		{"no types at all", func(m map[string]any) { m["builds"] = []any{} }, false},
		{"a type that is no name", func(m map[string]any) { m["builds"] = []any{uint64(7)} }, false},
		{"a task that takes nothing", func(m map[string]any) { m["cpus"], m["accelerators"], m["mem_gb"] = 0.0, 0.0, 0.0 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := valid()
			tt.edit(m)
			b, err := wire.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			s, err := ParseSpec(b)
			if (err == nil) != tt.ok || (err != nil && !errors.Is(err, ErrMalformed)) {
				t.Fatalf("error %v, want ok %v", err, tt.ok)
			}
			if tt.ok && (s.ID != "run-000412" || s.Tasks != 16 || s.CPUs != 8) {
				t.Errorf("read as %+v", s)
			}
		})
	}
	for _, b := range [][]byte{nil, {0xff}, {0x01}, []byte("{}"), {0xa1, 0x61}, {0xbf, 0xff, 0x00}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		if _, err := ParseSpec(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("body % x: error %v", b, err)
		}
	}
}

// TestParseSpecInvalidField: each field in turn is left out, null, or of another kind. What may be null may
// also be left out; the refusal names the field.
func TestParseSpecInvalidField(t *testing.T) {
	optional := map[string]bool{"yard": true, "builds": true, "due_s": true}
	for key := range valid() {
		for name, edit := range map[string]func(m map[string]any){
			"left out": func(m map[string]any) { delete(m, key) }, "null": func(m map[string]any) { m[key] = nil },
			"a map": func(m map[string]any) { m[key] = map[string]any{"x": 1.0} }, "an empty text": func(m map[string]any) { m[key] = "" },
			"a list of lists": func(m map[string]any) { m[key] = []any{[]any{}} }} {
			m := valid()
			edit(m)
			b, err := wire.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			_, err = ParseSpec(b)
			ok := optional[key] && (name == "left out" || name == "null") || key == "yard" && name == "an empty text"
			if ok != (err == nil) || (err != nil && (!errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), key))) {
				t.Errorf("%s is %s: %v", key, name, err)
			}
		}
	}
}

// TestChunkRoundTrip stores the results of the largest job in chunks and loads them.
func TestChunkRoundTrip(t *testing.T) {
	spec := Spec{ID: "run-1", ShapeName: "array", PriorityName: "idle", Tasks: MaxTasks}
	j := New(&Record{Spec: spec}, time.Time{})
	for i := int32(0); i < MaxTasks; i += 7 {
		j.MarkDone(i)
	}
	for i := int32(0); i < 200; i++ {
		j.MarkDone(i)
	}
	k := New(&Record{Spec: spec}, time.Time{})
	for _, c := range j.DirtyChunks() {
		ch := j.EncodeChunk(c)
		if b, err := wire.Marshal(ch); err != nil || len(b) > 16<<10 {
			t.Fatalf("chunk %d: %d bytes, %v", c, len(b), err)
		}
		if err := k.LoadChunk(c, ch, 1); err != nil {
			t.Fatal(err)
		}
	}
	if k.DoneCount != j.DoneCount {
		t.Fatalf("%d tasks done after loading, want %d", k.DoneCount, j.DoneCount)
	}
	if len(j.DirtyChunks()) != 0 {
		t.Error("chunks are dirty after they were taken")
	}
	k.AdjustLive(201, 1)
	var got []int32
	k.Unplaced(func(task int32) bool {
		got = append(got, task)
		return len(got) < 4
	})
	if want := []int32{200, 202, 204, 205}; !slices.Equal(got, want) {
		t.Errorf("needs %v, want %v", got, want)
	}
	for i := range int32(MaxTasks) {
		k.MarkDone(i)
	}
	if !k.Complete() {
		t.Error("not over with every task done")
	}
}

func TestSplitTaskName(t *testing.T) {
	tests := []struct {
		in   string
		id   string
		task int32
		ok   bool
	}{
		{"run-000412/3", "run-000412", 3, true},
		{"run-1/99999", "run-1", 99999, true},
		{"run-1/100000", "", 0, false},
		{"run-1", "", 0, false},
		{"run-/1", "", 0, false},
		{"walk-1/1", "", 0, false},
		{"run-1/-1", "", 0, false},
		{"run-1/2/3", "", 0, false},
	}
	for _, tt := range tests {
		id, task, ok := SplitTaskName(tt.in)
		if id != tt.id || task != tt.task || ok != tt.ok {
			t.Errorf("%q: %q %d %v", tt.in, id, task, ok)
		}
	}
}

func TestSplitChunkKey(t *testing.T) {
	tests := []struct {
		key   string
		id    string
		chunk int
		ok    bool
	}{
		{(&Job{Spec: Spec{ID: "run-7"}}).ChunkKey(3), "run-7", 3, true},
		{DonePrefix + "run-7", "", 0, true},
		{DonePrefix + "run-7/", "", 0, false},
		{DonePrefix + "run-7/x", "", 0, false},
	}
	for _, tt := range tests {
		id, chunk, err := SplitChunkKey(tt.key)
		if id != tt.id || chunk != tt.chunk || (err == nil) != tt.ok {
			t.Errorf("%q: %q %d %v", tt.key, id, chunk, err)
		}
	}
}
