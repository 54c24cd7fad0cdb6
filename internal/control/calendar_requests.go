package control

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// errorReply returns the reply to a request that is refused for a reason.
func errorReply(status int, reason string) *rpc.Reply {
	return reply(status, wire.Error{Error: reason})
}

// handleOperation handles a request for the calendar and passes the reply to respond.
func (cs *calendarStore) handleOperation(op *rpc.Operation, respond func(*rpc.Reply)) {
	switch {
	case !cs.enabled():
		respond(errorReply(http.StatusNotFound, "the calendar is disabled"))
	case len(cs.nameIndex.machineTypes()) == 0:
		respond(Unavailable("the machine types are not loaded yet"))
	case op.Window && op.Team != "" && (op.Verb == rpc.VerbStart || op.Verb == rpc.VerbCancel):
		respond(errorReply(http.StatusForbidden, "only operators can plan or cancel maintenance windows"))
	case op.Verb == rpc.VerbList:
		respond(reply(http.StatusOK, cs.listPage(op)))
	case op.Verb == rpc.VerbStart && op.Window:
		cs.queueChange(func() { cs.planWindow(op.Spec, respond) }, respond)
	case op.Verb == rpc.VerbStart:
		cs.queueChange(func() { cs.reserve(op.Spec, op.Team, respond) }, respond)
	case op.Window && cs.windows[op.Name] == 0:
		respond(errorReply(http.StatusNotFound, "no maintenance window with this name"))
	case !op.Window && !cs.visible(op.Team, op.Name):
		respond(errorReply(http.StatusNotFound, "no reservation with this name"))
	case op.Verb == rpc.VerbCancel:
		cs.queueChange(func() { cs.cancel(op, respond) }, respond)
	case op.Window:
		respond(reply(http.StatusOK, cs.windowStatus(op.Name)))
	default:
		respond(reply(http.StatusOK, cs.status(op.Name)))
	}
}

// visible reports whether a reservation with the given name exists and the team may see it.
// An empty team stands for an operator, who may see all reservations.
func (cs *calendarStore) visible(team, name string) bool {
	stored := cs.bookings[name]
	return stored != nil && (team == "" || team == stored.booking.Team)
}

// pageSize is the maximum number of reservations or windows in one reply.
const pageSize = 50

// reservationPage is a page of the list of reservations.
type reservationPage struct {
	More         bool              `codec:"more"`
	Reservations []calendar.Status `codec:"reservations"`
}

// windowPage is a page of the list of maintenance windows.
type windowPage struct {
	More    bool                    `codec:"more"`
	Windows []calendar.WindowStatus `codec:"windows"`
}

// listPage returns the page of reservations or windows that follow the name in the request.
func (cs *calendarStore) listPage(op *rpc.Operation) any {
	if op.Window {
		names, more := nextPage(slices.Collect(maps.Keys(cs.windows)), op.Name)
		page := windowPage{Windows: []calendar.WindowStatus{}, More: more}
		for _, name := range names {
			page.Windows = append(page.Windows, cs.windowStatus(name))
		}
		return page
	}
	var visible []string
	for name := range cs.bookings {
		if cs.visible(op.Team, name) {
			visible = append(visible, name)
		}
	}
	names, more := nextPage(visible, op.Name)
	page := reservationPage{Reservations: []calendar.Status{}, More: more}
	for _, name := range names {
		page.Reservations = append(page.Reservations, cs.status(name))
	}
	return page
}

// nextPage returns the first names that sort after the given one, and whether more follow
// them. It modifies names.
func nextPage(names []string, after string) (page []string, more bool) {
	names = slices.DeleteFunc(names, func(n string) bool { return n <= after })
	slices.Sort(names)
	return names[:min(len(names), pageSize)], len(names) > pageSize
}

// status returns the status of a reservation.
func (cs *calendarStore) status(name string) calendar.Status {
	stored := cs.bookings[name]
	status := calendar.NewStatus(stored.rec, stored.booking, cs.wallTime(time.Now()))
	status.Held = cs.reservationHolds.heldMachines(name)
	if len(status.Occurrences) > 0 {
		if j := cs.claims[occurrence{name, status.Occurrences[0].From}]; j != nil {
			status.Claimer = j.ID
		}
	}
	return status
}

// windowStatus returns the status of a maintenance window.
func (cs *calendarStore) windowStatus(name string) calendar.WindowStatus {
	window := cs.calendar.Windows()[name]
	status := calendar.NewWindowStatus(window, cs.wallTime(time.Now()))
	cs.maintenanceDrains.addMachineStatus(&status, window)
	return status
}

// reserve accepts and stores a reservation if the calendar has capacity for it.
func (cs *calendarStore) reserve(body []byte, team string, respond func(*rpc.Reply)) {
	wallTime := cs.wallTime(time.Now())
	reservation, err := calendar.ParseReservation(body, cs.limits(), wallTime)
	if err != nil {
		respond(errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	if team != "" && team != reservation.Team {
		respond(errorReply(http.StatusForbidden, "team: a team can only make reservations for itself"))
		return
	}
	if existing := cs.bookings[reservation.Name]; existing != nil {
		respond(cs.existingReservationReply(reservation, existing))
		return
	}
	cs.rebuild()
	booking, err := cs.calendar.Fit(reservation, wallTime)
	if err != nil {
		respond(errorReply(http.StatusConflict, err.Error()))
		return
	}
	key := bookingPrefix + reservation.Name
	rec := calendar.NewRecord(booking, wallTime)
	put, err := state.Put(key, rec)
	if err != nil || cs.tooLarge(put) {
		respond(errorReply(http.StatusRequestEntityTooLarge, "the reservation exceeds the record size limit of the key-value store"))
		return
	}
	absent := []state.Condition{{Key: key}}
	cs.storeChange(absent, []state.Write{put}, func(version uint64, err error) {
		if err != nil {
			respond(errorReply(http.StatusRequestEntityTooLarge, err.Error()))
			return
		}
		cs.addBooking(rec, booking, version)
		cs.log.Info("reservation accepted", "reservation", reservation.Name, "team", reservation.Team, "parts", reservation.Parts,
			"occurrences", len(reservation.Spans()), "allocations", booking.Allocations)
		respond(reply(http.StatusCreated, cs.status(reservation.Name)))
	})
}

// existingReservationReply returns the reply to a request whose reservation name is already
// in use. Repeating the request for the same reservation succeeds; a different reservation
// with this name is a conflict.
func (cs *calendarStore) existingReservationReply(reservation *calendar.Reservation, existing *storedBooking) *rpc.Reply {
	if calendar.SameReservation(reservation, existing.booking.Reservation) {
		return reply(http.StatusOK, cs.status(reservation.Name))
	}
	return errorReply(http.StatusConflict, "name: a different reservation with this name exists; cancel it first")
}

// tooLarge reports whether a record exceeds the size limit of the key-value store.
func (cs *calendarStore) tooLarge(write state.Write) bool {
	return float64(recordSize(write.Value)) > cs.controller.Settings.Facts.State.ValueKB*bytesPerKB*valueFillFraction
}

const (
	bytesPerKB = 1024
	// windowTxnBaseOps is the number of operations in a window's transaction besides one for
	// each changed reservation: the window's record and changesKey.
	windowTxnBaseOps = 2
)

// planWindow accepts and stores a maintenance window, and moves the reservations that are
// allocated to its machines.
func (cs *calendarStore) planWindow(body []byte, respond func(*rpc.Reply)) {
	wallTime := cs.wallTime(time.Now())
	window, err := calendar.ParseWindow(body, cs.limits(), wallTime)
	if err != nil {
		respond(errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	if existing := cs.calendar.Windows()[window.Name]; existing != nil {
		respond(cs.existingWindowReply(window, existing))
		return
	}
	cs.rebuild()
	plan, err := cs.calendar.PlanWindow(window, cs.maintenanceDrains.machinesByPool(window), wallTime)
	if err != nil {
		respond(errorReply(http.StatusConflict, err.Error()))
		return
	}
	txn, refused := cs.buildWindowTxn(window, plan)
	if refused != nil {
		respond(refused)
		return
	}
	cs.storeChange(txn.conds, txn.writes, func(version uint64, err error) {
		if err != nil {
			respond(errorReply(http.StatusRequestEntityTooLarge, err.Error()))
			return
		}
		respond(reply(http.StatusCreated, cs.addStoredWindow(plan, txn, version, wallTime)))
	})
}

// existingWindowReply returns the reply to a request whose window name is already in use.
// Repeating the request for the same window succeeds; a different window with this name is a
// conflict.
func (cs *calendarStore) existingWindowReply(window *calendar.Window, existing *calendar.PlannedWindow) *rpc.Reply {
	if calendar.SameWindow(window, existing.Window) {
		return reply(http.StatusOK, cs.windowStatus(window.Name))
	}
	return errorReply(http.StatusConflict, "name: a different window with this name exists; cancel it first")
}

// windowTxn is the transaction that stores a maintenance window together with the
// reservations that it changes.
type windowTxn struct {
	conds   []state.Condition
	writes  []state.Write
	changed []*calendar.Booking         // reservations that are moved or lose occurrences
	records map[string]*calendar.Record // their changed records, by name
}

// buildWindowTxn builds a single transaction for a window and the reservations that it
// changes. With separate transactions, a leader that fails between them would leave a window
// on machines whose reservations were not moved. If the window cannot be stored,
// buildWindowTxn returns the reply that refuses it.
func (cs *calendarStore) buildWindowTxn(window *calendar.Window, plan *calendar.WindowPlan) (txn *windowTxn, refused *rpc.Reply) {
	key := windowPrefix + window.Name
	put, err := state.Put(key, calendar.WindowRecord{Spec: *window, Closed: plan.Window.Closed})
	if err != nil || cs.tooLarge(put) {
		return nil, errorReply(http.StatusRequestEntityTooLarge, "the window exceeds the record size limit of the key-value store; name fewer machines")
	}
	txn = &windowTxn{
		conds:   []state.Condition{{Key: key}},
		writes:  []state.Write{put},
		changed: slices.Concat(plan.Moved, plan.Revoked),
		records: map[string]*calendar.Record{},
	}
	if limit := cs.controller.Settings.Facts.State.TxnOps - windowTxnBaseOps; len(txn.changed) > limit {
		return nil, errorReply(http.StatusConflict, fmt.Sprintf("the window would move %d reservations, but at most %d can be moved at once; plan smaller windows", len(txn.changed), limit))
	}
	for _, booking := range txn.changed {
		stored := cs.bookings[booking.Name]
		if stored.storing {
			return nil, finalRefusal(Unavailable("the outcome of an affected reservation is being stored"))
		}
		rec := stored.rec.WithBooking(booking)
		put, err := state.Put(bookingPrefix+booking.Name, rec)
		if err != nil {
			return nil, errorReply(http.StatusInternalServerError, err.Error())
		}
		txn.records[booking.Name] = rec
		txn.conds = append(txn.conds, state.Condition{Key: put.Put, Version: stored.version})
		txn.writes = append(txn.writes, put)
	}
	return txn, nil
}

// addStoredWindow adds a stored window to the calendar, updates the reservations that it
// changed, and returns its status.
func (cs *calendarStore) addStoredWindow(plan *calendar.WindowPlan, txn *windowTxn, version uint64, wallTime time.Time) calendar.WindowStatus {
	window := plan.Window
	cs.calendar.AddWindow(window)
	cs.windows[window.Name] = version
	for _, booking := range txn.changed {
		cs.addBooking(txn.records[booking.Name], booking, version)
	}
	status := plan.Status(wallTime)
	cs.maintenanceDrains.addMachineStatus(&status, window)
	cs.log.Info("maintenance window accepted", "window", window.Name, "start", time.UnixMilli(window.Span().From).UTC(), "machines", status.Machines,
		"moved_reservations", strings.Join(status.Moved, " "), "retired_reservations", strings.Join(status.Revoked, " "))
	return status
}

// cancel cancels a reservation or a window. A running job that claimed the reservation
// continues as a job without one.
func (cs *calendarStore) cancel(op *rpc.Operation, respond func(*rpc.Reply)) {
	if op.Window {
		cs.cancelWindow(op.Name, respond)
		return
	}
	cs.cancelReservation(op.Name, op.Team, respond)
}

// noSuchEntry is the error for a cancellation whose entry was deleted while the request was
// queued.
const noSuchEntry = "no reservation or window with this name"

// cancelWindow deletes a maintenance window. Drained machines accept tasks again.
func (cs *calendarStore) cancelWindow(name string, respond func(*rpc.Reply)) {
	if cs.windows[name] == 0 {
		respond(errorReply(http.StatusNotFound, noSuchEntry))
		return
	}
	status := cs.windowStatus(name)
	cs.deleteRecord(windowPrefix+name, cs.windows[name], func() {
		cs.removeWindow(name)
		cs.log.Info("maintenance window cancelled", "window", name)
		status.State = calendar.WindowCancelled
		respond(reply(http.StatusOK, status))
	})
}

// cancelReservation deletes a reservation on behalf of a team, or of an operator if team is
// empty.
func (cs *calendarStore) cancelReservation(name, team string, respond func(*rpc.Reply)) {
	stored := cs.bookings[name]
	switch {
	case stored == nil:
		respond(errorReply(http.StatusNotFound, noSuchEntry))
		return
	case stored.storing:
		respond(finalRefusal(Unavailable("the outcome of the reservation is being stored")))
		return
	}
	status := cs.status(name)
	cs.deleteRecord(bookingPrefix+name, stored.version, func() {
		cs.removeBooking(name)
		cs.log.Info("reservation cancelled", "reservation", name, "cancelled_by", team)
		status.State = calendar.ReservationCancelled
		respond(reply(http.StatusOK, status))
	})
}
