package control

import (
	"errors"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Keys of the calendar's records.
const (
	bookingPrefix = "c/r/"
	windowPrefix  = "c/w/"
	// changesKey is written by every change of the calendar. The record of a cancelled
	// reservation or window is deleted: without this key a delayed retry of the transaction
	// that made it would make it again, since no record of its name exists any more.
	changesKey = "c/changes"
)

// calendarStore holds the calendar: it accepts reservations and maintenance windows, stores
// them under the term before anybody is answered, and decides the outcome of each
// occurrence. Acting on the machines is up to reservationHolds and maintenanceDrains.
type calendarStore struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	takeover          *takeover
	reservationHolds  *reservationHolds
	maintenanceDrains *maintenanceDrains
	teamQuotas        *teamQuotas

	calendar *calendar.Calendar
	builtFor calendarInputs
	bookings map[string]*storedBooking
	windows  map[string]uint64 // versions of the windows' records
	// claims are the jobs that have each claimed an occurrence first.
	claims         map[occurrence]*job.Job
	storing        bool     // a change of the calendar is being stored
	queuedChanges  []func() // changes that wait until it is stored
	changesVersion uint64   // of changesKey
	lastStep       time.Time
	// upcoming are the occurrences that machines are held for, as of upcomingAt: the planner
	// asks for them many times a second, and there can be thousands of reservations.
	upcoming   map[string]upcomingOccurrence
	upcomingAt time.Time
}

// calendarInputs is what a calendar was built for: how many machine types and zones, and
// the version of the teams' settings.
type calendarInputs struct {
	types, zones int
	teams        uint64
}

// storedBooking is a reservation's record as stored.
type storedBooking struct {
	rec     *calendar.Record
	booking *calendar.Booking
	version uint64
	storing bool // an outcome is being stored
}

func newCalendarStore(co *core) *calendarStore {
	return &calendarStore{core: co}
}

// reset empties the calendar.
func (cs *calendarStore) reset() {
	cs.bookings = map[string]*storedBooking{}
	cs.windows = map[string]uint64{}
	cs.claims = map[occurrence]*job.Job{}
	cs.calendar = calendar.New(cs.calendarConfig(nil, nil))
	cs.builtFor = calendarInputs{}
	cs.upcoming = nil
}

// enabled reports whether the calendar is switched on.
func (cs *calendarStore) enabled() bool { return cs.controller.Tuning.Calendar.Enabled }

// empty reports whether there are neither reservations nor windows.
func (cs *calendarStore) empty() bool { return len(cs.bookings) == 0 && len(cs.windows) == 0 }

// timeOfDay is the time of day, continued from the begin of the term: a jump of the
// machine's clock must not let all occurrences of a year lapse at once.
func (cs *calendarStore) timeOfDay(now time.Time) time.Time {
	return cs.termStart.Round(0).Add(now.Sub(cs.termStart))
}

// limits are the operators' bounds on the calendar.
func (cs *calendarStore) limits() calendar.Limits {
	t := &cs.controller.Tuning.Calendar
	return calendar.Limits{
		HorizonDays:         t.HorizonDays,
		Reservations:        t.MaxReservations,
		ReservationsPerTeam: t.MaxPerTeam,
		Windows:             t.MaxWindows,
		Occurrences:         t.MaxOccurrences,
	}
}

// calendarConfig is the configuration of a calendar for these machine types and zones.
func (cs *calendarStore) calendarConfig(types []wire.MachineType, zones []string) calendar.Config {
	machines := func(typ, _ string) int {
		if n, ok := cs.controller.Tuning.Calendar.AssumedCapacity[typ]; ok {
			return n
		}
		return calendar.UnlimitedMachines
	}
	return calendar.Config{
		Types:    types,
		Zones:    zones,
		Teams:    cs.teamQuotas.teams(),
		Machines: machines,
		Limits:   cs.limits(),
	}
}

// readRecords reads the stored records; none while the calendar is switched off.
func (cs *calendarStore) readRecords() (bookings, windows []state.Entry, err error) {
	if !cs.enabled() {
		return nil, nil, nil
	}
	changes, err := cs.controller.State.Get(cs.ctx, changesKey)
	if err != nil && !errors.Is(err, state.ErrNotFound) {
		return nil, nil, err
	}
	cs.changesVersion = changes.Version
	if bookings, _, err = cs.controller.State.List(cs.ctx, bookingPrefix); err != nil {
		return nil, nil, err
	}
	windows, _, err = cs.controller.State.List(cs.ctx, windowPrefix)
	return bookings, windows, err
}

// load builds the calendar from the records of earlier leaders. A record that cannot be
// read is left as it is: it must not prevent the cluster from having a leader.
func (cs *calendarStore) load(bookings, windows []state.Entry) {
	cs.reset()
	cs.rebuild()
	for _, e := range windows {
		if err := cs.loadWindow(e); err != nil {
			cs.log.Error("maintenance window cannot be read", "key", e.Key, "error", err)
		}
	}
	for _, e := range bookings {
		if err := cs.loadBooking(e); err != nil {
			cs.log.Error("reservation cannot be read", "key", e.Key, "error", err)
		}
	}
}

// loadWindow adds the maintenance window of a stored record.
func (cs *calendarStore) loadWindow(e state.Entry) error {
	rec := &calendar.WindowRecord{}
	if err := wire.Unmarshal(e.Value, rec); err != nil {
		return err
	}
	w, err := rec.Window()
	if err != nil {
		return err
	}
	cs.calendar.AddWindow(w)
	cs.windows[rec.Spec.Name] = e.Version
	return nil
}

// loadBooking adds the reservation of a stored record.
func (cs *calendarStore) loadBooking(e state.Entry) error {
	rec := &calendar.Record{}
	if err := wire.Unmarshal(e.Value, rec); err != nil {
		return err
	}
	b, err := rec.Booking()
	if err != nil {
		return err
	}
	cs.addBooking(rec, b, e.Version)
	return nil
}

// addBooking adds a stored reservation to the calendar, or replaces it.
func (cs *calendarStore) addBooking(rec *calendar.Record, b *calendar.Booking, version uint64) {
	cs.upcoming = nil
	cs.calendar.Add(b)
	cs.bookings[rec.Spec.Name] = &storedBooking{rec: rec, booking: b, version: version}
}

// removeBooking removes a reservation whose record is deleted.
func (cs *calendarStore) removeBooking(name string) {
	cs.upcoming = nil
	cs.calendar.Remove(name)
	delete(cs.bookings, name)
}

// removeWindow removes a maintenance window whose record is deleted.
func (cs *calendarStore) removeWindow(name string) {
	cs.calendar.RemoveWindow(name)
	delete(cs.windows, name)
}

// rebuild makes the calendar anew when machine types, zones or teams have changed.
func (cs *calendarStore) rebuild() {
	types, zones := cs.nameIndex.machineTypes(), cs.nameIndex.zoneNames()
	inputs := calendarInputs{types: len(types), zones: len(zones), teams: cs.teamQuotas.sequence()}
	if inputs == cs.builtFor {
		return
	}
	cs.builtFor = inputs
	before := cs.calendar
	cs.calendar = calendar.New(cs.calendarConfig(types, zones))
	for _, w := range before.Windows() {
		cs.calendar.AddWindow(w)
	}
	for _, b := range before.Bookings() {
		cs.calendar.Add(b)
	}
}

// reallocate finds other machines for the occurrence of a hold. Limit is how many machines
// of a type can be had in a zone.
func (cs *calendarStore) reallocate(hold *occurrenceHold, limit func(typ, zone string) int) []calendar.Allocation {
	return cs.calendar.Reallocate(hold.reservation, hold.span, limit)
}

// windowsByName are the maintenance windows.
func (cs *calendarStore) windowsByName() map[string]*calendar.PlannedWindow {
	return cs.calendar.Windows()
}

// hasWindows reports whether there are maintenance windows.
func (cs *calendarStore) hasWindows() bool { return len(cs.windows) > 0 }

// calendarInterval is how often the calendar is evaluated.
const calendarInterval = 250 * time.Millisecond

// step decides the outcomes of occurrences and lets holds and drains follow.
func (cs *calendarStore) step(now time.Time) {
	if !cs.enabled() || now.Sub(cs.lastStep) < calendarInterval {
		return
	}
	cs.lastStep = now
	cs.assignClaims()
	if cs.empty() {
		return
	}
	cs.rebuild()
	cs.reservationHolds.refresh(now)
	if !cs.takeover.reconciled() {
		return // what runs where is not known yet: nothing is decided, nothing is stopped
	}
	timeOfDay := cs.timeOfDay(now)
	for _, b := range cs.bookings {
		cs.decideOutcome(b, timeOfDay)
	}
	cs.maintenanceDrains.step(now)
	cs.removeExpired(timeOfDay)
}

// retentionDays is how long reservations and windows that are over can still be shown.
const retentionDays = 7

// removeExpired deletes one reservation or window whose retention has ended.
func (cs *calendarStore) removeExpired(timeOfDay time.Time) {
	before := timeOfDay.AddDate(0, 0, -retentionDays).UnixMilli()
	if cs.storing {
		return
	}
	for name, w := range cs.calendar.Windows() {
		if w.Span().To < before {
			cs.deleteRecord(windowPrefix+name, cs.windows[name], func() { cs.removeWindow(name) })
			return
		}
	}
	for name, b := range cs.bookings {
		if spans := b.booking.Spans(); spans[len(spans)-1].To < before && !b.storing {
			cs.deleteRecord(bookingPrefix+name, b.version, func() { cs.removeBooking(name) })
			return
		}
	}
}

// commitInBackground runs a fenced transaction until its outcome is clear, and calls then
// on the leader's goroutine. Version is that of key before the transaction.
func (cs *calendarStore) commitInBackground(key string, version uint64, conds []state.Condition, writes []state.Write, then func(version uint64, err error)) {
	go func() {
		committed, err := cs.commitUntilSettled(key, version, conds, writes)
		if cs.ctx.Err() == nil {
			cs.enqueueForUser(func() { then(committed, err) })
		}
	}()
}

// storeChange stores a change of the calendar, one at a time.
func (cs *calendarStore) storeChange(conds []state.Condition, writes []state.Write, then func(version uint64, err error)) {
	put, err := state.Put(changesKey, struct{}{})
	if err != nil {
		then(0, err)
		return
	}
	cs.storing = true
	conds = append(conds, state.Condition{Key: changesKey, Version: cs.changesVersion})
	writes = append(writes, put)
	cs.commitInBackground(changesKey, cs.changesVersion, conds, writes, func(version uint64, err error) {
		if err == nil {
			cs.changesVersion = version
		}
		then(version, err)
		cs.finishChange()
	})
}

// queueChange runs a change of the calendar, or queues it until the one before is stored:
// whether an entry fits is decided against the stored ones.
func (cs *calendarStore) queueChange(change func(), back func(*rpc.Reply)) {
	switch {
	case !cs.storing:
		change()
	case len(cs.queuedChanges) >= maxQueuedChanges:
		back(finalRefusal(Unavailable("many changes of the calendar are being stored")))
	default:
		cs.queuedChanges = append(cs.queuedChanges, change)
	}
}

// maxQueuedChanges bounds the queued changes.
const maxQueuedChanges = 64

// finishChange runs the queued changes after one has been stored or refused.
func (cs *calendarStore) finishChange() {
	cs.storing = false
	cs.lastStep = time.Time{}
	cs.requestPlan()
	for len(cs.queuedChanges) > 0 && !cs.storing {
		change := cs.queuedChanges[0]
		cs.queuedChanges = cs.queuedChanges[1:]
		change()
	}
}

// deleteRecord deletes a record of the given version, and calls then once it is deleted.
func (cs *calendarStore) deleteRecord(key string, version uint64, then func()) {
	unchanged := []state.Condition{{Key: key, Version: version}}
	cs.storeChange(unchanged, []state.Write{{Delete: key}}, func(_ uint64, err error) {
		if err == nil {
			then()
		}
	})
}
