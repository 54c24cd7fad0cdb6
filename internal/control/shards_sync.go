package control

import (
	"context"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

// The requests of shard holders and the leader's replies.

const (
	// syncHoldTime is how long a holder's request waits for something to send: requests that
	// come as often as they can would take the processor of both sides.
	syncHoldTime = 50 * time.Millisecond
	// maxReplyBytes bounds what a reply carries besides the names of machines, as holders
	// refuse larger messages: a burst of launches on hundreds of machines would be lost whole.
	// One item may come on top; the others are in the next reply.
	maxReplyBytes = 128 << 10
	// itemBytes and orderBytes are the approximate encoded sizes of an item of a reply without
	// its content, and of an order.
	itemBytes  = 64
	orderBytes = 80
)

// mailbox is a holder's pending request, and what waits for the reply to it.
type mailbox struct {
	respond func(*shard.Reply) // answers the pending request; nil: there is none
	since   time.Time          // of the pending request, or of the last reply

	maxInFlight int // direct commands that the holder can have in flight
	inFlight    int // those that it has

	calls      []shard.Call
	clearances []shard.ExitClearance
	heartbeats []pendingHeartbeat
	answers    []shard.Answer
}

// pendingHeartbeat is a heartbeat that reported something new: the holder waits for the
// leader's answer.
type pendingHeartbeat struct {
	host    *fleet.Machine
	session uint64
	seq     uint64
	fresh   bool
}

// empty reports whether nothing waits for the next reply.
func (b *mailbox) empty() bool {
	return len(b.calls) == 0 && len(b.answers) == 0 && len(b.clearances) == 0
}

// fillReply moves what waits into a reply, answers first: workers wait for them.
func (b *mailbox) fillReply(r *shard.Reply) {
	size := 0
	fits := func(n int) bool {
		ok := size < maxReplyBytes
		size += n
		return ok
	}
	for len(b.answers) > 0 && fits(itemBytes+orderBytes*len(b.answers[0].Orders)) {
		r.Answers = append(r.Answers, b.answers[0])
		b.answers = b.answers[1:]
	}
	for len(b.calls) > 0 && fits(itemBytes+len(b.calls[0].Body)) {
		r.Calls = append(r.Calls, b.calls[0])
		b.calls = b.calls[1:]
	}
	for len(b.clearances) > 0 && fits(itemBytes+orderBytes*len(b.clearances[0].Clears)) {
		r.Clearances = append(r.Clearances, b.clearances[0])
		b.clearances = b.clearances[1:]
	}
}

// handleSync takes in a holder's request. It is answered once there is something to send, and
// after syncHoldTime in any case.
func (sh *shards) handleSync(r *shard.Request, respond func(*shard.Reply)) {
	now := time.Now()
	if sh.assigner == nil {
		respond(&shard.Reply{})
		return
	}
	revoked, ok := sh.assigner.HandleRequest(r, now)
	if !ok {
		sh.releaseMachines(revoked, now)
		respond(&shard.Reply{})
		return
	}
	b := sh.openMailbox(r, respond, now)
	if holder := sh.holders[r.Member]; holder != nil {
		holder.KnownUntil = sh.assigner.KnownUntil(r.Member)
	}
	if r.Term == sh.term {
		for i := range r.Reports {
			sh.handleHostReport(b, &r.Reports[i], now)
		}
		for i := range r.CallResults {
			sh.finishRelay(&r.CallResults[i])
		}
	} else {
		for _, name := range r.PreviousHosts {
			if h := sh.fleet.Machines[name]; h != nil {
				sh.bind(h)
			}
		}
	}
	sh.releaseMachines(revoked, now)
	sh.redirectWaiting(r.Member)
}

// openMailbox makes a request the pending one of its member.
func (sh *shards) openMailbox(r *shard.Request, respond func(*shard.Reply), now time.Time) *mailbox {
	b := sh.mailboxes[r.Member]
	if b == nil {
		b = &mailbox{}
		sh.mailboxes[r.Member] = b
	}
	if b.respond != nil {
		b.respond(&shard.Reply{}) // the member has given up the earlier request
	}
	b.respond = respond
	b.since = now
	b.maxInFlight = r.Calls
	return b
}

// handleHostReport takes in what a machine has reported to its holder.
func (sh *shards) handleHostReport(b *mailbox, report *shard.HostReport, now time.Time) {
	h := sh.fleet.Machines[report.Host]
	if h == nil || sh.machinePool.wasReleased(report.Host) {
		return
	}
	sh.assigner.ConfirmContact(report.Host)
	if len(report.Report) > 0 {
		m := &wire.Heartbeat{}
		if err := wire.Unmarshal(report.Report, m); err != nil || m.Host != report.Host {
			return // the holder has decoded it before
		}
		fresh, ok := sh.taskTracker.observe(h, m, true, now)
		if !ok {
			return
		}
		b.heartbeats = append(b.heartbeats, pendingHeartbeat{
			host:    h,
			session: m.Session,
			seq:     m.Seq,
			fresh:   fresh,
		})
	}
	// The holder may have answered a later heartbeat that reported the same, also if the one
	// above was sent before and not acknowledged.
	wasCut := h.InboundCut()
	age := time.Duration(max(0, report.AgeMs)) * time.Millisecond
	events := sh.fleet.RecordRenewal(h, report.Session, report.Seq, now.Add(-age))
	sh.taskTracker.reachabilityChanged(h, wasCut)
	sh.taskTracker.applyEvents(events, now)
	if clears := h.ClearOrders(maxCommands); clears != nil {
		b.clearances = append(b.clearances, shard.ExitClearance{Host: report.Host, Clears: clears})
	}
}

// answerHeartbeats answers the heartbeats that holders have passed on, as the leader answers
// those that come to it. It runs before direct commands are sent: what an answer carries needs
// none.
func (sh *shards) answerHeartbeats(now time.Time) {
	for member, b := range sh.mailboxes {
		for _, hb := range b.heartbeats {
			if !sh.answerable(member, &hb) || !sh.machinePool.mayRenewLease(hb.host, now) {
				continue
			}
			orders, sent, events := sh.fleet.ComposeOrders(hb.host, hb.seq, hb.fresh, now, maxCommands)
			sh.takeover.recordLaunches(len(sent), now)
			sh.taskTracker.applyEvents(events, now)
			b.answers = append(b.answers, shard.Answer{
				Host:    hb.host.Name,
				Session: hb.session,
				Seq:     hb.seq,
				Orders:  orders,
			})
		}
		b.heartbeats = nil
	}
}

// answerable reports whether the member still holds the machine and the agent's session is
// still the one of the heartbeat.
func (sh *shards) answerable(member string, hb *pendingHeartbeat) bool {
	holder := hb.host.Holder()
	return holder != nil && holder.Name == member &&
		sh.fleet.Machines[hb.host.Name] == hb.host &&
		hb.host.Session == hb.session
}

// answerRequests answers the pending requests for which there is something to send, or that
// have waited for syncHoldTime.
func (sh *shards) answerRequests(now time.Time) {
	for member, b := range sh.mailboxes {
		if b.respond == nil {
			continue
		}
		if b.empty() && !sh.assigner.ReplyDue(member) && now.Sub(b.since) < syncHoldTime {
			continue
		}
		r := sh.assigner.Reply(member, now)
		b.fillReply(r)
		respond := b.respond
		b.respond = nil
		b.since = now
		respond(r)
	}
}

// Sync answers a holder's request if this node is the leader; a reply of term 0 otherwise.
func (c *Controller) Sync(ctx context.Context, q *shard.Request) *shard.Reply {
	r := c.currentTerm()
	if r == nil || !c.Entitled(r.term) || !r.takeover.loaded() {
		return &shard.Reply{}
	}
	p := queryActor(ctx, r.core, r.inbox, func(respond func(*shard.Reply)) { r.shards.handleSync(q, respond) })
	if p == nil {
		return &shard.Reply{}
	}
	// The grant ends no later than this node's own lease, and the holder counts it from before
	// it sent the request.
	left := c.Remaining(r.term).Milliseconds()
	if left <= 0 {
		return &shard.Reply{}
	}
	p.ForMs = min(p.ForMs, left)
	return p
}
