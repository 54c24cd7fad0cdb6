package job

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// validSubmission returns the fields of a submission that the parser accepts.
func validSubmission() map[string]any {
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
		{"the protocol's example is valid", func(map[string]any) {}, true},
		{"fields that may be null may be missing", func(m map[string]any) { delete(m, "yard"); delete(m, "builds"); delete(m, "due_s") }, true},
		{"unknown fields are ignored", func(m map[string]any) { m["colour"] = "red" }, true},
		{"an integer instead of a float is valid", func(m map[string]any) { m["cpus"] = uint64(8) }, true},
		{"a missing required field is malformed", func(m map[string]any) { delete(m, "reel") }, false},
		{"an id of another form is malformed", func(m map[string]any) { m["uid"] = "job/1" }, false},
		{"an unknown shape is malformed", func(m map[string]any) { m["shape"] = "swarm" }, false},
		{"an unknown priority is malformed", func(m map[string]any) { m["rank"] = "high" }, false},
		{"zero tasks are malformed", func(m map[string]any) { m["pieces"] = uint64(0) }, false},
		{"a fractional number of tasks is malformed", func(m map[string]any) { m["pieces"] = 1.5 }, false},
		{"more tasks than MaxTasks are malformed", func(m map[string]any) { m["pieces"] = uint64(MaxTasks + 1) }, false},
		{"a negative number is malformed", func(m map[string]any) { m["cpus"] = -1.0 }, false},
		{"NaN is malformed", func(m map[string]any) { m["mem_gb"] = nan }, false},
		{"a text for a number is malformed", func(m map[string]any) { m["guess_s"] = "long" }, false},
		{"a number for a boolean is malformed", func(m map[string]any) { m["loaners"] = uint64(1) }, false},
		{"an empty list of machine types is malformed", func(m map[string]any) { m["builds"] = []any{} }, false},
		{"a number for a machine type is malformed", func(m map[string]any) { m["builds"] = []any{uint64(7)} }, false},
		{"a task that requires no resources is malformed", func(m map[string]any) { m["cpus"], m["accelerators"], m["mem_gb"] = 0.0, 0.0, 0.0 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fields := validSubmission()
			tt.edit(fields)
			body, err := wire.Marshal(fields)
			if err != nil {
				t.Fatal(err)
			}
			spec, err := ParseSpec(body)
			if (err == nil) != tt.ok || (err != nil && !errors.Is(err, ErrMalformed)) {
				t.Fatalf("error %v, want valid %v, and ErrMalformed if not valid", err, tt.ok)
			}
			if tt.ok && (spec.ID != "run-000412" || spec.Tasks != 16 || spec.CPUs != 8) {
				t.Errorf("parsed spec %+v, want id run-000412, 16 tasks and 8 CPUs", spec)
			}
		})
	}
	for _, body := range [][]byte{nil, {0xff}, {0x01}, []byte("{}"), {0xa1, 0x61}, {0xbf, 0xff, 0x00}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		if _, err := ParseSpec(body); !errors.Is(err, ErrMalformed) {
			t.Errorf("body % x: error %v, want ErrMalformed", body, err)
		}
	}
}

// TestParseSpecInvalidField removes each field in turn, or sets it to null or to a value
// of another type. Only an optional field may be missing or null. The error must contain
// the name of the field.
func TestParseSpecInvalidField(t *testing.T) {
	optional := map[string]bool{"yard": true, "builds": true, "due_s": true}
	for key := range validSubmission() {
		for name, edit := range map[string]func(m map[string]any){
			"not present": func(m map[string]any) { delete(m, key) }, "null": func(m map[string]any) { m[key] = nil },
			"a map": func(m map[string]any) { m[key] = map[string]any{"x": 1.0} }, "an empty text": func(m map[string]any) { m[key] = "" },
			"a list of lists": func(m map[string]any) { m[key] = []any{[]any{}} }} {
			fields := validSubmission()
			edit(fields)
			body, err := wire.Marshal(fields)
			if err != nil {
				t.Fatal(err)
			}
			_, err = ParseSpec(body)
			ok := optional[key] && (name == "not present" || name == "null") || key == "yard" && name == "an empty text"
			if ok != (err == nil) || (err != nil && (!errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), key))) {
				t.Errorf("field %s is %s: error %v, want none or an ErrMalformed that contains the field's name", key, name, err)
			}
		}
	}
}

// TestChunkRoundTrip encodes the completed tasks of a job of the maximum size in chunks,
// loads them into another job, and checks its counts and its tasks without a placement.
func TestChunkRoundTrip(t *testing.T) {
	spec := Spec{ID: "run-1", ShapeName: "array", PriorityName: "idle", Tasks: MaxTasks}
	original := New(&Record{Spec: spec}, time.Time{})
	for i := int32(0); i < MaxTasks; i += 7 {
		original.MarkDone(i)
	}
	for i := int32(0); i < 200; i++ {
		original.MarkDone(i)
	}
	loaded := New(&Record{Spec: spec}, time.Time{})
	for _, index := range original.DirtyChunks() {
		chunk := original.EncodeChunk(index)
		if encoded, err := wire.Marshal(chunk); err != nil || len(encoded) > 16<<10 {
			t.Fatalf("chunk %d has %d bytes (error %v), want at most 16 KiB", index, len(encoded), err)
		}
		if err := loaded.LoadChunk(index, chunk, 1); err != nil {
			t.Fatal(err)
		}
	}
	if loaded.DoneCount != original.DoneCount {
		t.Fatalf("%d completed tasks after loading, want %d", loaded.DoneCount, original.DoneCount)
	}
	if len(original.DirtyChunks()) != 0 {
		t.Error("chunks are still dirty after they were encoded")
	}
	loaded.AdjustLive(201, 1)
	var got []int32
	loaded.Unplaced(func(task int32) bool {
		got = append(got, task)
		return len(got) < 4
	})
	if want := []int32{200, 202, 204, 205}; !slices.Equal(got, want) {
		t.Errorf("first tasks without a placement %v, want %v", got, want)
	}
	for i := range int32(MaxTasks) {
		loaded.MarkDone(i)
	}
	if !loaded.Complete() {
		t.Error("the job is not complete although all its tasks have completed")
	}
}

func TestSplitTaskName(t *testing.T) {
	tests := []struct {
		name string
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
		id, task, ok := SplitTaskName(tt.name)
		if id != tt.id || task != tt.task || ok != tt.ok {
			t.Errorf("task name %q has been split into id %q and task %d with ok %v, unlike the case's id, task and ok", tt.name, id, task, ok)
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
			t.Errorf("chunk key %q has been split into id %q and chunk %d with error %v, unlike the case's id, chunk and ok", tt.key, id, chunk, err)
		}
	}
}
