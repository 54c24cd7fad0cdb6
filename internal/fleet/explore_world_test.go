package fleet

import (
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

// The explorer combines steps of a leader, a holder, a worker and delayed direct commands,
// and looks for a task of a cancelled job that is on its machine after the deadline.

// guard is a rule of the system. A world can disable one, to check that the explorer finds
// the fault that the rule prevents.
type guard uint8

const (
	noGuard guard = iota
	// leaderStopsAtLimit: the leader does not renew a lease past the limit while a launch is
	// in flight.
	leaderStopsAtLimit
	// holderReturnsBeforeLimit: a holder gives the machine back before the limit.
	holderReturnsBeforeLimit
	// returnAllowsForGrantTime: it does so by the remaining time of its grant earlier.
	returnAllowsForGrantTime
	// holderReportsTasksFirst: a holder does not answer a report that lists a task unknown to
	// the leader before the leader has seen it.
	holderReportsTasksFirst
	// everyAnswerHalts: each answer of the leader halts the tasks of cancelled jobs, including
	// those that it has just halted.
	everyAnswerHalts
	// deadlineFromCommit: the deadline counts from when the commit of the cancellation was sent.
	deadlineFromCommit
	// unknownCancelCountsAsPast: if an earlier leader cancelled the job, it may have been
	// cancelled at any time before the term.
	unknownCancelCountsAsPast
	// clearRaisesToken: a message that clears the exit of a direct launch has a higher token than
	// the launch.
	clearRaisesToken
)

const (
	reportInterval = 4 * time.Second
	leaseDuration  = 9 * time.Second
	cancelTimeout  = 21 * time.Second
	grantDuration  = 2500 * time.Millisecond
	// maxDelayedCommands bounds the direct commands in flight. Further commands are lost.
	maxDelayedCommands = 2
	// maxCopies bounds the executed direct commands of which copies may arrive.
	maxCopies = 2
)

// Outcomes of a report.
const (
	reportAnswered     = iota
	reportAnsweredLate // the leader's answer does not reach the holder before its timeout
	reportAnswerLost   // the report arrives, but its answer is lost
	reportOutcomes     // number of outcomes
)

// world is a cluster with one machine, at most one holder of it, and one job with one task.
type world struct {
	disabled         guard
	now              time.Time
	fleet            *Fleet
	assigner         *shard.Assigner
	holder           *shard.Holder
	grantEnd         time.Time
	fleetHolder      *Holder
	machine          *Machine
	job              *job.Job
	retainedByLeader bool
	launched         bool
	cancelledAt      time.Time // earliest time at which the user may have got the confirmation; zero: not cancelled
	endedBeforeTerm  bool      // the job had ended when the leader's term began
	delayedCommands  []wire.DirectCommands
	executedCommands []wire.DirectCommands // any number of copies of them may arrive
	clearances       []shard.ExitClearance // for the next reply to the holder
	worker           worker
	violation        string
}

// worker is the worker of the machine.
type worker struct {
	session, seq, token uint64
	leaseRenewedAt      time.Time      // when the lease was last renewed
	phase               wire.TaskPhase // phase of the task; empty if the worker has not received it
}

func newWorld(disabled guard) *world {
	start := time.Unix(1000, 0)
	spec := job.Spec{ID: "run-1", ShapeName: "array", PriorityName: "standard", Tasks: 1, CPUs: 1}
	w := &world{
		disabled: disabled,
		now:      start,
		holder:   shard.NewHolder("n1", "", 1),
		job:      job.New(&job.Record{Spec: spec}, start),
	}
	w.worker = worker{session: 1, leaseRenewedAt: w.now}
	w.beginTerm(1)
	return w
}

// beginTerm starts a term with a new leader that has loaded the records.
func (w *world) beginTerm(ordinal uint64) {
	term := ordinal * wire.TokensPerTerm
	w.fleet = New(term, leaseDuration, cancelTimeout)
	w.machine = w.fleet.Add("host-1", w.now)
	w.machine.Described, w.machine.Registered, w.machine.Type, w.machine.Zone = true, true, 0, 0
	settings := shard.Settings{
		GrantDuration:  grantDuration,
		RejoinDelay:    reportInterval,
		MaxRejoinDelay: reportInterval,
		MovesPerSecond: 1000,
		LeaderWeight:   0.01,
		LeaderCapacity: 1,
	}
	w.assigner = shard.NewAssigner(term, "n0", "", settings, w.now)
	w.assigner.AddMachine("host-1", "")
	w.fleetHolder = &Holder{Name: "n1"}
	w.clearances = nil
	w.retainedByLeader = false
	w.job.RegisteredMachines.Add(w.machine.Index)
	w.endedBeforeTerm = !w.cancelledAt.IsZero()
	if w.endedBeforeTerm {
		rec := &job.Record{Spec: w.job.Spec, Phase: wire.JobCancelled}
		w.job.ReplaceRecord(rec, w.now)
		if w.disabled == unknownCancelCountsAsPast {
			w.job.CancelledAt = w.now
		}
	}
	for s := range w.fleet.SlotsOf(w.job) {
		delete(w.fleet.SlotsOf(w.job), s)
	}
}

// find returns the only job for any ID.
func (w *world) find(string) *job.Job { return w.job }

// observe handles a message of the worker like the leader: it also stops the tasks of a
// cancelled job.
func (w *world) observe(m *wire.Heartbeat, isReport bool) (fresh bool) {
	result := w.fleet.Observe(w.machine, m, isReport, w.now, w.find)
	for _, event := range result.Events {
		event.Slot.Settled = event.Slot.Settled || event.Kind == Exited
	}
	for s := range w.fleet.SlotsOf(w.job) {
		if s.Active() && w.job.Cancelled() && !s.Stopping {
			w.fleet.Stop(s, 0)
		}
	}
	return result.Fresh
}

// token returns the token of the leader's next message to the worker.
func (w *world) token() uint64 {
	if w.disabled == clearRaisesToken {
		return wire.FirstToken(w.fleet.Term)
	}
	return w.machine.Token
}

// retainBeforeLimit takes the machine back from its holder when its renewal limit is near.
func (w *world) retainBeforeLimit() {
	limit, bounded := w.fleet.RenewalLimit(w.machine)
	margin := w.assigner.RevocationTime()
	if w.disabled == returnAllowsForGrantTime {
		margin = 0
	}
	switch {
	case w.disabled == holderReturnsBeforeLimit:
	case bounded && limit.Sub(w.now) <= margin:
		w.retainedByLeader = true
		w.assigner.Retain("host-1", "", w.now)
	case !bounded && w.retainedByLeader:
		w.retainedByLeader = false
		w.assigner.Release("host-1")
	}
}

// answer returns the leader's answer to a report, or nil if it leaves the report unanswered.
func (w *world) answer(m *wire.Heartbeat, fresh bool) *wire.HeartbeatResponse {
	if w.disabled != leaderStopsAtLimit && !w.fleet.Renewable(w.machine, w.now, 100) {
		return nil
	}
	haltedNow := false
	for s := range w.fleet.SlotsOf(w.job) {
		haltedNow = haltedNow || s.HaltSentAt.Equal(w.now)
	}
	commands, _, _ := w.fleet.ComposeCommands(w.machine, m.Seq, fresh, w.now, 100)
	if w.disabled == everyAnswerHalts && haltedNow {
		commands = nil
	}
	return &wire.HeartbeatResponse{Token: w.token(), Commands: commands}
}

// nextReport returns the worker's next report.
func (w *world) nextReport() *wire.Heartbeat {
	w.worker.seq++
	m := &wire.Heartbeat{Machine: "host-1", Session: w.worker.session, Seq: w.worker.seq, Token: w.worker.token}
	if w.worker.phase != "" {
		m.Tasks = []wire.TaskStatus{{Task: "run-1/0", Attempt: 1, Phase: w.worker.phase, Cause: wire.CauseStopped}}
	}
	return m
}

// receiveAnswer handles an answer to a report in the worker; nil means that none came.
func (w *world) receiveAnswer(a *wire.HeartbeatResponse) {
	if a == nil || a.Token < w.worker.token {
		return
	}
	w.worker.token = a.Token
	w.worker.leaseRenewedAt = w.now
	w.executeCommands(a.Commands)
}

// executeCommands executes commands in the worker.
func (w *world) executeCommands(commands []wire.Command) {
	for _, o := range commands {
		switch {
		case o.Verb == wire.CommandLaunch && w.worker.phase == "":
			w.worker.phase = wire.TaskRunning
			w.checkDeadline("starts")
		case o.Verb == wire.CommandStop && w.worker.phase != "":
			w.worker.phase = wire.TaskExited
		case o.Verb == wire.CommandClear && w.worker.phase == wire.TaskExited:
			w.worker.phase = ""
		}
	}
}

// checkDeadline records a violation if the task runs after its deadline. verb says whether
// the task starts or is already running.
func (w *world) checkDeadline(verb string) {
	if w.worker.phase == wire.TaskRunning && !w.cancelledAt.IsZero() && w.now.Sub(w.cancelledAt) > cancelTimeout {
		w.violation = "ran_cancelled: the task " + verb + " " + w.now.Sub(w.cancelledAt).String() + " after the cancellation"
	}
}

// sendReport sends a report of the worker to the holder or the leader.
func (w *world) sendReport(outcome int) bool {
	receive := w.receiveAnswer
	if outcome == reportAnswerLost {
		receive = func(*wire.HeartbeatResponse) {}
	}
	m := w.nextReport()
	body, err := wire.Marshal(m)
	if err != nil {
		panic(err)
	}
	holderAnswer, byHolder := w.holder.HandleHeartbeat(m, body, w.now)
	switch byHolder {
	case shard.GrantExpired:
		return false
	case shard.Answered:
		receive(&holderAnswer)
		return true
	case shard.HeartbeatChanged, shard.LeaderRequired:
		if outcome != reportAnsweredLate && w.holder.Term() == w.fleet.Term {
			w.syncHolder()
			if w.machine.Holder() != nil {
				receive(w.answer(m, true))
				return true
			}
		}
		if byHolder == shard.HeartbeatChanged || w.disabled == holderReportsTasksFirst {
			receive(&holderAnswer)
		}
		return true
	}
	if r, _ := w.assigner.RouteHeartbeat("host-1", "", w.now); r != shard.Serve || outcome == reportAnsweredLate {
		return false
	}
	fresh := w.observe(m, true)
	receive(w.answer(m, fresh))
	w.retainBeforeLimit()
	w.assigner.HeartbeatServed("host-1", "", w.now)
	w.setHolder()
	return true
}

// setHolder sets the machine's holder in the ledger once the assigner has chosen one.
func (w *world) setHolder() {
	if member, _ := w.assigner.Holder("host-1"); member != "" && w.machine.Holder() == nil {
		w.fleet.SetHolder(w.machine, w.fleetHolder)
	}
}

// syncHolder exchanges one request and reply between the holder and the leader.
func (w *world) syncHolder() {
	if w.fleet.Term > w.holder.Term() {
		w.holder.EndTerm()
	}
	request := w.holder.Request(10, 1, false, w.now)
	revoked, ok := w.assigner.HandleRequest(request, w.now)
	if !ok {
		w.holder.RequestFailed()
		return
	}
	w.fleetHolder.KnownUntil = w.assigner.AnswersKnownUntil("n1")
	if request.Term == w.fleet.Term {
		for i := range request.Reports {
			w.handleMachineReport(&request.Reports[i])
		}
	}
	w.clearHolder(revoked)
	w.retainBeforeLimit()
	reply := w.assigner.Reply("n1", w.now)
	reply.Clearances, w.clearances = w.clearances, nil
	w.holder.HandleReply(reply, w.now)
	w.grantEnd = w.now.Add(time.Duration(reply.GrantMs) * time.Millisecond)
	w.setHolder()
}

// handleMachineReport handles a report that the holder has answered, in the leader.
func (w *world) handleMachineReport(report *shard.MachineReport) {
	w.assigner.ConfirmContact(report.Machine)
	if len(report.Heartbeat) > 0 {
		message := &wire.Heartbeat{}
		if err := wire.Unmarshal(report.Heartbeat, message); err != nil {
			panic(err)
		}
		w.observe(message, true)
	}
	w.fleet.RecordRenewal(w.machine, report.Session, report.Seq, w.now.Add(-time.Duration(report.AgeMs)*time.Millisecond))
	if clears := w.machine.ClearCommands(w.now, 100); clears != nil {
		w.clearances = append(w.clearances, shard.ExitClearance{Machine: report.Machine, Commands: clears, Token: w.token()})
	}
}

// clearHolder clears the machine's holder in the ledger after its revocation.
func (w *world) clearHolder(revoked []shard.Revocation) {
	for _, f := range revoked {
		w.machine.ClearHolder(f.Until)
	}
}

// sendDirectCommand adds the machine's next direct command to the delayed ones.
func (w *world) sendDirectCommand() bool {
	commands, _, _ := w.fleet.ComposeCommands(w.machine, 0, w.machine.Usable(), w.now, 100)
	if len(commands) > 0 && len(w.delayedCommands) < maxDelayedCommands {
		w.delayedCommands = append(w.delayedCommands, wire.DirectCommands{Token: w.token(), Session: max(1, w.machine.Session), Commands: commands})
	}
	return len(commands) > 0
}

// deliverCommand delivers the oldest delayed command. answered is false if its answer is
// lost.
func (w *world) deliverCommand(answered bool) bool {
	if len(w.delayedCommands) == 0 {
		return false
	}
	d := w.delayedCommands[0]
	w.delayedCommands = w.delayedCommands[1:]
	if w.worker.accepts(d) {
		w.worker.token = d.Token
		w.executeCommands(d.Commands)
		if len(w.executedCommands) < maxCopies {
			w.executedCommands = append(w.executedCommands, d)
		}
		if m := w.nextReport(); answered {
			w.observe(m, false)
		}
	}
	return true
}

// accepts reports whether the worker executes a direct command.
func (wo *worker) accepts(d wire.DirectCommands) bool {
	return d.Token >= wo.token && d.Session == wo.session
}

// deliverCopy delivers a copy of an executed command.
func (w *world) deliverCopy(index int) bool {
	if index >= len(w.executedCommands) || !w.worker.accepts(w.executedCommands[index]) {
		return false
	}
	unknown := w.worker.phase == ""
	w.executeCommands(w.executedCommands[index].Commands)
	if unknown && w.worker.phase != "" {
		w.violation = "restarted: a copy of an executed launch starts the task again"
	}
	return true
}

// advance advances the clock of the worker and the leader by d.
func (w *world) advance(d time.Duration) {
	const step = 500 * time.Millisecond
	for ; d > 0; d -= step {
		w.now = w.now.Add(step)
		if w.now.Sub(w.worker.leaseRenewedAt) > leaseDuration {
			w.worker = worker{session: w.worker.session + 1, token: w.worker.token, leaseRenewedAt: w.now}
		}
		w.checkDeadline("is running")
		w.fleet.ExpireLeases(w.now)
		w.retainBeforeLimit()
		w.clearHolder(w.assigner.Step(w.now))
	}
}
