package control

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/peer"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// operate answers a request about the calendar.
func (ag *calendarStore) operate(op *peer.Operation, back func(*peer.Reply)) {
	refuse := func(status int, why string) { back(reply(status, wire.Error{Error: why})) }
	switch {
	case !ag.on():
		refuse(http.StatusNotFound, "the calendar is switched off here")
	case len(ag.names.list()) == 0:
		back(Later("machine types are not known yet"))
	case op.Window && op.Team != "" && (op.Verb == peer.VerbStart || op.Verb == peer.VerbCancel):
		refuse(http.StatusForbidden, "maintenance is an operator's")
	case op.Verb == peer.VerbList:
		back(reply(http.StatusOK, ag.page(op)))
	case op.Verb == peer.VerbStart && op.Window:
		ag.change(func() { ag.plan(op.Spec, back) }, back)
	case op.Verb == peer.VerbStart:
		ag.change(func() { ag.reserve(op.Spec, op.Team, back) }, back)
	case op.Window && ag.windows[op.Service] == 0:
		refuse(http.StatusNotFound, "no maintenance window of that name")
	case !op.Window && !ag.sees(op.Team, op.Service):
		refuse(http.StatusNotFound, "no reservation of that name")
	case op.Verb == peer.VerbCancel:
		ag.change(func() { ag.cancel(op, back) }, back)
	case op.Window:
		back(reply(http.StatusOK, ag.windowStatus(op.Service)))
	default:
		back(reply(http.StatusOK, ag.status(op.Service)))
	}
}

// sees reports whether there is a reservation that the team may see.
func (ag *calendarStore) sees(team, name string) bool {
	b := ag.bookings[name]
	return b != nil && (team == "" || team == b.entry.Team)
}

// pageSize bounds the entries of one answer.
const pageSize = 50

// page lists entries by name, from after the given one on.
func (ag *calendarStore) page(op *peer.Operation) any {
	var names []string
	if op.Window {
		names = slices.Collect(maps.Keys(ag.windows))
	} else {
		for name := range ag.bookings {
			if ag.sees(op.Team, name) {
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
			windows = append(windows, ag.windowStatus(n))
		} else {
			bookings = append(bookings, ag.status(n))
		}
	}
	if op.Window {
		return map[string]any{"windows": windows, "more": more}
	}
	return map[string]any{"reservations": bookings, "more": more}
}

func (ag *calendarStore) status(name string) calendar.Status {
	b := ag.bookings[name]
	s := calendar.Tell(b.rec, b.entry, ag.clock(time.Now()))
	s.Held = ag.holds.count(name)
	if len(s.Ahead) > 0 {
		if j := ag.claims[claim{name, s.Ahead[0].From}]; j != nil {
			s.Claimer = j.ID
		}
	}
	return s
}

func (ag *calendarStore) windowStatus(name string) calendar.WindowStatus {
	p := ag.cal.Windows()[name]
	s := calendar.TellWindow(p, ag.clock(time.Now()))
	s.Machines, s.Busy, s.Late = ag.drains.state(p)
	return s
}

// reserve takes in a reservation, if it fits.
func (ag *calendarStore) reserve(body []byte, team string, back func(*peer.Reply)) {
	refuse := func(status int, why string) { back(reply(status, wire.Error{Error: why})) }
	at := ag.clock(time.Now())
	r, err := calendar.ParseReservation(body, ag.limits(), at)
	if err != nil {
		refuse(http.StatusBadRequest, err.Error())
		return
	}
	if team != "" && team != r.Team {
		refuse(http.StatusForbidden, "team: a reservation is made by its own team")
		return
	}
	if b := ag.bookings[r.Name]; b != nil {
		if calendar.Same(r, b.entry.Reservation) {
			back(reply(http.StatusOK, ag.status(r.Name))) // the same request once more
			return
		}
		refuse(http.StatusConflict, "name: there is another reservation of that name; cancel it first")
		return
	}
	ag.remake()
	e, err := ag.cal.Fit(r, at)
	if err != nil {
		refuse(http.StatusConflict, err.Error())
		return
	}
	key, rec := bookingPrefix+r.Name, calendar.NewRecord(e, at)
	put, err := state.Put(key, rec)
	if err != nil || ag.tooLarge(put) {
		refuse(http.StatusRequestEntityTooLarge, "the reservation is too large to be stored")
		return
	}
	ag.store([]state.Cond{{Key: key}}, []state.Write{put}, func(v uint64, err error) {
		if err != nil {
			refuse(http.StatusRequestEntityTooLarge, err.Error())
		} else {
			ag.adopt(rec, e, v)
			ag.log.Info("reservation is taken in", "reservation", r.Name, "team", r.Team, "parts", r.Parts, "occurrences", len(r.Spans()), "machines", e.Shares)
			back(reply(http.StatusCreated, ag.status(r.Name)))
		}
	})
}

// tooLarge reports whether a record exceeds what the state service takes.
func (ag *calendarStore) tooLarge(w state.Write) bool {
	return float64(recordSize(w.Value)) > ag.c.Settings.Facts.State.ValueKB*1024*pageShare
}

// plan takes in a maintenance window, and moves the reservations on its machines.
func (ag *calendarStore) plan(body []byte, back func(*peer.Reply)) {
	refuse := func(status int, why string) { back(reply(status, wire.Error{Error: why})) }
	at := ag.clock(time.Now())
	w, err := calendar.ParseWindow(body, ag.limits(), at)
	if err != nil {
		refuse(http.StatusBadRequest, err.Error())
		return
	}
	if p := ag.cal.Windows()[w.Name]; p != nil {
		if calendar.SameWindow(w, p.Window) {
			back(reply(http.StatusOK, ag.windowStatus(w.Name)))
			return
		}
		refuse(http.StatusConflict, "name: there is another window of that name; cancel it first")
		return
	}
	ag.remake()
	a, err := ag.cal.Announce(w, ag.drains.machinesOf(w), at)
	if err != nil {
		refuse(http.StatusConflict, err.Error())
		return
	}
	key := windowPrefix + w.Name
	put, err := state.Put(key, calendar.WindowRecord{Spec: *w, Closes: a.Plan.Closes})
	if err != nil || ag.tooLarge(put) {
		refuse(http.StatusRequestEntityTooLarge, "the window is too large to be stored; name fewer machines")
		return
	}
	// All of it in one transaction: a leader that ends in between must not leave a
	// window over reservations that were never moved.
	conds, writes := []state.Cond{{Key: key}}, []state.Write{put}
	touched := slices.Concat(a.Moved, a.Lost)
	if most := ag.c.Settings.Facts.State.TxnOps - 2; len(touched) > most {
		refuse(http.StatusConflict, fmt.Sprintf("%d reservations would have to move, and at most %d can at once; plan smaller windows", len(touched), most))
		return
	}
	next := map[string]*calendar.Record{}
	for _, e := range touched {
		b := ag.bookings[e.Name]
		if b.writing {
			back(settled(Later("a reservation is being stored")))
			return
		}
		next[e.Name] = b.rec.Moved(e)
		p, err := state.Put(bookingPrefix+e.Name, next[e.Name])
		if err != nil {
			refuse(http.StatusInternalServerError, err.Error())
			return
		}
		conds, writes = append(conds, state.Cond{Key: p.Put, Version: b.version}), append(writes, p)
	}
	ag.store(conds, writes, func(v uint64, err error) {
		if err != nil {
			refuse(http.StatusRequestEntityTooLarge, err.Error())
		} else {
			ag.cal.AddWindow(a.Plan)
			ag.windows[w.Name] = v
			for _, e := range touched {
				ag.adopt(next[e.Name], e, v)
			}
			s := a.Tell(at)
			s.Machines, s.Busy, s.Late = ag.drains.state(a.Plan)
			ag.log.Info("maintenance window is taken in", "window", w.Name, "start", time.UnixMilli(w.Span().From).UTC(), "machines", s.Machines,
				"moved", strings.Join(s.Moved, " "), "retired", strings.Join(s.Retired, " "))
			back(reply(http.StatusCreated, s))
		}
	})
}

// cancel removes a reservation or a window. What runs goes on as ordinary work.
func (ag *calendarStore) cancel(op *peer.Operation, back func(*peer.Reply)) {
	gone := reply(http.StatusNotFound, wire.Error{Error: "no entry of that name"})
	if op.Window {
		if ag.windows[op.Service] == 0 {
			back(gone)
			return
		}
		s := ag.windowStatus(op.Service)
		ag.remove(windowPrefix+op.Service, ag.windows[op.Service], func() {
			ag.forgetWindow(op.Service)
			ag.log.Info("maintenance window is cancelled", "window", op.Service)
			s.State = "cancelled"
			back(reply(http.StatusOK, s))
		})
		return
	}
	b := ag.bookings[op.Service]
	switch {
	case b == nil:
		back(gone)
		return
	case b.writing:
		back(settled(Later("the reservation is being stored")))
		return
	}
	s := ag.status(op.Service)
	ag.remove(bookingPrefix+op.Service, b.version, func() {
		ag.forget(op.Service)
		ag.log.Info("reservation is cancelled", "reservation", op.Service, "by", op.Team)
		s.State = "cancelled"
		back(reply(http.StatusOK, s))
	})
}
