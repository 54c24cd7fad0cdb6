package control

import (
	"errors"
	"slices"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/shard"
)

// Direct commands that are sent through the holder of a machine.

const (
	// relayTimeout is how long a holder may take with a direct command. After that it is not
	// known whether the command was executed, and the ledger sends it again.
	relayTimeout = 3500 * time.Millisecond
	// holderAbsentAfter is the time without a request after which a holder gets no commands:
	// they are sent directly.
	holderAbsentAfter = 600 * time.Millisecond
)

// errNoRelayResult is the outcome of a command of which the holder has reported no result.
var errNoRelayResult = errors.New("the holder has reported no result of the command")

// relayedCommand is a direct command that a holder sends.
type relayedCommand struct {
	host      *fleet.Machine
	member    string
	slots     []*fleet.Slot // what the command launches
	relayedAt time.Time
}

// relayable reports whether a direct command to a machine goes through its holder, and
// whether it may go now.
func (sh *shards) relayable(h *fleet.Machine) (relayed, now bool) {
	if sh.assigner == nil || h.Holder() == nil {
		return false, true
	}
	member, reachable := sh.assigner.Holder(h.Name)
	b := sh.mailboxes[member]
	if !reachable || b == nil || (b.respond == nil && time.Since(b.since) > holderAbsentAfter) {
		return false, true // the holder is absent, and the command must not wait for its grant to end
	}
	return true, b.inFlight < b.maxInFlight
}

// relay passes a direct command to the machine's holder.
func (sh *shards) relay(h *fleet.Machine, body []byte, slots []*fleet.Slot, now time.Time) {
	member, _ := sh.assigner.Holder(h.Name)
	b := sh.mailboxes[member]
	sh.lastCallID++
	b.inFlight++
	b.calls = append(b.calls, shard.Call{
		ID:   sh.lastCallID,
		Addr: h.Addr,
		Body: body,
	})
	sh.relays[sh.lastCallID] = &relayedCommand{
		host:      h,
		member:    member,
		slots:     slots,
		relayedAt: now,
	}
}

// finishRelay takes in the result of a command.
func (sh *shards) finishRelay(d *shard.CallResult) {
	r := sh.relays[d.ID]
	if r == nil {
		return // it has timed out, or the result was reported twice
	}
	delete(sh.relays, d.ID)
	sh.mailboxes[r.member].inFlight--
	result := DirectResult{
		Status:  d.Status,
		Body:    d.Report,
		Reached: d.Reached,
	}
	sh.commands.finishCall(r.host, result, nil, r.slots)
}

// expireRelays ends the commands that have taken longer than relayTimeout.
func (sh *shards) expireRelays(now time.Time) {
	for id, r := range sh.relays {
		if now.Sub(r.relayedAt) <= relayTimeout {
			continue
		}
		delete(sh.relays, id)
		b := sh.mailboxes[r.member]
		b.inFlight--
		before := len(b.calls)
		b.calls = slices.DeleteFunc(b.calls, func(c shard.Call) bool { return c.ID == id })
		// A command that was still in the mailbox was certainly not sent.
		sent := len(b.calls) == before
		sh.commands.finishCall(r.host, DirectResult{Reached: sent}, errNoRelayResult, r.slots)
	}
}
