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
	// changesKey is written by every change of the calendar. Without this key, a delayed retry
	// of the transaction that created a reservation or window could create it again after its
	// cancellation, since the cancellation deletes the record.
	changesKey = "c/changes"
)

// calendarStore owns the calendar. It accepts reservations and maintenance windows, stores
// them in transactions fenced by the term before it replies, and determines the outcome of
// each occurrence. reservationHolds and maintenanceDrains act on the machines.
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
	// claims maps each claimed occurrence to its claimer, the first job that claimed it.
	claims         map[occurrence]*job.Job
	storing        bool     // a change of the calendar is being stored
	queuedChanges  []func() // changes that wait until the current one is stored
	changesVersion uint64   // of changesKey
	lastStep       time.Time
	// upcoming caches the occurrences for which machines are held, as of upcomingAt. The
	// planner requests them many times a second, and there can be thousands of reservations.
	upcoming   map[string]upcomingOccurrence
	upcomingAt time.Time
}

// calendarInputs are the inputs from which a calendar was built: the numbers of machine
// types and zones, and the version of the teams' settings.
type calendarInputs struct {
	types, zones int
	teams        uint64
}

// storedBooking is a reservation with its stored record.
type storedBooking struct {
	rec     *calendar.Record
	booking *calendar.Booking
	version uint64
	storing bool // the outcome of an occurrence is being stored
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

func (cs *calendarStore) enabled() bool { return cs.controller.Tuning.Calendar.Enabled }

// empty reports whether there are neither reservations nor windows.
func (cs *calendarStore) empty() bool { return len(cs.bookings) == 0 && len(cs.windows) == 0 }

// wallTime returns the wall-clock time, extrapolated from the start of the term by the
// monotonic clock. A jump of the controller's wall clock must not let all occurrences of a
// year lapse at once.
func (cs *calendarStore) wallTime(now time.Time) time.Time {
	return cs.termStart.Round(0).Add(now.Sub(cs.termStart))
}

// limits returns the configured limits of the calendar.
func (cs *calendarStore) limits() calendar.Limits {
	tuning := &cs.controller.Tuning.Calendar
	return calendar.Limits{
		HorizonDays:         tuning.HorizonDays,
		Reservations:        tuning.MaxReservations,
		ReservationsPerTeam: tuning.MaxPerTeam,
		Windows:             tuning.MaxWindows,
		Occurrences:         tuning.MaxOccurrences,
	}
}

// calendarConfig returns the configuration of a calendar for the given machine types and
// zones.
func (cs *calendarStore) calendarConfig(types []wire.MachineType, zones []string) calendar.Config {
	machines := func(typ, _ string) int {
		if count, ok := cs.controller.Tuning.Calendar.AssumedCapacity[typ]; ok {
			return count
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

// readRecords reads the stored records. It returns none if the calendar is disabled.
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

// load builds the calendar from the records of earlier leaders. It skips records that cannot
// be decoded, since they must not prevent a controller from becoming the leader.
func (cs *calendarStore) load(bookings, windows []state.Entry) {
	cs.reset()
	cs.rebuild()
	for _, entry := range windows {
		if err := cs.loadWindow(entry); err != nil {
			cs.log.Error("cannot decode maintenance window; skipping it", "key", entry.Key, "error", err)
		}
	}
	for _, entry := range bookings {
		if err := cs.loadBooking(entry); err != nil {
			cs.log.Error("cannot decode reservation; skipping it", "key", entry.Key, "error", err)
		}
	}
}

// loadWindow adds the maintenance window of a stored record.
func (cs *calendarStore) loadWindow(entry state.Entry) error {
	rec := &calendar.WindowRecord{}
	if err := wire.Unmarshal(entry.Value, rec); err != nil {
		return err
	}
	window, err := rec.Window()
	if err != nil {
		return err
	}
	cs.calendar.AddWindow(window)
	cs.windows[rec.Spec.Name] = entry.Version
	return nil
}

// loadBooking adds the reservation of a stored record.
func (cs *calendarStore) loadBooking(entry state.Entry) error {
	rec := &calendar.Record{}
	if err := wire.Unmarshal(entry.Value, rec); err != nil {
		return err
	}
	booking, err := rec.Booking()
	if err != nil {
		return err
	}
	cs.addBooking(rec, booking, entry.Version)
	return nil
}

// addBooking adds a stored reservation to the calendar, or replaces it.
func (cs *calendarStore) addBooking(rec *calendar.Record, booking *calendar.Booking, version uint64) {
	cs.upcoming = nil
	cs.calendar.Add(booking)
	cs.bookings[rec.Spec.Name] = &storedBooking{rec: rec, booking: booking, version: version}
}

// removeBooking removes a reservation after its record was deleted.
func (cs *calendarStore) removeBooking(name string) {
	cs.upcoming = nil
	cs.calendar.Remove(name)
	delete(cs.bookings, name)
}

// removeWindow removes a maintenance window after its record was deleted.
func (cs *calendarStore) removeWindow(name string) {
	cs.calendar.RemoveWindow(name)
	delete(cs.windows, name)
}

// rebuild builds a new calendar with the same entries if the machine types, zones or teams
// have changed.
func (cs *calendarStore) rebuild() {
	types, zones := cs.nameIndex.machineTypes(), cs.nameIndex.zoneNames()
	inputs := calendarInputs{types: len(types), zones: len(zones), teams: cs.teamQuotas.sequence()}
	if inputs == cs.builtFor {
		return
	}
	cs.builtFor = inputs
	previous := cs.calendar
	cs.calendar = calendar.New(cs.calendarConfig(types, zones))
	for _, window := range previous.Windows() {
		cs.calendar.AddWindow(window)
	}
	for _, booking := range previous.Bookings() {
		cs.calendar.Add(booking)
	}
}

// reallocate returns new allocations for the occurrence of a hold. Limit returns how many
// machines of a type are obtainable in a zone.
func (cs *calendarStore) reallocate(hold *occurrenceHold, limit func(typ, zone string) int) []calendar.Allocation {
	return cs.calendar.Reallocate(hold.reservation, hold.span, limit)
}

// windowsByName returns the maintenance windows by name.
func (cs *calendarStore) windowsByName() map[string]*calendar.PlannedWindow {
	return cs.calendar.Windows()
}

// hasWindows reports whether any maintenance window exists.
func (cs *calendarStore) hasWindows() bool { return len(cs.windows) > 0 }

// calendarInterval is the interval at which the calendar is evaluated.
const calendarInterval = 250 * time.Millisecond

// step determines the outcomes of occurrences, and updates the holds and drains.
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
		return // the running tasks are not all known yet, so no outcome is decided and no task is stopped
	}
	wallTime := cs.wallTime(now)
	for _, stored := range cs.bookings {
		cs.decideOutcome(stored, wallTime)
	}
	cs.maintenanceDrains.step(now)
	cs.removeExpired(wallTime)
}

// retentionDays is how long the records of reservations and windows are kept after their end.
const retentionDays = 7

// removeExpired deletes one reservation or window whose retention has ended.
func (cs *calendarStore) removeExpired(wallTime time.Time) {
	cutoff := wallTime.AddDate(0, 0, -retentionDays).UnixMilli()
	if cs.storing {
		return
	}
	for name, window := range cs.calendar.Windows() {
		if window.Span().To < cutoff {
			cs.deleteRecord(windowPrefix+name, cs.windows[name], func() { cs.removeWindow(name) })
			return
		}
	}
	for name, stored := range cs.bookings {
		if spans := stored.booking.Spans(); spans[len(spans)-1].To < cutoff && !stored.storing {
			cs.deleteRecord(bookingPrefix+name, stored.version, func() { cs.removeBooking(name) })
			return
		}
	}
}

// commitInBackground commits a fenced transaction, retries it until its outcome is known, and
// then calls onDone on the leader's goroutine. Version is the version of key before the
// transaction.
func (cs *calendarStore) commitInBackground(key string, version uint64, conds []state.Condition, writes []state.Write, onDone func(version uint64, err error)) {
	go func() {
		newVersion, err := cs.commitUntilSettled(key, version, conds, writes)
		if cs.ctx.Err() == nil {
			cs.enqueueForUser(func() { onDone(newVersion, err) })
		}
	}()
}

// storeChange stores a change of the calendar and then calls onDone. Only one change may be
// in progress at a time.
func (cs *calendarStore) storeChange(conds []state.Condition, writes []state.Write, onDone func(version uint64, err error)) {
	put, err := state.Put(changesKey, struct{}{})
	if err != nil {
		onDone(0, err)
		return
	}
	cs.storing = true
	conds = append(conds, state.Condition{Key: changesKey, Version: cs.changesVersion})
	writes = append(writes, put)
	cs.commitInBackground(changesKey, cs.changesVersion, conds, writes, func(version uint64, err error) {
		if err == nil {
			cs.changesVersion = version
		}
		onDone(version, err)
		cs.finishChange()
	})
}

// queueChange runs a change of the calendar, or queues it while another one is being stored.
// Whether a new entry fits depends on the entries that are already stored.
func (cs *calendarStore) queueChange(change func(), respond func(*rpc.Reply)) {
	switch {
	case !cs.storing:
		change()
	case len(cs.queuedChanges) >= maxQueuedChanges:
		respond(finalRefusal(Unavailable("too many changes of the calendar are queued")))
	default:
		cs.queuedChanges = append(cs.queuedChanges, change)
	}
}

// maxQueuedChanges is the maximum number of queued changes.
const maxQueuedChanges = 64

// finishChange runs the queued changes after the current one was stored or rejected.
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

// deleteRecord deletes the given version of a record, and calls onDeleted if that succeeds.
func (cs *calendarStore) deleteRecord(key string, version uint64, onDeleted func()) {
	unchanged := []state.Condition{{Key: key, Version: version}}
	cs.storeChange(unchanged, []state.Write{{Delete: key}}, func(_ uint64, err error) {
		if err == nil {
			onDeleted()
		}
	})
}
