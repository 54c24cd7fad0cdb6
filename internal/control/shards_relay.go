package control

import (
	"errors"
	"slices"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/shard"
)

// Direct commands that go through the holder of a machine.

// relay is a direct command that a holder sends.
type relay struct {
	host   *fleet.Host
	member string
	sent   []*fleet.Slot
	at     time.Time
}

// errNoWord is the end of a command of which the holder has told nothing.
var errNoWord = errors.New("the holder has told nothing of it")

// relayTime is how long a holder may take with a direct command. After that what
// the command launched is in doubt, and the ledger sends it once more.
const relayTime = 3500 * time.Millisecond

// absentTime is after what time without a request a holder gets no commands: they
// are sent directly.
const absentTime = 600 * time.Millisecond

// takes reports whether a direct command to a machine goes through its holder, and
// whether it may go now.
func (sh *shards) takes(h *fleet.Host) (relayed, now bool) {
	if sh.allot == nil || h.Holder() == nil {
		return false, true
	}
	member, asked := sh.allot.Holder(h.Name)
	b := sh.boxes[member]
	if !asked || b == nil || (b.back == nil && time.Since(b.since) > absentTime) {
		return false, true // it is not there: the command must not wait for its end
	}
	return true, b.under < b.most
}

// relay hands a direct command to the machine's holder.
func (sh *shards) relay(h *fleet.Host, body []byte, sent []*fleet.Slot, now time.Time) {
	member, _ := sh.allot.Holder(h.Name)
	b := sh.boxes[member]
	sh.calls++
	b.under++
	b.calls = append(b.calls, shard.Call{ID: sh.calls, Addr: h.Addr, Body: body})
	sh.relayed[sh.calls] = &relay{host: h, member: member, sent: sent, at: now}
}

// done takes in what became of a command.
func (sh *shards) done(d *shard.CallResult) {
	r := sh.relayed[d.ID]
	if r == nil {
		return // given up, or told twice
	}
	delete(sh.relayed, d.ID)
	sh.boxes[r.member].under--
	sh.commands.ended(r.host, d.Status, d.Report, d.Reached, nil, r.sent)
}

// expireRelays gives up the commands of which the holder has told nothing for too long.
func (sh *shards) expireRelays(now time.Time) {
	for id, r := range sh.relayed {
		if now.Sub(r.at) > relayTime {
			delete(sh.relayed, id)
			b := sh.boxes[r.member]
			b.under--
			waits := len(b.calls)
			b.calls = slices.DeleteFunc(b.calls, func(c shard.Call) bool { return c.ID == id })
			// One that has not left yet was certainly not sent.
			sh.commands.ended(r.host, 0, nil, len(b.calls) == waits, errNoWord, r.sent)
		}
	}
}
