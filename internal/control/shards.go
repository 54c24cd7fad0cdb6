package control

import (
	"net/http"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

// shards divides the machines among the controllers, and is the leader's end of the protocol
// with the holders of the shards. Package shard decides who holds which machine; what may be
// on a machine stays in the ledger (package fleet).
type shards struct {
	*core
	nameIndex   *nameIndex
	machinePool *machinePool
	takeover    *takeover
	taskTracker *taskTracker
	commands    *commands

	assigner  *shard.Assigner          // nil: sharding is off
	holders   map[string]*fleet.Holder // by member
	mailboxes map[string]*mailbox      // by member

	relays     map[uint64]*relayedCommand // by call ID
	lastCallID uint64

	// waitingHeartbeats handle heartbeats once more, by machine, when the change of the
	// machine's holder is complete.
	waitingHeartbeats map[string][]func()

	moves         map[moveReason]*moveCount // since movesLoggedAt
	movesLoggedAt time.Time

	reserved         map[*fleet.Machine]struct{} // machines that no holder may answer now
	reserveCheckedAt time.Time
}

// moveReason groups the moves of machines back to the leader for the log.
type moveReason struct {
	from   string // the member that held them
	reason string
}

// moveCount sums up the moves of one reason since the last log line.
type moveCount struct {
	machines int
	longest  time.Duration // that a move has taken
}

// maxWaitingHeartbeats bounds the heartbeats of a machine that wait for its holder to change.
// A worker has one under way at a time, and may have given up an earlier one.
const maxWaitingHeartbeats = 2

func newShards(co *core) *shards {
	return &shards{
		core:              co,
		holders:           map[string]*fleet.Holder{},
		mailboxes:         map[string]*mailbox{},
		relays:            map[uint64]*relayedCommand{},
		waitingHeartbeats: map[string][]func(){},
		moves:             map[moveReason]*moveCount{},
		reserved:          map[*fleet.Machine]struct{}{},
	}
}

// ownSockets are the sockets that a controller needs besides those to workers and users.
const ownSockets = 40

// ShardCapacity is how many machines a controller with that many sockets can serve: each
// machine takes a connection, and a sixth is left for users.
func ShardCapacity(maxSockets int) int {
	free := maxSockets - 2*MaxDirectCalls(maxSockets) - ownSockets
	return max(0, free*5/6)
}

// begin starts with the machines in the registry, all of which the leader serves at first.
func (sh *shards) begin(now time.Time) {
	tuning := sh.controller.Tuning.Sharding
	resources := &sh.controller.Settings.Facts.Resources
	if !tuning.Enabled || len(sh.controller.Settings.Siblings) == 0 {
		return
	}
	movesPerS := tuning.MovesPerS
	if movesPerS == 0 {
		movesPerS = shard.MovesPerSecond(resources.CoreShare)
	}
	settings := shard.Settings{
		GrantDuration:  time.Duration(tuning.GrantMs) * time.Millisecond,
		JoinDelay:      config.Seconds(tuning.JoinDelayS),
		RejoinDelay:    config.Seconds(tuning.RejoinDelayS),
		MaxRejoinDelay: config.Seconds(tuning.MaxRejoinDelayS),
		MinMachines:    tuning.MinMachines,
		MovesPerSecond: movesPerS,
		LeaderWeight:   tuning.LeaderWeight,
		LeaderCapacity: ShardCapacity(resources.MaxSockets),
	}
	sh.assigner = shard.NewAssigner(sh.term, sh.controller.Settings.Member, sh.controller.Settings.Site, settings, now)
	for _, h := range sh.fleet.All() {
		zone := ""
		if h.Zone >= 0 {
			zone = sh.nameIndex.zoneNames()[h.Zone]
		}
		sh.assigner.AddMachine(h.Name, zone)
	}
}

// routeHeartbeat reports whether the leader answers a heartbeat that has come to it. If not,
// the worker is redirected to the holder, or the heartbeat waits until the machine has none
// and is then handled again.
func (sh *shards) routeHeartbeat(m *wire.Heartbeat, again func(), respond func(*rpc.Reply)) bool {
	if sh.assigner == nil {
		return true
	}
	route, member := sh.assigner.RouteReport(m.Host, m.Zone, time.Now())
	switch route {
	case shard.Send:
		respond(reply(http.StatusMisdirectedRequest, wire.Redirect{ReportTo: member}))
		return false
	case shard.Wait:
		if len(sh.waitingHeartbeats[m.Host]) < maxWaitingHeartbeats {
			sh.waitingHeartbeats[m.Host] = append(sh.waitingHeartbeats[m.Host], again)
		} else {
			respond(Unavailable("the machine is changing its controller"))
		}
		return false
	}
	return true
}

// recordAnswered records that the leader has answered a machine; via is the member that
// forwarded the heartbeat. A new machine may go to a holder before it has seen the term and
// is in the registry, which a launch still waits for: a fleet that boots within a minute
// would take all sockets of the leader first.
func (sh *shards) recordAnswered(h *fleet.Machine, via string, now time.Time) {
	if sh.assigner == nil || h.Releasing {
		return
	}
	sh.reserve(h, now)
	sh.assigner.ReportServed(h.Name, via, now)
	sh.bind(h)
}

// bind sets the holder of a machine in the ledger as the assigner has it.
func (sh *shards) bind(h *fleet.Machine) {
	member, _ := sh.assigner.Holder(h.Name)
	if member == "" || h.Holder() != nil {
		return
	}
	holder := sh.holders[member]
	if holder == nil {
		holder = &fleet.Holder{Name: member}
		sh.holders[member] = holder
	}
	sh.fleet.SetHolder(h, holder)
}

// remove forgets a machine that was released.
func (sh *shards) remove(h *fleet.Machine) {
	if sh.assigner == nil {
		return
	}
	h.ClearHolder(time.Time{})
	sh.assigner.RemoveMachine(h.Name, time.Now())
}

// releaseMachines takes back the machines that their holders no longer serve.
func (sh *shards) releaseMachines(revoked []shard.Revocation, now time.Time) {
	for _, r := range revoked {
		h := sh.fleet.Machines[r.Name]
		if h == nil {
			continue // it was released meanwhile
		}
		h.ClearHolder(r.Until)
		sh.countMove(&r, now)
		sh.retryHeartbeats(r.Name)
	}
}

// countMove counts the move of a machine back to the leader for the log and the metrics.
func (sh *shards) countMove(r *shard.Revocation, now time.Time) {
	key := moveReason{from: r.From, reason: r.Reason}
	count := sh.moves[key]
	if count == nil {
		count = &moveCount{}
		sh.moves[key] = count
	}
	count.machines++
	count.longest = max(count.longest, now.Sub(r.Since))
	sh.controller.Meter.Add(metrics.ShardReturns, r.Reason, 1)
}

// retryHeartbeats handles the heartbeats of a machine that have waited for its holder to
// change.
func (sh *shards) retryHeartbeats(name string) {
	waiting := sh.waitingHeartbeats[name]
	delete(sh.waitingHeartbeats, name)
	for _, again := range waiting {
		again()
	}
}

// redirectWaiting handles the waiting heartbeats of machines that the member has come to
// hold: their workers are redirected to it.
func (sh *shards) redirectWaiting(member string) {
	var names []string
	for name := range sh.waitingHeartbeats {
		holder, reachable := sh.assigner.Holder(name)
		if reachable && holder == member {
			names = append(names, name)
		}
	}
	for _, name := range names {
		sh.retryHeartbeats(name)
	}
}

// step does what is due by time, and answers the holders' requests that have waited long
// enough or for which there is something to send. Scan is true for some of the calls: it
// includes what looks at all machines.
func (sh *shards) step(now time.Time, scan bool) {
	if sh.assigner == nil {
		return
	}
	if scan {
		sh.releaseMachines(sh.assigner.Step(now), now)
		sh.expireRelays(now)
		sh.logMoves(now)
	}
	// Before any reply, since a reply prolongs the holder's grant.
	sh.updateReserved(now)
	sh.answerRequests(now)
}

// moveLogInterval spaces the log lines about moves.
const moveLogInterval = time.Second

// logMoves logs the moves since it last logged, one line for each previous controller and
// reason, at most once in moveLogInterval.
func (sh *shards) logMoves(now time.Time) {
	if now.Sub(sh.movesLoggedAt) < moveLogInterval || len(sh.moves) == 0 {
		return
	}
	sh.movesLoggedAt = now
	held := sh.assigner.HeldCounts()
	for key, count := range sh.moves {
		sh.log.Info("machines moved to another controller", "machines", count.machines, "from", key.from, "reason", key.reason,
			"longest", count.longest.Round(time.Millisecond), "machines_by_controller", held)
	}
	clear(sh.moves)
	for member, n := range held {
		sh.controller.Meter.SetLabeled(metrics.ShardMachines, member, n)
	}
}
