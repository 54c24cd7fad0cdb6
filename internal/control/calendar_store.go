package control

import (
	"errors"
	"fmt"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/job"
	"vetchstream/internal/meter"
	"vetchstream/internal/peer"
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

// calendarStore keeps the calendar: it takes in reservations and maintenance windows,
// stores them under the term before anybody is told, and decides what has become of
// each occurrence. What follows on the machines is the holds' and the drains' duty.
type calendarStore struct {
	*core
	names    *names
	jobTable *jobTable
	takeover *takeover
	holds    *holds
	drains   *drains
	teams    *teams

	cal      *calendar.Calendar
	made     madeOf
	bookings map[string]*booking
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

// booking is a reservation's record as stored.
type booking struct {
	rec     *calendar.Record
	entry   *calendar.Entry
	version uint64
	writing bool // an outcome is being stored
}

// claim names an occurrence of a reservation.
type claim struct {
	name string
	from int64
}

func newCalendarStore(co *core) *calendarStore {
	ag := &calendarStore{core: co}
	return ag
}

func (ag *calendarStore) reset() {
	ag.bookings, ag.windows, ag.claims = map[string]*booking{}, map[string]uint64{}, map[claim]*job.Job{}
	ag.cal, ag.made, ag.near = calendar.New(ag.facts(nil, nil)), madeOf{}, nil
}

// on reports whether the calendar is switched on.
func (ag *calendarStore) on() bool { return ag.c.Tuning.Calendar.Enabled }

// empty reports whether there is nothing to do for it.
func (ag *calendarStore) empty() bool { return len(ag.bookings) == 0 && len(ag.windows) == 0 }

// clock is the time of day as this term goes on from its begin: a jump of the
// machine's clock must not let every slot of a year lapse at once.
func (ag *calendarStore) clock(now time.Time) time.Time {
	return ag.since.Round(0).Add(now.Sub(ag.since))
}

func (ag *calendarStore) limits() calendar.Limits {
	t := &ag.c.Tuning.Calendar
	return calendar.Limits{Days: t.Days, Entries: t.Most, PerTeam: t.PerTeam, Windows: t.Windows, Occurrences: t.Occurrences}
}

func (ag *calendarStore) facts(types []wire.MachineType, zones []string) calendar.Facts {
	counted := func(typ, _ string) int {
		if n, ok := ag.c.Tuning.Calendar.CountOn[typ]; ok {
			return n
		}
		return -1
	}
	return calendar.Facts{Types: types, Zones: zones, Teams: ag.teams.all(), Counted: counted, Limits: ag.limits()}
}

// list reads the records; none while the calendar is switched off.
func (ag *calendarStore) list() (bookings, windows []state.Entry, err error) {
	if !ag.on() {
		return nil, nil, nil
	}
	e, err := ag.c.State.Get(ag.ctx, changesKey)
	if err != nil && !errors.Is(err, state.ErrNotFound) {
		return nil, nil, err
	}
	ag.version = e.Version
	if bookings, _, err = ag.c.State.List(ag.ctx, bookingPrefix); err != nil {
		return nil, nil, err
	}
	windows, _, err = ag.c.State.List(ag.ctx, windowPrefix)
	return bookings, windows, err
}

// load takes in the records of earlier leaders.
func (ag *calendarStore) load(bookings, windows []state.Entry) {
	ag.reset()
	ag.remake()
	// A record that cannot be read is left as it is: it must not keep the cluster from
	// being led.
	for _, e := range windows {
		rec := &calendar.WindowRecord{}
		err := wire.Unmarshal(e.Value, rec)
		var p *calendar.Plan
		if err == nil {
			p, err = rec.Plan()
		}
		if err != nil {
			ag.log.Error("maintenance window cannot be read", "key", e.Key, "error", err)
			continue
		}
		ag.cal.AddWindow(p)
		ag.windows[rec.Spec.Name] = e.Version
	}
	for _, e := range bookings {
		rec := &calendar.Record{}
		err := wire.Unmarshal(e.Value, rec)
		var entry *calendar.Entry
		if err == nil {
			entry, err = rec.Entry()
		}
		if err != nil {
			ag.log.Error("reservation cannot be read", "key", e.Key, "error", err)
			continue
		}
		ag.adopt(rec, entry, e.Version)
	}
}

func (ag *calendarStore) adopt(rec *calendar.Record, e *calendar.Entry, version uint64) {
	ag.near = nil
	ag.cal.Add(e)
	ag.bookings[rec.Spec.Name] = &booking{rec: rec, entry: e, version: version}
}

// remake fits the calendar to a price list that has become longer.
func (ag *calendarStore) remake() {
	types, zones := ag.names.list(), ag.names.zoneNames()
	if n := (madeOf{len(types), len(zones), ag.teams.sequence()}); n != ag.made {
		ag.made = n
		was := ag.cal
		ag.cal = calendar.New(ag.facts(types, zones))
		for _, p := range was.Windows() {
			ag.cal.AddWindow(p)
		}
		for _, e := range was.Entries() {
			ag.cal.Add(e)
		}
	}
}

// calendarEvery spaces the looks at the calendar.
const calendarEvery = 250 * time.Millisecond

// step decides occurrences and lets holds and drains follow.
func (ag *calendarStore) step(now time.Time) {
	if !ag.on() || now.Sub(ag.stepAt) < calendarEvery {
		return
	}
	ag.stepAt = now
	ag.claimed()
	if ag.empty() {
		return
	}
	ag.remake()
	ag.holds.gather(now)
	if !ag.takeover.settled() {
		return // what runs where is not known yet: nothing is decided, nothing is stopped
	}
	at := ag.clock(now)
	for _, b := range ag.bookings {
		ag.decide(b, at)
	}
	ag.drains.step(now)
	ag.tidy(at)
}

// keepDays is how long entries that are over are kept, to be looked at.
const keepDays = 7

// tidy removes an entry that is long over, one at a time.
func (ag *calendarStore) tidy(at time.Time) {
	before := at.AddDate(0, 0, -keepDays).UnixMilli()
	if ag.writing {
		return
	}
	for name, p := range ag.cal.Windows() {
		if p.Span().To < before {
			ag.remove(windowPrefix+name, ag.windows[name], func() { ag.forgetWindow(name) })
			return
		}
	}
	for name, b := range ag.bookings {
		if spans := b.entry.Spans(); spans[len(spans)-1].To < before && !b.writing {
			ag.remove(bookingPrefix+name, b.version, func() { ag.forget(name) })
			return
		}
	}
}

// misfit says why a job is none that a reservation is for; empty: it is.
func misfit(e *calendar.Entry, j *job.Job) string {
	switch {
	case j.Team != e.Team:
		return "is another team's"
	case j.Tasks > e.Parts:
		return fmt.Sprintf("has %d parts", e.Parts)
	case !e.Need().Fits(needOf(j)):
		return "has smaller parts"
	}
	return ""
}

// claimed finds out which job claims which occurrence: the first that was submitted.
func (ag *calendarStore) claimed() {
	clear(ag.claims)
	for _, j := range ag.jobTable.all() {
		if j.Booking == "" || j.Phase+j.Closing != "" || ag.jobTable.stranger(j) {
			continue
		}
		c, why := ag.claimOf(j)
		if why != "" {
			if j.Notice == "" {
				j.Notice = "reservation " + j.Booking + " " + why + ": the job runs without it"
				ag.log.Info("claim fits no reservation", "job", j.ID, "reservation", j.Booking, "why", why)
			}
			continue
		}
		if o := ag.claims[c]; o == nil || j.At < o.At || (j.At == o.At && j.ID < o.ID) {
			ag.claims[c] = j
		}
	}
}

// claimOf is the occurrence that a job asks for. A claim that fits none is no
// mistake: the job competes like any other, and its user is told why.
func (ag *calendarStore) claimOf(j *job.Job) (c claim, misfits string) {
	b := ag.bookings[j.Booking]
	if b == nil {
		return claim{}, "does not exist"
	}
	if why := misfit(b.entry, j); why != "" {
		return claim{}, why
	}
	s, ok := b.entry.Claims(j.At)
	switch {
	case !ok:
		return claim{}, "is over"
	case b.entry.Lost[s.From]:
		return claim{}, "has lost its room to maintenance"
	}
	return claim{j.Booking, s.From}, ""
}

// waits reports whether a job is to wait for its slot to begin.
func (ag *calendarStore) waits(j *job.Job, now time.Time) bool {
	if j.Booking == "" || !ag.on() {
		return false
	}
	c, why := ag.claimOf(j)
	if why != "" || (ag.claims[c] != nil && ag.claims[c] != j) {
		return false
	}
	return ag.clock(now).UnixMilli() < c.from
}

// due is an occurrence that room is to be held for.
type due struct {
	entry   *calendar.Entry
	span    calendar.Span
	decided bool
	claimer *job.Job
}

// due lists the occurrences that room is to be held for, by reservation.
func (ag *calendarStore) due(now time.Time, lead func(*calendar.Entry) time.Duration) map[string]due {
	if ag.near == nil || now.Sub(ag.nearAt) >= calendarEvery {
		ag.near, ag.nearAt = map[string]due{}, now
		at := ag.clock(now)
		for name, b := range ag.bookings {
			if s, decided, ok := b.rec.Current(b.entry, at, lead(b.entry)); ok {
				ag.near[name] = due{b.entry, s, decided, nil}
			}
		}
	}
	for name, d := range ag.near {
		d.claimer = ag.claims[claim{name, d.span.From}]
		ag.near[name] = d
	}
	return ag.near
}

// around finds other machines for a slot.
func (ag *calendarStore) around(s *slot, most func(typ, zone string) int) []calendar.Share {
	return ag.cal.Around(s.name, s.span, most)
}

// planned are the maintenance windows, by name; plans reports whether there are any.
func (ag *calendarStore) planned() map[string]*calendar.Plan { return ag.cal.Windows() }

func (ag *calendarStore) plans() bool { return len(ag.windows) > 0 }

// decide stores what has become of the next occurrence.
func (ag *calendarStore) decide(b *booking, at time.Time) {
	if b.writing || ag.writing || b.rec.Next > at.UnixMilli() {
		return
	}
	l := calendar.Look{Now: at}
	if j := ag.claims[claim{b.rec.Spec.Name, b.rec.Next}]; j != nil {
		l.Claimer, l.RunAt = j.ID, ag.holds.began(b.rec.Spec.Name, b.rec.Next)
	} else {
		l.Claimer, l.RunAt = ag.holds.finished(b.rec.Spec.Name, b.rec.Next)
	}
	f := &ag.c.Settings.Facts
	next, changed := calendar.Step(b.rec, b.entry, l, calendar.Tolerance(f.Workers.ReportS, f.SkewMs))
	if !changed {
		return
	}
	key := bookingPrefix + b.rec.Spec.Name
	put, err := state.Put(key, next)
	if err != nil {
		ag.log.Error("reservation does not encode", "reservation", b.rec.Spec.Name, "error", err)
		return
	}
	b.writing = true
	ag.commit(key, b.version, []state.Cond{{Key: key, Version: b.version}}, []state.Write{put}, func(v uint64, err error) {
		b.writing = false
		if err != nil {
			ag.log.Error("outcome of a slot cannot be stored", "reservation", b.rec.Spec.Name, "error", err)
			return
		}
		o := next.Past[len(next.Past)-1]
		ag.c.Meter.Add(meter.Slots, o.What, 1)
		ag.log.Info("slot is decided", "reservation", b.rec.Spec.Name, "start", time.UnixMilli(o.Start).UTC(), "outcome", o.What, "job", o.Job, "late_s", o.LateS)
		b.rec, b.version, ag.near = next, v, nil
		ag.changed()
	})
}

// commit runs a fenced transaction until its outcome is clear, and hands it to the actor.
func (ag *calendarStore) commit(key string, was uint64, conds []state.Cond, writes []state.Write, then func(version uint64, err error)) {
	go func() {
		v, err := ag.settle(key, was, conds, writes)
		if ag.ctx.Err() == nil {
			ag.ahead(func() { then(v, err) })
		}
	}()
}

// store stores a change of the calendar, one at a time.
func (ag *calendarStore) store(conds []state.Cond, writes []state.Write, then func(version uint64, err error)) {
	put, err := state.Put(changesKey, struct{}{})
	if err != nil {
		then(0, err)
		return
	}
	ag.writing = true
	conds, writes = append(conds, state.Cond{Key: changesKey, Version: ag.version}), append(writes, put)
	ag.commit(changesKey, ag.version, conds, writes, func(v uint64, err error) {
		if err == nil {
			ag.version = v
		}
		then(v, err)
		ag.stored()
	})
}

// change runs a change of the calendar, or lets it wait for the one before: what
// fits is decided beside what is stored.
func (ag *calendarStore) change(f func(), back func(*peer.Reply)) {
	switch {
	case !ag.writing:
		f()
	case len(ag.queue) >= mostChanges:
		back(settled(Later("many changes of the calendar are being stored")))
	default:
		ag.queue = append(ag.queue, f)
	}
}

// mostChanges bounds the changes that wait.
const mostChanges = 64

// stored goes on after a change.
func (ag *calendarStore) stored() {
	ag.writing = false
	ag.stepAt = time.Time{}
	ag.changed()
	for len(ag.queue) > 0 && !ag.writing {
		f := ag.queue[0]
		ag.queue = ag.queue[1:]
		f()
	}
}

// remove deletes a record.
func (ag *calendarStore) remove(key string, version uint64, then func()) {
	ag.store([]state.Cond{{Key: key, Version: version}}, []state.Write{{Delete: key}}, func(_ uint64, err error) {
		if err == nil {
			then()
		}
	})
}

func (ag *calendarStore) forget(name string) {
	ag.near = nil
	ag.cal.Remove(name)
	delete(ag.bookings, name)
}

func (ag *calendarStore) forgetWindow(name string) {
	ag.cal.RemoveWindow(name)
	delete(ag.windows, name)
}
