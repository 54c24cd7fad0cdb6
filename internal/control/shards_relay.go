package control

import (
	"errors"
	"slices"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/shard"
)

// The leader sends direct commands to a machine through the machine's holder.

const (
	// relayTimeout is how long a holder may take to execute a direct command. After that it is
	// unknown whether the command was executed, and the ledger sends it again.
	relayTimeout = 3500 * time.Millisecond
	// holderAbsentAfter is the time without a request after which a holder counts as absent.
	// Commands to its machines are then sent directly.
	holderAbsentAfter = 600 * time.Millisecond
)

// errNoRelayResult is the error of a relayed command for which the holder has not reported a
// result.
var errNoRelayResult = errors.New("the holder did not report the result of the command in time")

// relayedCommand is a direct command that a holder sends for the leader.
type relayedCommand struct {
	machine   *fleet.Machine
	member    string
	slots     []*fleet.Slot // placements that the command launches
	relayedAt time.Time
}

// relayable reports whether a direct command to a machine is sent through its holder, and
// whether it can be sent now.
func (sh *shards) relayable(machine *fleet.Machine) (viaHolder, ready bool) {
	if sh.assigner == nil || machine.Holder() == nil {
		return false, true
	}
	member, reachable := sh.assigner.Holder(machine.Name)
	box := sh.mailboxes[member]
	if !reachable || box == nil || (box.respond == nil && time.Since(box.since) > holderAbsentAfter) {
		return false, true // the holder is absent, and the command must not wait for its grant to end
	}
	return true, box.inFlight < box.maxInFlight
}

// relay queues a direct command for the machine's holder.
func (sh *shards) relay(machine *fleet.Machine, body []byte, slots []*fleet.Slot, now time.Time) {
	member, _ := sh.assigner.Holder(machine.Name)
	box := sh.mailboxes[member]
	sh.lastCallID++
	box.inFlight++
	box.calls = append(box.calls, shard.Call{
		ID:   sh.lastCallID,
		Addr: machine.Addr,
		Body: body,
	})
	sh.relays[sh.lastCallID] = &relayedCommand{
		machine:   machine,
		member:    member,
		slots:     slots,
		relayedAt: now,
	}
}

// finishRelay handles the result of a relayed command.
func (sh *shards) finishRelay(callResult *shard.CallResult) {
	command := sh.relays[callResult.ID]
	if command == nil {
		return // the command has timed out, or its result was reported twice
	}
	delete(sh.relays, callResult.ID)
	sh.mailboxes[command.member].inFlight--
	result := DirectResult{
		Status:  callResult.Status,
		Body:    callResult.Heartbeat,
		Reached: callResult.Reached,
	}
	sh.commands.finishCall(command.machine, result, nil, command.slots)
}

// expireRelays ends the relayed commands that have exceeded relayTimeout.
func (sh *shards) expireRelays(now time.Time) {
	for id, command := range sh.relays {
		if now.Sub(command.relayedAt) <= relayTimeout {
			continue
		}
		delete(sh.relays, id)
		box := sh.mailboxes[command.member]
		box.inFlight--
		before := len(box.calls)
		box.calls = slices.DeleteFunc(box.calls, func(call shard.Call) bool { return call.ID == id })
		// A command that was still in the mailbox was certainly not sent.
		sent := len(box.calls) == before
		sh.commands.finishCall(command.machine, DirectResult{Reached: sent}, errNoRelayResult, command.slots)
	}
}
