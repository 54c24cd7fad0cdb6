// Package calendar plans ahead: advance reservations of machines and maintenance windows.
// It decides, and has no connection, goroutine or clock: the leader passes in what it
// observes and the time, stores the records that are returned under its term, and lets the
// ordinary placement follow them.
package calendar

import (
	_ "embed"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
	_ "time/tzdata" // controllers and clients must agree on the zones, whatever their machines have

	"github.com/gaissmai/bart"

	"vetchstream/internal/place"
	"vetchstream/internal/schema"
)

// ErrMalformed is returned for a specification that is wrong, whatever else is planned.
var ErrMalformed = errors.New("calendar entry is malformed")

// Reservation is the specification of capacity that a team wants at a time, once or
// repeatedly.
type Reservation struct {
	Name string `codec:"name" json:"name"`
	Team string `codec:"team" json:"team"`
	// Parts is how many tasks of the size below there has to be capacity for.
	Parts int     `codec:"parts" json:"parts"`
	CPUs  float64 `codec:"cpus,omitempty" json:"cpus,omitempty"`
	GPUs  float64 `codec:"accelerators,omitempty" json:"accelerators,omitempty"`
	MemGB float64 `codec:"mem_gb,omitempty" json:"mem_gb,omitempty"`
	// Types, Zone, OneZone, Spread and Spot are as in a job.
	Types   []string `codec:"builds,omitempty" json:"builds,omitempty"`
	Zone    string   `codec:"yard,omitempty" json:"yard,omitempty"`
	OneZone bool     `codec:"same_place,omitempty" json:"same_place,omitempty"`
	Spread  bool     `codec:"apart,omitempty" json:"apart,omitempty"`
	Spot    bool     `codec:"loaners,omitempty" json:"loaners,omitempty"`
	// Start and End are those of the first occurrence: RFC 3339, or without an offset
	// the time of day in TimeZone (IANA name; empty: UTC).
	Start    string `codec:"start" json:"start"`
	End      string `codec:"end" json:"end"`
	TimeZone string `codec:"time_zone,omitempty" json:"time_zone,omitempty"`
	// Rule is a recurrence rule of RFC 5545 that ends (COUNT or UNTIL); empty: once.
	Rule string `codec:"rule,omitempty" json:"rule,omitempty"`
	// LeadS is how long before the start missing machines are provisioned, in seconds; nil:
	// as long as machines take to boot.
	LeadS *float64 `codec:"lead_s,omitempty" json:"lead_s,omitempty"`
	// GraceS is how long after its start an occurrence lapses that no job claims, in seconds.
	GraceS float64 `codec:"grace_s,omitempty" json:"grace_s,omitempty"`

	spans []Span // the occurrences, by time
}

// Window is the specification of a maintenance window: a time in which machines are
// serviced.
type Window struct {
	Name string `codec:"name" json:"name"`
	// Hosts, Range (prefixes of the workers' addresses), Zone and Type choose the
	// machines. Hosts and ranges add up; zone and type narrow them down, or choose all
	// of theirs if neither is given.
	Hosts    []string `codec:"hosts,omitempty" json:"hosts,omitempty"`
	Range    []string `codec:"range,omitempty" json:"range,omitempty"`
	Zone     string   `codec:"yard,omitempty" json:"yard,omitempty"`
	Type     string   `codec:"build,omitempty" json:"build,omitempty"`
	Start    string   `codec:"start" json:"start"`
	End      string   `codec:"end" json:"end"`
	TimeZone string   `codec:"time_zone,omitempty" json:"time_zone,omitempty"`
	// DrainS is how long before the start services and tasks with checkpoints are evicted, in
	// seconds.
	DrainS float64 `codec:"drain_s,omitempty" json:"drain_s,omitempty"`
	// Force: plan it even if reservations lose their capacity.
	Force bool `codec:"force,omitempty" json:"force,omitempty"`

	span      Span
	prefixes  *bart.Lite // of Range
	hostNames map[string]bool
}

// Span is a period in milliseconds of the time of day, the end not included.
type Span struct{ From, To int64 }

// Overlaps reports whether two spans have a moment in common.
func (s Span) Overlaps(o Span) bool { return s.From < o.To && o.From < s.To }

// Defaults of a specification that leaves them out, in seconds.
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

// ParseReservation reads a reservation in its encoded form. Its occurrences are
// bounded by the limits. An error is an ErrMalformed and names the field.
func ParseReservation(body []byte, lim Limits, now time.Time) (*Reservation, error) {
	r := &Reservation{}
	if err := reservationSchema.Decode(body, r, "parts"); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if r.Spread && r.OneZone {
		return nil, fmt.Errorf("%w: apart: given beside same_place", ErrMalformed)
	}
	if r.GraceS == 0 {
		r.GraceS = defaultGraceS
	}
	if err := r.expandOccurrences(lim, now); err != nil {
		return nil, err
	}
	if last := r.spans[len(r.spans)-1]; last.To <= now.UnixMilli() {
		return nil, fmt.Errorf("%w: end: is over", ErrMalformed)
	}
	return r, nil
}

// expandOccurrences computes the occurrences.
func (r *Reservation) expandOccurrences(lim Limits, now time.Time) error {
	start, end, err := parseInterval(r.Start, r.End, r.TimeZone)
	if err != nil {
		return err
	}
	r.spans, err = expandRule(start, end, r.Rule, now.AddDate(0, 0, lim.HorizonDays), lim.Occurrences)
	return err
}

// PartSize is the resource requirement of a part.
func (r *Reservation) PartSize() place.Resources {
	return place.Resources{CPUs: r.CPUs, GPUs: r.GPUs, MemGB: r.MemGB}
}

// Spans are the occurrences, by time.
func (r *Reservation) Spans() []Span { return r.spans }

// ParseWindow reads a maintenance window in its encoded form. An error is an
// ErrMalformed and names the field.
func ParseWindow(body []byte, lim Limits, now time.Time) (*Window, error) {
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
		return nil, fmt.Errorf("%w: end: is over", ErrMalformed)
	case w.span.To > now.AddDate(0, 0, lim.HorizonDays).UnixMilli():
		return nil, fmt.Errorf("%w: end: more than %d days ahead", ErrMalformed, lim.HorizonDays)
	}
	return w, nil
}

// setDerivedFields computes the window's span and what its choice of machines needs.
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
			return malformed("range", "%q is not a prefix of addresses", text)
		}
		w.prefixes.Insert(prefix.Masked())
	}
	w.hostNames = map[string]bool{}
	for _, h := range w.Hosts {
		w.hostNames[h] = true
	}
	return nil
}

// Span is the time of the window.
func (w *Window) Span() Span { return w.span }

// DrainAt is when services and tasks with checkpoints begin to be evicted, in milliseconds
// of the time of day.
func (w *Window) DrainAt() int64 { return w.span.From - int64(w.DrainS*1000) }

// NamesMachines reports whether the window selects single machines, by name or address.
func (w *Window) NamesMachines() bool { return len(w.Hosts)+len(w.Range) > 0 }

// ClosesPool reports whether the window takes all machines of a type in a zone.
func (w *Window) ClosesPool(typ, zone string) bool {
	return !w.NamesMachines() && (w.Zone == "" || w.Zone == zone) && (w.Type == "" || w.Type == typ)
}

// Covers reports whether a machine is serviced in the window; addr is its worker's
// address with the port.
func (w *Window) Covers(host, addr, typ, zone string) bool {
	if (w.Zone != "" && w.Zone != zone) || (w.Type != "" && w.Type != typ) {
		return false
	}
	if !w.NamesMachines() || w.hostNames[host] {
		return true
	}
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && w.prefixes.Contains(ap.Addr().Unmap())
}

// localTimeLayout is the layout of a time without an offset.
const localTimeLayout = "2006-01-02T15:04:05"

// parseInterval reads a start and an end in a time zone (IANA name; empty: UTC).
func parseInterval(start, end, zone string) (from, to time.Time, err error) {
	loc := time.UTC
	if zone != "" {
		if loc, err = time.LoadLocation(zone); err != nil || zone == "Local" {
			return from, to, fmt.Errorf("%w: time_zone: %q is not known", ErrMalformed, zone)
		}
	}
	if from, err = parseTime(start, loc); err != nil {
		return from, to, fmt.Errorf("%w: start: %w", ErrMalformed, err)
	}
	if to, err = parseTime(end, loc); err != nil {
		return from, to, fmt.Errorf("%w: end: %w", ErrMalformed, err)
	}
	if !from.Before(to) {
		return from, to, fmt.Errorf("%w: end: not after the start", ErrMalformed)
	}
	return from, to, nil
}

// parseTime reads a time in RFC 3339, or without an offset as a time of day in a location.
func parseTime(s string, loc *time.Location) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339, s); err == nil {
		return t.In(loc), nil
	}
	t, err := time.ParseInLocation(localTimeLayout, strings.Replace(s, " ", "T", 1), loc)
	if err != nil {
		return t, fmt.Errorf("%q is not a time such as 2026-12-01T20:00:00", s)
	}
	return t, nil
}
