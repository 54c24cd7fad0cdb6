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

// handle answers a request about the calendar.
func (cs *calendarStore) handle(op *rpc.Operation, back func(*rpc.Reply)) {
	refuse := func(status int, why string) { back(reply(status, wire.Error{Error: why})) }
	switch {
	case !cs.enabled():
		refuse(http.StatusNotFound, "the calendar is switched off here")
	case len(cs.nameIndex.list()) == 0:
		back(Later("machine types are not known yet"))
	case op.Window && op.Team != "" && (op.Verb == rpc.VerbStart || op.Verb == rpc.VerbCancel):
		refuse(http.StatusForbidden, "maintenance is an operator's")
	case op.Verb == rpc.VerbList:
		back(reply(http.StatusOK, cs.page(op)))
	case op.Verb == rpc.VerbStart && op.Window:
		cs.change(func() { cs.plan(op.Spec, back) }, back)
	case op.Verb == rpc.VerbStart:
		cs.change(func() { cs.reserve(op.Spec, op.Team, back) }, back)
	case op.Window && cs.windows[op.Service] == 0:
		refuse(http.StatusNotFound, "no maintenance window of that name")
	case !op.Window && !cs.sees(op.Team, op.Service):
		refuse(http.StatusNotFound, "no reservation of that name")
	case op.Verb == rpc.VerbCancel:
		cs.change(func() { cs.cancel(op, back) }, back)
	case op.Window:
		back(reply(http.StatusOK, cs.windowStatus(op.Service)))
	default:
		back(reply(http.StatusOK, cs.status(op.Service)))
	}
}

// sees reports whether there is a reservation that the team may see.
func (cs *calendarStore) sees(team, name string) bool {
	b := cs.bookings[name]
	return b != nil && (team == "" || team == b.entry.Team)
}

// pageSize bounds the entries of one answer.
const pageSize = 50

// page lists entries by name, from after the given one on.
func (cs *calendarStore) page(op *rpc.Operation) any {
	var names []string
	if op.Window {
		names = slices.Collect(maps.Keys(cs.windows))
	} else {
		for name := range cs.bookings {
			if cs.sees(op.Team, name) {
				names = append(names, name)
			}
		}
	}
	names = slices.DeleteFunc(names, func(n string) bool { return n <= op.Service })
	slices.Sort(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	bookings, windows := []calendar.Status{}, []calendar.WindowStatus{}
	for _, n := range names {
		if op.Window {
			windows = append(windows, cs.windowStatus(n))
		} else {
			bookings = append(bookings, cs.status(n))
		}
	}
	if op.Window {
		return map[string]any{"windows": windows, "more": more}
	}
	return map[string]any{"reservations": bookings, "more": more}
}

func (cs *calendarStore) status(name string) calendar.Status {
	b := cs.bookings[name]
	s := calendar.NewStatus(b.rec, b.entry, cs.timeOfDay(time.Now()))
	s.Held = cs.reservationHolds.count(name)
	if len(s.Occurrences) > 0 {
		if j := cs.claims[claim{name, s.Occurrences[0].From}]; j != nil {
			s.Claimer = j.ID
		}
	}
	return s
}

func (cs *calendarStore) windowStatus(name string) calendar.WindowStatus {
	p := cs.cal.Windows()[name]
	s := calendar.NewWindowStatus(p, cs.timeOfDay(time.Now()))
	s.Machines, s.Busy, s.Late = cs.maintenanceDrains.state(p)
	return s
}

// reserve takes in a reservation, if it fits.
func (cs *calendarStore) reserve(body []byte, team string, back func(*rpc.Reply)) {
	refuse := func(status int, why string) { back(reply(status, wire.Error{Error: why})) }
	at := cs.timeOfDay(time.Now())
	r, err := calendar.ParseReservation(body, cs.limits(), at)
	if err != nil {
		refuse(http.StatusBadRequest, err.Error())
		return
	}
	if team != "" && team != r.Team {
		refuse(http.StatusForbidden, "team: a reservation is made by its own team")
		return
	}
	if b := cs.bookings[r.Name]; b != nil {
		if calendar.SameReservation(r, b.entry.Reservation) {
			back(reply(http.StatusOK, cs.status(r.Name))) // the same request once more
			return
		}
		refuse(http.StatusConflict, "name: there is another reservation of that name; cancel it first")
		return
	}
	cs.remake()
	e, err := cs.cal.Fit(r, at)
	if err != nil {
		refuse(http.StatusConflict, err.Error())
		return
	}
	key, rec := bookingPrefix+r.Name, calendar.NewRecord(e, at)
	put, err := state.Put(key, rec)
	if err != nil || cs.tooLarge(put) {
		refuse(http.StatusRequestEntityTooLarge, "the reservation is too large to be stored")
		return
	}
	cs.store([]state.Cond{{Key: key}}, []state.Write{put}, func(v uint64, err error) {
		if err != nil {
			refuse(http.StatusRequestEntityTooLarge, err.Error())
		} else {
			cs.adopt(rec, e, v)
			cs.log.Info("reservation is taken in", "reservation", r.Name, "team", r.Team, "parts", r.Parts, "occurrences", len(r.Spans()), "machines", e.Allocations)
			back(reply(http.StatusCreated, cs.status(r.Name)))
		}
	})
}

// tooLarge reports whether a record exceeds what the state service takes.
func (cs *calendarStore) tooLarge(w state.Write) bool {
	return float64(recordSize(w.Value)) > cs.c.Settings.Facts.State.ValueKB*1024*pageShare
}

// plan takes in a maintenance window, and moves the reservations on its machines.
func (cs *calendarStore) plan(body []byte, back func(*rpc.Reply)) {
	refuse := func(status int, why string) { back(reply(status, wire.Error{Error: why})) }
	at := cs.timeOfDay(time.Now())
	w, err := calendar.ParseWindow(body, cs.limits(), at)
	if err != nil {
		refuse(http.StatusBadRequest, err.Error())
		return
	}
	if p := cs.cal.Windows()[w.Name]; p != nil {
		back(cs.windowAgain(w, p))
		return
	}
	cs.remake()
	a, err := cs.cal.PlanWindow(w, cs.maintenanceDrains.machinesOf(w), at)
	if err != nil {
		refuse(http.StatusConflict, err.Error())
		return
	}
	change, refusal := cs.windowChange(w, a)
	if refusal != nil {
		back(refusal)
		return
	}
	cs.store(change.conds, change.writes, func(v uint64, err error) {
		if err != nil {
			refuse(http.StatusRequestEntityTooLarge, err.Error())
		} else {
			cs.windowStored(w, a, at, change, v, back)
		}
	})
}

// windowAgain answers a window whose name is taken: the same window once more is
// an idempotent request, another one of that name a conflict.
func (cs *calendarStore) windowAgain(w *calendar.Window, p *calendar.PlannedWindow) *rpc.Reply {
	if calendar.SameWindow(w, p.Window) {
		return reply(http.StatusOK, cs.windowStatus(w.Name))
	}
	return reply(http.StatusConflict, wire.Error{Error: "name: there is another window of that name; cancel it first"})
}

// windowTxn is the transaction that stores a maintenance window together with
// the reservations that it moves.
type windowTxn struct {
	conds   []state.Cond
	writes  []state.Write
	touched []*calendar.Booking         // reservations moved or lost
	next    map[string]*calendar.Record // their records once moved, by name
}

// windowChange builds the one transaction of a window and of the reservations
// that it moves; refusal is set if it cannot be stored.
func (cs *calendarStore) windowChange(w *calendar.Window, a *calendar.WindowPlan) (change *windowTxn, refusal *rpc.Reply) {
	key := windowPrefix + w.Name
	put, err := state.Put(key, calendar.WindowRecord{Spec: *w, Closed: a.Window.Closed})
	if err != nil || cs.tooLarge(put) {
		return nil, reply(http.StatusRequestEntityTooLarge, wire.Error{Error: "the window is too large to be stored; name fewer machines"})
	}
	// All of it in one transaction: a leader that ends in between must not leave a
	// window over reservations that were never moved.
	change = &windowTxn{conds: []state.Cond{{Key: key}}, writes: []state.Write{put}, touched: slices.Concat(a.Moved, a.Revoked)}
	if most := cs.c.Settings.Facts.State.TxnOps - 2; len(change.touched) > most {
		why := fmt.Sprintf("%d reservations would have to move, and at most %d can at once; plan smaller windows", len(change.touched), most)
		return nil, reply(http.StatusConflict, wire.Error{Error: why})
	}
	change.next = map[string]*calendar.Record{}
	for _, e := range change.touched {
		b := cs.bookings[e.Name]
		if b.writing {
			return nil, settled(Later("a reservation is being stored"))
		}
		change.next[e.Name] = b.rec.WithBooking(e)
		p, err := state.Put(bookingPrefix+e.Name, change.next[e.Name])
		if err != nil {
			return nil, reply(http.StatusInternalServerError, wire.Error{Error: err.Error()})
		}
		change.conds, change.writes = append(change.conds, state.Cond{Key: p.Put, Version: b.version}), append(change.writes, p)
	}
	return change, nil
}

// windowStored takes in a window once it is stored, with the reservations that
// it moved, and answers with its status.
func (cs *calendarStore) windowStored(w *calendar.Window, a *calendar.WindowPlan, at time.Time, change *windowTxn, v uint64, back func(*rpc.Reply)) {
	cs.cal.AddWindow(a.Window)
	cs.windows[w.Name] = v
	for _, e := range change.touched {
		cs.adopt(change.next[e.Name], e, v)
	}
	s := a.Status(at)
	s.Machines, s.Busy, s.Late = cs.maintenanceDrains.state(a.Window)
	cs.log.Info("maintenance window is taken in", "window", w.Name, "start", time.UnixMilli(w.Span().From).UTC(), "machines", s.Machines,
		"moved", strings.Join(s.Moved, " "), "retired", strings.Join(s.Retired, " "))
	back(reply(http.StatusCreated, s))
}

// cancel removes a reservation or a window. What runs goes on as ordinary work.
func (cs *calendarStore) cancel(op *rpc.Operation, back func(*rpc.Reply)) {
	gone := reply(http.StatusNotFound, wire.Error{Error: "no entry of that name"})
	if op.Window {
		if cs.windows[op.Service] == 0 {
			back(gone)
			return
		}
		s := cs.windowStatus(op.Service)
		cs.remove(windowPrefix+op.Service, cs.windows[op.Service], func() {
			cs.forgetWindow(op.Service)
			cs.log.Info("maintenance window is cancelled", "window", op.Service)
			s.State = "cancelled"
			back(reply(http.StatusOK, s))
		})
		return
	}
	b := cs.bookings[op.Service]
	switch {
	case b == nil:
		back(gone)
		return
	case b.writing:
		back(settled(Later("the reservation is being stored")))
		return
	}
	s := cs.status(op.Service)
	cs.remove(bookingPrefix+op.Service, b.version, func() {
		cs.forget(op.Service)
		cs.log.Info("reservation is cancelled", "reservation", op.Service, "by", op.Team)
		s.State = "cancelled"
		back(reply(http.StatusOK, s))
	})
}
