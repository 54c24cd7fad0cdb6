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
	machine  *Machine
	message  *wire.Heartbeat
	isReport bool
	now      time.Time
	events   []Event
	// missedLaunch: the message shows that the worker has not received something that
	// was sent to it before.
	missedLaunch bool
	// receivedOrder: the message shows that the worker has received something.
	receivedOrder bool
}

// Observe updates the ledger with a message of a machine's worker. isReport is true for
// reports, whose answers renew the lease, and false for the answers to direct
// commands. find returns the job of an ID.
func (f *Fleet) Observe(m *Machine, message *wire.Heartbeat, isReport bool, now time.Time, find func(id string) *job.Job) ObserveResult {
	if message.Token > f.Term {
		return ObserveResult{Deposed: true}
	}
	if isReport && m.Stale(message.Session, message.Seq) {
		return ObserveResult{}
	}
	if isReport {
		m.markRenewed(message, now)
	}
	if message.Session < m.Session || (message.Session == m.Session && message.Seq <= m.lastSeq) {
		return ObserveResult{}
	}
	// A delayed message of a session whose lease has certainly expired would bring back
	// its tasks, which are gone.
	if m.Lost && message.Session == m.Session {
		return ObserveResult{}
	}
	o := &observation{
		fleet:         f,
		machine:       m,
		message:       message,
		isReport:      isReport,
		now:           now,
		receivedOrder: !isReport,
	}
	if isReport {
		m.OutboundCutSince = time.Time{}
	}
	if message.Session > m.Session {
		o.beginSession()
	}
	o.observeMachine()
	for i := range message.Tasks {
		o.observeTask(&message.Tasks[i], find)
	}
	o.settleUnreported()
	switch {
	case o.receivedOrder:
		m.InboundCutSince = time.Time{}
	case o.missedLaunch:
		o.events = append(o.events, f.MarkInboundCut(m, now)...)
	}
	m.Recount()
	return ObserveResult{Fresh: true, Events: o.events}
}

// markRenewed notes that the worker may be waiting for the answer to the report, which
// renews its lease. That holds also for a report that is older than the answer to a
// direct command.
func (m *Machine) markRenewed(message *wire.Heartbeat, now time.Time) {
	if m.Lost && message.Session <= m.Session {
		return
	}
	if now.After(m.leaseRenewedAt) {
		m.leaseRenewedAt = now
	}
	if message.Session == m.Session {
		m.lastReportSeq = message.Seq
	}
}

// beginSession notes that the worker has begun a later session: nothing of the one
// before is on the machine.
func (o *observation) beginSession() {
	m := o.machine
	if m.Session != 0 {
		if !o.isReport && !m.OutboundCut() {
			m.OutboundCutSince = o.now
		}
		// The lease has expired although the worker's reports were answered.
		o.missedLaunch = o.isReport && !m.Lost && !m.RenewalStopped
		o.events = append(o.events, o.fleet.removeSlots(m)...)
		m.Images = nil
	}
	m.Session = o.message.Session
	m.Fenced = false
	m.RenewalStopped = false
	m.Lost = false
	m.lastReportSeq = 0
	if o.isReport {
		m.lastReportSeq = o.message.Seq
	}
	// A new session has its full lease from its own begin, which may be as late as this
	// message, whether or not a report was answered in it. Counted from the last report,
	// the lease would seem expired while a task runs that a direct command has just
	// started.
	m.leaseRenewedAt = o.now
}

// minNoticeS is the least notice in seconds that is counted for a machine that is to be
// reclaimed.
const minNoticeS = 0.001

// observeMachine updates the machine itself.
func (o *observation) observeMachine() {
	m, message := o.machine, o.message
	m.lastSeq = message.Seq
	m.Booting = false
	m.CallUnanswered = false
	if message.Token == o.fleet.Term {
		m.Fenced = true
	}
	if message.Addr != "" {
		m.Addr = message.Addr
	}
	m.ReclaimAt = time.Time{}
	if message.NoticeS != nil {
		m.ReclaimAt = o.now.Add(time.Duration(max(minNoticeS, *message.NoticeS) * float64(time.Second)))
	}
	m.messageCount++
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
	s.lastListedIn = o.machine.messageCount
	o.receivedOrder = o.receivedOrder || (s.LaunchSent && !s.Observed)
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
	if s := o.machine.Slots[k]; s != nil {
		return s
	}
	s := &Slot{PlacementKey: k, Machine: o.machine, Adopted: true, PlacedAt: o.now}
	if phase == wire.TaskExited {
		s.Phase = wire.TaskFetching // so that the exit counts as a change
	}
	o.fleet.addSlot(o.machine, s)
	return s
}

// settleUnreported settles the placements that the message does not show.
func (o *observation) settleUnreported() {
	for _, s := range o.machine.Slots {
		switch {
		case s.lastListedIn == o.machine.messageCount || !s.LaunchSent:
		case s.Observed:
			o.events = append(o.events, o.fleet.removeSlot(o.machine, s, Lost)...)
		case s.DirectLaunch:
			// The answer to the command, a new session or the end of the lease settles it; a
			// report does not.
		case o.isReport && o.message.Seq > s.launchReportSeq:
			// The worker has one report in flight at a time and drops late answers, so its
			// next report settles the launch. The answer to a direct command does not: it
			// can overtake the answer that carries the launch.
			o.events = append(o.events, o.fleet.removeSlot(o.machine, s, NeverStarted)...)
			o.missedLaunch = true
		}
	}
}
