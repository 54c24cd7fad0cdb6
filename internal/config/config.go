// Package config reads the platform's settings file (TOML) and the operators'
// own settings (JSON, checked against an embedded schema).
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Sibling is another controller.
type Sibling struct {
	Member  string `toml:"member"`
	Site    string `toml:"site"`
	Address string `toml:"address"`
}

// Team is a team with its guarantee and its limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one aim for starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers holds the workers' timings, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// Settings is the platform's file.
type Settings struct {
	Member     string    `toml:"member"`
	Site       string    `toml:"site"`
	Listen     string    `toml:"listen"`
	PeerListen string    `toml:"peer_listen"`
	Siblings   []Sibling `toml:"siblings"`
	Outside    struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Facts struct {
		Nodes      int         `toml:"nodes"`
		Zones      []string    `toml:"zones"`
		SkewMs     float64     `toml:"skew_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    Workers     `toml:"workers"`
		State      struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Resources struct {
			CoreShare  float64 `toml:"core_share"`
			RAMMB      float64 `toml:"ram_mb"`
			MaxSockets int     `toml:"max_sockets"`
		} `toml:"resources"`
	} `toml:"facts"`
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks the platform's file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks the platform's settings. Unknown fields are ignored.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(b, s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return nil, fmt.Errorf("settings: line %d, field %s: %s", row, strings.Join(de.Key(), "."), de.Error())
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check() error {
	bad := func(field, why string) error { return fmt.Errorf("settings: %s: %s", field, why) }
	if s.Member == "" {
		return bad("member", "missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"listen", s.Listen}, {"peer_listen", s.PeerListen},
		{"outside.cloud", s.Outside.Cloud}, {"outside.state", s.Outside.State},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return bad(a.field, fmt.Sprintf("%q is not host:port", a.addr))
		}
	}
	seen := map[string]bool{s.Member: true}
	for i, p := range s.Siblings {
		if p.Member == "" || seen[p.Member] {
			return bad(fmt.Sprintf("siblings[%d].member", i), "missing or named twice")
		}
		seen[p.Member] = true
		if _, _, err := net.SplitHostPort(p.Address); err != nil {
			return bad(fmt.Sprintf("siblings[%d].address", i), fmt.Sprintf("%q is not host:port", p.Address))
		}
	}
	f := &s.Facts
	if len(f.Zones) == 0 {
		return bad("facts.zones", "missing")
	}
	teams := map[string]bool{}
	for i, t := range f.Teams {
		at := fmt.Sprintf("facts.teams[%d]", i)
		if t.Name == "" || teams[t.Name] {
			return bad(at+".name", "missing or named twice")
		}
		teams[t.Name] = true
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return bad(at, "negative amount")
		}
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
			return bad(at+".cpus_max", "below the guarantee")
		}
		if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			return bad(at+".gpus_max", "below the guarantee")
		}
	}
	for _, n := range []struct {
		field string
		v     float64
	}{
		{"facts.workers.report_s", f.Workers.ReportS}, {"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.gang_wait_s", f.Workers.GangWaitS}, {"facts.workers.gang_peer_s", f.Workers.GangPeerS},
		{"facts.workers.cancel_s", f.Workers.CancelS},
		{"facts.state.rps", f.State.RPS}, {"facts.state.write_rps", f.State.WriteRPS},
		{"facts.state.value_kb", f.State.ValueKB}, {"facts.state.txn_ops", float64(f.State.TxnOps)},
		{"facts.cloud.rps", f.Cloud.RPS},
		{"facts.resources.ram_mb", f.Resources.RAMMB},
		{"facts.resources.max_sockets", float64(f.Resources.MaxSockets)},
	} {
		if !(n.v > 0) || math.IsInf(n.v, 0) {
			return bad(n.field, "missing or not above 0")
		}
	}
	if f.Workers.LeaseS <= f.Workers.ReportS {
		return bad("facts.workers.lease_s", "not above report_s")
	}
	if f.Workers.CancelS <= f.Workers.LeaseS {
		return bad("facts.workers.cancel_s", "not above lease_s")
	}
	if f.State.TxnOps < 2 {
		return bad("facts.state.txn_ops", "below 2, which the end of a job takes")
	}
	return nil
}

// Warnings are contradictions in the settings that a controller can live with, each in a
// line: it starts all the same, because a cluster that does not start for the name of a
// zone is the worse outcome.
func (s *Settings) Warnings() (lines []string) {
	f := &s.Facts
	if n := len(s.Siblings) + 1; f.Nodes != 0 && f.Nodes != n {
		lines = append(lines, fmt.Sprintf("facts.nodes: %d, but %d controllers are named; those count", f.Nodes, n))
	}
	zone := func(field, name string) {
		if name != "" && !slices.Contains(f.Zones, name) {
			lines = append(lines, fmt.Sprintf("%s: %q is not among facts.zones; no machine counts as near it", field, name))
		}
	}
	zone("site", s.Site)
	for i := range s.Siblings {
		zone(fmt.Sprintf("siblings[%d].site", i), s.Siblings[i].Site)
	}
	return lines
}

// Calendar holds the operators' settings for reservations and maintenance windows.
type Calendar struct {
	Enabled bool `json:"enabled"`
	// Hold and Drain: machines are held for reservations, and drained for maintenance.
	// Without them a calendar is a list that nothing follows from.
	Hold  bool `json:"hold"`
	Drain bool `json:"drain"`
	// Backfill: held machines may run other work that is sure to be gone in time.
	Backfill bool `json:"backfill"`
	// HoldS is how long before a slot machines that are up are held for it, in seconds:
	// until then only work that is sure to be gone in time is placed on them.
	HoldS float64 `json:"hold_s"`
	// HorizonDays is how far ahead anything may be planned.
	HorizonDays int `json:"days"`
	// MaxReservations, PerTeam and Windows bound the reservations, those of one team, and the
	// maintenance windows; Occurrences those of one reservation.
	MaxReservations int `json:"most"`
	MaxPerTeam      int `json:"per_team"`
	MaxWindows      int `json:"windows"`
	MaxOccurrences  int `json:"occurrences"`
	// AssumedCapacity is how many machines of a type are counted upon in each zone; a type that
	// is not named has no bound.
	AssumedCapacity map[string]int `json:"count_on"`
}

// Sharding holds the operators' settings for sharing the machines among the
// controllers.
type Sharding struct {
	Enabled bool `json:"enabled"`
	// MinMachines is the number of machines below which the leader deals with all.
	MinMachines int `json:"least"`
	// GrantMs is how long a holder may answer without hearing from the leader, in
	// milliseconds; never beyond the leader's own entitlement.
	GrantMs int `json:"grant_ms"`
	// JoinDelayS is how long a controller must be there before it gets machines, in seconds;
	// RestS how long one that has left gets none. It doubles with each time that it
	// leaves, up to RestMostS.
	JoinDelayS      float64 `json:"join_s"`
	RejoinDelayS    float64 `json:"rest_s"`
	MaxRejoinDelayS float64 `json:"rest_most_s"`
	// MovesPerS is how many machines change their holder a second; 0: from core_share.
	MovesPerS float64 `json:"per_s"`
	// LeaderWeight is the leader's part beside 1 for each of the others.
	LeaderWeight float64 `json:"own"`
}

// Regions holds the operators' settings for several regions with one configuration.
type Regions struct {
	// Name is this region's; empty: there is one region, and the platform's file is all
	// the configuration there is.
	Name string `json:"name"`
	// Home is the region in which changes are decided, and All are all of them.
	Home string   `json:"home"`
	All  []string `json:"all"`
	// HomeAddresses are the peer addresses of the home region's controllers; a controller
	// of the home region needs none.
	HomeAddresses []string `json:"home_addresses"`
}

// check returns an error that names the field.
func (r *Regions) check() error {
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
	for i, a := range r.HomeAddresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("/regions/home_addresses/%d: %q is not host:port", i, a)
		}
	}
	return nil
}

// Tuning holds the operators' own settings.
type Tuning struct {
	// LeaderLeaseMs is the length of the leader's lease in the state service.
	LeaderLeaseMs int `json:"leader_lease_ms"`
	// PromiseMs is how long a sibling promises not to campaign, at a time, while the
	// state service answers nobody, in milliseconds; 0: a leader that cannot renew its
	// lease stops.
	PromiseMs int `json:"promise_ms"`
	// TransferAfterS is for how long a leader must have been short of processor, in seconds,
	// before it gives the lead to a controller that computes at least twice as fast; 0:
	// it keeps it.
	TransferAfterS float64 `json:"yield_s"`
	// Rollouts switches roll-outs of services on.
	Rollouts struct {
		Enabled bool `json:"enabled"`
		// Most is how many services may have a record of roll-outs.
		Most int `json:"most"`
		// Checks is how many health checks may be under way at a time.
		Checks int `json:"checks"`
	} `json:"rollouts"`
	// Calendar switches reservations and maintenance windows on.
	Calendar Calendar `json:"calendar"`
	// Sharding switches the sharing of the machines on.
	Sharding Sharding `json:"shares"`
	// Regions names the regions that share one configuration.
	Regions Regions `json:"regions"`
	// MetricsListen is the address of the metrics page; empty: there is none.
	MetricsListen string `json:"metrics_listen"`
	Weights       struct {
		Queue      float64 `json:"queue"`
		Jobs       float64 `json:"jobs"`
		CPU        float64 `json:"cpu"`
		Price      float64 `json:"price"`
		Image      float64 `json:"image"`
		Sticky     float64 `json:"sticky"`
		SameZone   float64 `json:"same_zone"`
		Unreliable float64 `json:"unreliable"`
		Empty      float64 `json:"empty"`
	} `json:"weights"`
	Hosts struct {
		// IdleBoots is how long an idle machine is kept, in boot times of its type.
		IdleBoots float64 `json:"idle_boots"`
		// GiveUpBoots is when a machine that has not come up is returned.
		GiveUpBoots float64 `json:"give_up_boots"`
		// MinFill is the share of a new machine that waiting work must fill.
		MinFill float64 `json:"min_fill"`
		// PatienceS is how long a task may wait before MinFill is waived.
		PatienceS float64 `json:"patience_s"`
		// SickErrors is the number of unexplained errors that condemn a machine.
		SickErrors int `json:"sick_errors"`
	} `json:"hosts"`
}

//go:embed schema.json
var schemaJSON []byte

// Defaults are the operators' settings where they say nothing.
func Defaults() *Tuning {
	t := &Tuning{LeaderLeaseMs: 3000}
	w := &t.Weights
	w.Queue, w.Jobs, w.CPU, w.Price = 13, 7, 1, 30
	w.Image, w.Sticky, w.SameZone, w.Unreliable, w.Empty = 150, 100, 100, 400, 300
	t.Rollouts.Most, t.Rollouts.Checks = 1000, 16
	t.Calendar = Calendar{Hold: true, Drain: true, Backfill: true, HoldS: 900, HorizonDays: 100, MaxReservations: 2000, MaxPerTeam: 500, MaxWindows: 100, MaxOccurrences: 400}
	t.Sharding = Sharding{MinMachines: 200, GrantMs: 2000, JoinDelayS: 3, RejoinDelayS: 5, MaxRejoinDelayS: 120, LeaderWeight: 0.45}
	h := &t.Hosts
	h.IdleBoots, h.GiveUpBoots, h.MinFill, h.PatienceS, h.SickErrors = 1, 4, 0.5, 15, 3
	return t
}

// LoadTuning reads the operators' settings over the defaults; an empty path
// gives the defaults.
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

// ParseTuning checks b against the schema and lays it over t.
func ParseTuning(b []byte, t *Tuning) error {
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		return fmt.Errorf("tuning schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("urn:vetchstream:tuning", schema); err != nil {
		return fmt.Errorf("tuning schema: %w", err)
	}
	s, err := c.Compile("urn:vetchstream:tuning")
	if err != nil {
		return fmt.Errorf("tuning schema: %w", err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if err := s.Validate(doc); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if err := json.Unmarshal(b, t); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if err := t.Regions.check(); err != nil {
		return fmt.Errorf("tuning: %w", err)
	}
	if t.Weights.Queue+t.Weights.Jobs+t.Weights.CPU <= 0 {
		return errors.New("tuning: /weights: one of queue, jobs and cpu must be above 0")
	}
	return nil
}
