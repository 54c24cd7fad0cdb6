package fleet

import (
	"time"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Result says what Observe made of a message.
type Result struct {
	// Events are the changes of slots that the message brought.
	Events []Event
	// Fresh: the message is newer than all others of the worker.
	Fresh bool
	// Deposed: the worker has seen a later term than ours.
	Deposed bool
}

// observation is a message that is being taken in, with what it has shown so far.
type observation struct {
	f        *Fleet
	h        *Host
	m        *wire.Report
	isReport bool
	now      time.Time
	events   []Event
	// deaf: the message shows that something sent before was not taken in; hears: that
	// something was.
	deaf, hears bool
}

// Observe takes in a message. isReport is true for check-ins, whose answers
// renew the lease, and false for the answers to direct commands.
func (f *Fleet) Observe(h *Host, m *wire.Report, isReport bool, now time.Time, find func(id string) *job.Job) Result {
	if m.Token > f.Term {
		return Result{Deposed: true}
	}
	if isReport && h.Stale(m.Session, m.Seq) {
		return Result{}
	}
	if isReport {
		h.renewed(m, now)
	}
	if m.Session < h.Session || (m.Session == h.Session && m.Seq <= h.seq) {
		return Result{}
	}
	// A held-back message of a session whose lease has certainly ended would
	// bring its dead tasks back.
	if h.Lost && m.Session == h.Session {
		return Result{}
	}
	o := &observation{f: f, h: h, m: m, isReport: isReport, now: now, hears: !isReport}
	if isReport {
		h.OutboundCutAt = time.Time{}
	}
	if m.Session > h.Session {
		o.beginSession()
	}
	o.describe()
	for i := range m.Tasks {
		o.task(&m.Tasks[i], find)
	}
	o.settle()
	switch {
	case o.hears:
		h.InboundCutAt = time.Time{}
	case o.deaf:
		o.events = append(o.events, f.MarkInboundCut(h, now)...)
	}
	h.Recount()
	return Result{Fresh: true, Events: o.events}
}

// renewed notes that the worker may be waiting for the answer to a report, which renews its
// lease. A report that is older than a direct answer may be that one too.
func (h *Host) renewed(m *wire.Report, now time.Time) {
	if h.Lost && m.Session <= h.Session {
		return
	}
	if now.After(h.heard) {
		h.heard = now
	}
	if m.Session == h.Session {
		h.reported = m.Seq
	}
}

// beginSession takes in that the worker's session is a later one: nothing of the one before
// is on the machine.
func (o *observation) beginSession() {
	h := o.h
	if h.Session != 0 {
		if !o.isReport && !h.OutboundCut() {
			h.OutboundCutAt = o.now
		}
		// Its lease has run out although its reports were answered.
		o.deaf = o.isReport && !h.Lost && !h.RenewalStopped
		o.events = append(o.events, o.f.drop(h)...)
		h.Images = nil
	}
	h.Session, h.Fenced, h.RenewalStopped, h.reported = o.m.Session, false, false, 0
	if o.isReport {
		h.reported = o.m.Seq
	}
	h.Lost = false
	// A new session has its full lease from its own begin, which may be as late
	// as this message, whether or not a report was ever answered in it. Counting
	// from the last report alone would call tasks gone that a direct command has
	// just started.
	h.heard = o.now
}

// describe takes in what the message says of the machine itself.
func (o *observation) describe() {
	h, m := o.h, o.m
	h.seq, h.Booting, h.CallUnanswered = m.Seq, false, false
	if m.Token == o.f.Term {
		h.Fenced = true
	}
	if m.Addr != "" {
		h.Addr = m.Addr
	}
	h.RecallAt = time.Time{}
	if m.Notice != nil {
		h.RecallAt = o.now.Add(time.Duration(max(0.001, *m.Notice) * float64(time.Second)))
	}
	h.messages++
}

// task takes in what the message says of one task.
func (o *observation) task(t *wire.TaskReport, find func(id string) *job.Job) {
	id, task, ok := job.SplitTask(t.Task)
	if !ok {
		return
	}
	j := find(id)
	if int(task) >= j.Tasks {
		return // the job has no such task
	}
	h, k := o.h, Key{j, task, t.Attempt}
	s := h.Slots[k]
	if s == nil {
		s = &Slot{Key: k, Host: h, Adopted: true, At: o.now}
		if t.Phase == wire.Exited {
			s.Phase = wire.Pulling
		}
		o.f.link(h, s)
	}
	s.shown = h.messages
	o.hears = o.hears || (s.Sent && !s.Seen)
	s.Sent, s.Seen, s.Direct = true, true, false
	was := s.Phase
	if was == wire.Exited {
		return
	}
	s.Phase, s.Cause, s.Saved = t.Phase, t.Cause, t.Saved
	if s.Health == wire.HealthGood && t.Health == wire.HealthBad {
		o.events = append(o.events, Event{TurnedUnhealthy, s})
	}
	s.Health = t.Health
	s.UpdateHealth(o.now)
	switch {
	case t.Phase == wire.Exited:
		j.AddLive(task, -1)
		o.events = append(o.events, Event{Ended, s})
	case t.Phase == wire.Running && was != wire.Running:
		s.RunAt = o.now
		o.events = append(o.events, Event{Started, s})
	}
}

// settle settles the placements that the message does not show.
func (o *observation) settle() {
	for _, s := range o.h.Slots {
		switch {
		case s.shown == o.h.messages || !s.Sent:
		case s.Seen:
			o.events = append(o.events, o.f.remove(o.h, s, Gone)...)
		case s.Direct:
			// Settled by its own answer, a new session or the lease, not by this.
		case o.isReport && o.m.Seq > s.viaSeq:
			// One report is in flight at a time and late answers are dropped, so the
			// next report settles the launch. The answer to a direct command does
			// not: it can overtake the answer that carries the launch.
			o.events = append(o.events, o.f.remove(o.h, s, NeverStarted)...)
			o.deaf = true
		}
	}
}

// haltEvery is how often a halt is repeated while its task is still there.
const haltEvery = 1500 * time.Millisecond

// haltDue reports whether a halt is to be sent, again or for the first time. One that
// is saving is left to it, unless it has no time to save: its job is cancelled, and a
// lost halt would let it save for as long as it likes.
func (s *Slot) haltDue(now time.Time) bool {
	return s.Stopping && s.Active() && (s.HaltSentAt.IsZero() || now.Sub(s.HaltSentAt) >= haltEvery && (s.Phase != wire.Saving || s.Grace == 0))
}

// doubtTime is how old a direct launch must be, that nothing has settled, before
// it is sent once more. A direct command ends sooner.
const doubtTime = 4 * time.Second

// doubtful reports whether a direct launch was perhaps lost: no report has shown
// it, and its call is over. Without a second copy it would hold its room, and its
// task, for as long as the worker goes on reporting.
func (s *Slot) doubtful(now time.Time) bool {
	return s.Sent && s.Direct && !s.Seen && s.Active() && !s.Host.CallInFlight && now.Sub(s.At) >= doubtTime &&
		now.Sub(s.again) >= doubtTime && s.Job.Closing+s.Job.Phase == ""
}
