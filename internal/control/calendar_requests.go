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

// errorReply is the reply to a request that is refused.
func errorReply(status int, reason string) *rpc.Reply {
	return reply(status, wire.Error{Error: reason})
}

// handleOperation answers a request about the calendar.
func (cs *calendarStore) handleOperation(op *rpc.Operation, back func(*rpc.Reply)) {
	switch {
	case !cs.enabled():
		back(errorReply(http.StatusNotFound, "the calendar is switched off here"))
	case len(cs.nameIndex.machineTypes()) == 0:
		back(Unavailable("machine types are not known yet"))
	case op.Window && op.Team != "" && (op.Verb == rpc.VerbStart || op.Verb == rpc.VerbCancel):
		back(errorReply(http.StatusForbidden, "maintenance is an operator's"))
	case op.Verb == rpc.VerbList:
		back(reply(http.StatusOK, cs.listPage(op)))
	case op.Verb == rpc.VerbStart && op.Window:
		cs.queueChange(func() { cs.planWindow(op.Spec, back) }, back)
	case op.Verb == rpc.VerbStart:
		cs.queueChange(func() { cs.reserve(op.Spec, op.Team, back) }, back)
	case op.Window && cs.windows[op.Name] == 0:
		back(errorReply(http.StatusNotFound, "no maintenance window of that name"))
	case !op.Window && !cs.visible(op.Team, op.Name):
		back(errorReply(http.StatusNotFound, "no reservation of that name"))
	case op.Verb == rpc.VerbCancel:
		cs.queueChange(func() { cs.cancel(op, back) }, back)
	case op.Window:
		back(reply(http.StatusOK, cs.windowStatus(op.Name)))
	default:
		back(reply(http.StatusOK, cs.status(op.Name)))
	}
}

// visible reports whether there is a reservation of that name that a team may see; empty:
// an operator, who sees all.
func (cs *calendarStore) visible(team, name string) bool {
	b := cs.bookings[name]
	return b != nil && (team == "" || team == b.booking.Team)
}

// pageSize bounds the reservations or windows of one reply.
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

// listPage lists reservations or windows by name, those after the name in the request.
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

// nextPage returns the first names after the given one, in order, and whether there are
// more of them.
func nextPage(names []string, after string) (page []string, more bool) {
	names = slices.DeleteFunc(names, func(n string) bool { return n <= after })
	slices.Sort(names)
	return names[:min(len(names), pageSize)], len(names) > pageSize
}

// status is what a team is shown of a reservation.
func (cs *calendarStore) status(name string) calendar.Status {
	b := cs.bookings[name]
	s := calendar.NewStatus(b.rec, b.booking, cs.timeOfDay(time.Now()))
	s.Held = cs.reservationHolds.heldMachines(name)
	if len(s.Occurrences) > 0 {
		if j := cs.claims[occurrence{name, s.Occurrences[0].From}]; j != nil {
			s.Claimer = j.ID
		}
	}
	return s
}

// windowStatus is what an operator is shown of a maintenance window.
func (cs *calendarStore) windowStatus(name string) calendar.WindowStatus {
	w := cs.calendar.Windows()[name]
	s := calendar.NewWindowStatus(w, cs.timeOfDay(time.Now()))
	cs.maintenanceDrains.addMachineStatus(&s, w)
	return s
}

// reserve accepts and stores a reservation if it fits.
func (cs *calendarStore) reserve(body []byte, team string, back func(*rpc.Reply)) {
	timeOfDay := cs.timeOfDay(time.Now())
	r, err := calendar.ParseReservation(body, cs.limits(), timeOfDay)
	if err != nil {
		back(errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	if team != "" && team != r.Team {
		back(errorReply(http.StatusForbidden, "team: a reservation is made by its own team"))
		return
	}
	if b := cs.bookings[r.Name]; b != nil {
		back(cs.existingReservationReply(r, b))
		return
	}
	cs.rebuild()
	b, err := cs.calendar.Fit(r, timeOfDay)
	if err != nil {
		back(errorReply(http.StatusConflict, err.Error()))
		return
	}
	key := bookingPrefix + r.Name
	rec := calendar.NewRecord(b, timeOfDay)
	put, err := state.Put(key, rec)
	if err != nil || cs.tooLarge(put) {
		back(errorReply(http.StatusRequestEntityTooLarge, "the reservation is too large to be stored"))
		return
	}
	absent := []state.Condition{{Key: key}}
	cs.storeChange(absent, []state.Write{put}, func(version uint64, err error) {
		if err != nil {
			back(errorReply(http.StatusRequestEntityTooLarge, err.Error()))
			return
		}
		cs.addBooking(rec, b, version)
		cs.log.Info("reservation accepted", "reservation", r.Name, "team", r.Team, "parts", r.Parts, "occurrences", len(r.Spans()), "allocations", b.Allocations)
		back(reply(http.StatusCreated, cs.status(r.Name)))
	})
}

// existingReservationReply answers a reservation whose name is taken: the same reservation once
// more is an idempotent request, another one of that name a conflict.
func (cs *calendarStore) existingReservationReply(r *calendar.Reservation, existing *storedBooking) *rpc.Reply {
	if calendar.SameReservation(r, existing.booking.Reservation) {
		return reply(http.StatusOK, cs.status(r.Name))
	}
	return errorReply(http.StatusConflict, "name: there is another reservation of that name; cancel it first")
}

// tooLarge reports whether a record exceeds what the key-value store accepts.
func (cs *calendarStore) tooLarge(w state.Write) bool {
	return float64(recordSize(w.Value)) > cs.controller.Settings.Facts.State.ValueKB*bytesPerKB*valueFillFraction
}

const (
	bytesPerKB = 1024
	// windowTxnBaseOps are the operations of a transaction that planning a window needs besides
	// one for each reservation that moves: the window's record and changesKey.
	windowTxnBaseOps = 2
)

// planWindow accepts and stores a maintenance window, and moves the reservations on its
// machines.
func (cs *calendarStore) planWindow(body []byte, back func(*rpc.Reply)) {
	timeOfDay := cs.timeOfDay(time.Now())
	w, err := calendar.ParseWindow(body, cs.limits(), timeOfDay)
	if err != nil {
		back(errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	if existing := cs.calendar.Windows()[w.Name]; existing != nil {
		back(cs.existingWindowReply(w, existing))
		return
	}
	cs.rebuild()
	plan, err := cs.calendar.PlanWindow(w, cs.maintenanceDrains.machinesByPool(w), timeOfDay)
	if err != nil {
		back(errorReply(http.StatusConflict, err.Error()))
		return
	}
	txn, refused := cs.buildWindowTxn(w, plan)
	if refused != nil {
		back(refused)
		return
	}
	cs.storeChange(txn.conds, txn.writes, func(version uint64, err error) {
		if err != nil {
			back(errorReply(http.StatusRequestEntityTooLarge, err.Error()))
			return
		}
		back(reply(http.StatusCreated, cs.addStoredWindow(plan, txn, version, timeOfDay)))
	})
}

// existingWindowReply answers a window whose name is taken: the same window once more is an
// idempotent request, another one of that name a conflict.
func (cs *calendarStore) existingWindowReply(w *calendar.Window, existing *calendar.PlannedWindow) *rpc.Reply {
	if calendar.SameWindow(w, existing.Window) {
		return reply(http.StatusOK, cs.windowStatus(w.Name))
	}
	return errorReply(http.StatusConflict, "name: there is another window of that name; cancel it first")
}

// windowTxn is the transaction that stores a maintenance window together with the
// reservations that it moves.
type windowTxn struct {
	conds   []state.Condition
	writes  []state.Write
	changed []*calendar.Booking         // reservations that move or lose occurrences
	records map[string]*calendar.Record // their changed records, by name
}

// buildWindowTxn builds the one transaction of a window and of the reservations that it moves: a
// leader that ends in between must not leave a window over reservations that never moved.
// Refused is the reply if it cannot be stored.
func (cs *calendarStore) buildWindowTxn(w *calendar.Window, plan *calendar.WindowPlan) (txn *windowTxn, refused *rpc.Reply) {
	key := windowPrefix + w.Name
	put, err := state.Put(key, calendar.WindowRecord{Spec: *w, Closed: plan.Window.Closed})
	if err != nil || cs.tooLarge(put) {
		return nil, errorReply(http.StatusRequestEntityTooLarge, "the window is too large to be stored; name fewer machines")
	}
	txn = &windowTxn{
		conds:   []state.Condition{{Key: key}},
		writes:  []state.Write{put},
		changed: slices.Concat(plan.Moved, plan.Revoked),
		records: map[string]*calendar.Record{},
	}
	if limit := cs.controller.Settings.Facts.State.TxnOps - windowTxnBaseOps; len(txn.changed) > limit {
		return nil, errorReply(http.StatusConflict, fmt.Sprintf("%d reservations would have to move, and at most %d can at once; plan smaller windows", len(txn.changed), limit))
	}
	for _, b := range txn.changed {
		stored := cs.bookings[b.Name]
		if stored.storing {
			return nil, finalRefusal(Unavailable("a reservation is being stored"))
		}
		rec := stored.rec.WithBooking(b)
		put, err := state.Put(bookingPrefix+b.Name, rec)
		if err != nil {
			return nil, errorReply(http.StatusInternalServerError, err.Error())
		}
		txn.records[b.Name] = rec
		txn.conds = append(txn.conds, state.Condition{Key: put.Put, Version: stored.version})
		txn.writes = append(txn.writes, put)
	}
	return txn, nil
}

// addStoredWindow adds a stored window to the calendar, with the reservations that it moved,
// and returns its status.
func (cs *calendarStore) addStoredWindow(plan *calendar.WindowPlan, txn *windowTxn, version uint64, timeOfDay time.Time) calendar.WindowStatus {
	w := plan.Window
	cs.calendar.AddWindow(w)
	cs.windows[w.Name] = version
	for _, b := range txn.changed {
		cs.addBooking(txn.records[b.Name], b, version)
	}
	s := plan.Status(timeOfDay)
	cs.maintenanceDrains.addMachineStatus(&s, w)
	cs.log.Info("maintenance window accepted", "window", w.Name, "start", time.UnixMilli(w.Span().From).UTC(), "machines", s.Machines,
		"moved_reservations", strings.Join(s.Moved, " "), "retired_reservations", strings.Join(s.Retired, " "))
	return s
}

// cancel cancels a reservation or a window. Running jobs go on as ordinary work.
func (cs *calendarStore) cancel(op *rpc.Operation, back func(*rpc.Reply)) {
	if op.Window {
		cs.cancelWindow(op.Name, back)
		return
	}
	cs.cancelReservation(op.Name, op.Team, back)
}

// noSuchEntry answers a cancellation that was queued behind another one of the same entry.
const noSuchEntry = "no entry of that name"

// cancelWindow deletes a maintenance window. Machines that were drained take work again.
func (cs *calendarStore) cancelWindow(name string, back func(*rpc.Reply)) {
	if cs.windows[name] == 0 {
		back(errorReply(http.StatusNotFound, noSuchEntry))
		return
	}
	s := cs.windowStatus(name)
	cs.deleteRecord(windowPrefix+name, cs.windows[name], func() {
		cs.removeWindow(name)
		cs.log.Info("maintenance window cancelled", "window", name)
		s.State = calendar.WindowCancelled
		back(reply(http.StatusOK, s))
	})
}

// cancelReservation deletes a reservation for a team; empty: an operator.
func (cs *calendarStore) cancelReservation(name, team string, back func(*rpc.Reply)) {
	b := cs.bookings[name]
	switch {
	case b == nil:
		back(errorReply(http.StatusNotFound, noSuchEntry))
		return
	case b.storing:
		back(finalRefusal(Unavailable("the reservation is being stored")))
		return
	}
	s := cs.status(name)
	cs.deleteRecord(bookingPrefix+name, b.version, func() {
		cs.removeBooking(name)
		cs.log.Info("reservation cancelled", "reservation", name, "cancelled_by", team)
		s.State = calendar.ReservationCancelled
		back(reply(http.StatusOK, s))
	})
}
