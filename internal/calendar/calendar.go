package calendar

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// Limits bound a calendar.
type Limits struct {
	HorizonDays         int // how far ahead anything may be planned
	Reservations        int // reservations
	ReservationsPerTeam int // reservations of one team
	Windows             int // maintenance windows
	Occurrences         int // of one reservation
}

// Config are what a calendar is fitted to.
type Config struct {
	Types []wire.MachineType
	Zones []string
	Teams []config.Team
	// Machines is how many machines of a type in a zone are counted upon; negative:
	// any number.
	Machines func(typ, zone string) int
	Limits   Limits
}

// unbounded stands for any number of machines.
const unbounded = 1e6

// Allocation is a part of a reservation's room: machines of one type in one zone. Whole
// machines are set aside, so that no ordinary work on the rest of one can be in the
// way.
type Allocation struct {
	Type     string `codec:"type" json:"type"`
	Zone     string `codec:"zone" json:"zone"`
	Machines int    `codec:"machines" json:"machines"`
	Parts    int    `codec:"parts" json:"parts"`
}

// Booking is an accepted reservation.
type Booking struct {
	*Reservation
	// Seq is the order of acceptance.
	Seq         uint64
	Allocations []Allocation
	// Revoked are occurrences, by start, whose room a forced window has taken.
	Revoked map[int64]bool
}

// cell is the machines of one type in one zone.
type cell struct {
	typ, zone int
	counted   float64
	taken     profile // machines, of reservations and windows
}

// use is what a team has reserved, over time.
type use struct{ cpus, gpus profile }

// Calendar is what is accepted, and decides what more can be.
type Calendar struct {
	facts   Config
	cells   []cell
	teams   []use
	teamIdx map[string]int
	// beyond is what is reserved beyond guarantees, of all teams together, and closed
	// what windows take of the machines counted upon.
	beyond, closed use
	total, floor   place.Amount // of the machines counted upon; of the guarantees
	entries        map[string]*Booking
	perTeam        map[string]int
	windows        map[string]*PlannedWindow
	seq            uint64
}

// PlannedWindow is an accepted maintenance window: the machines that it takes of each cell;
// -1: all.
type PlannedWindow struct {
	*Window
	Closed []Allocation
}

// New makes an empty calendar.
func New(f Config) *Calendar {
	c := &Calendar{facts: f, teamIdx: map[string]int{}, entries: map[string]*Booking{}, perTeam: map[string]int{}, windows: map[string]*PlannedWindow{},
		teams: make([]use, len(f.Teams))}
	for i, t := range f.Teams {
		c.teamIdx[t.Name] = i
		c.floor.CPUs += t.CPUs
		c.floor.GPUs += t.GPUs
	}
	for ti, t := range f.Types {
		for zi, z := range f.Zones {
			if !slices.Contains(t.Zones, z) {
				continue
			}
			n := float64(f.Machines(t.Name, z))
			if n < 0 {
				n = unbounded
			}
			c.cells = append(c.cells, cell{typ: ti, zone: zi, counted: n})
			c.total.CPUs += n * t.CPUs
			c.total.GPUs += n * t.GPUs
		}
	}
	return c
}

// Bookings are the accepted reservations, by name.
func (c *Calendar) Bookings() map[string]*Booking { return c.entries }

// Windows are the accepted maintenance windows, by name.
func (c *Calendar) Windows() map[string]*PlannedWindow { return c.windows }

// Conflict is a refusal: what is in the way, and, if one was searched for, the next
// start that would fit (zero: none was found within the horizon).
type Conflict struct {
	Reason    string
	Searched  bool
	NextStart time.Time
}

func (e *Conflict) Error() string {
	switch {
	case !e.Searched:
		return e.Reason
	case e.NextStart.IsZero():
		return e.Reason + "; no later start was found that would fit"
	}
	return e.Reason + "; it would fit from " + e.NextStart.UTC().Format(time.RFC3339)
}

// ErrLimit marks a refusal because of the calendar's own limits.
var ErrLimit = errors.New("the calendar is full")

// Fit finds room for a reservation, and changes nothing. The error is a *Conflict,
// or an ErrBounds.
func (c *Calendar) Fit(r *Reservation, now time.Time) (*Booking, error) {
	if len(c.entries) >= c.facts.Limits.Reservations {
		return nil, fmt.Errorf("%w: %d reservations", ErrLimit, len(c.entries))
	}
	if c.perTeam[r.Team] >= c.facts.Limits.ReservationsPerTeam {
		return nil, fmt.Errorf("%w: team %s has %d reservations", ErrLimit, r.Team, c.perTeam[r.Team])
	}
	if _, ok := c.teamIdx[r.Team]; !ok {
		return nil, &Conflict{Reason: "team " + r.Team + " is not known"}
	}
	if !c.possible(r) {
		return nil, &Conflict{Reason: "a part fits no machine type that is allowed there"}
	}
	spans := c.ahead(r, now)
	shares, why := c.fit(r, spans, nil)
	if why != "" {
		return nil, &Conflict{Reason: why, Searched: true, NextStart: c.nextFit(r, spans)}
	}
	return &Booking{Reservation: r, Seq: c.seq + 1, Allocations: shares}, nil
}

// possible reports whether a part fits any machine at all.
func (c *Calendar) possible(r *Reservation) bool {
	return slices.ContainsFunc(c.cells, func(x cell) bool { return x.counted > 0 && c.per(r, &x) > 0 })
}

// per is how many parts of a reservation a machine of a cell has room for; 0 where
// it may not be.
func (c *Calendar) per(r *Reservation, x *cell) int {
	t, zone := &c.facts.Types[x.typ], c.facts.Zones[x.zone]
	if (r.Types != nil && !slices.Contains(r.Types, t.Name)) || (r.Zone != "" && r.Zone != zone) {
		return 0
	}
	return place.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}.Times(r.PartSize())
}

// ahead are the occurrences that are not over.
func (c *Calendar) ahead(r *Reservation, now time.Time) []Span {
	i, _ := slices.BinarySearchFunc(r.spans, now.UnixMilli()+1, func(s Span, t int64) int { return cmp.Compare(s.To, t) })
	return r.spans[i:]
}

// fit finds machines that are free in all of the spans, of each cell at most as many
// as most says (nil: no bound). Why is what is in the way.
func (c *Calendar) fit(r *Reservation, spans []Span, most func(typ, zone string) int) (shares []Allocation, why string) {
	if why := c.teamAllows(r, spans); why != "" {
		return nil, why
	}
	type room struct {
		cell     int
		parts    int // that fit
		per      int // parts of one machine
		partCost float64
	}
	byZone := map[int][]room{}
	for i := range c.cells {
		x := &c.cells[i]
		t, zone := &c.facts.Types[x.typ], c.facts.Zones[x.zone]
		per := c.per(r, x)
		if per == 0 {
			continue
		}
		free := x.counted
		for _, s := range spans {
			free = min(free, x.counted-x.taken.most(s))
		}
		if most != nil {
			free = min(free, float64(most(t.Name, zone)))
		}
		price := t.Price
		if r.Spot {
			price = min(price, t.SpotPrice)
		}
		if n := int(max(0, free)); n > 0 {
			byZone[x.zone] = append(byZone[x.zone], room{i, n * per, per, price / float64(per)})
		}
	}
	// take fills the cheapest machines first.
	take := func(rooms []room, parts int) (out []Allocation, cost float64, left int) {
		slices.SortFunc(rooms, func(a, b room) int { return cmp.Or(cmp.Compare(a.partCost, b.partCost), cmp.Compare(a.cell, b.cell)) })
		for _, x := range rooms {
			n := min(parts, x.parts)
			if n == 0 {
				break
			}
			machines := (n + x.per - 1) / x.per
			out = append(out, Allocation{c.facts.Types[c.cells[x.cell].typ].Name, c.facts.Zones[c.cells[x.cell].zone], machines, n})
			cost += float64(machines*x.per) * x.partCost
			parts -= n
		}
		return out, cost, parts
	}
	zones := slices.Sorted(maps.Keys(byZone))
	switch {
	case r.OneZone:
		best := 0.0
		for _, z := range zones {
			if out, cost, left := take(byZone[z], r.Parts); left == 0 && (shares == nil || cost < best) {
				shares, best = out, cost
			}
		}
	case r.Spread:
		// At most half in one zone, as for jobs.
		left := r.Parts
		type whole struct {
			zone int
			cost float64
		}
		var order []whole
		for _, z := range zones {
			_, cost, _ := take(byZone[z], 1)
			order = append(order, whole{z, cost})
		}
		slices.SortStableFunc(order, func(a, b whole) int { return cmp.Compare(a.cost, b.cost) })
		for _, w := range order {
			want := min(left, (r.Parts+1)/2)
			out, _, rest := take(byZone[w.zone], want)
			shares, left = append(shares, out...), left-(want-rest)
		}
		if left > 0 {
			shares = nil
		}
	default:
		var all []room
		for _, z := range zones {
			all = append(all, byZone[z]...)
		}
		if out, _, left := take(all, r.Parts); left == 0 {
			shares = out
		}
	}
	if shares == nil {
		return nil, c.blockers(r, spans)
	}
	return shares, ""
}

// teamAllows says how the team's limit or the others' guarantees are in the way.
//
// The floor: what teams have reserved beyond their guarantees, together, never
// takes more than what is left of the machines counted upon when every team has its
// guarantee. So no booking can starve another team's guaranteed work.
func (c *Calendar) teamAllows(r *Reservation, spans []Span) string {
	ti := c.teamIdx[r.Team]
	team := &c.facts.Teams[ti]
	for _, x := range []struct {
		what                   string
		need, limit, guarantee float64
		mine, beyond, closed   *profile
		total, floor           float64
	}{
		{what: "CPUs", need: r.CPUs * float64(r.Parts), limit: team.CPUsMax, guarantee: team.CPUs, mine: &c.teams[ti].cpus, beyond: &c.beyond.cpus, closed: &c.closed.cpus, total: c.total.CPUs, floor: c.floor.CPUs},
		{what: "accelerators", need: r.GPUs * float64(r.Parts), limit: team.GPUsMax, guarantee: team.GPUs, mine: &c.teams[ti].gpus, beyond: &c.beyond.gpus, closed: &c.closed.gpus, total: c.total.GPUs, floor: c.floor.GPUs},
	} {
		if x.need == 0 {
			continue
		}
		for _, s := range spans {
			if has := x.mine.most(s); x.limit > 0 && has+x.need > x.limit+1e-6 {
				return fmt.Sprintf("at %s the team's limit of %g %s, of which %g are reserved", when(s.From), x.limit, x.what, has)
			}
			if x.floor <= x.guarantee {
				break // nobody else has a guarantee
			}
			why := ""
			x.mine.each(s, func(part Span, has float64) bool {
				more := max(0, has+x.need-x.guarantee) - max(0, has-x.guarantee)
				if more > 0 && x.beyond.most(part)+x.closed.most(part)+more > x.total-x.floor+1e-6 {
					why = fmt.Sprintf("at %s other teams' guarantees of %s", when(part.From), x.what)
				}
				return why == ""
			})
			if why != "" {
				return why
			}
		}
	}
	return ""
}

// named is how many conflicts a refusal names.
const named = 3

// blockers names what is in the way of the first occurrence that does not fit.
func (c *Calendar) blockers(r *Reservation, spans []Span) string {
	s := spans[0]
	for _, x := range spans {
		if !c.fitAlone(r, x) {
			s = x
			break
		}
	}
	may := func(sh Allocation) bool {
		return (r.Types == nil || slices.Contains(r.Types, sh.Type)) && (r.Zone == "" || r.Zone == sh.Zone)
	}
	var names []string
	for _, n := range slices.Sorted(maps.Keys(c.windows)) {
		if w := c.windows[n]; w.span.Overlaps(s) && slices.ContainsFunc(w.Closed, may) {
			names = append(names, "window "+n)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.entries)) {
		if len(names) > named {
			break
		}
		if e := c.entries[n]; slices.ContainsFunc(e.Allocations, may) && e.overlaps(s) {
			names = append(names, "reservation "+n)
		}
	}
	if len(names) == 0 {
		return fmt.Sprintf("at %s the machines counted upon have no room for %d parts", when(s.From), r.Parts)
	}
	more := ""
	if len(names) > named {
		names, more = names[:named], " and others"
	}
	return fmt.Sprintf("at %s no room for %d parts beside %s%s", when(s.From), r.Parts, strings.Join(names, ", "), more)
}

// fitAlone is whether one span has room, without the team's side of it.
func (c *Calendar) fitAlone(r *Reservation, s Span) bool {
	parts := map[string]int{}
	sum, most := 0, 0
	for i := range c.cells {
		x := &c.cells[i]
		zone := c.facts.Zones[x.zone]
		n := int(max(0, x.counted-x.taken.most(s))) * c.per(r, x)
		if r.Spread {
			n = min(n, (r.Parts+1)/2)
		}
		parts[zone] += n
		sum, most = sum+n, max(most, parts[zone])
	}
	return sum >= r.Parts && (!r.OneZone || most >= r.Parts)
}

// overlaps reports whether an occurrence has a moment in common with a span.
func (e *Booking) overlaps(s Span) bool {
	i, _ := slices.BinarySearchFunc(e.spans, s.From+1, func(x Span, t int64) int { return cmp.Compare(x.To, t) })
	return i < len(e.spans) && e.spans[i].Overlaps(s)
}

func when(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// mostTries bounds the search for a start that would fit.
const mostTries = 100

// nextFit is the first start, among the moments at which something ends, from which
// all occurrences would fit.
func (c *Calendar) nextFit(r *Reservation, spans []Span) time.Time {
	var ends []int64
	for i := range c.cells {
		ends = append(ends, c.cells[i].taken.falls(spans[0].From, mostTries)...)
	}
	ti := c.teamIdx[r.Team]
	ends = append(ends, c.teams[ti].cpus.falls(spans[0].From, mostTries)...)
	ends = append(ends, c.teams[ti].gpus.falls(spans[0].From, mostTries)...)
	ends = append(ends, c.beyond.cpus.falls(spans[0].From, mostTries)...)
	slices.Sort(ends)
	ends = slices.Compact(ends)
	for _, at := range ends[:min(len(ends), mostTries)] {
		moved := make([]Span, len(spans))
		for i, s := range spans {
			moved[i] = Span{s.From + at - spans[0].From, s.To + at - spans[0].From}
		}
		if slices.ContainsFunc(moved, func(s Span) bool { return !c.fitAlone(r, s) }) {
			continue // without the search for what is in the way
		}
		if _, why := c.fit(r, moved, nil); why == "" {
			return time.UnixMilli(at)
		}
	}
	return time.Time{}
}

// Reallocate finds other room for one occurrence of an accepted reservation, where there
// are at most so many machines of a type in a zone; nil: there is none.
func (c *Calendar) Reallocate(name string, s Span, most func(typ, zone string) int) []Allocation {
	e := c.entries[name]
	if e == nil {
		return nil
	}
	c.book(e, -1)
	defer c.book(e, 1)
	shares, _ := c.fit(e.Reservation, []Span{s}, most)
	return shares
}

// Add takes in an accepted reservation.
func (c *Calendar) Add(e *Booking) {
	c.Remove(e.Name)
	c.entries[e.Name] = e
	c.perTeam[e.Team]++
	c.seq = max(c.seq, e.Seq)
	c.book(e, 1)
}

// Remove forgets a reservation.
func (c *Calendar) Remove(name string) {
	e := c.entries[name]
	if e == nil {
		return
	}
	c.book(e, -1)
	delete(c.entries, name)
	c.perTeam[e.Team]--
}

// book adds what a reservation takes to the profiles, or takes it away (sign -1).
func (c *Calendar) book(e *Booking, sign float64) {
	ti, known := c.teamIdx[e.Team]
	for _, s := range e.spans {
		if e.Revoked[s.From] {
			continue
		}
		for _, sh := range e.Allocations {
			if x := c.cell(sh.Type, sh.Zone); x != nil {
				x.taken.add(s, sign*float64(sh.Machines))
			}
		}
		if !known {
			continue // its team has left the settings
		}
		t := &c.facts.Teams[ti]
		raise(&c.teams[ti].cpus, &c.beyond.cpus, s, sign*e.CPUs*float64(e.Parts), t.CPUs)
		raise(&c.teams[ti].gpus, &c.beyond.gpus, s, sign*e.GPUs*float64(e.Parts), t.GPUs)
	}
}

// raise changes what a team has reserved, and with it what is reserved beyond
// guarantees.
func raise(mine, beyond *profile, s Span, by, guarantee float64) {
	if by == 0 {
		return
	}
	type part struct {
		Span
		more float64
	}
	var parts []part
	mine.each(s, func(p Span, has float64) bool {
		if more := max(0, has+by-guarantee) - max(0, has-guarantee); more != 0 {
			parts = append(parts, part{p, more})
		}
		return true
	})
	for _, p := range parts {
		beyond.add(p.Span, p.more)
	}
	mine.add(s, by)
}

func (c *Calendar) cell(typ, zone string) *cell {
	for i := range c.cells {
		if c.facts.Types[c.cells[i].typ].Name == typ && c.facts.Zones[c.cells[i].zone] == zone {
			return &c.cells[i]
		}
	}
	return nil
}

// WindowPlan is what planning a window changes: the window, the reservations that
// move to other machines, and those that lose occurrences.
type WindowPlan struct {
	Window  *PlannedWindow
	Moved   []*Booking
	Revoked []*Booking
}

// PlanWindow plans a window over what is accepted, and changes nothing. Single are the
// machines that it names, by cell. Reservations that it touches are moved if they
// fit elsewhere, in the order of their acceptance; if one does not, the window is
// refused unless it is forced. The error is a *Conflict, or an ErrBounds.
func (c *Calendar) PlanWindow(w *Window, single []Allocation, now time.Time) (*WindowPlan, error) {
	if len(c.windows) >= c.facts.Limits.Windows {
		return nil, fmt.Errorf("%w: %d maintenance windows", ErrLimit, len(c.windows))
	}
	p := &PlannedWindow{Window: w, Closed: single}
	if !w.NamesMachines() {
		p.Closed = nil
		for i := range c.cells {
			x := &c.cells[i]
			if t, z := c.facts.Types[x.typ].Name, c.facts.Zones[x.zone]; w.ClosesPool(t, z) {
				p.Closed = append(p.Closed, Allocation{Type: t, Zone: z, Machines: -1})
			}
		}
		if len(p.Closed) == 0 {
			return nil, &Conflict{Reason: "no machine type is offered there"}
		}
	}
	if why := c.wholeFleet(p); why != "" && !w.Force {
		return nil, &Conflict{Reason: why}
	}
	out := &WindowPlan{Window: p}
	var hit []*Booking
	for _, e := range c.entries {
		if e.overlaps(w.span) && slices.ContainsFunc(e.Allocations, func(s Allocation) bool { return p.takesFrom(s.Type, s.Zone) }) {
			hit = append(hit, e)
		}
	}
	slices.SortFunc(hit, func(a, b *Booking) int { return cmp.Compare(a.Seq, b.Seq) })
	c.AddWindow(p)
	defer func() { // only a look: what is stored comes back through Add and AddWindow
		for _, e := range slices.Concat(out.Moved, out.Revoked) {
			c.Remove(e.Name)
		}
		c.RemoveWindow(w.Name)
		for _, e := range hit {
			c.Add(e)
		}
	}()
	// Those that still fit where they are stay there; only the others move.
	var move []*Booking
	for _, e := range hit {
		if c.over(e) {
			c.Remove(e.Name)
			move = append(move, e)
		}
	}
	for _, e := range move {
		spans := c.ahead(e.Reservation, now)
		shares, why := c.fit(e.Reservation, spans, nil)
		if why == "" {
			next := &Booking{Reservation: e.Reservation, Seq: e.Seq, Allocations: shares, Revoked: e.Revoked}
			out.Moved = append(out.Moved, next)
			c.Add(next)
			continue
		}
		if !w.Force {
			return nil, &Conflict{Reason: fmt.Sprintf("reservation %s of team %s does not fit elsewhere (%s); cancel it, or force the window", e.Name, e.Team, why)}
		}
		lost := maps.Clone(e.Revoked)
		if lost == nil {
			lost = map[int64]bool{}
		}
		for _, s := range spans {
			if s.Overlaps(w.span) {
				lost[s.From] = true
			}
		}
		next := &Booking{Reservation: e.Reservation, Seq: e.Seq, Allocations: e.Allocations, Revoked: lost}
		out.Revoked = append(out.Revoked, next)
		c.Add(next)
	}
	return out, nil
}

// over reports whether a cell of a reservation is promised more often than it is
// counted, in the time of its occurrences.
func (c *Calendar) over(e *Booking) bool {
	for _, sh := range e.Allocations {
		x := c.cell(sh.Type, sh.Zone)
		if x == nil {
			return true
		}
		for _, s := range e.spans {
			if !e.Revoked[s.From] && x.taken.most(s) > x.counted+1e-6 {
				return true
			}
		}
	}
	return false
}

// wholeFleet says that a window would leave no machine.
func (c *Calendar) wholeFleet(p *PlannedWindow) string {
	for i := range c.cells {
		x := &c.cells[i]
		left := x.counted
		for _, s := range p.Closed {
			if s.Type == c.facts.Types[x.typ].Name && s.Zone == c.facts.Zones[x.zone] {
				left = 0
				if s.Machines >= 0 {
					left = x.counted - float64(s.Machines)
				}
			}
		}
		if left > 0 {
			return ""
		}
	}
	return "it takes every machine counted upon; force it if that is meant"
}

func (p *PlannedWindow) takesFrom(typ, zone string) bool {
	return slices.ContainsFunc(p.Closed, func(s Allocation) bool { return s.Type == typ && s.Zone == zone })
}

// AddWindow takes in an accepted window.
func (c *Calendar) AddWindow(p *PlannedWindow) {
	c.RemoveWindow(p.Name)
	c.windows[p.Name] = p
	c.shut(p, 1)
}

// RemoveWindow forgets a window.
func (c *Calendar) RemoveWindow(name string) {
	if p := c.windows[name]; p != nil {
		c.shut(p, -1)
		delete(c.windows, name)
	}
}

func (c *Calendar) shut(p *PlannedWindow, sign float64) {
	for _, s := range p.Closed {
		x := c.cell(s.Type, s.Zone)
		if x == nil {
			continue
		}
		n := float64(s.Machines)
		if s.Machines < 0 {
			n = x.counted
		}
		t := &c.facts.Types[x.typ]
		x.taken.add(p.span, sign*n)
		c.closed.cpus.add(p.span, sign*n*t.CPUs)
		c.closed.gpus.add(p.span, sign*n*t.GPUs)
	}
}
