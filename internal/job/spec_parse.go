package job

import (
	"fmt"
	"math"

	"vetchstream/internal/wire"
)

const (
	// maxTextBytes is the longest text in a submission, in bytes.
	maxTextBytes = 200

	// maxMachineTypes is how many machine types a submission may name.
	maxMachineTypes = 100

	// maxReservationNameBytes is the longest name of a reservation, in bytes.
	maxReservationNameBytes = 63

	// maxAmount is far above any machine and any duration, and small enough for
	// sums over all tasks to stay exact.
	maxAmount = 1e9
)

// ParseSpec decodes a submission; the error wraps ErrMalformed and names the first
// field that is wrong.
func ParseSpec(body []byte) (*Spec, error) {
	var values map[string]any
	if err := wire.Unmarshal(body, &values); err != nil || values == nil {
		return nil, fmt.Errorf("%w: body is not a CBOR map", ErrMalformed)
	}
	f := &fieldReader{values: values}
	s := f.plainFields()
	s.Reservation = f.reservation()
	f.checkNames(s)
	s.Tasks = f.taskCount()
	if s.CPUs == 0 && s.GPUs == 0 && s.MemGB == 0 {
		f.fail("cpus", "is 0, and so is everything else")
	}
	s.Types = f.machineTypes()
	s.DeadlineS = f.deadline()
	if f.err != nil {
		return nil, f.err
	}
	return s, nil
}

// PeekID finds the job id of a submission that may be malformed in every other
// field: a known id is looked up before anything is validated. It is empty where
// there is no valid id.
func PeekID(body []byte) string {
	var values map[string]any
	if wire.Unmarshal(body, &values) != nil {
		return ""
	}
	id, _ := values["uid"].(string)
	if !ValidID(id) {
		return ""
	}
	return id
}

// fieldReader reads the fields of a submission and records the first error.
type fieldReader struct {
	values map[string]any
	err    error
}

// plainFields reads the fields that are a text, an amount or a flag.
func (f *fieldReader) plainFields() *Spec {
	return &Spec{
		ID:           f.text("uid", false),
		Class:        f.text("breed", false),
		Team:         f.text("owner", false),
		ShapeName:    f.text("shape", false),
		PriorityName: f.text("rank", false),
		CPUs:         f.amount("cpus", false),
		GPUs:         f.amount("accelerators", false),
		MemGB:        f.amount("mem_gb", false),
		Image:        f.text("reel", false),
		ImageGB:      f.amount("image_gb", false),
		Zone:         f.text("yard", true),
		OneZone:      f.flag("same_place"),
		Spread:       f.flag("apart"),
		Spot:         f.flag("loaners"),
		EstimateS:    f.amount("guess_s", false),
		CheckpointS:  f.amount("mark_s", false),
		SaveS:        f.amount("stash_s", false),
	}
}

// reservation reads the reservation. The field is an addition to the protocol:
// another meaning that others give it is not an error.
func (f *fieldReader) reservation() string {
	name, ok := f.values["booking"].(string)
	if !ok || len(name) > maxReservationNameBytes {
		return ""
	}
	return name
}

// checkNames checks the id, the shape and the priority.
func (f *fieldReader) checkNames(s *Spec) {
	if s.ID != "" && !ValidID(s.ID) {
		f.fail("uid", "is not a job id")
	}
	if _, ok := shapesByName[s.ShapeName]; !ok {
		f.fail("shape", "is unknown")
	}
	if _, ok := prioritiesByName[s.PriorityName]; !ok {
		f.fail("rank", "is unknown")
	}
}

// taskCount reads the number of tasks.
func (f *fieldReader) taskCount() int {
	n := f.amount("pieces", true)
	if n != math.Trunc(n) || n > MaxTasks {
		f.fail("pieces", "is not a number of tasks")
	}
	return int(n)
}

// machineTypes reads the allowed machine types; nil: any.
func (f *fieldReader) machineTypes() (types []string) {
	value := f.values["builds"]
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		f.fail("builds", "is not a list of names")
		return nil
	}
	if len(list) == 0 || len(list) > maxMachineTypes {
		f.fail("builds", "is empty or too long")
	}
	for _, e := range list {
		name, ok := e.(string)
		if !ok || name == "" || len(name) > maxTextBytes {
			f.fail("builds", "is not a list of names")
			break
		}
		types = append(types, name)
	}
	return types
}

// deadline reads the deadline; nil: there is none.
func (f *fieldReader) deadline() *float64 {
	if f.values["due_s"] == nil {
		return nil
	}
	d := f.amount("due_s", false)
	return &d
}

// fail notes that a field is wrong.
func (f *fieldReader) fail(key, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: %s %s", ErrMalformed, key, reason)
	}
}

// text reads a short text; one that is not optional must not be empty either.
func (f *fieldReader) text(key string, optional bool) string {
	v, ok := f.values[key]
	if !ok || v == nil {
		if !optional {
			f.fail(key, "is missing")
		}
		return ""
	}
	s, ok := v.(string)
	if !ok || len(s) > maxTextBytes || (!optional && s == "") {
		f.fail(key, "is not a short text")
		return ""
	}
	return s
}

// amount reads a number that is not negative, nor 0 where positive is set.
func (f *fieldReader) amount(key string, positive bool) float64 {
	v, ok := f.values[key]
	if !ok || v == nil {
		f.fail(key, "is missing")
		return 0
	}
	n, ok := finiteNumber(v)
	if !ok || n < 0 || n > maxAmount || (positive && n == 0) {
		f.fail(key, "is not a valid amount")
		return 0
	}
	return n
}

// flag reads a boolean.
func (f *fieldReader) flag(key string) bool {
	v, ok := f.values[key]
	if !ok || v == nil {
		f.fail(key, "is missing")
		return false
	}
	b, ok := v.(bool)
	if !ok {
		f.fail(key, "is not true or false")
	}
	return b
}

// finiteNumber converts a decoded CBOR number; ok is false for anything else and for
// numbers that are not finite.
func finiteNumber(v any) (n float64, ok bool) {
	switch n := v.(type) {
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	case float32:
		return float64(n), !math.IsNaN(float64(n)) && !math.IsInf(float64(n), 0)
	case int64:
		return float64(n), true
	case uint64:
		return float64(n), true
	}
	return 0, false
}
