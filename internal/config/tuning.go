package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Tuning holds the operators' own settings. Defaults gives the values of fields that
// the file leaves out.
type Tuning struct {
	// LeaderLeaseMs is the length of the leader's lease in the key-value store, in
	// milliseconds.
	LeaderLeaseMs int `json:"leader_lease_ms"`
	// PromiseMs is how long a sibling promises not to campaign, at a time, while the
	// key-value store answers nobody, in milliseconds; 0: a leader that cannot renew its
	// lease stops.
	PromiseMs int `json:"promise_ms"`
	// TransferAfterS is how long a leader must have been overloaded, in seconds, before it
	// transfers the leadership to a controller that computes at least twice as fast; 0:
	// never.
	TransferAfterS float64 `json:"yield_s"`
	// Rollouts switches roll-outs of services on.
	Rollouts Rollouts `json:"rollouts"`
	// Calendar switches reservations and maintenance windows on.
	Calendar Calendar `json:"calendar"`
	// Sharding switches the assignment of machines to all controllers on.
	Sharding Sharding `json:"shares"`
	// Regions names the regions that share one configuration.
	Regions Regions `json:"regions"`
	// MetricsListen is the address (host:port) of the metrics page; empty: there is none.
	MetricsListen string `json:"metrics_listen"`
	// Weights are those of the placement of tasks.
	Weights Weights `json:"weights"`
	// Machines says when machines are rented and returned.
	Machines Machines `json:"hosts"`
}

// Rollouts holds the settings for roll-outs of services.
type Rollouts struct {
	Enabled bool `json:"enabled"`
	// MaxServices is how many services may have a record of roll-outs.
	MaxServices int `json:"most"`
	// MaxChecks is how many health checks may be in progress at a time.
	MaxChecks int `json:"checks"`
}

// Calendar holds the settings for reservations and maintenance windows.
type Calendar struct {
	Enabled bool `json:"enabled"`
	// Hold and Drain: machines are held for reservations, and drained for maintenance.
	// Without them a calendar is a list that nothing follows from.
	Hold  bool `json:"hold"`
	Drain bool `json:"drain"`
	// Backfill: held machines may run other work that is sure to end in time.
	Backfill bool `json:"backfill"`
	// HoldS is how long before a reservation's slot machines that are up are held for it,
	// in seconds: until then only work that is sure to end in time is placed on them.
	HoldS float64 `json:"hold_s"`
	// HorizonDays is how far ahead anything may be planned.
	HorizonDays int `json:"days"`
	// MaxReservations and MaxPerTeam bound the reservations of all teams and of one,
	// MaxWindows the maintenance windows, and MaxOccurrences the slots of one reservation.
	MaxReservations int `json:"most"`
	MaxPerTeam      int `json:"per_team"`
	MaxWindows      int `json:"windows"`
	MaxOccurrences  int `json:"occurrences"`
	// AssumedCapacity is how many machines of a type reservations may count on in each
	// zone; a type that is not named has no bound.
	AssumedCapacity map[string]int `json:"count_on"`
}

// Sharding holds the settings for the assignment of machines to the controllers, which
// answer their heartbeats for the leader.
type Sharding struct {
	Enabled bool `json:"enabled"`
	// MinMachines is the number of machines below which the leader deals with all.
	MinMachines int `json:"least"`
	// GrantMs is how long a holder may answer without hearing from the leader, in
	// milliseconds; never beyond the leader's own entitlement.
	GrantMs int `json:"grant_ms"`
	// JoinDelayS is how long a controller must be up before it gets machines, in seconds.
	JoinDelayS float64 `json:"join_s"`
	// RejoinDelayS is how long a controller that has failed gets no machines, in seconds.
	// It doubles with each failure, up to MaxRejoinDelayS.
	RejoinDelayS    float64 `json:"rest_s"`
	MaxRejoinDelayS float64 `json:"rest_most_s"`
	// MovesPerS is how many machines change their holder per second; 0: from core_share.
	MovesPerS float64 `json:"per_s"`
	// LeaderWeight is the size of the leader's shard, where that of each other is 1.
	LeaderWeight float64 `json:"own"`
}

// Regions holds the settings for several regions with one configuration.
type Regions struct {
	// Name is this region's; empty: there is one region, and the platform's file is all
	// the configuration there is.
	Name string `json:"name"`
	// Home is the region in which changes are decided, and All are all of them.
	Home string   `json:"home"`
	All  []string `json:"all"`
	// HomeAddresses are the peer addresses (host:port) of the home region's controllers;
	// a controller of the home region needs none.
	HomeAddresses []string `json:"home_addresses"`
}

// Weights are the weights of a machine's loads, and the penalties of unmet conditions,
// in the distance that placement minimizes (package place).
type Weights struct {
	Queue float64 `json:"queue"` // tasks that wait for the machine
	Jobs  float64 `json:"jobs"`  // tasks on the machine
	CPU   float64 `json:"cpu"`   // percentage of its CPUs in use
	Price float64 `json:"price"`

	Image      float64 `json:"image"`      // the machine lacks the task's image
	Sticky     float64 `json:"sticky"`     // it is not the one that the task was last on
	SameZone   float64 `json:"same_zone"`  // for each replica of the service in its zone
	Unreliable float64 `json:"unreliable"` // a task has failed on it lately
	Empty      float64 `json:"empty"`      // no task is on it, so it could be returned
}

// Machines holds the settings for scaling out and in.
type Machines struct {
	// IdleBoots is how long an idle machine is retained, in boot times of its type.
	IdleBoots float64 `json:"idle_boots"`
	// GiveUpBoots is when a machine that has not come up is returned, in boot times.
	GiveUpBoots float64 `json:"give_up_boots"`
	// MinFill is the share of a new machine that waiting work must fill.
	MinFill float64 `json:"min_fill"`
	// PatienceS is how long a task may wait before MinFill is waived, in seconds.
	PatienceS float64 `json:"patience_s"`
	// QuarantineErrors is the number of unexplained errors in a row that put a machine
	// into quarantine.
	QuarantineErrors int `json:"sick_errors"`
}

// Defaults returns the operators' settings where their file says nothing.
func Defaults() *Tuning {
	return &Tuning{
		LeaderLeaseMs: 3000,
		Rollouts: Rollouts{
			MaxServices: 1000,
			MaxChecks:   16,
		},
		Calendar: Calendar{
			Hold:            true,
			Drain:           true,
			Backfill:        true,
			HoldS:           900,
			HorizonDays:     100,
			MaxReservations: 2000,
			MaxPerTeam:      500,
			MaxWindows:      100,
			MaxOccurrences:  400,
		},
		Sharding: Sharding{
			MinMachines:     200,
			GrantMs:         2000,
			JoinDelayS:      3,
			RejoinDelayS:    5,
			MaxRejoinDelayS: 120,
			LeaderWeight:    0.45,
		},
		Weights: Weights{
			Queue:      13,
			Jobs:       7,
			CPU:        1,
			Price:      30,
			Image:      150,
			Sticky:     100,
			SameZone:   100,
			Unreliable: 400,
			Empty:      300,
		},
		Machines: Machines{
			IdleBoots:        1,
			GiveUpBoots:      4,
			MinFill:          0.5,
			PatienceS:        15,
			QuarantineErrors: 3,
		},
	}
}

// LoadTuning reads the operators' settings over the defaults; an empty path gives the
// defaults.
func LoadTuning(path string) (*Tuning, error) {
	t := Defaults()
	if path == "" {
		return t, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("tuning: %w", err)
	}
	if err := ParseTuning(b, t); err != nil {
		return nil, err
	}
	return t, nil
}

// ParseTuning checks b against the schema and decodes it over t: fields that b leaves
// out stay as they are.
func ParseTuning(b []byte, t *Tuning) error {
	schema, err := compileTuningSchema()
	if err != nil {
		return fmt.Errorf("tuning schema: %w", err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if err := schema.Validate(doc); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if err := json.Unmarshal(b, t); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if err := t.validate(); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	return nil
}

//go:embed schema.json
var tuningSchemaJSON []byte

// tuningSchemaURL names the schema to its compiler.
const tuningSchemaURL = "urn:vetchstream:tuning"

func compileTuningSchema() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(tuningSchemaJSON))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(tuningSchemaURL, doc); err != nil {
		return nil, err
	}
	return compiler.Compile(tuningSchemaURL)
}

// validate checks what the schema cannot express. The error begins with the field.
func (t *Tuning) validate() error {
	if err := t.Regions.validate(); err != nil {
		return err
	}
	if t.Weights.Queue+t.Weights.Jobs+t.Weights.CPU <= 0 {
		return errors.New("/weights: one of queue, jobs and cpu must be above 0")
	}
	return nil
}

// validate checks that the regions name each other. The error begins with the field.
func (r *Regions) validate() error {
	switch {
	case r.Name == "":
		return nil
	case !slices.Contains(r.All, r.Name):
		return fmt.Errorf("/regions/name: %q is not among /regions/all", r.Name)
	case !slices.Contains(r.All, r.Home):
		return fmt.Errorf("/regions/home: %q is not among /regions/all", r.Home)
	case r.Name != r.Home && len(r.HomeAddresses) == 0:
		return errors.New("/regions/home_addresses: missing")
	}
	for i, address := range r.HomeAddresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("/regions/home_addresses/%d: %q is not host:port", i, address)
		}
	}
	return nil
}
