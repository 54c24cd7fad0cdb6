package control

import (
	"context"
	"net/http"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

// shards gives the machines out among the controllers and is the leader's end of
// what it says to the holders. Who has which machine is decided by package share;
// what may be on it stays in the one ledger.
type shards struct {
	*core
	nameIndex   *nameIndex
	machinePool *machinePool
	takeover    *takeover
	taskTracker *taskTracker
	commands    *commands

	assigner          *shard.Assigner // nil: off
	holders           map[string]*fleet.Holder
	mailboxes         map[string]*mailbox
	relays            map[uint64]*relayedCommand
	lastCallID        uint64
	waitingHeartbeats map[string][]func() // reports of machines whose holder is changing
	moves             map[moveReason]*moveCount
	movesLoggedAt     time.Time
	reserved          map[*fleet.Host]struct{} // machines that no holder may answer now
	reserveCheckedAt  time.Time                // of the last look for more of them
}

// mailbox is what waits for a member's next reply.
type mailbox struct {
	respond     func(*shard.Reply) // answers the request under way; nil: there is none
	since       time.Time
	maxInFlight int // direct commands that it can have under way
	inFlight    int // those that it has
	calls       []shard.Call
	clearances  []shard.ExitClearance
	heartbeats  []pendingHeartbeat // reports that said something new and wait for an answer
	answers     []shard.Answer
}

// pendingHeartbeat is a report whose answer the holder waits for.
type pendingHeartbeat struct {
	host         *fleet.Host
	session, seq uint64
	fresh        bool
}

type moveReason struct{ from, reason string }

type moveCount struct {
	machines int
	longest  time.Duration
}

// maxReplyBytes bounds what a reply carries besides the machines that come and go, as
// the holders refuse larger messages: a burst of launches on hundreds of machines
// would be lost whole. One item may come on top; the rest has the next reply.
const maxReplyBytes = 128 << 10

// orderBytes is what an order takes, about.
const orderBytes = 80

// fillReply moves what waits into a reply, answers first: workers wait for them.
func (b *mailbox) fillReply(r *shard.Reply) {
	size := 0
	fits := func(n int) bool {
		ok := size < maxReplyBytes
		size += n
		return ok
	}
	for len(b.answers) > 0 && fits(64+orderBytes*len(b.answers[0].Orders)) {
		r.Answers, b.answers = append(r.Answers, b.answers[0]), b.answers[1:]
	}
	for len(b.calls) > 0 && fits(64+len(b.calls[0].Body)) {
		r.Calls, b.calls = append(r.Calls, b.calls[0]), b.calls[1:]
	}
	for len(b.clearances) > 0 && fits(64+orderBytes*len(b.clearances[0].Clears)) {
		r.Clearances, b.clearances = append(r.Clearances, b.clearances[0]), b.clearances[1:]
	}
}

// syncHoldTime is how long a holder's request waits for something to say: requests
// that come as often as they can would take the processor of both sides.
const syncHoldTime = 50 * time.Millisecond

func newShards(co *core) *shards {
	return &shards{core: co, holders: map[string]*fleet.Holder{}, mailboxes: map[string]*mailbox{}, relays: map[uint64]*relayedCommand{},
		waitingHeartbeats: map[string][]func(){}, moves: map[moveReason]*moveCount{}, reserved: map[*fleet.Host]struct{}{}}
}

// ShardCapacity is how many machines a controller can deal with: a connection each, beside
// those that it needs itself, and a sixth for users.
func ShardCapacity(maxSockets int) int {
	return max(0, (maxSockets-2*MaxDirectCalls(maxSockets)-40)*5/6)
}

// begin starts with what the registry names; the leader deals with all of it.
func (sh *shards) begin(now time.Time) {
	t, f := sh.controller.Tuning.Shares, &sh.controller.Settings.Facts
	if !t.Enabled || len(sh.controller.Settings.Siblings) == 0 {
		return
	}
	perS := t.PerS
	if perS == 0 {
		perS = shard.MovesPerSecond(f.Resources.CoreShare)
	}
	sh.assigner = shard.NewAssigner(sh.term, sh.controller.Settings.Member, sh.controller.Settings.Site, shard.Settings{
		GrantDuration: time.Duration(t.GrantMs) * time.Millisecond, JoinDelay: config.Seconds(t.JoinS), RejoinDelay: config.Seconds(t.RestS),
		MaxRejoinDelay: config.Seconds(t.RestMostS), MinMachines: t.Least, MovesPerSecond: perS, LeaderWeight: t.Own, LeaderCapacity: ShardCapacity(f.Resources.MaxSockets)}, now)
	for _, h := range sh.fleet.All() {
		zone := ""
		if h.Zone >= 0 {
			zone = sh.nameIndex.zoneNames()[h.Zone]
		}
		sh.assigner.AddMachine(h.Name, zone)
	}
}

// routeHeartbeat says whether the leader answers a report that has come to it. If not, the
// worker is sent to the holder, or the report waits until there is none.
func (sh *shards) routeHeartbeat(m *wire.Report, again func(), back func(*rpc.Reply)) bool {
	if sh.assigner == nil {
		return true
	}
	r, member := sh.assigner.RouteReport(m.Host, m.Zone, time.Now())
	switch r {
	case shard.Send:
		back(reply(http.StatusMisdirectedRequest, wire.Redirect{ReportTo: member}))
		return false
	case shard.Wait:
		// One report of a worker is under way at a time, so this is bounded.
		if len(sh.waitingHeartbeats[m.Host]) < 2 {
			sh.waitingHeartbeats[m.Host] = append(sh.waitingHeartbeats[m.Host], again)
		} else {
			back(Unavailable("the machine is changing its controller"))
		}
		return false
	}
	return true
}

// recordAnswered notes that the leader has answered a machine. One that is new is given away
// before it has seen the term and is in the registry, which a launch still waits for:
// a fleet that boots within a minute would take all sockets of the leader first.
func (sh *shards) recordAnswered(h *fleet.Host, via string, now time.Time) {
	if sh.assigner == nil || h.Releasing {
		return
	}
	sh.reserve(h, now)
	sh.assigner.ReportServed(h.Name, via, now)
	sh.bind(h)
}

// bind ties the ledger's machine to its holder.
func (sh *shards) bind(h *fleet.Host) {
	if member, _ := sh.assigner.Holder(h.Name); member != "" && h.Holder() == nil {
		by := sh.holders[member]
		if by == nil {
			by = &fleet.Holder{Name: member}
			sh.holders[member] = by
		}
		sh.fleet.SetHolder(h, by)
	}
}

// remove forgets a machine that was returned.
func (sh *shards) remove(h *fleet.Host) {
	if sh.assigner == nil {
		return
	}
	h.ClearHolder(time.Time{})
	sh.assigner.RemoveMachine(h.Name, time.Now())
}

// handleSync takes in a holder's request. It is answered once there is something to say,
// and after holdTime in any case.
func (sh *shards) handleSync(r *shard.Request, back func(*shard.Reply)) {
	now := time.Now()
	if sh.assigner == nil {
		back(&shard.Reply{})
		return
	}
	freed, ok := sh.assigner.HandleRequest(r, now)
	if !ok {
		sh.releaseMachines(freed, now)
		back(&shard.Reply{})
		return
	}
	b := sh.mailboxes[r.Member]
	if b == nil {
		b = &mailbox{}
		sh.mailboxes[r.Member] = b
	}
	if b.respond != nil {
		b.respond(&shard.Reply{}) // its caller has given up
	}
	b.respond, b.since, b.maxInFlight = back, now, r.Calls
	if by := sh.holders[r.Member]; by != nil {
		by.KnownUntil = sh.assigner.KnownUntil(r.Member)
	}
	if r.Term == sh.term {
		for i := range r.Reports {
			sh.handleEntry(b, &r.Reports[i], now)
		}
		for i := range r.CallResults {
			sh.finishRelay(&r.CallResults[i])
		}
	} else {
		for _, name := range r.PreviousHosts {
			if h := sh.fleet.Hosts[name]; h != nil {
				sh.bind(h)
			}
		}
	}
	sh.releaseMachines(freed, now)
	sh.redirectWaiting(r.Member)
}

// handleEntry takes in what a machine has reported to its holder.
func (sh *shards) handleEntry(b *mailbox, e *shard.HostReport, now time.Time) {
	h := sh.fleet.Hosts[e.Host]
	if h == nil || sh.machinePool.gone(e.Host) {
		return
	}
	sh.assigner.ConfirmContact(e.Host)
	if len(e.Report) > 0 {
		m := &wire.Report{}
		if err := wire.Unmarshal(e.Report, m); err != nil || m.Host != e.Host {
			return // it was read once by the holder
		}
		fresh, ok := sh.taskTracker.observe(h, m, true, now)
		if !ok {
			return
		}
		b.heartbeats = append(b.heartbeats, pendingHeartbeat{h, m.Session, m.Seq, fresh})
	}
	// The holder may have answered a later report that said the same, also when the
	// one above was told before and its telling was not acknowledged.
	deaf := h.InboundCut()
	ev := sh.fleet.Renew(h, e.Session, e.Seq, now.Add(-time.Duration(max(0, e.AgeMs))*time.Millisecond))
	sh.taskTracker.reachabilityChanged(h, deaf)
	sh.taskTracker.applyEvents(ev, now)
	if clears := h.ClearOrders(maxOrders); clears != nil {
		b.clearances = append(b.clearances, shard.ExitClearance{Host: e.Host, Clears: clears})
	}
}

// answerHeartbeats answers the reports that wait for it, as the leader answers those that
// come to it. It comes before the direct commands: what goes by an answer needs none.
func (sh *shards) answerHeartbeats(now time.Time) {
	for member, b := range sh.mailboxes {
		for _, a := range b.heartbeats {
			if by := a.host.Holder(); by == nil || by.Name != member || sh.fleet.Hosts[a.host.Name] != a.host || a.host.Session != a.session {
				continue
			}
			if !sh.machinePool.renewable(a.host, now) {
				continue
			}
			orders, sent, ev := sh.fleet.ComposeOrders(a.host, a.seq, a.fresh, now, maxOrders)
			sh.takeover.recordLaunches(len(sent), now)
			sh.taskTracker.applyEvents(ev, now)
			b.answers = append(b.answers, shard.Answer{Host: a.host.Name, Session: a.session, Seq: a.seq, Orders: orders})
		}
		b.heartbeats = nil
	}
}

// releaseMachines takes machines back from their holders.
func (sh *shards) releaseMachines(freed []shard.Revocation, now time.Time) {
	for _, f := range freed {
		h := sh.fleet.Hosts[f.Name]
		if h == nil {
			continue // it was returned meanwhile
		}
		h.ClearHolder(f.Until)
		k := moveReason{f.From, f.Reason}
		m := sh.moves[k]
		if m == nil {
			m = &moveCount{}
			sh.moves[k] = m
		}
		m.machines++
		m.longest = max(m.longest, now.Sub(f.Since))
		sh.controller.Meter.Add(metrics.ShareMoves, f.Reason, 1)
		sh.retryHeartbeats(f.Name)
	}
}

// retryHeartbeats looks once more at the reports of a machine whose holder was changing.
func (sh *shards) retryHeartbeats(name string) {
	waiting := sh.waitingHeartbeats[name]
	delete(sh.waitingHeartbeats, name)
	for _, do := range waiting {
		do()
	}
}

// redirectWaiting sends on the workers of machines that the member has taken over meanwhile.
func (sh *shards) redirectWaiting(member string) {
	var names []string
	for name := range sh.waitingHeartbeats {
		if by, has := sh.assigner.Holder(name); has && by == member {
			names = append(names, name)
		}
	}
	for _, name := range names {
		sh.retryHeartbeats(name)
	}
}

// step does what time brings, and answers the requests that have something to be
// told or have waited for long enough.
func (sh *shards) step(now time.Time, scan bool) {
	if sh.assigner == nil {
		return
	}
	if scan {
		sh.releaseMachines(sh.assigner.Step(now), now)
		sh.expireRelays(now)
		sh.logMoves(now)
	}
	sh.updateReserved(now)
	for member, b := range sh.mailboxes {
		if b.respond == nil {
			continue
		}
		if len(b.calls) == 0 && len(b.answers) == 0 && len(b.clearances) == 0 && !sh.assigner.ReplyDue(member) && now.Sub(b.since) < syncHoldTime {
			continue
		}
		r := sh.assigner.Reply(member, now)
		b.fillReply(r)
		back := b.respond
		b.respond, b.since = nil, now
		back(r)
	}
}

// logMoves logs the moves of the last second, a line for each kind.
func (sh *shards) logMoves(now time.Time) {
	if now.Sub(sh.movesLoggedAt) < time.Second || len(sh.moves) == 0 {
		return
	}
	sh.movesLoggedAt = now
	held := sh.assigner.HeldCounts()
	for k, m := range sh.moves {
		sh.log.Info("machines changed their controller", "machines", m.machines, "from", k.from, "why", k.reason,
			"took", m.longest.Round(time.Millisecond), "held", held)
	}
	clear(sh.moves)
	for member, n := range held {
		sh.controller.Meter.SetFor(metrics.ShareHeld, member, n)
	}
}

// Sync answers a holder's request as leader.
func (c *Controller) Sync(ctx context.Context, q *shard.Request) *shard.Reply {
	r := c.currentTerm()
	if r == nil || !c.Entitled(r.term) || !r.takeover.loaded() {
		return &shard.Reply{}
	}
	ch := make(chan *shard.Reply, 1)
	back := func(p *shard.Reply) {
		select {
		case ch <- p:
		default:
		}
	}
	select {
	case r.inbox <- func() { r.shards.handleSync(q, back) }:
	case <-r.ctx.Done():
		return &shard.Reply{}
	case <-ctx.Done():
		return &shard.Reply{}
	}
	select {
	case p := <-ch:
		// The grant ends no later than what entitles this node, and the holder counts it
		// from before it asked.
		left := c.Remaining(r.term).Milliseconds()
		if left <= 0 {
			return &shard.Reply{}
		}
		p.ForMs = min(p.ForMs, left)
		return p
	case <-r.ctx.Done():
		return &shard.Reply{}
	case <-ctx.Done():
		return &shard.Reply{}
	}
}
