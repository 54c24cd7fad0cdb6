package control

import (
	"slices"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// maintenanceDrains empty machines before their maintenance and hand them back at its start.
// What is to be done follows from the windows and the time of day: a leader that
// comes late does what is left of it, and nothing once the window is over.
type maintenanceDrains struct {
	*core
	nameIndex        *nameIndex
	jobTable         *jobTable
	calendarStore    *calendarStore
	reservationHolds *reservationHolds
	taskTracker      *taskTracker

	// next is the first window, not over, of each machine that has one.
	next   map[*fleet.Host]*calendar.PlannedWindow
	looked time.Time
	// late are placements that are not expected to end in time and cannot save.
	late map[*fleet.Slot]bool
	told map[string]string // state of each window that was logged last
}

func newMaintenanceDrains(co *core) *maintenanceDrains {
	dr := &maintenanceDrains{core: co}
	dr.reset()
	return dr
}

func (dr *maintenanceDrains) reset() {
	dr.next, dr.late, dr.told, dr.looked = map[*fleet.Host]*calendar.PlannedWindow{}, map[*fleet.Slot]bool{}, map[string]string{}, time.Time{}
}

// enabled reports whether machines are drained.
func (dr *maintenanceDrains) enabled() bool {
	return dr.calendarStore.enabled() && dr.c.Tuning.Calendar.Drain
}

// takes reports whether a window is about a machine.
func (dr *maintenanceDrains) takes(p *calendar.Window, h *fleet.Host) bool {
	t := dr.nameIndex.typeOf(h)
	return t != nil && h.Zone >= 0 && p.Covers(h.Name, h.Addr, t.Name, dr.nameIndex.zoneNames()[h.Zone])
}

// machinesOf counts the machines that a window names, by type and zone; nil for one
// that is about all of some kind.
func (dr *maintenanceDrains) machinesOf(w *calendar.Window) []calendar.Allocation {
	if !w.NamesMachines() {
		return nil
	}
	var out []calendar.Allocation
	for _, h := range dr.fleet.All() {
		if h.Releasing || !dr.takes(w, h) {
			continue
		}
		typ, zone := dr.nameIndex.typeOf(h).Name, dr.nameIndex.zoneNames()[h.Zone]
		i := slices.IndexFunc(out, func(s calendar.Allocation) bool { return s.Type == typ && s.Zone == zone })
		if i < 0 {
			out, i = append(out, calendar.Allocation{Type: typ, Zone: zone}), len(out)
		}
		out[i].Machines++
	}
	return out
}

// lookEvery spaces the looks at which machine is in which window.
const lookEvery = time.Second

// look finds the machines' windows.
func (dr *maintenanceDrains) look(now time.Time) {
	if now.Sub(dr.looked) < lookEvery {
		return
	}
	dr.looked = now
	clear(dr.next)
	at := dr.calendarStore.timeOfDay(now).UnixMilli()
	for _, p := range dr.calendarStore.windowsByName() {
		if p.Span().To <= at {
			continue
		}
		for _, h := range dr.fleet.All() {
			if was := dr.next[h]; (was == nil || p.Span().From < was.Span().From) && dr.takes(p.Window, h) {
				dr.next[h] = p
			}
		}
	}
}

// windowOf is a machine's next window; nil: it has none.
func (dr *maintenanceDrains) windowOf(h *fleet.Host, now time.Time) *calendar.PlannedWindow {
	if !dr.enabled() || !dr.calendarStore.hasWindows() {
		return nil
	}
	dr.look(now)
	return dr.next[h]
}

// spares reports whether a machine stays out of maintenance for a span.
func (dr *maintenanceDrains) spares(h *fleet.Host, s calendar.Span) bool {
	p := dr.windowOf(h, time.Now())
	return p == nil || !p.Span().Overlaps(s)
}

// handBack is how long before the start a machine is to be empty: its worker has to
// tell so.
func (dr *maintenanceDrains) handBack() time.Duration { return 2*dr.reportTime() + time.Second }

// annotate tells the plan when a machine leaves.
func (dr *maintenanceDrains) annotate(m *place.Machine, h *fleet.Host, now time.Time) {
	p := dr.windowOf(h, now)
	if p == nil {
		return
	}
	at := dr.calendarStore.timeOfDay(now)
	m.Leaves, m.LeavesIn = true, time.UnixMilli(p.Span().From).Add(-dr.handBack()).Sub(at).Seconds()
	m.Draining = at.UnixMilli() >= p.DrainAt()
}

// poolClosed reports whether machines of a type in a zone would only be returned again.
func (dr *maintenanceDrains) poolClosed(typ, zone string, now time.Time) bool {
	if !dr.enabled() {
		return false
	}
	at := dr.calendarStore.timeOfDay(now).UnixMilli()
	for _, p := range dr.calendarStore.windowsByName() {
		if p.ClosesPool(typ, zone) && at >= p.DrainAt() && at < p.Span().To {
			return true
		}
	}
	return false
}

// started reports whether a machine's maintenance has begun.
func (dr *maintenanceDrains) started(h *fleet.Host, now time.Time) bool {
	p := dr.windowOf(h, now)
	return p != nil && dr.calendarStore.timeOfDay(now).UnixMilli() >= p.Span().From
}

// step moves what can be moved, and stops at last what has not ended.
func (dr *maintenanceDrains) step(now time.Time) {
	if !dr.enabled() || !dr.calendarStore.hasWindows() {
		return
	}
	dr.look(now)
	at := dr.calendarStore.timeOfDay(now)
	for s := range dr.late {
		if !s.On() || s.Stopping || dr.next[s.Host] == nil {
			delete(dr.late, s)
			s.Job.Notice = ""
		}
	}
	for h, p := range dr.next {
		if at.UnixMilli() >= p.DrainAt() && !h.Lost {
			dr.empty(h, p, at, now)
		}
	}
	for name, p := range dr.calendarStore.windowsByName() {
		dr.tell(name, p, at)
	}
}

// tell logs each state of a window once.
func (dr *maintenanceDrains) tell(name string, p *calendar.PlannedWindow, at time.Time) {
	s := calendar.NewWindowStatus(p, at)
	if s.State == "planned" || dr.told[name] == s.State {
		return
	}
	dr.told[name] = s.State
	all, busy, late := dr.state(p)
	dr.log.Info("maintenance", "window", name, "state", s.State, "machines", all, "busy", busy, "late", len(late))
}

// empty lets a machine's work end, moves it or stops it, as the time that is left
// demands.
func (dr *maintenanceDrains) empty(h *fleet.Host, p *calendar.PlannedWindow, at, now time.Time) {
	left := time.UnixMilli(p.Span().From).Add(-dr.handBack()).Sub(at).Seconds()
	for _, s := range h.Slots {
		if !s.On() || s.Stopping {
			continue
		}
		if !s.Sent {
			dr.taskTracker.handle(dr.taskTracker.fleet.Stop(s, 0), now)
			continue
		}
		save := saveGrace(s.Job)
		switch {
		case s.Job.Shape == job.Service:
			// One replica of a service at a time, so that the others serve on.
			if left <= save+dr.handBack().Seconds() || dr.serving(s.Job) >= replicas(s.Job) {
				dr.stop(s, save, h, p)
			}
		case dr.reservationHolds.maxRemainingSeconds(s, now) <= left:
			// It ends in time.
		case save > 0:
			dr.stop(s, save, h, p) // early: it goes on elsewhere
		case left <= 0:
			dr.stop(s, 0, h, p)
		case !dr.late[s]:
			dr.late[s] = true
			s.Job.Notice = "maintenance of " + h.Name + " at " + time.UnixMilli(p.Span().From).UTC().Format(time.RFC3339) + " may stop " + job.TaskName(s.Job.ID, s.Task)
			dr.log.Info("task may be cut off by maintenance", "task", job.TaskName(s.Job.ID, s.Task), "host", h.Name, "window", p.Name, "in_s", left)
		}
	}
}

// serving counts the replicas that run and are to go on. Those that are told to stop
// still run until their worker says so: counted, they let all of a machine go at once.
func (dr *maintenanceDrains) serving(j *job.Job) (n int) {
	for s := range dr.fleet.On(j) {
		if s.Phase == wire.Running && !s.Stopping {
			n++
		}
	}
	return n
}

// replicas is how many replicas of a service are to run.
func replicas(j *job.Job) int {
	n := 0
	for t := range int32(j.Tasks) {
		if j.May(t) {
			n++
		}
	}
	return n
}

func (dr *maintenanceDrains) stop(s *fleet.Slot, grace float64, h *fleet.Host, p *calendar.PlannedWindow) {
	dr.log.Info("moving a task for maintenance", "task", job.TaskName(s.Job.ID, s.Task), "host", h.Name, "window", p.Name, "save_s", grace)
	dr.c.Meter.Add(metrics.Moves, "", 1)
	dr.taskTracker.stopSlot(s, grace)
}

// mostLate bounds the tasks that a status names.
const mostLate = 20

// state is how many machines a window takes, how many of them are busy, and the
// tasks that it may cut off.
func (dr *maintenanceDrains) state(p *calendar.PlannedWindow) (machines, busy int, late []string) {
	for _, h := range dr.fleet.All() {
		if h.Releasing || !dr.takes(p.Window, h) {
			continue
		}
		machines++
		if h.Busy() {
			busy++
		}
		for _, s := range h.Slots {
			if dr.late[s] && len(late) < mostLate {
				late = append(late, job.TaskName(s.Job.ID, s.Task))
			}
		}
	}
	slices.Sort(late)
	return machines, busy, late
}
