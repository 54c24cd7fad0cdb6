package control

import (
	"errors"
	"fmt"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Keys of the calendar's records.
const (
	bookingPrefix = "c/r/"
	windowPrefix  = "c/w/"
	// changesKey is written by every change of the calendar. An entry that is cancelled is
	// deleted: a try of its making that had no answer, carried out after that, would make
	// it anew, since there is none of its name any more.
	changesKey = "c/changes"
)

// calendarStore holds the calendar: it takes in reservations and maintenance windows,
// stores them under the term before anybody is told, and decides what has become of
// each occurrence. What follows on the machines is the holds' and the drains' duty.
type calendarStore struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	takeover          *takeover
	reservationHolds  *reservationHolds
	maintenanceDrains *maintenanceDrains
	teamQuotas        *teamQuotas

	cal      *calendar.Calendar
	made     madeOf
	bookings map[string]*storedReservation
	windows  map[string]uint64 // versions of the windows' records
	// claims are the jobs that have each claimed an occurrence first.
	claims  map[claim]*job.Job
	writing bool     // a change of the calendar is being stored
	queue   []func() // changes that wait for it
	version uint64   // of changesKey
	stepAt  time.Time
	// near are the occurrences that room is to be held for, as of nearAt: the plans ask
	// for them many times a second, and there can be thousands of reservations.
	near   map[string]due
	nearAt time.Time
}

// madeOf is what a calendar was made with: how many types and zones, and which teams.
type madeOf struct {
	types, zones int
	teams        uint64
}

// storedReservation is a reservation's record as stored.
type storedReservation struct {
	rec     *calendar.Record
	entry   *calendar.Booking
	version uint64
	writing bool // an outcome is being stored
}

// claim names an occurrence of a reservation.
type claim struct {
	name string
	from int64
}

func newCalendarStore(co *core) *calendarStore {
	cs := &calendarStore{core: co}
	return cs
}

func (cs *calendarStore) reset() {
	cs.bookings, cs.windows, cs.claims = map[string]*storedReservation{}, map[string]uint64{}, map[claim]*job.Job{}
	cs.cal, cs.made, cs.near = calendar.New(cs.facts(nil, nil)), madeOf{}, nil
}

// enabled reports whether the calendar is switched on.
func (cs *calendarStore) enabled() bool { return cs.c.Tuning.Calendar.Enabled }

// empty reports whether there is nothing to do for it.
func (cs *calendarStore) empty() bool { return len(cs.bookings) == 0 && len(cs.windows) == 0 }

// timeOfDay is the time of day as this term goes on from its begin: a jump of the
// machine's clock must not let every slot of a year lapse at once.
func (cs *calendarStore) timeOfDay(now time.Time) time.Time {
	return cs.since.Round(0).Add(now.Sub(cs.since))
}

func (cs *calendarStore) limits() calendar.Limits {
	t := &cs.c.Tuning.Calendar
	return calendar.Limits{HorizonDays: t.Days, Reservations: t.Most, ReservationsPerTeam: t.PerTeam, Windows: t.Windows, Occurrences: t.Occurrences}
}

func (cs *calendarStore) facts(types []wire.MachineType, zones []string) calendar.Config {
	counted := func(typ, _ string) int {
		if n, ok := cs.c.Tuning.Calendar.CountOn[typ]; ok {
			return n
		}
		return -1
	}
	return calendar.Config{Types: types, Zones: zones, Teams: cs.teamQuotas.all(), Machines: counted, Limits: cs.limits()}
}

// readRecords reads the records; none while the calendar is switched off.
func (cs *calendarStore) readRecords() (bookings, windows []state.Entry, err error) {
	if !cs.enabled() {
		return nil, nil, nil
	}
	e, err := cs.c.State.Get(cs.ctx, changesKey)
	if err != nil && !errors.Is(err, state.ErrNotFound) {
		return nil, nil, err
	}
	cs.version = e.Version
	if bookings, _, err = cs.c.State.List(cs.ctx, bookingPrefix); err != nil {
		return nil, nil, err
	}
	windows, _, err = cs.c.State.List(cs.ctx, windowPrefix)
	return bookings, windows, err
}

// load takes in the records of earlier leaders.
func (cs *calendarStore) load(bookings, windows []state.Entry) {
	cs.reset()
	cs.remake()
	// A record that cannot be read is left as it is: it must not keep the cluster from
	// being led.
	for _, e := range windows {
		rec := &calendar.WindowRecord{}
		err := wire.Unmarshal(e.Value, rec)
		var p *calendar.PlannedWindow
		if err == nil {
			p, err = rec.Window()
		}
		if err != nil {
			cs.log.Error("maintenance window cannot be read", "key", e.Key, "error", err)
			continue
		}
		cs.cal.AddWindow(p)
		cs.windows[rec.Spec.Name] = e.Version
	}
	for _, e := range bookings {
		rec := &calendar.Record{}
		err := wire.Unmarshal(e.Value, rec)
		var entry *calendar.Booking
		if err == nil {
			entry, err = rec.Booking()
		}
		if err != nil {
			cs.log.Error("reservation cannot be read", "key", e.Key, "error", err)
			continue
		}
		cs.adopt(rec, entry, e.Version)
	}
}

func (cs *calendarStore) adopt(rec *calendar.Record, e *calendar.Booking, version uint64) {
	cs.near = nil
	cs.cal.Add(e)
	cs.bookings[rec.Spec.Name] = &storedReservation{rec: rec, entry: e, version: version}
}

// remake fits the calendar to a price list that has become longer.
func (cs *calendarStore) remake() {
	types, zones := cs.nameIndex.list(), cs.nameIndex.zoneNames()
	if n := (madeOf{len(types), len(zones), cs.teamQuotas.sequence()}); n != cs.made {
		cs.made = n
		was := cs.cal
		cs.cal = calendar.New(cs.facts(types, zones))
		for _, p := range was.Windows() {
			cs.cal.AddWindow(p)
		}
		for _, e := range was.Bookings() {
			cs.cal.Add(e)
		}
	}
}

// calendarEvery spaces the looks at the calendar.
const calendarEvery = 250 * time.Millisecond

// step decides occurrences and lets holds and drains follow.
func (cs *calendarStore) step(now time.Time) {
	if !cs.enabled() || now.Sub(cs.stepAt) < calendarEvery {
		return
	}
	cs.stepAt = now
	cs.claimed()
	if cs.empty() {
		return
	}
	cs.remake()
	cs.reservationHolds.refresh(now)
	if !cs.takeover.settled() {
		return // what runs where is not known yet: nothing is decided, nothing is stopped
	}
	at := cs.timeOfDay(now)
	for _, b := range cs.bookings {
		cs.decide(b, at)
	}
	cs.maintenanceDrains.step(now)
	cs.tidy(at)
}

// keepDays is how long entries that are over are kept, to be looked at.
const keepDays = 7

// tidy removes an entry that is long over, one at a time.
func (cs *calendarStore) tidy(at time.Time) {
	before := at.AddDate(0, 0, -keepDays).UnixMilli()
	if cs.writing {
		return
	}
	for name, p := range cs.cal.Windows() {
		if p.Span().To < before {
			cs.remove(windowPrefix+name, cs.windows[name], func() { cs.forgetWindow(name) })
			return
		}
	}
	for name, b := range cs.bookings {
		if spans := b.entry.Spans(); spans[len(spans)-1].To < before && !b.writing {
			cs.remove(bookingPrefix+name, b.version, func() { cs.forget(name) })
			return
		}
	}
}

// misfit says why a job is none that a reservation is for; empty: it is.
func misfit(e *calendar.Booking, j *job.Job) string {
	switch {
	case j.Team != e.Team:
		return "is another team's"
	case j.Tasks > e.Parts:
		return fmt.Sprintf("has %d parts", e.Parts)
	case !e.PartSize().Fits(needOf(j)):
		return "has smaller parts"
	}
	return ""
}

// claimed finds out which job claims which occurrence: the first that was submitted.
func (cs *calendarStore) claimed() {
	clear(cs.claims)
	for _, j := range cs.jobTable.all() {
		if j.Booking == "" || j.Phase+j.Closing != "" || cs.jobTable.stranger(j) {
			continue
		}
		c, why := cs.claimOf(j)
		if why != "" {
			if j.Notice == "" {
				j.Notice = "reservation " + j.Booking + " " + why + ": the job runs without it"
				cs.log.Info("claim fits no reservation", "job", j.ID, "reservation", j.Booking, "why", why)
			}
			continue
		}
		if o := cs.claims[c]; o == nil || j.At < o.At || (j.At == o.At && j.ID < o.ID) {
			cs.claims[c] = j
		}
	}
}

// claimOf is the occurrence that a job asks for. A claim that fits none is no
// mistake: the job competes like any other, and its user is told why.
func (cs *calendarStore) claimOf(j *job.Job) (c claim, misfits string) {
	b := cs.bookings[j.Booking]
	if b == nil {
		return claim{}, "does not exist"
	}
	if why := misfit(b.entry, j); why != "" {
		return claim{}, why
	}
	s, ok := b.entry.OccurrenceAt(j.At)
	switch {
	case !ok:
		return claim{}, "is over"
	case b.entry.Revoked[s.From]:
		return claim{}, "has lost its room to maintenance"
	}
	return claim{j.Booking, s.From}, ""
}

// waitsForStart reports whether a job is to wait for its slot to begin.
func (cs *calendarStore) waitsForStart(j *job.Job, now time.Time) bool {
	if j.Booking == "" || !cs.enabled() {
		return false
	}
	c, why := cs.claimOf(j)
	if why != "" || (cs.claims[c] != nil && cs.claims[c] != j) {
		return false
	}
	return cs.timeOfDay(now).UnixMilli() < c.from
}

// due is an occurrence that room is to be held for.
type due struct {
	entry   *calendar.Booking
	span    calendar.Span
	decided bool
	claimer *job.Job
}

// upcomingOccurrences lists the occurrences that room is to be held for, by reservation.
func (cs *calendarStore) upcomingOccurrences(now time.Time, lead func(*calendar.Booking) time.Duration) map[string]due {
	if cs.near == nil || now.Sub(cs.nearAt) >= calendarEvery {
		cs.near, cs.nearAt = map[string]due{}, now
		at := cs.timeOfDay(now)
		for name, b := range cs.bookings {
			if s, decided, ok := b.rec.ActiveOccurrence(b.entry, at, lead(b.entry)); ok {
				cs.near[name] = due{b.entry, s, decided, nil}
			}
		}
	}
	for name, d := range cs.near {
		d.claimer = cs.claims[claim{name, d.span.From}]
		cs.near[name] = d
	}
	return cs.near
}

// reallocate finds other machines for a slot.
func (cs *calendarStore) reallocate(s *slot, most func(typ, zone string) int) []calendar.Allocation {
	return cs.cal.Reallocate(s.name, s.span, most)
}

// windowsByName are the maintenance windows, by name; plans reports whether there are any.
func (cs *calendarStore) windowsByName() map[string]*calendar.PlannedWindow { return cs.cal.Windows() }

func (cs *calendarStore) hasWindows() bool { return len(cs.windows) > 0 }

// decide stores what has become of the next occurrence.
func (cs *calendarStore) decide(b *storedReservation, at time.Time) {
	if b.writing || cs.writing || b.rec.NextStart > at.UnixMilli() {
		return
	}
	l := calendar.Observation{Now: at}
	if j := cs.claims[claim{b.rec.Spec.Name, b.rec.NextStart}]; j != nil {
		l.Claimer, l.RunAt = j.ID, cs.reservationHolds.began(b.rec.Spec.Name, b.rec.NextStart)
	} else {
		l.Claimer, l.RunAt = cs.reservationHolds.finished(b.rec.Spec.Name, b.rec.NextStart)
	}
	f := &cs.c.Settings.Facts
	next, changed := calendar.DecideOutcome(b.rec, b.entry, l, calendar.Tolerance(f.Workers.ReportS, f.SkewMs))
	if !changed {
		return
	}
	key := bookingPrefix + b.rec.Spec.Name
	put, err := state.Put(key, next)
	if err != nil {
		cs.log.Error("reservation does not encode", "reservation", b.rec.Spec.Name, "error", err)
		return
	}
	b.writing = true
	cs.commit(key, b.version, []state.Cond{{Key: key, Version: b.version}}, []state.Write{put}, func(v uint64, err error) {
		b.writing = false
		if err != nil {
			cs.log.Error("outcome of a slot cannot be stored", "reservation", b.rec.Spec.Name, "error", err)
			return
		}
		o := next.Outcomes[len(next.Outcomes)-1]
		cs.c.Meter.Add(metrics.Slots, o.Kind, 1)
		cs.log.Info("slot is decided", "reservation", b.rec.Spec.Name, "start", time.UnixMilli(o.Start).UTC(), "outcome", o.Kind, "job", o.Job, "late_s", o.LateS)
		b.rec, b.version, cs.near = next, v, nil
		cs.changed()
	})
}

// commit runs a fenced transaction until its outcome is clear, and hands it to the actor.
func (cs *calendarStore) commit(key string, was uint64, conds []state.Cond, writes []state.Write, then func(version uint64, err error)) {
	go func() {
		v, err := cs.settle(key, was, conds, writes)
		if cs.ctx.Err() == nil {
			cs.ahead(func() { then(v, err) })
		}
	}()
}

// store stores a change of the calendar, one at a time.
func (cs *calendarStore) store(conds []state.Cond, writes []state.Write, then func(version uint64, err error)) {
	put, err := state.Put(changesKey, struct{}{})
	if err != nil {
		then(0, err)
		return
	}
	cs.writing = true
	conds, writes = append(conds, state.Cond{Key: changesKey, Version: cs.version}), append(writes, put)
	cs.commit(changesKey, cs.version, conds, writes, func(v uint64, err error) {
		if err == nil {
			cs.version = v
		}
		then(v, err)
		cs.stored()
	})
}

// change runs a change of the calendar, or lets it wait for the one before: what
// fits is decided beside what is stored.
func (cs *calendarStore) change(f func(), back func(*rpc.Reply)) {
	switch {
	case !cs.writing:
		f()
	case len(cs.queue) >= mostChanges:
		back(settled(Later("many changes of the calendar are being stored")))
	default:
		cs.queue = append(cs.queue, f)
	}
}

// mostChanges bounds the changes that wait.
const mostChanges = 64

// stored goes on after a change.
func (cs *calendarStore) stored() {
	cs.writing = false
	cs.stepAt = time.Time{}
	cs.changed()
	for len(cs.queue) > 0 && !cs.writing {
		f := cs.queue[0]
		cs.queue = cs.queue[1:]
		f()
	}
}

// remove deletes a record.
func (cs *calendarStore) remove(key string, version uint64, then func()) {
	cs.store([]state.Cond{{Key: key, Version: version}}, []state.Write{{Delete: key}}, func(_ uint64, err error) {
		if err == nil {
			then()
		}
	})
}

func (cs *calendarStore) forget(name string) {
	cs.near = nil
	cs.cal.Remove(name)
	delete(cs.bookings, name)
}

func (cs *calendarStore) forgetWindow(name string) {
	cs.cal.RemoveWindow(name)
	delete(cs.windows, name)
}
