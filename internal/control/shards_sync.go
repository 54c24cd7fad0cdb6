package control

import (
	"context"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

// The leader answers the requests of shard holders.

const (
	// syncHoldTime is how long a holder's request is held while there is nothing to send.
	// Holders that send their requests without any pause would use up the processors of both
	// sides.
	syncHoldTime = 50 * time.Millisecond
	// maxReplyBytes limits the content of a reply, apart from the names of machines. Holders
	// refuse larger messages, so a burst of launches on hundreds of machines would be lost as a
	// whole. One item may exceed the limit; the remaining items are sent in the next reply.
	maxReplyBytes = 128 << 10
	// itemBytes and orderBytes are the approximate encoded sizes of an item of a reply without
	// its content, and of an order.
	itemBytes  = 64
	orderBytes = 80
)

// mailbox holds a holder's pending request and the items that wait for the reply to it.
type mailbox struct {
	respond func(*shard.Reply) // answers the pending request; nil if there is none
	since   time.Time          // time of the pending request, or of the last reply

	maxInFlight int // maximum number of direct commands that the holder can have in flight
	inFlight    int // direct commands that the holder has in flight

	calls      []shard.Call
	clearances []shard.ExitClearance
	heartbeats []pendingHeartbeat
	answers    []shard.Answer
}

// pendingHeartbeat is a forwarded heartbeat that reported something new, so that the holder
// waits for the leader's answer.
type pendingHeartbeat struct {
	machine *fleet.Machine
	session uint64
	seq     uint64
	fresh   bool
}

// empty reports whether no item waits for the next reply.
func (b *mailbox) empty() bool {
	return len(b.calls) == 0 && len(b.answers) == 0 && len(b.clearances) == 0
}

// fillReply moves waiting items into a reply. Answers come first, because workers wait for
// them.
func (b *mailbox) fillReply(reply *shard.Reply) {
	size := 0
	fits := func(n int) bool {
		ok := size < maxReplyBytes
		size += n
		return ok
	}
	for len(b.answers) > 0 && fits(itemBytes+orderBytes*len(b.answers[0].Commands)) {
		reply.Answers = append(reply.Answers, b.answers[0])
		b.answers = b.answers[1:]
	}
	for len(b.calls) > 0 && fits(itemBytes+len(b.calls[0].Body)) {
		reply.Calls = append(reply.Calls, b.calls[0])
		b.calls = b.calls[1:]
	}
	for len(b.clearances) > 0 && fits(itemBytes+orderBytes*len(b.clearances[0].Commands)) {
		reply.Clearances = append(reply.Clearances, b.clearances[0])
		b.clearances = b.clearances[1:]
	}
}

// handleSync handles a holder's request. The request is answered once there is something to
// send, and after syncHoldTime at the latest.
func (sh *shards) handleSync(request *shard.Request, respond func(*shard.Reply)) {
	now := time.Now()
	if sh.assigner == nil {
		respond(&shard.Reply{})
		return
	}
	revoked, ok := sh.assigner.HandleRequest(request, now)
	if !ok {
		sh.reclaimMachines(revoked, now)
		respond(&shard.Reply{})
		return
	}
	box := sh.openMailbox(request, respond, now)
	if holder := sh.holders[request.Member]; holder != nil {
		holder.KnownUntil = sh.assigner.AnswersKnownUntil(request.Member)
	}
	if request.Term == sh.term {
		for i := range request.Reports {
			sh.handleMachineReport(box, &request.Reports[i], now)
		}
		for i := range request.CallResults {
			sh.finishRelay(&request.CallResults[i])
		}
	} else {
		for _, name := range request.PreviousMachines {
			if machine := sh.fleet.Machines[name]; machine != nil {
				sh.bindHolder(machine)
			}
		}
	}
	sh.reclaimMachines(revoked, now)
	sh.redirectWaiting(request.Member)
}

// openMailbox makes a request the pending one of its member.
func (sh *shards) openMailbox(request *shard.Request, respond func(*shard.Reply), now time.Time) *mailbox {
	box := sh.mailboxes[request.Member]
	if box == nil {
		box = &mailbox{}
		sh.mailboxes[request.Member] = box
	}
	if box.respond != nil {
		box.respond(&shard.Reply{}) // the member has abandoned the earlier request
	}
	box.respond = respond
	box.since = now
	box.maxInFlight = request.MaxCalls
	return box
}

// handleMachineReport handles what a machine has reported to its holder.
func (sh *shards) handleMachineReport(box *mailbox, report *shard.MachineReport, now time.Time) {
	machine := sh.fleet.Machines[report.Machine]
	if machine == nil || sh.machinePool.wasReleased(report.Machine) {
		return
	}
	sh.assigner.ConfirmContact(report.Machine)
	if len(report.Heartbeat) > 0 && !sh.handleFullHeartbeat(box, machine, report, now) {
		return
	}
	if hasRestarted(machine, report) {
		// The holder does not know the numbers of the messages before the restart. It would
		// answer the worker and keep its session alive, which the leader lets end.
		sh.revokeFrom(box, machine, "its worker has restarted", now)
		return
	}
	// The holder may have answered a later heartbeat with the same content. This can also be
	// the case if it sent the heartbeat above before and received no acknowledgement.
	wasInboundCut := machine.InboundCut()
	age := time.Duration(max(0, report.AgeMs)) * time.Millisecond
	events := sh.fleet.RecordRenewal(machine, report.Session, report.Seq, now.Add(-age))
	sh.taskTracker.reachabilityChanged(machine, wasInboundCut)
	sh.taskTracker.applyEvents(events, now)
	if machine.TasksUnknown {
		// The holder sends an unchanged heartbeat without its content, and would never send
		// the tasks again. The leader reads them from the worker's next heartbeat.
		sh.revokeFrom(box, machine, "the leader does not know its tasks", now)
	}
	if clears := machine.ClearCommands(now, maxCommands); clears != nil {
		sh.commands.recordCommands(machine, pathHolder, 0, clears)
		box.clearances = append(box.clearances, shard.ExitClearance{Machine: report.Machine, Commands: clears, Token: machine.Token})
	}
}

// handleFullHeartbeat applies the encoded heartbeat of a report, and registers it for an
// answer unless the worker has restarted. It reports false if the heartbeat is invalid or
// shows that a later term has begun.
func (sh *shards) handleFullHeartbeat(box *mailbox, machine *fleet.Machine, report *shard.MachineReport, now time.Time) bool {
	heartbeat := &wire.Heartbeat{}
	if err := wire.Unmarshal(report.Heartbeat, heartbeat); err != nil || heartbeat.Machine != report.Machine {
		return false // not expected: the holder has already decoded the heartbeat
	}
	fresh, ok := sh.taskTracker.observe(machine, heartbeat, true, now)
	if !ok {
		return false
	}
	if !hasRestarted(machine, report) {
		box.heartbeats = append(box.heartbeats, pendingHeartbeat{
			machine: machine,
			session: heartbeat.Session,
			seq:     heartbeat.Seq,
			fresh:   fresh,
		})
	}
	return true
}

// hasRestarted reports whether a holder's report, after its heartbeat has been applied,
// shows that the worker has restarted without memory: the holder has answered a heartbeat
// that the ledger ignores. A report that the holder repeats does not show that.
func hasRestarted(machine *fleet.Machine, report *shard.MachineReport) bool {
	return machine.Stale(report.Session, report.Seq) && !machine.Repeats(report.Session, report.Seq)
}

// revokeFrom takes a machine back from the holder that has reported it. A holder that has
// lost the machine in the meantime may still report it.
func (sh *shards) revokeFrom(box *mailbox, machine *fleet.Machine, reason string, now time.Time) {
	holder := machine.Holder()
	if holder != nil && sh.mailboxes[holder.Name] == box {
		sh.assigner.Revoke(machine.Name, reason, now)
	}
}

// answerHeartbeats answers the heartbeats that holders have forwarded, in the same way as those
// that the leader receives itself. It runs before direct commands are sent, because what an
// answer carries needs no direct command.
func (sh *shards) answerHeartbeats(now time.Time) {
	for member, box := range sh.mailboxes {
		for _, heartbeat := range box.heartbeats {
			if !sh.answerable(member, &heartbeat) || !sh.machinePool.mayRenewLease(heartbeat.machine, now) {
				continue
			}
			commands, _ := sh.commands.compose(heartbeat.machine, heartbeat.seq, heartbeat.fresh, now)
			box.answers = append(box.answers, shard.Answer{
				Machine:  heartbeat.machine.Name,
				Session:  heartbeat.session,
				Seq:      heartbeat.seq,
				Commands: commands,
				Token:    heartbeat.machine.Token,
			})
		}
		box.heartbeats = nil
	}
}

// answerable reports whether the member still holds the machine, and whether the worker still
// has the session of the heartbeat.
func (sh *shards) answerable(member string, heartbeat *pendingHeartbeat) bool {
	holder := heartbeat.machine.Holder()
	return holder != nil && holder.Name == member &&
		sh.fleet.Machines[heartbeat.machine.Name] == heartbeat.machine &&
		heartbeat.machine.Session == heartbeat.session
}

// answerRequests answers the pending requests for which there is something to send, and those
// that have waited for syncHoldTime.
func (sh *shards) answerRequests(now time.Time) {
	for member, box := range sh.mailboxes {
		if box.respond == nil {
			continue
		}
		if box.empty() && !sh.assigner.ReplyDue(member) && now.Sub(box.since) < syncHoldTime {
			continue
		}
		reply := sh.assigner.Reply(member, now)
		box.fillReply(reply)
		respond := box.respond
		box.respond = nil
		box.since = now
		respond(reply)
	}
}

// Sync answers a holder's request if this controller is the leader. Otherwise it returns a
// reply of term 0.
func (c *Controller) Sync(ctx context.Context, request *shard.Request) *shard.Reply {
	lt := c.currentTerm()
	if lt == nil || !c.Entitled(lt.term) || !lt.takeover.loaded() {
		return &shard.Reply{}
	}
	reply := queryActor(ctx, lt.core, lt.inbox, func(respond func(*shard.Reply)) { lt.shards.handleSync(request, respond) })
	if reply == nil {
		return &shard.Reply{}
	}
	// The grant must end no later than this controller's own lease. The holder counts the
	// grant from before it sent the request.
	left := c.Remaining(lt.term).Milliseconds()
	if left <= 0 {
		return &shard.Reply{}
	}
	reply.GrantMs = min(reply.GrantMs, left)
	return reply
}
