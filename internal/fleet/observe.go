package fleet

import (
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// ObserveResult is the result of Observe.
type ObserveResult struct {
	// Events are the changes of slots that the message has caused.
	Events []Event
	// Fresh: the message is newer than all earlier ones of the worker.
	Fresh bool
	// Deposed: the worker has seen a later term than this leader's.
	Deposed bool
}

// observation is a message that is being processed, with what it has shown so far.
type observation struct {
	fleet    *Fleet
	host     *Machine
	message  *wire.Heartbeat
	isReport bool
	now      time.Time
	events   []Event
	// missedLaunch: the message shows that the worker has not received something that
	// was sent to it before.
	missedLaunch bool
	// receives: the message shows that the worker has received something.
	receives bool
}

// Observe updates the ledger with a message of a machine's worker. isReport is true for
// reports, whose answers renew the lease, and false for the answers to direct
// commands. find returns the job of an ID.
func (f *Fleet) Observe(h *Machine, m *wire.Heartbeat, isReport bool, now time.Time, find func(id string) *job.Job) ObserveResult {
	if m.Token > f.Term {
		return ObserveResult{Deposed: true}
	}
	if isReport && h.Stale(m.Session, m.Seq) {
		return ObserveResult{}
	}
	if isReport {
		h.markRenewed(m, now)
	}
	if m.Session < h.Session || (m.Session == h.Session && m.Seq <= h.seq) {
		return ObserveResult{}
	}
	// A delayed message of a session whose lease has certainly expired would bring back
	// its tasks, which are gone.
	if h.Lost && m.Session == h.Session {
		return ObserveResult{}
	}
	o := &observation{
		fleet:    f,
		host:     h,
		message:  m,
		isReport: isReport,
		now:      now,
		receives: !isReport,
	}
	if isReport {
		h.OutboundCutSince = time.Time{}
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
		h.InboundCutSince = time.Time{}
	case o.missedLaunch:
		o.events = append(o.events, f.MarkInboundCut(h, now)...)
	}
	h.Recount()
	return ObserveResult{Fresh: true, Events: o.events}
}

// markRenewed notes that the worker may be waiting for the answer to the report m, which
// renews its lease. That holds also for a report that is older than the answer to a
// direct command.
func (h *Machine) markRenewed(m *wire.Heartbeat, now time.Time) {
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

// beginSession notes that the worker has begun a later session: nothing of the one
// before is on the machine.
func (o *observation) beginSession() {
	h := o.host
	if h.Session != 0 {
		if !o.isReport && !h.OutboundCut() {
			h.OutboundCutSince = o.now
		}
		// The lease has expired although the worker's reports were answered.
		o.missedLaunch = o.isReport && !h.Lost && !h.RenewalStopped
		o.events = append(o.events, o.fleet.removeSlots(h)...)
		h.Images = nil
	}
	h.Session = o.message.Session
	h.Fenced = false
	h.RenewalStopped = false
	h.Lost = false
	h.reportSeq = 0
	if o.isReport {
		h.reportSeq = o.message.Seq
	}
	// A new session has its full lease from its own begin, which may be as late as this
	// message, whether or not a report was answered in it. Counted from the last report,
	// the lease would seem expired while a task runs that a direct command has just
	// started.
	h.renewedAt = o.now
}

// minNotice is the least notice in seconds that is counted for a machine that is to be
// reclaimed.
const minNotice = 0.001

// observeHost updates the machine itself.
func (o *observation) observeHost() {
	h, m := o.host, o.message
	h.seq = m.Seq
	h.Booting = false
	h.CallUnanswered = false
	if m.Token == o.fleet.Term {
		h.Fenced = true
	}
	if m.Addr != "" {
		h.Addr = m.Addr
	}
	h.ReclaimAt = time.Time{}
	if m.NoticeS != nil {
		h.ReclaimAt = o.now.Add(time.Duration(max(minNotice, *m.NoticeS) * float64(time.Second)))
	}
	h.messages++
}

// observeTask updates the slot of a task that the message shows.
func (o *observation) observeTask(t *wire.TaskStatus, find func(id string) *job.Job) {
	id, task, ok := job.SplitTask(t.Task)
	if !ok {
		return
	}
	j := find(id)
	if int(task) >= j.Tasks {
		return // the job has no such task
	}
	s := o.slot(PlacementKey{Job: j, Task: task, Attempt: t.Attempt}, t.Phase)
	s.lastShownMessage = o.host.messages
	o.receives = o.receives || (s.LaunchSent && !s.Observed)
	s.LaunchSent = true
	s.Observed = true
	s.DirectLaunch = false
	previous := s.Phase
	if previous == wire.TaskExited {
		return
	}
	s.Phase = t.Phase
	s.Cause = t.Cause
	s.CheckpointSaved = t.CheckpointSaved
	if s.Health == wire.HealthGood && t.Health == wire.HealthBad {
		o.events = append(o.events, Event{Kind: TurnedUnhealthy, Slot: s})
	}
	s.Health = t.Health
	s.UpdateHealth(o.now)
	switch {
	case t.Phase == wire.TaskExited:
		j.AddLive(task, -1)
		o.events = append(o.events, Event{Kind: Exited, Slot: s})
	case t.Phase == wire.TaskRunning && previous != wire.TaskRunning:
		s.RunningSince = o.now
		o.events = append(o.events, Event{Kind: Started, Slot: s})
	}
}

// slot returns the slot of a placement, and adds one if the ledger has none: an earlier
// leader has made the placement.
func (o *observation) slot(k PlacementKey, phase wire.TaskPhase) *Slot {
	if s := o.host.Slots[k]; s != nil {
		return s
	}
	s := &Slot{PlacementKey: k, Machine: o.host, Adopted: true, PlacedAt: o.now}
	if phase == wire.TaskExited {
		s.Phase = wire.TaskFetching // so that the exit counts as a change
	}
	o.fleet.addSlot(o.host, s)
	return s
}

// settleUnreported settles the placements that the message does not show.
func (o *observation) settleUnreported() {
	for _, s := range o.host.Slots {
		switch {
		case s.lastShownMessage == o.host.messages || !s.LaunchSent:
		case s.Observed:
			o.events = append(o.events, o.fleet.removeSlot(o.host, s, Lost)...)
		case s.DirectLaunch:
			// The answer to the command, a new session or the end of the lease settles it; a
			// report does not.
		case o.isReport && o.message.Seq > s.answeredSeq:
			// The worker has one report in flight at a time and drops late answers, so its
			// next report settles the launch. The answer to a direct command does not: it
			// can overtake the answer that carries the launch.
			o.events = append(o.events, o.fleet.removeSlot(o.host, s, NeverStarted)...)
			o.missedLaunch = true
		}
	}
}
