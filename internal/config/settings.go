// Package config reads a controller's settings from two files. The platform's file (Settings, in
// TOML) describes the controller and its environment. The operators' file (Tuning, in JSON) is
// validated against an embedded schema.
package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings holds the contents of the platform's file. Fields are required unless their comments say
// otherwise.
type Settings struct {
	Member     string    `toml:"member"`      // name of this controller
	Site       string    `toml:"site"`        // zone of this controller
	Listen     string    `toml:"listen"`      // host:port for users, workers and health checks
	PeerListen string    `toml:"peer_listen"` // host:port for the other controllers
	Siblings   []Sibling `toml:"siblings"`    // may be empty
	External   External  `toml:"outside"`
	Facts      Facts     `toml:"facts"`
}

// Sibling is another controller of the region.
type Sibling struct {
	Member  string `toml:"member"`
	Site    string `toml:"site"`    // zone of the controller
	Address string `toml:"address"` // host:port of its PeerListen
}

// External holds the addresses (host:port) of the services that the controllers use.
type External struct {
	Cloud string `toml:"cloud"` // the cloud's API
	State string `toml:"state"` // the key-value store
}

// Facts describes the controller's environment.
type Facts struct {
	Nodes      int         `toml:"nodes"` // number of controllers; 0: unknown
	Zones      []string    `toml:"zones"`
	SkewMs     float64     `toml:"skew_ms"` // bound on the error of the wall clock, in milliseconds
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      StateLimits `toml:"state"`
	Cloud      CloudLimits `toml:"cloud"`
	Resources  Resources   `toml:"resources"`
}

// Team holds the resources that are guaranteed to a team and their limits; 0 means no guarantee or
// no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// ObjectiveKind is the quantity that an objective limits.
type ObjectiveKind string

// Kinds of objectives.
const (
	ObjectiveWait     ObjectiveKind = "wait"     // time until a task starts: WithinS
	ObjectiveFinished ObjectiveKind = "finished" // time until a job is done: WithinS
	ObjectiveDeadline ObjectiveKind = "deadline" // time until a job is done: its deadline multiplied by Times
)

// Objective is a service level objective for a class of jobs.
type Objective struct {
	Kind    ObjectiveKind `toml:"kind"`
	Class   string        `toml:"class"`
	WithinS float64       `toml:"within_s"` // since the submission, in seconds
	Share   float64       `toml:"share"`    // fraction of the jobs that must meet the objective, 0 to 1
	Times   float64       `toml:"times"`    // multiple of the deadline
}

// Workers holds the workers' timings, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`    // interval between heartbeats
	LeaseS    float64 `toml:"lease_s"`     // without a response, until a worker kills its tasks
	GangWaitS float64 `toml:"gang_wait_s"` // that a task waits for the other tasks of its gang
	GangPeerS float64 `toml:"gang_peer_s"` // until the tasks of a gang notice that another one has ended
	CancelS   float64 `toml:"cancel_s"`    // until all tasks of a cancelled job must have ended
}

// StateLimits holds the limits of the key-value store.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // size of a value, in KiB
	TxnOps   int     `toml:"txn_ops"`   // puts and deletes in a transaction
}

// CloudLimits holds the limits of the cloud's API.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // usual age of the machine list, in seconds
}

// Resources limits what the controller's process may use.
type Resources struct {
	CoreShare  float64 `toml:"core_share"` // fraction of a CPU core
	RAMMB      float64 `toml:"ram_mb"`     // memory, in MB
	MaxSockets int     `toml:"max_sockets"`
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and validates the platform's file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and validates the platform's settings. It ignores unknown fields, and returns a
// *FieldError for a missing or invalid setting.
func Parse(data []byte) (*Settings, error) {
	settings := &Settings{}
	if err := toml.Unmarshal(data, settings); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, _ := decodeErr.Position()
			return nil, fmt.Errorf("settings: line %d, field %s: %w", row, strings.Join(decodeErr.Key(), "."), decodeErr)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return settings, nil
}
