// Package config reads the settings of a controller from two files: the platform's
// (Settings, TOML), which says where the controller is and what surrounds it, and the
// operators' own (Tuning, JSON), which is checked against an embedded schema.
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's file. Unless a field says otherwise, it is required.
type Settings struct {
	Member     string    `toml:"member"`      // name of this controller
	Site       string    `toml:"site"`        // zone that it is in
	Listen     string    `toml:"listen"`      // host:port for users, workers and health checks
	PeerListen string    `toml:"peer_listen"` // host:port for the siblings
	Siblings   []Sibling `toml:"siblings"`    // may be empty
	External   External  `toml:"outside"`
	Facts      Facts     `toml:"facts"`
}

// Sibling is another controller of the region.
type Sibling struct {
	Member  string `toml:"member"`
	Site    string `toml:"site"`    // zone that it is in
	Address string `toml:"address"` // host:port, its PeerListen
}

// External are the addresses (host:port) of the services that the controllers use.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"` // the key-value store
}

// Facts describe what surrounds the controller.
type Facts struct {
	Nodes      int         `toml:"nodes"` // number of controllers; 0: not given
	Zones      []string    `toml:"zones"`
	SkewMs     float64     `toml:"skew_ms"` // bound of the error of the time of day, in milliseconds
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      StateLimits `toml:"state"`
	Cloud      CloudLimits `toml:"cloud"`
	Resources  Resources   `toml:"resources"`
}

// Team is a team with its guaranteed share and its limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// ObjectiveKind says what an objective is about.
type ObjectiveKind string

// Kinds of objectives.
const (
	ObjectiveWait     ObjectiveKind = "wait"     // a task starts within WithinS
	ObjectiveFinished ObjectiveKind = "finished" // a job is done within WithinS
	ObjectiveDeadline ObjectiveKind = "deadline" // a job is done within its deadline, times Times
)

// Objective is a service level objective for a class of jobs.
type Objective struct {
	Kind    ObjectiveKind `toml:"kind"`
	Class   string        `toml:"class"`
	WithinS float64       `toml:"within_s"` // after the submission, in seconds
	Share   float64       `toml:"share"`    // of the jobs that have to meet it, 0 to 1
	Times   float64       `toml:"times"`
}

// Workers holds the workers' timings, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`    // between two heartbeats
	LeaseS    float64 `toml:"lease_s"`     // without an answer, before a worker kills its tasks
	GangWaitS float64 `toml:"gang_wait_s"` // a task waits for the rest of its gang
	GangPeerS float64 `toml:"gang_peer_s"` // the tasks of a gang notice that one is gone
	CancelS   float64 `toml:"cancel_s"`    // until all tasks of a cancelled job must be gone
}

// StateLimits are the limits of the key-value store.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // size of a value, in KiB
	TxnOps   int     `toml:"txn_ops"`   // puts and deletes in a transaction
}

// CloudLimits are the limits of the cloud's API.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // usual age of the machine list, in seconds
}

// Resources are what the controller's process may use.
type Resources struct {
	CoreShare  float64 `toml:"core_share"` // of a core
	RAMMB      float64 `toml:"ram_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Seconds converts a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks the platform's file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse decodes and checks the platform's settings. Unknown fields are ignored. A
// setting that is missing or invalid gives a *FieldError.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(b, s); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, _ := decodeErr.Position()
			return nil, fmt.Errorf("settings: line %d, field %s: %w", row, strings.Join(decodeErr.Key(), "."), decodeErr)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}
