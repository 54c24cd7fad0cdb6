// Package job holds what users ask for: the admission of submissions, the
// durable records, and the state of each job's tasks.
package job

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"vetchstream/internal/wire"
)

// MaxTasks is the protocol's limit for one job.
const MaxTasks = 100_000

// Shape says how the tasks of a job belong together.
type Shape uint8

const (
	// Array is a set of independent tasks that run to completion.
	Array Shape = iota
	// Gang runs all its tasks at the same time or none.
	Gang
	// Service keeps its replicas running until the job is cancelled.
	Service
)

// Priority is a job's priority; higher goes first.
type Priority uint8

// The ranks of the protocol.
const (
	Idle Priority = iota
	Standard
	Urgent
	Production
)

var (
	shapeNames    = map[string]Shape{"array": Array, "ensemble": Gang, "daemon": Service}
	priorityNames = map[string]Priority{"idle": Idle, "standard": Standard, "urgent": Urgent, "production": Production}
)

// Spec is a job as its user submitted it, in the form in which it is kept in
// the state service.
type Spec struct {
	ID           string   `codec:"uid"`
	Class        string   `codec:"breed"`
	Team         string   `codec:"owner"`
	ShapeName    string   `codec:"shape"`
	PriorityName string   `codec:"rank"`
	Tasks        int      `codec:"pieces"`
	CPUs         float64  `codec:"cpus"`
	GPUs         float64  `codec:"accelerators"`
	MemGB        float64  `codec:"mem_gb"`
	Image        string   `codec:"reel"`
	ImageGB      float64  `codec:"image_gb"`
	Types        []string `codec:"builds"`
	Zone         string   `codec:"yard"`
	OneZone      bool     `codec:"same_place"`
	Spread       bool     `codec:"apart"`
	Spot         bool     `codec:"loaners"`
	EstimateS    float64  `codec:"guess_s"`
	CheckpointS  float64  `codec:"mark_s"`
	SaveS        float64  `codec:"stash_s"`
	DeadlineS    *float64 `codec:"due_s"`
	// Reservation is the reservation that the job claims, an addition to the protocol.
	Reservation string `codec:"booking,omitempty"`
}

// maxReservationName is the longest name of a reservation, in bytes.
const maxReservationName = 63

// ErrMalformed marks a submission that is answered 400.
var ErrMalformed = errors.New("malformed")

// ErrUnschedulable marks a submission that is answered 422.
var ErrUnschedulable = errors.New("can never run")

// ValidID reports whether id has the form of a job id.
func ValidID(id string) bool {
	n, ok := strings.CutPrefix(id, "run-")
	if !ok || len(n) < 1 || len(n) > 32 {
		return false
	}
	for _, c := range []byte(n) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// maxTeamName is the longest name of a team that can be a part of a key, in bytes.
const maxTeamName = 100

// ValidTeam reports whether a team of that name can be in the state service: its keys have
// no spaces.
func ValidTeam(name string) bool {
	return name != "" && len(name) <= maxTeamName && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' })
}

// TaskName is the name of one of a job's tasks.
func TaskName(id string, task int32) string {
	return id + "/" + strconv.Itoa(int(task))
}

// SplitTask takes a task's name apart.
func SplitTask(name string) (id string, task int32, ok bool) {
	id, n, found := strings.Cut(name, "/")
	if !found || !ValidID(id) {
		return "", 0, false
	}
	v, err := strconv.ParseUint(n, 10, 32)
	if err != nil || v >= MaxTasks {
		return "", 0, false
	}
	return id, int32(v), true
}

type fieldReader struct {
	values map[string]any
	err    error
}

func (f *fieldReader) fail(key, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: %s %s", ErrMalformed, key, why)
	}
}

func (f *fieldReader) text(key string, optional bool) string {
	v, ok := f.values[key]
	if !ok || v == nil {
		if !optional {
			f.fail(key, "is missing")
		}
		return ""
	}
	s, ok := v.(string)
	if !ok || len(s) > 200 || (!optional && s == "") {
		f.fail(key, "is not a short text")
		return ""
	}
	return s
}

func number(v any) (float64, bool) {
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

// maxAmount is far above any machine and any duration, and small enough for
// sums over all tasks to stay exact.
const maxAmount = 1e9

func (f *fieldReader) amount(key string, above bool) float64 {
	v, ok := f.values[key]
	if !ok || v == nil {
		f.fail(key, "is missing")
		return 0
	}
	n, ok := number(v)
	if !ok || n < 0 || n > maxAmount || (above && n == 0) {
		f.fail(key, "is not a valid amount")
		return 0
	}
	return n
}

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

// PeekID finds the job id of a submission that may be malformed in every other
// field: a known id is looked up before anything is validated.
func PeekID(body []byte) string {
	var m map[string]any
	if wire.Unmarshal(body, &m) != nil {
		return ""
	}
	id, _ := m["uid"].(string)
	if !ValidID(id) {
		return ""
	}
	return id
}

// ParseSpec reads a submission; the error wraps ErrMalformed.
func ParseSpec(body []byte) (*Spec, error) {
	var m map[string]any
	if err := wire.Unmarshal(body, &m); err != nil || m == nil {
		return nil, fmt.Errorf("%w: body is not a CBOR map", ErrMalformed)
	}
	f := &fieldReader{values: m}
	s := &Spec{
		ID: f.text("uid", false), Class: f.text("breed", false), Team: f.text("owner", false),
		ShapeName: f.text("shape", false), PriorityName: f.text("rank", false),
		CPUs: f.amount("cpus", false), GPUs: f.amount("accelerators", false), MemGB: f.amount("mem_gb", false),
		Image: f.text("reel", false), ImageGB: f.amount("image_gb", false),
		Zone: f.text("yard", true), OneZone: f.flag("same_place"), Spread: f.flag("apart"), Spot: f.flag("loaners"),
		EstimateS: f.amount("guess_s", false), CheckpointS: f.amount("mark_s", false), SaveS: f.amount("stash_s", false),
	}
	// An addition to the protocol: whatever else others mean by the field is no mistake.
	if b, ok := m["booking"].(string); ok && len(b) <= maxReservationName {
		s.Reservation = b
	}
	if s.ID != "" && !ValidID(s.ID) {
		f.fail("uid", "is not a job id")
	}
	if _, ok := shapeNames[s.ShapeName]; !ok {
		f.fail("shape", "is unknown")
	}
	if _, ok := priorityNames[s.PriorityName]; !ok {
		f.fail("rank", "is unknown")
	}
	n := f.amount("pieces", true)
	if n != math.Trunc(n) || n > MaxTasks {
		f.fail("pieces", "is not a number of tasks")
	}
	s.Tasks = int(n)
	if s.CPUs == 0 && s.GPUs == 0 && s.MemGB == 0 {
		f.fail("cpus", "is 0, and so is everything else")
	}
	switch v := m["builds"].(type) {
	case nil:
	case []any:
		if len(v) == 0 || len(v) > 100 {
			f.fail("builds", "is empty or too long")
		}
		for _, e := range v {
			name, ok := e.(string)
			if !ok || name == "" || len(name) > 200 {
				f.fail("builds", "is not a list of names")
				break
			}
			s.Types = append(s.Types, name)
		}
	default:
		f.fail("builds", "is not a list of names")
	}
	if v, ok := m["due_s"]; ok && v != nil {
		d := f.amount("due_s", false)
		s.DeadlineS = &d
	}
	if f.err != nil {
		return nil, f.err
	}
	return s, nil
}
