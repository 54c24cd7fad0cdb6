package control

import (
	"errors"
	"slices"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/shard"
)

// Direct commands that go through the holder of a machine.

// relayedCommand is a direct command that a holder sends.
type relayedCommand struct {
	host      *fleet.Host
	member    string
	slots     []*fleet.Slot
	relayedAt time.Time
}

// errNoRelayResult is the end of a command of which the holder has told nothing.
var errNoRelayResult = errors.New("the holder has told nothing of it")

// relayTimeout is how long a holder may take with a direct command. After that what
// the command launched is in doubt, and the ledger sends it once more.
const relayTimeout = 3500 * time.Millisecond

// holderAbsentAfter is after what time without a request a holder gets no commands: they
// are sent directly.
const holderAbsentAfter = 600 * time.Millisecond

// relayable reports whether a direct command to a machine goes through its holder, and
// whether it may go now.
func (sh *shards) relayable(h *fleet.Host) (relayed, now bool) {
	if sh.assigner == nil || h.Holder() == nil {
		return false, true
	}
	member, asked := sh.assigner.Holder(h.Name)
	b := sh.mailboxes[member]
	if !asked || b == nil || (b.respond == nil && time.Since(b.since) > holderAbsentAfter) {
		return false, true // it is not there: the command must not wait for its end
	}
	return true, b.inFlight < b.maxInFlight
}

// relay hands a direct command to the machine's holder.
func (sh *shards) relay(h *fleet.Host, body []byte, sent []*fleet.Slot, now time.Time) {
	member, _ := sh.assigner.Holder(h.Name)
	b := sh.mailboxes[member]
	sh.lastCallID++
	b.inFlight++
	b.calls = append(b.calls, shard.Call{ID: sh.lastCallID, Addr: h.Addr, Body: body})
	sh.relays[sh.lastCallID] = &relayedCommand{host: h, member: member, slots: sent, relayedAt: now}
}

// finishRelay takes in what became of a command.
func (sh *shards) finishRelay(d *shard.CallResult) {
	r := sh.relays[d.ID]
	if r == nil {
		return // given up, or told twice
	}
	delete(sh.relays, d.ID)
	sh.mailboxes[r.member].inFlight--
	sh.commands.finishCall(r.host, DirectResult{Status: d.Status, Body: d.Report, Reached: d.Reached}, nil, r.slots)
}

// expireRelays gives up the commands of which the holder has told nothing for too long.
func (sh *shards) expireRelays(now time.Time) {
	for id, r := range sh.relays {
		if now.Sub(r.relayedAt) > relayTimeout {
			delete(sh.relays, id)
			b := sh.mailboxes[r.member]
			b.inFlight--
			waits := len(b.calls)
			b.calls = slices.DeleteFunc(b.calls, func(c shard.Call) bool { return c.ID == id })
			// One that has not left yet was certainly not sent.
			sh.commands.finishCall(r.host, DirectResult{Reached: len(b.calls) == waits}, errNoRelayResult, r.slots)
		}
	}
}
