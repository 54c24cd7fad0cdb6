// Package job holds the jobs that users submit: the parsing of submissions, the
// durable records, and the state of each job's tasks.
package job

import (
	"errors"
	"strconv"
	"strings"
)

// MaxTasks is the protocol's limit for the tasks of one job.
const MaxTasks = 100_000

// Shape says how the tasks of a job belong together.
type Shape uint8

const (
	// Array is a set of independent tasks that run to completion.
	Array Shape = iota
	// Gang runs all its tasks at the same time or none.
	Gang
	// Service runs its replicas until the job is cancelled.
	Service
)

// Priority is a job's priority; higher goes first.
type Priority uint8

// The priorities of the protocol, the lowest first.
const (
	Idle Priority = iota
	Standard
	Urgent
	Production
)

// The protocol's names of shapes and priorities. No other package spells them out to
// compare them.
const (
	ArrayName   = "array"
	GangName    = "ensemble"
	ServiceName = "daemon"

	IdleName       = "idle"
	StandardName   = "standard"
	UrgentName     = "urgent"
	ProductionName = "production"
)

var (
	shapesByName = map[string]Shape{
		ArrayName:   Array,
		GangName:    Gang,
		ServiceName: Service,
	}
	prioritiesByName = map[string]Priority{
		IdleName:       Idle,
		StandardName:   Standard,
		UrgentName:     Urgent,
		ProductionName: Production,
	}
)

// Spec is a job as its user submitted it. It is stored in this form. Durations are
// in seconds.
type Spec struct {
	ID           string   `codec:"uid"`
	Class        string   `codec:"breed"`
	Team         string   `codec:"owner"`
	ShapeName    string   `codec:"shape"`
	PriorityName string   `codec:"rank"`
	Tasks        int      `codec:"pieces"`
	CPUs         float64  `codec:"cpus"` // of each task, as are GPUs and MemGB
	GPUs         float64  `codec:"accelerators"`
	MemGB        float64  `codec:"mem_gb"`
	Image        string   `codec:"reel"`
	ImageGB      float64  `codec:"image_gb"`
	Types        []string `codec:"builds"`     // allowed machine types; nil: any
	Zone         string   `codec:"yard"`       // the only allowed zone; empty: any
	OneZone      bool     `codec:"same_place"` // all tasks must be in the same zone
	Spread       bool     `codec:"apart"`      // at most half of the tasks may be in one zone
	Spot         bool     `codec:"loaners"`    // the job may use spot machines
	EstimateS    float64  `codec:"guess_s"`    // expected run time of a task
	CheckpointS  float64  `codec:"mark_s"`     // interval of checkpoints; 0: none
	SaveS        float64  `codec:"stash_s"`    // time that saving a checkpoint takes
	DeadlineS    *float64 `codec:"due_s"`      // from the submission; nil: none
	// Reservation is the reservation that the job claims, an addition to the protocol.
	Reservation string `codec:"booking,omitempty"`
}

// ParsedShape is the shape that the spec names.
func (s *Spec) ParsedShape() Shape { return shapesByName[s.ShapeName] }

// ParsedPriority is the priority that the spec names.
func (s *Spec) ParsedPriority() Priority { return prioritiesByName[s.PriorityName] }

var (
	// ErrMalformed marks a submission that is answered 400.
	ErrMalformed = errors.New("malformed")

	// ErrUnschedulable marks a submission that is answered 422.
	ErrUnschedulable = errors.New("can never run")
)

const (
	// idPrefix begins every job id; digits follow.
	idPrefix = "run-"

	// maxIDDigits is the longest number of a job id.
	maxIDDigits = 32

	// maxTeamNameBytes is the longest name of a team that can be a part of a key, in bytes.
	maxTeamNameBytes = 100
)

// ValidID reports whether id has the form of a job id.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, idPrefix)
	if !ok || len(digits) < 1 || len(digits) > maxIDDigits {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// ValidTeam reports whether a team of that name can be stored: keys have no spaces.
func ValidTeam(name string) bool {
	notPrintable := func(r rune) bool { return r <= ' ' || r > '~' }
	return name != "" && len(name) <= maxTeamNameBytes && !strings.ContainsFunc(name, notPrintable)
}

// TaskName is the name of one of a job's tasks.
func TaskName(id string, task int32) string {
	return id + "/" + strconv.Itoa(int(task))
}

// SplitTaskName splits a task's name into its job's id and its number; ok is false for
// a name that no task can have.
func SplitTaskName(name string) (id string, task int32, ok bool) {
	id, number, found := strings.Cut(name, "/")
	if !found || !ValidID(id) {
		return "", 0, false
	}
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil || n >= MaxTasks {
		return "", 0, false
	}
	return id, int32(n), true
}
