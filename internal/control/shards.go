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

	allot   *shard.Assigner // nil: off
	holders map[string]*fleet.Holder
	boxes   map[string]*box
	relayed map[uint64]*relay
	calls   uint64
	waiting map[string][]func() // reports of machines whose holder is changing
	told    map[moveKind]*moved
	toldAt  time.Time
	kept    map[*fleet.Host]struct{} // machines that no holder may answer now
	keptAt  time.Time                // of the last look for more of them
}

// box is what waits for a member's next reply.
type box struct {
	back    func(*shard.Reply) // answers the request under way; nil: there is none
	since   time.Time
	most    int // direct commands that it can have under way
	under   int // those that it has
	calls   []shard.Call
	settled []shard.ExitClearance
	asked   []asked // reports that said something new and wait for an answer
	answers []shard.Answer
}

// asked is a report whose answer the holder waits for.
type asked struct {
	host         *fleet.Host
	session, seq uint64
	fresh        bool
}

type moveKind struct{ from, why string }

type moved struct {
	machines int
	longest  time.Duration
}

// replyBytes bounds what a reply carries besides the machines that come and go, as
// the holders refuse larger messages: a burst of launches on hundreds of machines
// would be lost whole. One item may come on top; the rest has the next reply.
const replyBytes = 128 << 10

// orderBytes is what an order takes, about.
const orderBytes = 80

// fill moves what waits into a reply, answers first: workers wait for them.
func (b *box) fill(r *shard.Reply) {
	size := 0
	fits := func(n int) bool {
		ok := size < replyBytes
		size += n
		return ok
	}
	for len(b.answers) > 0 && fits(64+orderBytes*len(b.answers[0].Orders)) {
		r.Answers, b.answers = append(r.Answers, b.answers[0]), b.answers[1:]
	}
	for len(b.calls) > 0 && fits(64+len(b.calls[0].Body)) {
		r.Calls, b.calls = append(r.Calls, b.calls[0]), b.calls[1:]
	}
	for len(b.settled) > 0 && fits(64+orderBytes*len(b.settled[0].Clears)) {
		r.Clearances, b.settled = append(r.Clearances, b.settled[0]), b.settled[1:]
	}
}

// holdTime is how long a holder's request waits for something to say: requests
// that come as often as they can would take the processor of both sides.
const holdTime = 50 * time.Millisecond

func newShards(co *core) *shards {
	return &shards{core: co, holders: map[string]*fleet.Holder{}, boxes: map[string]*box{}, relayed: map[uint64]*relay{},
		waiting: map[string][]func(){}, told: map[moveKind]*moved{}, kept: map[*fleet.Host]struct{}{}}
}

// Room is how many machines a controller can deal with: a connection each, beside
// those that it needs itself, and a sixth for users.
func Room(maxSockets int) int { return max(0, (maxSockets-2*DirectCalls(maxSockets)-40)*5/6) }

// begin starts with what the registry names; the leader deals with all of it.
func (sh *shards) begin(now time.Time) {
	t, f := sh.c.Tuning.Shares, &sh.c.Settings.Facts
	if !t.Enabled || len(sh.c.Settings.Siblings) == 0 {
		return
	}
	perS := t.PerS
	if perS == 0 {
		perS = shard.PerSecond(f.Resources.CoreShare)
	}
	sh.allot = shard.NewAssigner(sh.term, sh.c.Settings.Member, sh.c.Settings.Site, shard.Settings{
		Grant: time.Duration(t.GrantMs) * time.Millisecond, Join: config.Seconds(t.JoinS), Rest: config.Seconds(t.RestS),
		RestMost: config.Seconds(t.RestMostS), Least: t.Least, PerS: perS, Own: t.Own, Room: Room(f.Resources.MaxSockets)}, now)
	for _, h := range sh.fleet.All() {
		zone := ""
		if h.Zone >= 0 {
			zone = sh.nameIndex.zoneNames()[h.Zone]
		}
		sh.allot.Known(h.Name, zone)
	}
}

// route says whether the leader answers a report that has come to it. If not, the
// worker is sent to the holder, or the report waits until there is none.
func (sh *shards) route(m *wire.Report, again func(), back func(*rpc.Reply)) bool {
	if sh.allot == nil {
		return true
	}
	r, member := sh.allot.Report(m.Host, m.Zone, time.Now())
	switch r {
	case shard.Send:
		back(reply(http.StatusMisdirectedRequest, wire.Redirect{ReportTo: member}))
		return false
	case shard.Wait:
		// One report of a worker is under way at a time, so this is bounded.
		if len(sh.waiting[m.Host]) < 2 {
			sh.waiting[m.Host] = append(sh.waiting[m.Host], again)
		} else {
			back(Later("the machine is changing its controller"))
		}
		return false
	}
	return true
}

// served notes that the leader has answered a machine. One that is new is given away
// before it has seen the term and is in the registry, which a launch still waits for:
// a fleet that boots within a minute would take all sockets of the leader first.
func (sh *shards) served(h *fleet.Host, via string, now time.Time) {
	if sh.allot == nil || h.Releasing {
		return
	}
	sh.keep(h, now)
	sh.allot.Served(h.Name, via, now)
	sh.bind(h)
}

// bind ties the ledger's machine to its holder.
func (sh *shards) bind(h *fleet.Host) {
	if member, _ := sh.allot.Holder(h.Name); member != "" && h.Holder() == nil {
		by := sh.holders[member]
		if by == nil {
			by = &fleet.Holder{Name: member}
			sh.holders[member] = by
		}
		sh.fleet.Hold(h, by)
	}
}

// gone forgets a machine that was returned.
func (sh *shards) gone(h *fleet.Host) {
	if sh.allot == nil {
		return
	}
	h.Unhold(time.Time{})
	sh.allot.Gone(h.Name, time.Now())
}

// sync takes in a holder's request. It is answered once there is something to say,
// and after holdTime in any case.
func (sh *shards) sync(r *shard.Request, back func(*shard.Reply)) {
	now := time.Now()
	if sh.allot == nil {
		back(&shard.Reply{})
		return
	}
	freed, ok := sh.allot.Sync(r, now)
	if !ok {
		sh.free(freed, now)
		back(&shard.Reply{})
		return
	}
	b := sh.boxes[r.Member]
	if b == nil {
		b = &box{}
		sh.boxes[r.Member] = b
	}
	if b.back != nil {
		b.back(&shard.Reply{}) // its caller has given up
	}
	b.back, b.since, b.most = back, now, r.Calls
	if by := sh.holders[r.Member]; by != nil {
		by.Told = sh.allot.Told(r.Member)
	}
	if r.Term == sh.term {
		for i := range r.Entries {
			sh.entry(b, &r.Entries[i], now)
		}
		for i := range r.Done {
			sh.done(&r.Done[i])
		}
	} else {
		for _, name := range r.Have {
			if h := sh.fleet.Hosts[name]; h != nil {
				sh.bind(h)
			}
		}
	}
	sh.free(freed, now)
	sh.taken(r.Member)
}

// entry takes in what a machine has reported to its holder.
func (sh *shards) entry(b *box, e *shard.Entry, now time.Time) {
	h := sh.fleet.Hosts[e.Host]
	if h == nil || sh.machinePool.wasReleased(e.Host) {
		return
	}
	sh.allot.Heard(e.Host)
	if len(e.Report) > 0 {
		m := &wire.Report{}
		if err := wire.Unmarshal(e.Report, m); err != nil || m.Host != e.Host {
			return // it was read once by the holder
		}
		fresh, ok := sh.taskTracker.observe(h, m, true, now)
		if !ok {
			return
		}
		b.asked = append(b.asked, asked{h, m.Session, m.Seq, fresh})
	}
	// The holder may have answered a later report that said the same, also when the
	// one above was told before and its telling was not acknowledged.
	deaf := h.Deaf()
	ev := sh.fleet.Renew(h, e.Session, e.Seq, now.Add(-time.Duration(max(0, e.AgeMs))*time.Millisecond))
	sh.taskTracker.hearing(h, deaf)
	sh.taskTracker.handle(ev, now)
	if clears := h.Clears(maxOrders); clears != nil {
		b.settled = append(b.settled, shard.ExitClearance{Host: e.Host, Clears: clears})
	}
}

// answer answers the reports that wait for it, as the leader answers those that
// come to it. It comes before the direct commands: what goes by an answer needs none.
func (sh *shards) answer(now time.Time) {
	for member, b := range sh.boxes {
		for _, a := range b.asked {
			if by := a.host.Holder(); by == nil || by.Name != member || sh.fleet.Hosts[a.host.Name] != a.host || a.host.Session != a.session {
				continue
			}
			if !sh.machinePool.mayRenewLease(a.host, now) {
				continue
			}
			orders, sent, ev := sh.fleet.Compose(a.host, a.seq, a.fresh, now, maxOrders)
			sh.takeover.launched(len(sent), now)
			sh.taskTracker.handle(ev, now)
			b.answers = append(b.answers, shard.Answer{Host: a.host.Name, Session: a.session, Seq: a.seq, Orders: orders})
		}
		b.asked = nil
	}
}

// free takes machines back from their holders.
func (sh *shards) free(freed []shard.Revocation, now time.Time) {
	for _, f := range freed {
		h := sh.fleet.Hosts[f.Name]
		if h == nil {
			continue // it was returned meanwhile
		}
		h.Unhold(f.Until)
		k := moveKind{f.From, f.Why}
		m := sh.told[k]
		if m == nil {
			m = &moved{}
			sh.told[k] = m
		}
		m.machines++
		m.longest = max(m.longest, now.Sub(f.Since))
		sh.c.Meter.Add(metrics.ShareMoves, f.Why, 1)
		sh.again(f.Name)
	}
}

// again looks once more at the reports of a machine whose holder was changing.
func (sh *shards) again(name string) {
	waiting := sh.waiting[name]
	delete(sh.waiting, name)
	for _, do := range waiting {
		do()
	}
}

// taken sends on the workers of machines that the member has taken over meanwhile.
func (sh *shards) taken(member string) {
	var names []string
	for name := range sh.waiting {
		if by, has := sh.allot.Holder(name); has && by == member {
			names = append(names, name)
		}
	}
	for _, name := range names {
		sh.again(name)
	}
}

// step does what time brings, and answers the requests that have something to be
// told or have waited for long enough.
func (sh *shards) step(now time.Time, scan bool) {
	if sh.allot == nil {
		return
	}
	if scan {
		sh.free(sh.allot.Step(now), now)
		sh.expireRelays(now)
		sh.tell(now)
	}
	sh.keepDue(now)
	for member, b := range sh.boxes {
		if b.back == nil {
			continue
		}
		if len(b.calls) == 0 && len(b.answers) == 0 && len(b.settled) == 0 && !sh.allot.Due(member) && now.Sub(b.since) < holdTime {
			continue
		}
		r := sh.allot.Reply(member, now)
		b.fill(r)
		back := b.back
		b.back, b.since = nil, now
		back(r)
	}
}

// tell logs the moves of the last second, a line for each kind.
func (sh *shards) tell(now time.Time) {
	if now.Sub(sh.toldAt) < time.Second || len(sh.told) == 0 {
		return
	}
	sh.toldAt = now
	held := sh.allot.Held()
	for k, m := range sh.told {
		sh.log.Info("machines changed their controller", "machines", m.machines, "from", k.from, "why", k.why,
			"took", m.longest.Round(time.Millisecond), "held", held)
	}
	clear(sh.told)
	for member, n := range held {
		sh.c.Meter.SetFor(metrics.ShareHeld, member, n)
	}
}

// Sync answers a holder's request as leader.
func (c *Controller) Sync(ctx context.Context, q *shard.Request) *shard.Reply {
	r := c.current()
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
	case r.inbox <- func() { r.shards.sync(q, back) }:
	case <-r.ctx.Done():
		return &shard.Reply{}
	case <-ctx.Done():
		return &shard.Reply{}
	}
	select {
	case p := <-ch:
		// The grant ends no later than what entitles this node, and the holder counts it
		// from before it asked.
		left := c.Left(r.term).Milliseconds()
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
