package fleet

import (
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// ObserveResult is the result of Observe.
type ObserveResult struct {
	// Events lists the changes to slots that the message caused.
	Events []Event
	// Fresh reports whether the message is newer than all previous ones of the worker.
	Fresh bool
	// Deposed reports whether the worker has seen a later term than this leader's.
	Deposed bool
}

// observation is the state of processing one message.
type observation struct {
	fleet    *Fleet
	machine  *Machine
	message  *wire.Heartbeat
	isReport bool
	now      time.Time
	events   []Event
	// missedMessage reports whether the message shows that the worker did not receive an
	// earlier answer or launch.
	missedMessage bool
	// receivedMessage reports whether the message shows that the worker received an answer
	// or a direct command.
	receivedMessage bool
	// changed reports whether the message changes the tasks of the machine in the ledger.
	changed bool
}

// Observe updates the ledger with a message of a machine's worker. isReport is true for a
// report, whose answer renews the lease, and false for the answer to a direct command. find
// returns the job with a given ID.
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
		if isReport {
			m.overtaken = true
			m.listsReport = false
		}
		return ObserveResult{}
	}
	// A delayed message of a session whose lease has certainly expired must not restore the
	// slots of its tasks, which have ended.
	if m.Lost && message.Session == m.Session {
		return ObserveResult{}
	}
	o := &observation{
		fleet:           f,
		machine:         m,
		message:         message,
		isReport:        isReport,
		now:             now,
		receivedMessage: !isReport,
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
	// An answer to a direct command that shows the tasks of the last report confirms them.
	m.listsReport = isReport || (m.listsReport && !o.changed)
	switch {
	case o.receivedMessage:
		m.InboundCutSince = time.Time{}
	case o.missedMessage:
		o.events = append(o.events, f.MarkInboundCut(m, now)...)
	}
	m.Recount()
	return ObserveResult{Fresh: true, Events: o.events}
}

// markRenewed records that an answer to the given report may renew the worker's lease. This
// also holds for a report that is older than an answer to a direct command that has already
// been observed.
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

// beginSession records that the worker has begun a new session, and removes the slots of
// the previous one, whose tasks have all ended.
func (o *observation) beginSession() {
	m := o.machine
	if m.Session != 0 {
		if !o.isReport && !m.OutboundCut() {
			m.OutboundCutSince = o.now
		}
		// The lease expired although the leader answered the worker's reports, so the worker
		// did not receive the answers.
		o.missedMessage = o.isReport && !m.Lost && !m.RenewalStopped
		o.events = append(o.events, o.fleet.removeSlots(m)...)
		m.Images = nil
	}
	o.changed = true
	m.Session = o.message.Session
	m.Fenced = false
	m.RenewalStopped = false
	m.Lost = false
	m.lastReportSeq = 0
	if o.isReport {
		m.lastReportSeq = o.message.Seq
	}
	// A new session begins with a full lease, whether or not a report was answered in it,
	// and may have begun as late as this message. If the lease were counted from the last
	// report, it would appear expired while a task runs that a direct command just started.
	m.leaseRenewedAt = o.now
}

// minNoticeS is the lower bound in seconds for the notice of a reclaimed machine.
const minNoticeS = 0.001

// observeMachine updates the state of the machine that does not concern its tasks.
func (o *observation) observeMachine() {
	m, message := o.machine, o.message
	m.lastSeq = message.Seq
	m.overtaken = false
	m.TasksUnknown = false
	m.Booting = false
	m.CallUnanswered = false
	if message.Token >= wire.FirstToken(o.fleet.Term) {
		m.Fenced = true
	}
	m.Token = max(m.Token, message.Token)
	if message.Addr != "" {
		m.Addr = message.Addr
	}
	m.ReclaimAt = time.Time{}
	if message.NoticeS != nil {
		m.ReclaimAt = o.now.Add(time.Duration(max(minNoticeS, *message.NoticeS) * float64(time.Second)))
	}
	m.messageCount++
}

// observeTask updates the slot of a task that the message lists.
func (o *observation) observeTask(t *wire.TaskStatus, find func(id string) *job.Job) {
	id, task, ok := job.SplitTaskName(t.Task)
	if !ok {
		return
	}
	j := find(id)
	if int(task) >= j.Tasks {
		return // the job has no such task
	}
	s := o.slot(PlacementKey{Job: j, Task: task, Attempt: t.Attempt}, t.Phase)
	if s.lastListedIn == o.machine.messageCount && t.Phase == wire.TaskExited {
		return // the message lists the attempt twice; it may still run
	}
	s.lastListedIn = o.machine.messageCount
	o.receivedMessage = o.receivedMessage || (s.LaunchSent && !s.Observed)
	o.changed = o.changed || !s.Observed || s.Phase != t.Phase
	s.LaunchSent = true
	s.Observed = true
	s.DirectLaunch = false
	previous := s.Phase
	if previous == wire.TaskExited {
		if t.Phase == wire.TaskExited {
			return
		}
		j.AdjustLive(task, 1)
		o.restarted(s)
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
		j.AdjustLive(task, -1)
		s.exitedAt = o.now
		s.Settled = false
		o.events = append(o.events, Event{Kind: Exited, Slot: s})
	case t.Phase == wire.TaskRunning && previous != wire.TaskRunning:
		s.RunningSince = o.now
		o.events = append(o.events, Event{Kind: Started, Slot: s})
	}
}

// slot returns the slot of a placement. If there is none, slot adds it to the ledger: an
// earlier leader has placed the task, or the ledger has removed the attempt.
func (o *observation) slot(key PlacementKey, phase wire.TaskPhase) *Slot {
	if s := o.machine.Slots[key]; s != nil {
		return s
	}
	s := &Slot{PlacementKey: key, Machine: o.machine, Adopted: true, PlacedAt: o.now}
	if phase == wire.TaskExited {
		s.Phase = wire.TaskFetching // so that observeTask handles the exit as a change
	}
	o.fleet.addSlot(o.machine, s)
	if phase != wire.TaskExited && key.term() == o.fleet.Term {
		o.restarted(s)
	}
	return s
}

// restarted records that the worker runs an attempt that had ended: it has executed a late copy
// of the attempt's launch.
func (o *observation) restarted(s *Slot) {
	s.Restarted = true
	s.Stopping = false
	s.HaltSentAt = time.Time{}
	o.events = append(o.events, Event{Kind: Restarted, Slot: s})
}

// settleUnreported settles the placements that the message does not list.
func (o *observation) settleUnreported() {
	for _, s := range o.machine.Slots {
		switch {
		case s.lastListedIn == o.machine.messageCount || !s.LaunchSent:
		case s.Observed:
			o.changed = true
			o.events = append(o.events, o.fleet.removeSlot(o.machine, s, Lost)...)
		case s.DirectLaunch:
			// Only the answer to the command, a new session or the end of the lease settles a
			// direct launch. A report does not, because the launch may arrive after it was sent.
		case o.isReport && o.message.Seq > s.launchReportSeq:
			// The worker has one report in flight at a time and drops late answers, so its next
			// report settles the launch. The answer to a direct command does not, because it can
			// overtake the answer that carries the launch.
			o.events = append(o.events, o.fleet.removeSlot(o.machine, s, NeverStarted)...)
			o.missedMessage = true
		}
	}
}
