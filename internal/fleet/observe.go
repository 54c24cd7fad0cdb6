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
	fleet    *Fleet
	host     *Host
	message  *wire.Report
	isReport bool
	now      time.Time
	events   []Event
	// missedLaunch: the message shows that something sent before was not taken in; hears: that
	// something was.
	missedLaunch, receives bool
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
		h.markRenewed(m, now)
	}
	if m.Session < h.Session || (m.Session == h.Session && m.Seq <= h.seq) {
		return Result{}
	}
	// A held-back message of a session whose lease has certainly ended would
	// bring its dead tasks back.
	if h.Lost && m.Session == h.Session {
		return Result{}
	}
	o := &observation{fleet: f, host: h, message: m, isReport: isReport, now: now, receives: !isReport}
	if isReport {
		h.OutboundCutAt = time.Time{}
	}
	if m.Session > h.Session {
		o.beginSession()
	}
	o.observeHost()
	for i := range m.Tasks {
		o.observeTask(&m.Tasks[i], find)
	}
	o.settleUnreported()
	switch {
	case o.receives:
		h.InboundCutAt = time.Time{}
	case o.missedLaunch:
		o.events = append(o.events, f.MarkInboundCut(h, now)...)
	}
	h.Recount()
	return Result{Fresh: true, Events: o.events}
}

// markRenewed notes that the worker may be waiting for the answer to a report, which renews its
// lease. A report that is older than a direct answer may be that one too.
func (h *Host) markRenewed(m *wire.Report, now time.Time) {
	if h.Lost && m.Session <= h.Session {
		return
	}
	if now.After(h.renewedAt) {
		h.renewedAt = now
	}
	if m.Session == h.Session {
		h.reportSeq = m.Seq
	}
}

// beginSession takes in that the worker's session is a later one: nothing of the one before
// is on the machine.
func (o *observation) beginSession() {
	h := o.host
	if h.Session != 0 {
		if !o.isReport && !h.OutboundCut() {
			h.OutboundCutAt = o.now
		}
		// Its lease has run out although its reports were answered.
		o.missedLaunch = o.isReport && !h.Lost && !h.RenewalStopped
		o.events = append(o.events, o.fleet.removeSlots(h)...)
		h.Images = nil
	}
	h.Session, h.Fenced, h.RenewalStopped, h.reportSeq = o.message.Session, false, false, 0
	if o.isReport {
		h.reportSeq = o.message.Seq
	}
	h.Lost = false
	// A new session has its full lease from its own begin, which may be as late
	// as this message, whether or not a report was ever answered in it. Counting
	// from the last report alone would call tasks gone that a direct command has
	// just started.
	h.renewedAt = o.now
}

// observeHost takes in what the message says of the machine itself.
func (o *observation) observeHost() {
	h, m := o.host, o.message
	h.seq, h.Booting, h.CallUnanswered = m.Seq, false, false
	if m.Token == o.fleet.Term {
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

// observeTask takes in what the message says of one task.
func (o *observation) observeTask(t *wire.TaskReport, find func(id string) *job.Job) {
	id, task, ok := job.SplitTask(t.Task)
	if !ok {
		return
	}
	j := find(id)
	if int(task) >= j.Tasks {
		return // the job has no such task
	}
	h, k := o.host, Key{j, task, t.Attempt}
	s := h.Slots[k]
	if s == nil {
		s = &Slot{Key: k, Host: h, Adopted: true, PlacedAt: o.now}
		if t.Phase == wire.Exited {
			s.Phase = wire.Pulling
		}
		o.fleet.addSlot(h, s)
	}
	s.lastShownMessage = h.messages
	o.receives = o.receives || (s.Sent && !s.Seen)
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

// settleUnreported settles the placements that the message does not show.
func (o *observation) settleUnreported() {
	for _, s := range o.host.Slots {
		switch {
		case s.lastShownMessage == o.host.messages || !s.Sent:
		case s.Seen:
			o.events = append(o.events, o.fleet.removeSlot(o.host, s, Gone)...)
		case s.Direct:
			// Settled by its own answer, a new session or the lease, not by this.
		case o.isReport && o.message.Seq > s.answeredSeq:
			// One report is in flight at a time and late answers are dropped, so the
			// next report settles the launch. The answer to a direct command does
			// not: it can overtake the answer that carries the launch.
			o.events = append(o.events, o.fleet.removeSlot(o.host, s, NeverStarted)...)
			o.missedLaunch = true
		}
	}
}

// haltInterval is how often a halt is repeated while its task is still there.
const haltInterval = 1500 * time.Millisecond

// haltDue reports whether a halt is to be sent, again or for the first time. One that
// is saving is left to it, unless it has no time to save: its job is cancelled, and a
// lost halt would let it save for as long as it likes.
func (s *Slot) haltDue(now time.Time) bool {
	return s.Stopping && s.Active() && (s.HaltSentAt.IsZero() || now.Sub(s.HaltSentAt) >= haltInterval && (s.Phase != wire.Saving || s.Grace == 0))
}

// resendAfter is how old a direct launch must be, that nothing has settled, before
// it is sent once more. A direct command ends sooner.
const resendAfter = 4 * time.Second

// resendDue reports whether a direct launch was perhaps lost: no report has shown
// it, and its call is over. Without a second copy it would hold its room, and its
// task, for as long as the worker goes on reporting.
func (s *Slot) resendDue(now time.Time) bool {
	return s.Sent && s.Direct && !s.Seen && s.Active() && !s.Host.CallInFlight && now.Sub(s.PlacedAt) >= resendAfter &&
		now.Sub(s.resentAt) >= resendAfter && s.Job.Closing+s.Job.Phase == ""
}
