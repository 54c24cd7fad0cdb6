// Package job implements the jobs that users submit: the parsing of submissions, the
// stored records, and the state of each job's tasks.
package job

import (
	"errors"
	"strconv"
	"strings"
)

// MaxTasks is the maximum number of tasks of a job in the protocol.
const MaxTasks = 100_000

// Shape is the way in which the tasks of a job run together.
type Shape uint8

const (
	// Array is a set of independent tasks that run to completion.
	Array Shape = iota
	// Gang is a set of tasks that run all at the same time or not at all.
	Gang
	// Service is a set of replicas that run until the job is cancelled.
	Service
)

// Priority is the priority of a job. Jobs of a higher priority are placed first.
type Priority uint8

// The priorities of the protocol, in ascending order.
const (
	Idle Priority = iota
	Standard
	Urgent
	Production
)

// The names of shapes and priorities in the protocol. Other packages use these constants
// instead of literals.
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

// Spec is a job as submitted by its user. It is also stored in this form. Durations are
// in seconds.
type Spec struct {
	ID           string   `codec:"uid"`
	Class        string   `codec:"breed"`
	Team         string   `codec:"owner"`
	ShapeName    string   `codec:"shape"`
	PriorityName string   `codec:"rank"`
	Tasks        int      `codec:"pieces"`
	CPUs         float64  `codec:"cpus"` // required by each task, as are GPUs and MemGB
	GPUs         float64  `codec:"accelerators"`
	MemGB        float64  `codec:"mem_gb"`
	Image        string   `codec:"reel"`
	ImageGB      float64  `codec:"image_gb"`
	Types        []string `codec:"builds"`     // allowed machine types; nil if any is allowed
	Zone         string   `codec:"yard"`       // the only allowed zone; empty if any is allowed
	OneZone      bool     `codec:"same_place"` // all tasks must run in the same zone
	Spread       bool     `codec:"apart"`      // at most half of the tasks may run in one zone
	Spot         bool     `codec:"loaners"`    // the job may use spot machines
	EstimateS    float64  `codec:"guess_s"`    // expected run time of a task
	CheckpointS  float64  `codec:"mark_s"`     // interval of checkpoints; 0 if there are none
	SaveS        float64  `codec:"stash_s"`    // duration of saving a checkpoint
	DeadlineS    *float64 `codec:"due_s"`      // counted from the submission; nil if there is none
	// Reservation is the name of the reservation that the job claims; empty if it claims
	// none. The field is an extension of the protocol.
	Reservation string `codec:"booking,omitempty"`
}

// ParsedShape returns the shape that ShapeName stands for.
func (s *Spec) ParsedShape() Shape { return shapesByName[s.ShapeName] }

// ParsedPriority returns the priority that PriorityName stands for.
func (s *Spec) ParsedPriority() Priority { return prioritiesByName[s.PriorityName] }

var (
	// ErrMalformed means that a submission is malformed. The response has status 400.
	ErrMalformed = errors.New("malformed")

	// ErrUnschedulable means that a submitted job can never run. The response has status
	// 422.
	ErrUnschedulable = errors.New("can never run")
)

const (
	// idPrefix is the prefix of every job id. Only digits follow it.
	idPrefix = "run-"

	// maxIDDigits is the maximum number of digits of a job id.
	maxIDDigits = 32

	// maxTeamNameBytes is the maximum length of a team name that can be part of a key.
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

// ValidTeam reports whether name can be part of a key: it is not empty, is not too long,
// and consists of printable ASCII characters without spaces.
func ValidTeam(name string) bool {
	notPrintable := func(r rune) bool { return r <= ' ' || r > '~' }
	return name != "" && len(name) <= maxTeamNameBytes && !strings.ContainsFunc(name, notPrintable)
}

// TaskName returns the name of a task of the job with the given id.
func TaskName(id string, task int32) string {
	return id + "/" + strconv.Itoa(int(task))
}

// SplitTaskName splits a task's name into the job's id and the task's number. ok is false
// if no task can have this name.
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
