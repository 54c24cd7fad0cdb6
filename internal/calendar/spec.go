// Package calendar plans advance reservations of machines and maintenance windows.
//
// It only makes decisions and has no network connections, goroutines or clock. The leader
// passes in its observations and the current time, stores the returned records under its term,
// and applies them in the placement of tasks.
package calendar

import (
	_ "embed"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
	_ "time/tzdata" // controllers and clients must use the same time zones on all machines

	"github.com/gaissmai/bart"

	"vetchstream/internal/place"
	"vetchstream/internal/schema"
)

// ErrMalformed is returned for a specification that is invalid regardless of other entries.
var ErrMalformed = errors.New("calendar entry is malformed")

// Reservation is a team's request for capacity during a period, once or repeatedly.
type Reservation struct {
	Name string `codec:"name" json:"name"`
	Team string `codec:"team" json:"team"`
	// Parts is the number of tasks, each of the resources below, to reserve capacity for.
	Parts int     `codec:"parts" json:"parts"`
	CPUs  float64 `codec:"cpus,omitempty" json:"cpus,omitempty"`
	GPUs  float64 `codec:"accelerators,omitempty" json:"accelerators,omitempty"`
	MemGB float64 `codec:"mem_gb,omitempty" json:"mem_gb,omitempty"`
	// Types, Zone, OneZone, Spread and Spot have the same meaning as in a job.
	Types   []string `codec:"builds,omitempty" json:"builds,omitempty"`
	Zone    string   `codec:"yard,omitempty" json:"yard,omitempty"`
	OneZone bool     `codec:"same_place,omitempty" json:"same_place,omitempty"`
	Spread  bool     `codec:"apart,omitempty" json:"apart,omitempty"`
	Spot    bool     `codec:"loaners,omitempty" json:"loaners,omitempty"`
	// Start and End bound the first occurrence. They are in RFC 3339 format, or without an
	// offset and local to TimeZone, an IANA name (UTC if empty).
	Start    string `codec:"start" json:"start"`
	End      string `codec:"end" json:"end"`
	TimeZone string `codec:"time_zone,omitempty" json:"time_zone,omitempty"`
	// Rule is an RFC 5545 recurrence rule with COUNT or UNTIL. If it is empty, there is one
	// occurrence.
	Rule string `codec:"rule,omitempty" json:"rule,omitempty"`
	// LeadS is the time before the start at which missing machines are provisioned; nil means
	// the estimated boot time.
	LeadS *float64 `codec:"lead_s,omitempty" json:"lead_s,omitempty"`
	// GraceS is the time after its start at which an occurrence that no job claims lapses.
	GraceS float64 `codec:"grace_s,omitempty" json:"grace_s,omitempty"`

	spans []Span // the occurrences, in order
}

// Window is the specification of a maintenance window, a period during which machines are
// serviced.
type Window struct {
	Name string `codec:"name" json:"name"`
	// Hosts, Range (prefixes of workers' addresses), Zone and Type select the machines. A
	// machine that matches Hosts or Range is selected; Zone and Type restrict that selection,
	// or select all of their machines if Hosts and Range are empty.
	Hosts    []string `codec:"hosts,omitempty" json:"hosts,omitempty"`
	Range    []string `codec:"range,omitempty" json:"range,omitempty"`
	Zone     string   `codec:"yard,omitempty" json:"yard,omitempty"`
	Type     string   `codec:"build,omitempty" json:"build,omitempty"`
	Start    string   `codec:"start" json:"start"`
	End      string   `codec:"end" json:"end"`
	TimeZone string   `codec:"time_zone,omitempty" json:"time_zone,omitempty"`
	// DrainS is the time before the start at which services and tasks with checkpoints are
	// evicted.
	DrainS float64 `codec:"drain_s,omitempty" json:"drain_s,omitempty"`
	// Force requests planning even if reservations lose their capacity.
	Force bool `codec:"force,omitempty" json:"force,omitempty"`

	span      Span
	prefixes  *bart.Lite      // the prefixes in Range
	hostNames map[string]bool // the names in Hosts
}

// Span is a half-open period [From, To) in Unix milliseconds.
type Span struct{ From, To int64 }

// Overlaps reports whether the spans have any instant in common.
func (s Span) Overlaps(other Span) bool { return s.From < other.To && other.From < s.To }

// Defaults of fields that a specification omits.
const (
	defaultGraceS = 300
	defaultDrainS = 600
)

//go:embed reservation.json
var reservationJSON []byte

//go:embed window.json
var windowJSON []byte

var (
	reservationSchema = schema.New("reservation", reservationJSON)
	windowSchema      = schema.New("window", windowJSON)
)

// ParseReservation parses and checks an encoded reservation and computes its occurrences
// within the limits. An error wraps ErrMalformed and names the field.
func ParseReservation(body []byte, limits Limits, now time.Time) (*Reservation, error) {
	r := &Reservation{}
	if err := reservationSchema.Decode(body, r, "parts"); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if r.Spread && r.OneZone {
		return nil, fmt.Errorf("%w: apart: cannot be combined with same_place", ErrMalformed)
	}
	if r.GraceS == 0 {
		r.GraceS = defaultGraceS
	}
	if err := r.expandOccurrences(limits, now); err != nil {
		return nil, err
	}
	if last := r.spans[len(r.spans)-1]; last.To <= now.UnixMilli() {
		return nil, fmt.Errorf("%w: end: is not in the future", ErrMalformed)
	}
	return r, nil
}

// expandOccurrences sets the occurrences from the start, the end and the rule.
func (r *Reservation) expandOccurrences(limits Limits, now time.Time) error {
	start, end, err := parseInterval(r.Start, r.End, r.TimeZone)
	if err != nil {
		return err
	}
	r.spans, err = expandRule(start, end, r.Rule, now.AddDate(0, 0, limits.HorizonDays), limits.Occurrences)
	return err
}

// PartSize returns the resources of one part.
func (r *Reservation) PartSize() place.Resources {
	return place.Resources{CPUs: r.CPUs, GPUs: r.GPUs, MemGB: r.MemGB}
}

// Spans returns the occurrences in order.
func (r *Reservation) Spans() []Span { return r.spans }

// ParseWindow parses and checks an encoded maintenance window. An error wraps ErrMalformed and
// names the field.
func ParseWindow(body []byte, limits Limits, now time.Time) (*Window, error) {
	w := &Window{}
	if err := windowSchema.Decode(body, w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if w.DrainS == 0 {
		w.DrainS = defaultDrainS
	}
	if err := w.setDerivedFields(); err != nil {
		return nil, err
	}
	switch {
	case w.span.To <= now.UnixMilli():
		return nil, fmt.Errorf("%w: end: is not in the future", ErrMalformed)
	case w.span.To > now.AddDate(0, 0, limits.HorizonDays).UnixMilli():
		return nil, fmt.Errorf("%w: end: is more than %d days ahead", ErrMalformed, limits.HorizonDays)
	}
	return w, nil
}

// setDerivedFields sets the span, the address prefixes and the host names from the
// specification.
func (w *Window) setDerivedFields() error {
	start, end, err := parseInterval(w.Start, w.End, w.TimeZone)
	if err != nil {
		return err
	}
	w.span = Span{start.UnixMilli(), end.UnixMilli()}
	w.prefixes = &bart.Lite{}
	for _, text := range w.Range {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return malformed("range", "%q is not an address prefix", text)
		}
		w.prefixes.Insert(prefix.Masked())
	}
	w.hostNames = map[string]bool{}
	for _, name := range w.Hosts {
		w.hostNames[name] = true
	}
	return nil
}

// Span returns the period of the window.
func (w *Window) Span() Span { return w.span }

// DrainAt returns the Unix time in milliseconds at which the eviction of services and tasks
// with checkpoints begins.
func (w *Window) DrainAt() int64 { return w.span.From - int64(w.DrainS*1000) }

// NamesMachines reports whether the window selects individual machines, by name or address.
func (w *Window) NamesMachines() bool { return len(w.Hosts)+len(w.Range) > 0 }

// ClosesPool reports whether the window selects all machines of a type in a zone.
func (w *Window) ClosesPool(typ, zone string) bool {
	return !w.NamesMachines() && (w.Zone == "" || w.Zone == zone) && (w.Type == "" || w.Type == typ)
}

// Covers reports whether the window selects a machine; addr is the address and port of its
// worker.
func (w *Window) Covers(host, addr, typ, zone string) bool {
	if (w.Zone != "" && w.Zone != zone) || (w.Type != "" && w.Type != typ) {
		return false
	}
	if !w.NamesMachines() || w.hostNames[host] {
		return true
	}
	addrPort, err := netip.ParseAddrPort(addr)
	return err == nil && w.prefixes.Contains(addrPort.Addr().Unmap())
}

// localTimeLayout is the layout of a time without a UTC offset.
const localTimeLayout = "2006-01-02T15:04:05"

// parseInterval parses a start and an end, local to a time zone if they have no offset. The
// zone is an IANA name, or empty for UTC.
func parseInterval(start, end, zone string) (from, to time.Time, err error) {
	loc := time.UTC
	if zone != "" {
		if loc, err = time.LoadLocation(zone); err != nil || zone == "Local" {
			return from, to, fmt.Errorf("%w: time_zone: %q is not an IANA time zone", ErrMalformed, zone)
		}
	}
	if from, err = parseTime(start, loc); err != nil {
		return from, to, fmt.Errorf("%w: start: %w", ErrMalformed, err)
	}
	if to, err = parseTime(end, loc); err != nil {
		return from, to, fmt.Errorf("%w: end: %w", ErrMalformed, err)
	}
	if !from.Before(to) {
		return from, to, fmt.Errorf("%w: end: is not after the start", ErrMalformed)
	}
	return from, to, nil
}

// parseTime parses a time in RFC 3339 format, or without an offset as a local time in loc.
func parseTime(text string, loc *time.Location) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t.In(loc), nil
	}
	t, err := time.ParseInLocation(localTimeLayout, strings.Replace(text, " ", "T", 1), loc)
	if err != nil {
		return t, fmt.Errorf("%q is not a time such as 2026-12-01T20:00:00", text)
	}
	return t, nil
}
