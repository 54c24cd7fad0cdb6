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

// shards divides the machines among the controllers and is the leader's side of the protocol
// with the holders of the shards. Package shard decides which controller holds which machine.
// The ledger (package fleet) still tracks what may run on each machine.
type shards struct {
	*core
	nameIndex   *nameIndex
	machinePool *machinePool
	taskTracker *taskTracker
	commands    *commands

	assigner  *shard.Assigner          // nil if sharding is off
	holders   map[string]*fleet.Holder // by member
	mailboxes map[string]*mailbox      // by member

	relays     map[uint64]*relayedCommand // by call ID
	lastCallID uint64

	// waitingHeartbeats are functions that handle a deferred heartbeat again, by machine. They
	// are called when the change of the machine's holder is complete.
	waitingHeartbeats map[string][]func()

	moves         map[moveReason]*moveCount // since movesLoggedAt
	movesLoggedAt time.Time

	retained          map[*fleet.Machine]struct{} // machines that only the leader may answer now
	retainedCheckedAt time.Time
}

// moveReason groups the moves of machines back to the leader for the log.
type moveReason struct {
	from   string // member that held the machines
	reason string
}

// moveCount summarizes the moves for one reason since the last log line.
type moveCount struct {
	machines int
	longest  time.Duration // duration of the longest move
}

// maxWaitingHeartbeats limits the heartbeats of a machine that wait for its holder to change. A
// worker sends one heartbeat at a time, but may have abandoned an earlier one.
const maxWaitingHeartbeats = 2

func newShards(co *core) *shards {
	return &shards{
		core:              co,
		holders:           map[string]*fleet.Holder{},
		mailboxes:         map[string]*mailbox{},
		relays:            map[uint64]*relayedCommand{},
		waitingHeartbeats: map[string][]func(){},
		moves:             map[moveReason]*moveCount{},
		retained:          map[*fleet.Machine]struct{}{},
	}
}

// ownSockets is the number of sockets that a controller needs besides those for workers and
// users.
const ownSockets = 40

// ShardCapacity returns how many machines a controller with maxSockets sockets can serve. Each
// machine uses one connection, and a sixth of the connections is left for users.
func ShardCapacity(maxSockets int) int {
	free := maxSockets - 2*MaxDirectCalls(maxSockets) - ownSockets
	return max(0, free*5/6)
}

// start starts sharding with the machines in the registry if it is enabled. The leader serves
// all machines at first.
func (sh *shards) start(now time.Time) {
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
	for _, machine := range sh.fleet.All() {
		zone := ""
		if machine.Zone >= 0 {
			zone = sh.nameIndex.zoneNames()[machine.Zone]
		}
		sh.assigner.AddMachine(machine.Name, zone)
	}
}

// routeHeartbeat reports whether the leader answers a heartbeat that it received. Otherwise the
// worker is redirected to the holder of the machine, or the heartbeat is deferred until the
// machine has no holder and is then handled by retry.
func (sh *shards) routeHeartbeat(heartbeat *wire.Heartbeat, retry func(), respond func(*rpc.Reply)) bool {
	if sh.assigner == nil {
		return true
	}
	route, member := sh.assigner.RouteHeartbeat(heartbeat.Machine, heartbeat.Zone, time.Now())
	switch route {
	case shard.Redirect:
		respond(reply(http.StatusMisdirectedRequest, wire.Redirect{ReportTo: member}))
		return false
	case shard.Wait:
		if len(sh.waitingHeartbeats[heartbeat.Machine]) < maxWaitingHeartbeats {
			sh.waitingHeartbeats[heartbeat.Machine] = append(sh.waitingHeartbeats[heartbeat.Machine], retry)
		} else {
			respond(Unavailable("the machine is being moved to another controller"))
		}
		return false
	}
	return true
}

// recordAnswered records that the leader has answered a machine; via is the member that
// forwarded the heartbeat. A new machine may be assigned to a holder before it has seen the
// term and is in the registry, although a launch still waits for both. Otherwise a fleet that
// boots within a minute would first use all sockets of the leader.
func (sh *shards) recordAnswered(machine *fleet.Machine, via string, now time.Time) {
	if sh.assigner == nil || machine.Releasing {
		return
	}
	sh.retain(machine, now)
	sh.assigner.HeartbeatServed(machine.Name, via, now)
	sh.bindHolder(machine)
}

// bindHolder sets the holder of a machine in the ledger to the holder that the assigner has
// chosen.
func (sh *shards) bindHolder(machine *fleet.Machine) {
	member, _ := sh.assigner.Holder(machine.Name)
	if member == "" || machine.Holder() != nil {
		return
	}
	holder := sh.holders[member]
	if holder == nil {
		holder = &fleet.Holder{Name: member}
		sh.holders[member] = holder
	}
	sh.fleet.SetHolder(machine, holder)
}

// removeMachine removes a machine that was released.
func (sh *shards) removeMachine(machine *fleet.Machine) {
	if sh.assigner == nil {
		return
	}
	machine.ClearHolder(time.Time{})
	sh.assigner.RemoveMachine(machine.Name, time.Now())
}

// reclaimMachines returns machines that their holders no longer serve to the leader.
func (sh *shards) reclaimMachines(revoked []shard.Revocation, now time.Time) {
	for _, revocation := range revoked {
		machine := sh.fleet.Machines[revocation.Name]
		if machine == nil {
			continue // the machine was released in the meantime
		}
		machine.ClearHolder(revocation.Until)
		sh.countMove(&revocation, now)
		sh.retryHeartbeats(revocation.Name)
	}
}

// countMove counts the move of a machine back to the leader for the log and the metrics.
func (sh *shards) countMove(revocation *shard.Revocation, now time.Time) {
	key := moveReason{from: revocation.From, reason: revocation.Reason}
	count := sh.moves[key]
	if count == nil {
		count = &moveCount{}
		sh.moves[key] = count
	}
	count.machines++
	count.longest = max(count.longest, now.Sub(revocation.Since))
	sh.controller.Meter.Add(metrics.ShardReturns, revocation.Reason, 1)
}

// retryHeartbeats handles the heartbeats of a machine that have waited for its holder to
// change.
func (sh *shards) retryHeartbeats(name string) {
	waiting := sh.waitingHeartbeats[name]
	delete(sh.waitingHeartbeats, name)
	for _, retry := range waiting {
		retry()
	}
}

// redirectWaiting handles the waiting heartbeats of the machines that the member now holds,
// which redirects their workers to it.
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

// step performs the periodic work, and answers the holders' requests that have waited long
// enough or for which there is something to send. If scan is set, as it is in some of the
// calls, step also does the work that visits all machines.
func (sh *shards) step(now time.Time, scan bool) {
	if sh.assigner == nil {
		return
	}
	if scan {
		sh.reclaimMachines(sh.assigner.Step(now), now)
		sh.expireRelays(now)
		sh.logMoves(now)
	}
	// This precedes every reply, because a reply extends the holder's grant.
	sh.updateRetained(now)
	sh.answerRequests(now)
}

// moveLogInterval is the minimum time between log lines about moves.
const moveLogInterval = time.Second

// logMoves logs the moves since the last time, in one line for each previous controller and
// reason, at most once per moveLogInterval.
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
	for member, machineCount := range held {
		sh.controller.Meter.SetLabeled(metrics.ShardMachines, member, machineCount)
	}
}
