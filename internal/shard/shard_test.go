package shard

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

var zones = []string{"a", "b", "c"}

// assignerFixture is a leader with members that make a request every 200 ms, and workers
// that report.
type assignerFixture struct {
	t               *testing.T
	now             time.Time
	assigner        *Assigner
	holders         map[string]*Holder
	stopped         map[string]bool
	lastIncarnation uint64
	machineCount    int
	seq             uint64
	forwarder       string // the member that forwards reports to the leader; empty: none
}

func newAssignerFixture(t *testing.T, size int, edit func(*Settings)) *assignerFixture {
	b := &assignerFixture{t: t, now: time.Unix(1000, 0), holders: map[string]*Holder{}, stopped: map[string]bool{}, machineCount: size}
	set := Settings{
		GrantDuration:  2 * time.Second,
		JoinDelay:      time.Second,
		RejoinDelay:    5 * time.Second,
		MaxRejoinDelay: 40 * time.Second,
		MinMachines:    10,
		MovesPerSecond: 100,
		LeaderWeight:   1,
		LeaderCapacity: 10000,
	}
	if edit != nil {
		edit(&set)
	}
	b.assigner = NewAssigner(7, "n0", "a", set, b.now)
	for i := range size {
		b.assigner.AddMachine(fmt.Sprintf("host-%d", i), zones[i%3])
	}
	return b
}

// startMember starts a member's process, or starts it anew.
func (b *assignerFixture) startMember(name, zone string) {
	b.lastIncarnation++
	b.holders[name], b.stopped[name] = NewHolder(name, zone, b.lastIncarnation), false // a new process
}

// simulateStep simulates 200 ms: each member makes a request, and the worker of each
// tenth machine reports to its holder or to the leader.
func (b *assignerFixture) simulateStep(n int) {
	b.now = b.now.Add(200 * time.Millisecond)
	b.seq++
	b.assigner.Step(b.now)
	for _, name := range []string{"n1", "n2"} {
		h := b.holders[name]
		if h == nil || b.stopped[name] {
			continue
		}
		if _, ok := b.assigner.HandleRequest(h.Request(500, 10, false, b.now), b.now); ok {
			h.HandleReply(b.assigner.Reply(name, b.now), b.now)
		} else {
			h.RequestFailed()
		}
	}
	for i := n % 10; i < b.machineCount; i += 10 {
		name := fmt.Sprintf("host-%d", i)
		m := &wire.Heartbeat{Machine: name, Session: 1, Seq: b.seq}
		served := false
		for member, h := range b.holders {
			if _, v := h.HandleHeartbeat(m, []byte{1}, b.now); v >= Answered && !b.stopped[member] {
				served = true
				b.assigner.ConfirmContact(name)
			}
		}
		if !served {
			if r, _ := b.assigner.RouteHeartbeat(name, zones[i%3], b.now); r == Serve {
				b.assigner.HeartbeatServed(name, b.forwarder, b.now)
			}
		}
	}
}

// advance simulates the time d.
func (b *assignerFixture) advance(d time.Duration) {
	for n := range int(d / (200 * time.Millisecond)) {
		b.simulateStep(n)
	}
}

// checkHeld checks how many machines each controller has, give or take a fifth.
func (b *assignerFixture) checkHeld(want map[string]int) {
	b.t.Helper()
	got := b.assigner.HeldCounts()
	for _, n := range []string{"n0", "n1", "n2"} {
		if d := got[n] - want[n]; d*5 > want[n] || -d*5 > want[n] {
			b.t.Errorf("%s has %d machines, want about %d", n, got[n], want[n])
		}
	}
}

// distributionCase is a case of TestShare.
type distributionCase struct {
	name string
	edit func(*Settings)
	do   func(b *assignerFixture)
}

// TestMachineDistribution: who holds how much, and how many machines move.
func TestMachineDistribution(t *testing.T) {
	tests := slices.Concat(balanceCases(), leaderCases(), moveCases())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newAssignerFixture(t, max(600, 2000*strings.Count(tt.name, "2,000")), tt.edit)
			b.startMember("n1", "b")
			b.startMember("n2", "c")
			b.advance(30 * time.Second)
			tt.do(b)
		})
	}
}

// balanceCases: how the machines are divided, and what moves when a holder goes and comes back.
func balanceCases() []distributionCase {
	third := map[string]int{"n0": 200, "n1": 200, "n2": 200}
	return []distributionCase{
		{"three alike", nil, func(b *assignerFixture) { b.checkHeld(third) }},
		{"a small fleet is not shared", func(s *Settings) { s.MinMachines = 601 }, func(b *assignerFixture) { b.checkHeld(map[string]int{"n0": 600}) }},
		{"a silent holder's machines go to the others, and nothing else moves", nil, func(b *assignerFixture) {
			before := b.assigner.Moves()
			b.stopped["n2"] = true
			b.advance(20 * time.Second)
			b.checkHeld(map[string]int{"n0": 300, "n1": 300})
			if n := b.assigner.Moves() - before; n > 2*220 {
				b.t.Errorf("%d changes for some 200 machines, want at most two each", n)
			}
		}},
		{"one that comes back gets its share again, in steps", nil, func(b *assignerFixture) {
			b.stopped["n2"] = true
			b.advance(10 * time.Second)
			b.startMember("n2", "c")
			b.advance(500 * time.Millisecond)
			if n := b.assigner.HeldCounts()["n2"]; n != 0 {
				b.t.Errorf("%d machines before it has been there for long enough", n)
			}
			b.advance(30 * time.Second)
			b.checkHeld(third)
		}},
		{"one that flaps every ten seconds moves its share a few times", nil, func(b *assignerFixture) {
			before := b.assigner.Moves()
			for range 12 {
				b.stopped["n2"] = true
				b.advance(5 * time.Second)
				b.startMember("n2", "c")
				b.advance(5 * time.Second)
			}
			// It rests for 5, 10, 20, 40 s: it joins at most five times in two minutes. Its
			// share moves there and back, by way of the leader and another.
			if n := b.assigner.Moves() - before; n > 5*4*200 {
				b.t.Errorf("%d changes of holder in two minutes", n)
			}
		}},
	}
}

// leaderCases: a leader cut from its workers, and a new leader that hears of earlier holders.
func leaderCases() []distributionCase {
	third := map[string]int{"n0": 200, "n1": 200, "n2": 200}
	return []distributionCase{
		{"a leader cut from its workers gives their machines to who hands their reports on", nil, func(b *assignerFixture) {
			b.forwarder = "n2"
			b.advance(20 * time.Second)
			b.checkHeld(map[string]int{"n0": 0, "n1": 200, "n2": 400})
			b.forwarder = ""
			b.advance(100 * time.Second)
			b.checkHeld(third)
		}},
		{"a new leader hears of two holders: each retains what it names first, and no machine has two", nil, func(b *assignerFixture) {
			for _, h := range b.holders {
				h.EndTerm()
				h.previousMachines = append(h.previousMachines, "host-1", "host-2") // both say so
			}
			b.assigner = NewAssigner(8, "n0", "a", b.assigner.settings, b.now)
			for i := range b.machineCount {
				b.assigner.AddMachine(fmt.Sprintf("host-%d", i), zones[i%3])
			}
			before := b.assigner.Moves()
			b.advance(10 * time.Second)
			b.checkHeld(third)
			if n := b.assigner.Moves() - before; n > 460 {
				b.t.Errorf("%d changes, though some 400 machines stay where they are", n)
			}
			for _, name := range []string{"host-1", "host-2"} {
				n := 0
				for _, h := range b.holders {
					if k := h.machines[name]; k != nil && !k.dropped {
						n++
					}
				}
				if n > 1 {
					b.t.Errorf("%s has %d holders", name, n)
				}
			}
		}},
	}
}

// moveCases: the pace of moves, and workers that do not reach their holder.
func moveCases() []distributionCase {
	return []distributionCase{
		{"2,000 machines whose only holder ends turn at the pace of the workers and the settings", func(s *Settings) { s.MovesPerSecond = 40 }, func(b *assignerFixture) {
			b.stopped["n1"] = true
			b.advance(30 * time.Second) // the other has joined late, and has all but the leader's
			b.stopped["n2"] = true
			b.advance(3 * time.Second)
			n := b.assigner.HeldCounts()["n0"]
			b.startMember("n1", "b")
			b.advance(4 * time.Second)
			if got := n - b.assigner.HeldCounts()["n0"]; n != b.machineCount || got > 40*4 {
				b.t.Errorf("the leader has %d of %d, and %d of them turned in 3 s", n, b.machineCount, got)
			}
		}},
		{"workers that do not reach their holder take it out", nil, func(b *assignerFixture) {
			b.stopped["n2"] = true // it goes on asking, but no worker reaches it
			for n := range 40 {
				b.simulateStep(n)
				if h := b.holders["n2"]; h != nil {
					if _, ok := b.assigner.HandleRequest(h.Request(500, 10, false, b.now), b.now); ok {
						h.HandleReply(b.assigner.Reply("n2", b.now), b.now)
					}
				}
			}
			if n := b.assigner.HeldCounts()["n2"]; n > 20 {
				b.t.Errorf("%d machines are still with a holder that is not reached", n)
			}
		}},
	}
}

// TestRetain: a machine that the leader retains comes back from its holder, and goes to nobody,
// neither by its ranking nor because a member had it before, until it is released.
func TestRetain(t *testing.T) {
	b := newAssignerFixture(t, 30, nil)
	b.startMember("n1", "b")
	b.advance(5 * time.Second)
	kept := ""
	for i := range b.machineCount {
		if by, _ := b.assigner.Holder(fmt.Sprintf("host-%d", i)); by == "n1" {
			kept = fmt.Sprintf("host-%d", i)
		}
	}
	b.assigner.Retain(kept, "a test", b.now)
	b.advance(b.assigner.RevocationTime())
	holder := func(when, want string) {
		t.Helper()
		if by, _ := b.assigner.Holder(kept); by != want {
			t.Errorf("%s: %q has it, want %q", when, by, want)
		}
	}
	holder("kept", "")
	b.advance(20 * time.Second)
	holder("20 s later", "")
	offer := func(member string) {
		b.startMember(member, "b")
		r := b.holders[member].Request(500, 10, false, b.now)
		r.PreviousMachines = []string{kept}
		b.assigner.HandleRequest(r, b.now)
	}
	offer("n2")
	holder("offered by a member that had it", "")
	b.assigner.Release(kept)
	offer("n3")
	holder("released, and offered once more", "n3")
}
