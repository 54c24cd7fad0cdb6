package job

import (
	"fmt"
	"math"

	"vetchstream/internal/wire"
)

const (
	// maxTextBytes is the maximum length of a text in a submission.
	maxTextBytes = 200

	// maxMachineTypes is the maximum number of machine types in a submission.
	maxMachineTypes = 100

	// maxReservationNameBytes is the maximum length of the name of a reservation.
	maxReservationNameBytes = 63

	// maxAmount is the maximum of every number in a submission. It is far above the
	// resources of any machine and any duration, and small enough for sums over all tasks
	// to be exact.
	maxAmount = 1e9
)

// ParseSpec decodes a submission. Every error wraps ErrMalformed and names the first
// invalid field.
func ParseSpec(body []byte) (*Spec, error) {
	var values map[string]any
	if err := wire.Unmarshal(body, &values); err != nil || values == nil {
		return nil, fmt.Errorf("%w: body is not a CBOR map", ErrMalformed)
	}
	fields := &fieldReader{values: values}
	spec := fields.plainFields()
	spec.Reservation = fields.reservation()
	fields.checkNames(spec)
	spec.Tasks = fields.taskCount()
	if spec.CPUs == 0 && spec.GPUs == 0 && spec.MemGB == 0 {
		fields.fail("cpus", "is 0, and accelerators and mem_gb are 0 as well")
	}
	spec.Types = fields.machineTypes()
	spec.DeadlineS = fields.deadline()
	if fields.err != nil {
		return nil, fields.err
	}
	return spec, nil
}

// PeekID returns the job id of a submission, or "" if the submission has no valid id. The
// other fields may be malformed: the job is looked up by its id before the submission is
// validated.
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

// fieldReader reads the fields of a submission and keeps the first error.
type fieldReader struct {
	values map[string]any
	err    error
}

// plainFields reads the fields that are a text, a number or a boolean, except for the
// number of tasks and the deadline.
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

// reservation reads the name of the reservation. The field is an extension of the
// protocol, so that an invalid value, which may have another meaning, is not an error.
func (f *fieldReader) reservation() string {
	name, ok := f.values["booking"].(string)
	if !ok || len(name) > maxReservationNameBytes {
		return ""
	}
	return name
}

// checkNames checks the id, the shape and the priority.
func (f *fieldReader) checkNames(spec *Spec) {
	if spec.ID != "" && !ValidID(spec.ID) {
		f.fail("uid", "is not a job id")
	}
	if _, ok := shapesByName[spec.ShapeName]; !ok {
		f.fail("shape", "is not a known shape")
	}
	if _, ok := prioritiesByName[spec.PriorityName]; !ok {
		f.fail("rank", "is not a known priority")
	}
}

// taskCount reads the number of tasks.
func (f *fieldReader) taskCount() int {
	n := f.amount("pieces", true)
	if n != math.Trunc(n) || n > MaxTasks {
		f.fail("pieces", "is not a whole number in the allowed range")
	}
	return int(n)
}

// machineTypes reads the allowed machine types. It returns nil if any is allowed.
func (f *fieldReader) machineTypes() (types []string) {
	value := f.values["builds"]
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		f.fail("builds", "is not a list")
		return nil
	}
	if len(list) == 0 || len(list) > maxMachineTypes {
		f.fail("builds", "is empty or has too many elements")
	}
	for _, element := range list {
		name, ok := element.(string)
		if !ok || name == "" || len(name) > maxTextBytes {
			f.fail("builds", "has an element that is empty, too long or not a text")
			break
		}
		types = append(types, name)
	}
	return types
}

// deadline reads the deadline. It returns nil if there is none.
func (f *fieldReader) deadline() *float64 {
	if f.values["due_s"] == nil {
		return nil
	}
	deadlineS := f.amount("due_s", false)
	return &deadlineS
}

// fail records the reason why a field is invalid, unless an error was recorded before.
func (f *fieldReader) fail(key, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: %s %s", ErrMalformed, key, reason)
	}
}

// text reads a text of at most maxTextBytes. Unless the field is optional, the text must
// be present and not empty.
func (f *fieldReader) text(key string, optional bool) string {
	value, ok := f.values[key]
	if !ok || value == nil {
		if !optional {
			f.fail(key, "is missing")
		}
		return ""
	}
	text, ok := value.(string)
	if !ok || len(text) > maxTextBytes || (!optional && text == "") {
		f.fail(key, "is empty, too long or not a text")
		return ""
	}
	return text
}

// amount reads a number from 0 to maxAmount; 0 is invalid if positive is set.
func (f *fieldReader) amount(key string, positive bool) float64 {
	value, ok := f.values[key]
	if !ok || value == nil {
		f.fail(key, "is missing")
		return 0
	}
	number, ok := finiteNumber(value)
	if !ok || number < 0 || number > maxAmount || (positive && number == 0) {
		f.fail(key, "is not a number in the allowed range")
		return 0
	}
	return number
}

// flag reads a boolean.
func (f *fieldReader) flag(key string) bool {
	value, ok := f.values[key]
	if !ok || value == nil {
		f.fail(key, "is missing")
		return false
	}
	flag, ok := value.(bool)
	if !ok {
		f.fail(key, "is not true or false")
	}
	return flag
}

// finiteNumber converts a decoded CBOR value to a number. ok is false if the value is not
// a number or the number is not finite.
func finiteNumber(value any) (number float64, ok bool) {
	switch number := value.(type) {
	case float64:
		return number, !math.IsNaN(number) && !math.IsInf(number, 0)
	case float32:
		return float64(number), !math.IsNaN(float64(number)) && !math.IsInf(float64(number), 0)
	case int64:
		return float64(number), true
	case uint64:
		return float64(number), true
	}
	return 0, false
}
