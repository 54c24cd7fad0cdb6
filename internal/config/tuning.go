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

// Tuning holds the operators' settings. Defaults returns the values of fields that the file leaves
// out.
type Tuning struct {
	// LeaderLeaseMs is the length of the leader's lease in the key-value store, in
	// milliseconds.
	LeaderLeaseMs int `json:"leader_lease_ms"`
	// PromiseMs is the length of one promise not to campaign, in milliseconds. The other
	// controllers give such promises to the leader while no controller can reach the
	// key-value store.
	// 0 disables promises: a leader that cannot renew its lease stops leading.
	PromiseMs int `json:"promise_ms"`
	// TransferAfterS is how long a leader must be overloaded, in seconds, before it transfers
	// the leadership to a controller that computes at least twice as fast. 0 disables
	// transfers.
	TransferAfterS float64 `json:"yield_s"`
	// Rollouts configures roll-outs of services.
	Rollouts Rollouts `json:"rollouts"`
	// Calendar configures reservations and maintenance windows.
	Calendar Calendar `json:"calendar"`
	// Sharding configures the assignment of machines to all controllers.
	Sharding Sharding `json:"shares"`
	// Regions names the regions that share one configuration.
	Regions Regions `json:"regions"`
	// MetricsListen is the address (host:port) of the metrics page; empty: metrics are off.
	MetricsListen string `json:"metrics_listen"`
	// Weights configures the placement of tasks.
	Weights Weights `json:"weights"`
	// Machines configures when machines are rented and returned.
	Machines Machines `json:"hosts"`
}

// Rollouts holds the settings for roll-outs of services.
type Rollouts struct {
	Enabled bool `json:"enabled"`
	// MaxServices bounds the services that have a record of roll-outs.
	MaxServices int `json:"most"`
	// MaxChecks bounds the health checks in progress at any time.
	MaxChecks int `json:"checks"`
}

// Calendar holds the settings for reservations and maintenance windows.
type Calendar struct {
	Enabled bool `json:"enabled"`
	// Hold enables holding machines for reservations, and Drain enables draining them for
	// maintenance. Without them the calendar has no effect on machines.
	Hold  bool `json:"hold"`
	Drain bool `json:"drain"`
	// Backfill allows held machines to run other work that is certain to end in time.
	Backfill bool `json:"backfill"`
	// HoldS is how long before a reservation's occurrence machines that are up are held for it,
	// in seconds. During that time only work that is certain to end before the occurrence is
	// placed on them.
	HoldS float64 `json:"hold_s"`
	// HorizonDays is how many days ahead reservations and maintenance windows may be planned.
	HorizonDays int `json:"days"`
	// MaxReservations bounds the reservations of all teams, and MaxPerTeam those of one team.
	// MaxWindows bounds the maintenance windows, and MaxOccurrences the occurrences of one
	// reservation.
	MaxReservations int `json:"most"`
	MaxPerTeam      int `json:"per_team"`
	MaxWindows      int `json:"windows"`
	MaxOccurrences  int `json:"occurrences"`
	// AssumedCapacity maps a machine type to the number of machines that reservations may
	// assume to be available in each zone. Types that are missing have no bound.
	AssumedCapacity map[string]int `json:"count_on"`
}

// Sharding holds the settings for the assignment of machines to controllers, which respond to
// their heartbeats on behalf of the leader.
type Sharding struct {
	Enabled bool `json:"enabled"`
	// MinMachines is the number of machines below which the leader holds all machines.
	MinMachines int `json:"least"`
	// GrantMs is how long a holder may respond to heartbeats after its last contact with the
	// leader, in milliseconds. A grant never outlasts the leader's own right to lead.
	GrantMs int `json:"grant_ms"`
	// JoinDelayS is how long a controller must be up before it is assigned machines, in
	// seconds.
	JoinDelayS float64 `json:"join_s"`
	// RejoinDelayS is how long a controller is assigned no machines after a failure, in
	// seconds. It doubles with each failure, up to MaxRejoinDelayS.
	RejoinDelayS    float64 `json:"rest_s"`
	MaxRejoinDelayS float64 `json:"rest_most_s"`
	// MovesPerS is the number of machines that may change their holder per second; 0: derived
	// from core_share.
	MovesPerS float64 `json:"per_s"`
	// LeaderWeight is the size of the leader's shard relative to that of another controller.
	LeaderWeight float64 `json:"own"`
}

// Regions holds the settings for regions that share one configuration.
type Regions struct {
	// Name is the name of this region. If it is empty, there is only one region, and the
	// platform's file is its whole configuration.
	Name string `json:"name"`
	// Home is the region in which changes are decided. All lists all regions.
	Home string   `json:"home"`
	All  []string `json:"all"`
	// HomeAddresses lists the peer addresses (host:port) of the home region's controllers. The
	// home region itself needs none.
	HomeAddresses []string `json:"home_addresses"`
}

// Weights holds the weights of a machine's loads and the penalties for unmet conditions in the
// distance that package place minimizes.
type Weights struct {
	Queue float64 `json:"queue"` // tasks that wait for the machine
	Jobs  float64 `json:"jobs"`  // tasks on the machine
	CPU   float64 `json:"cpu"`   // percentage of its CPUs in use
	Price float64 `json:"price"` // price of the machine

	Image      float64 `json:"image"`      // the machine lacks the task's image
	Sticky     float64 `json:"sticky"`     // the task last ran on another machine
	SameZone   float64 `json:"same_zone"`  // for each replica of the service in the machine's zone
	Unreliable float64 `json:"unreliable"` // a task has recently failed on the machine
	Empty      float64 `json:"empty"`      // the machine has no task and could be returned
}

// Machines holds the settings for scaling out and in.
type Machines struct {
	// IdleBoots is how long an idle machine is retained, in multiples of its type's boot time.
	IdleBoots float64 `json:"idle_boots"`
	// GiveUpBoots is how long after its request a machine that is not up is returned, in
	// multiples of its type's boot time.
	GiveUpBoots float64 `json:"give_up_boots"`
	// MinFill is the fraction of a new machine that waiting work must fill.
	MinFill float64 `json:"min_fill"`
	// PatienceS is how long a task may wait before MinFill is waived, in seconds.
	PatienceS float64 `json:"patience_s"`
	// QuarantineErrors is the number of consecutive unexplained errors after which a machine is
	// quarantined.
	QuarantineErrors int `json:"sick_errors"`
}

// Defaults returns the settings that apply where the operators' file sets no others.
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

// LoadTuning reads and validates the operators' file and applies it to the defaults. For an empty
// path it returns the defaults.
func LoadTuning(path string) (*Tuning, error) {
	tuning := Defaults()
	if path == "" {
		return tuning, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("tuning: %w", err)
	}
	if err := ParseTuning(data, tuning); err != nil {
		return nil, err
	}
	return tuning, nil
}

// ParseTuning validates data and decodes it into tuning. Fields that data leaves out keep their values.
func ParseTuning(data []byte, tuning *Tuning) error {
	schema, err := compileTuningSchema()
	if err != nil {
		return fmt.Errorf("tuning schema: %w", err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if err := schema.Validate(doc); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if err := json.Unmarshal(data, tuning); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if err := tuning.validate(); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	return nil
}

//go:embed schema.json
var tuningSchemaJSON []byte

// tuningSchemaURL identifies the schema to its compiler.
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

// validate checks rules that the schema cannot express. Its error begins with the field's path.
func (t *Tuning) validate() error {
	if err := t.Regions.validate(); err != nil {
		return err
	}
	if t.Weights.Queue+t.Weights.Jobs+t.Weights.CPU <= 0 {
		return errors.New("/weights: one of queue, jobs and cpu must be above 0")
	}
	return nil
}

// validate checks that the names and addresses of the regions are consistent. Its error begins with
// the field's path.
func (r *Regions) validate() error {
	switch {
	case r.Name == "":
		return nil
	case !slices.Contains(r.All, r.Name):
		return fmt.Errorf("/regions/name: %q is not in /regions/all", r.Name)
	case !slices.Contains(r.All, r.Home):
		return fmt.Errorf("/regions/home: %q is not in /regions/all", r.Home)
	case r.Name != r.Home && len(r.HomeAddresses) == 0:
		return errors.New("/regions/home_addresses: missing outside the home region")
	}
	for i, address := range r.HomeAddresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("/regions/home_addresses/%d: %q is not host:port", i, address)
		}
	}
	return nil
}
