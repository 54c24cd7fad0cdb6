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

// assignerFixture is an Assigner with two members that make a request every 200 ms, and
// with workers that send a heartbeat every 2 s.
type assignerFixture struct {
	t               *testing.T
	now             time.Time
	assigner        *Assigner
	holders         map[string]*Holder
	stopped         map[string]bool
	lastIncarnation uint64
	machineCount    int
	seq             uint64
	earlierBuild    string // member whose build has one token a term; empty if there is none
	forwarder       string // member that forwards heartbeats to the leader; empty if workers reach it
}

func newAssignerFixture(t *testing.T, size int, edit func(*Settings)) *assignerFixture {
	fixture := &assignerFixture{t: t, now: time.Unix(1000, 0), holders: map[string]*Holder{}, stopped: map[string]bool{}, machineCount: size}
	settings := Settings{
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
		edit(&settings)
	}
	fixture.assigner = NewAssigner(7, "n0", "a", settings, fixture.now)
	for i := range size {
		fixture.assigner.AddMachine(fmt.Sprintf("host-%d", i), zones[i%3])
	}
	return fixture
}

// startMember starts or restarts a member's process.
func (f *assignerFixture) startMember(name, zone string) {
	f.lastIncarnation++
	f.holders[name], f.stopped[name] = NewHolder(name, zone, f.lastIncarnation), false
}

// simulateStep simulates 200 ms: each running member makes a request, and the workers of a
// tenth of the machines, selected by the step number, send a heartbeat to their holder or
// to the leader.
func (f *assignerFixture) simulateStep(step int) {
	f.now = f.now.Add(200 * time.Millisecond)
	f.seq++
	f.assigner.Step(f.now)
	for _, name := range []string{"n1", "n2"} {
		holder := f.holders[name]
		if holder == nil || f.stopped[name] {
			continue
		}
		request := holder.Request(500, 10, false, f.now)
		request.MachineTokens = name != f.earlierBuild
		if _, ok := f.assigner.HandleRequest(request, f.now); ok {
			holder.HandleReply(f.assigner.Reply(name, f.now), f.now)
		} else {
			holder.RequestFailed()
		}
	}
	for i := step % 10; i < f.machineCount; i += 10 {
		name := fmt.Sprintf("host-%d", i)
		heartbeat := &wire.Heartbeat{Machine: name, Session: 1, Seq: f.seq}
		served := false
		for member, holder := range f.holders {
			if _, outcome := holder.HandleHeartbeat(heartbeat, []byte{1}, f.now); outcome >= Answered && !f.stopped[member] {
				served = true
				f.assigner.ConfirmContact(name)
			}
		}
		if !served {
			if route, _ := f.assigner.RouteHeartbeat(name, zones[i%3], f.now); route == Serve {
				f.assigner.HeartbeatServed(name, f.forwarder, f.now)
			}
		}
	}
}

// advance simulates the given duration.
func (f *assignerFixture) advance(duration time.Duration) {
	for step := range int(duration / (200 * time.Millisecond)) {
		f.simulateStep(step)
	}
}

// checkHeld checks that each controller holds the wanted number of machines, with a
// tolerance of one fifth.
func (f *assignerFixture) checkHeld(want map[string]int) {
	f.t.Helper()
	got := f.assigner.HeldCounts()
	for _, name := range []string{"n0", "n1", "n2"} {
		if difference := got[name] - want[name]; difference*5 > want[name] || -difference*5 > want[name] {
			f.t.Errorf("%s holds %d machines, want about %d", name, got[name], want[name])
		}
	}
}

// distributionCase is a case of TestMachineDistribution.
type distributionCase struct {
	name string
	edit func(*Settings)
	do   func(fixture *assignerFixture)
}

// TestMachineDistribution checks how many machines each controller holds and how many
// machines move when members join, leave or cannot be reached.
func TestMachineDistribution(t *testing.T) {
	tests := slices.Concat(balanceCases(), leaderCases(), moveCases())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fixture := newAssignerFixture(t, max(600, 2000*strings.Count(tt.name, "2,000")), tt.edit)
			fixture.startMember("n1", "b")
			fixture.startMember("n2", "c")
			fixture.advance(30 * time.Second)
			tt.do(fixture)
		})
	}
}

// balanceCases are the cases about the division of the machines, and about the moves after a
// holder has stopped or restarted.
func balanceCases() []distributionCase {
	third := map[string]int{"n0": 200, "n1": 200, "n2": 200}
	return []distributionCase{
		{"three equal controllers hold a third each", nil, func(fixture *assignerFixture) { fixture.checkHeld(third) }},
		{"the leader holds all machines of a fleet below MinMachines", func(s *Settings) { s.MinMachines = 601 }, func(fixture *assignerFixture) { fixture.checkHeld(map[string]int{"n0": 600}) }},
		{"only the machines of a silent holder move, to the other controllers", nil, func(fixture *assignerFixture) {
			before := fixture.assigner.Moves()
			fixture.stopped["n2"] = true
			fixture.advance(20 * time.Second)
			fixture.checkHeld(map[string]int{"n0": 300, "n1": 300})
			if n := fixture.assigner.Moves() - before; n > 2*220 {
				fixture.t.Errorf("%d changes of holder for about 200 machines, want at most two per machine (440 in all)", n)
			}
		}},
		{"a holder of a build with one token a term gets no machines", nil, func(fixture *assignerFixture) {
			fixture.earlierBuild = "n2"
			fixture.startMember("n2", "c")
			fixture.advance(30 * time.Second)
			fixture.checkHeld(map[string]int{"n0": 300, "n1": 300})
		}},
		{"a restarted holder gets no machines before the join delay, and then its full share", nil, func(fixture *assignerFixture) {
			fixture.stopped["n2"] = true
			fixture.advance(10 * time.Second)
			fixture.startMember("n2", "c")
			fixture.advance(500 * time.Millisecond)
			if n := fixture.assigner.HeldCounts()["n2"]; n != 0 {
				fixture.t.Errorf("n2 holds %d machines 500 ms after its restart, want 0", n)
			}
			fixture.advance(30 * time.Second)
			fixture.checkHeld(third)
		}},
		{"a holder that restarts every ten seconds causes at most 4000 moves in two minutes", nil, func(fixture *assignerFixture) {
			before := fixture.assigner.Moves()
			for range 12 {
				fixture.stopped["n2"] = true
				fixture.advance(5 * time.Second)
				fixture.startMember("n2", "c")
				fixture.advance(5 * time.Second)
			}
			// The rejoin delays are 5, 10, 20 and 40 s, so n2 joins at most five times in two
			// minutes. Each time, its 200 machines change holders four times: from another holder
			// to the leader and on to n2, and from n2 to the leader and on to another holder.
			if n := fixture.assigner.Moves() - before; n > 5*4*200 {
				fixture.t.Errorf("%d changes of holder in two minutes, want at most 4000", n)
			}
		}},
	}
}

// leaderCases are the cases about a leader that is cut off from its workers, and about a new
// leader to which members name the machines that they held.
func leaderCases() []distributionCase {
	third := map[string]int{"n0": 200, "n1": 200, "n2": 200}
	return []distributionCase{
		{"a leader cut off from its workers assigns their machines to the member that forwards their heartbeats", nil, func(fixture *assignerFixture) {
			fixture.forwarder = "n2"
			fixture.advance(20 * time.Second)
			fixture.checkHeld(map[string]int{"n0": 0, "n1": 200, "n2": 400})
			fixture.forwarder = ""
			fixture.advance(100 * time.Second)
			fixture.checkHeld(third)
		}},
		{"holders keep their machines under a new leader, and a machine that two holders name has at most one", nil, func(fixture *assignerFixture) {
			for _, holder := range fixture.holders {
				holder.EndTerm()
				holder.previousMachines = append(holder.previousMachines, "host-1", "host-2") // both holders name them
			}
			fixture.assigner = NewAssigner(8, "n0", "a", fixture.assigner.settings, fixture.now)
			for i := range fixture.machineCount {
				fixture.assigner.AddMachine(fmt.Sprintf("host-%d", i), zones[i%3])
			}
			before := fixture.assigner.Moves()
			fixture.advance(10 * time.Second)
			fixture.checkHeld(third)
			if n := fixture.assigner.Moves() - before; n > 460 {
				fixture.t.Errorf("%d changes of holder, want at most 460: about 400 machines keep their holder", n)
			}
			for _, name := range []string{"host-1", "host-2"} {
				holders := 0
				for _, holder := range fixture.holders {
					if machine := holder.machines[name]; machine != nil && !machine.dropped {
						holders++
					}
				}
				if holders > 1 {
					fixture.t.Errorf("%s has %d holders, want at most 1", name, holders)
				}
			}
		}},
	}
}

// moveCases are the cases about the rate of moves, and about workers that cannot reach their
// holder.
func moveCases() []distributionCase {
	return []distributionCase{
		{"2,000 machines return to the leader when their last holder stops, and move to a restarted one within the rate limit", func(s *Settings) { s.MovesPerSecond = 40 }, func(fixture *assignerFixture) {
			fixture.stopped["n1"] = true
			fixture.advance(30 * time.Second) // n2 then holds all machines but the leader's
			fixture.stopped["n2"] = true
			fixture.advance(3 * time.Second)
			leaderHeld := fixture.assigner.HeldCounts()["n0"]
			fixture.startMember("n1", "b")
			fixture.advance(4 * time.Second)
			if moved := leaderHeld - fixture.assigner.HeldCounts()["n0"]; leaderHeld != fixture.machineCount || moved > 40*4 {
				fixture.t.Errorf("the leader held %d of %d machines, want all; %d of them moved in 4 s, want at most 160", leaderHeld, fixture.machineCount, moved)
			}
		}},
		{"a holder that its workers cannot reach has to return its machines", nil, func(fixture *assignerFixture) {
			fixture.stopped["n2"] = true // no worker reaches n2; the loop below still makes its requests
			for step := range 40 {
				fixture.simulateStep(step)
				if holder := fixture.holders["n2"]; holder != nil {
					if _, ok := fixture.assigner.HandleRequest(holder.Request(500, 10, false, fixture.now), fixture.now); ok {
						holder.HandleReply(fixture.assigner.Reply("n2", fixture.now), fixture.now)
					}
				}
			}
			if n := fixture.assigner.HeldCounts()["n2"]; n > 20 {
				fixture.t.Errorf("n2, which no worker reaches, still holds %d machines, want at most 20", n)
			}
		}},
	}
}

// TestRetain checks that a retained machine returns to the leader and is assigned to no
// member until Release, neither by its ranking nor because a member held it before.
func TestRetain(t *testing.T) {
	fixture := newAssignerFixture(t, 30, nil)
	fixture.startMember("n1", "b")
	fixture.advance(5 * time.Second)
	retained := ""
	for i := range fixture.machineCount {
		if member, _ := fixture.assigner.Holder(fmt.Sprintf("host-%d", i)); member == "n1" {
			retained = fmt.Sprintf("host-%d", i)
		}
	}
	fixture.assigner.Retain(retained, "a test", fixture.now)
	fixture.advance(fixture.assigner.RevocationTime())
	checkHolder := func(when, want string) {
		t.Helper()
		if member, _ := fixture.assigner.Holder(retained); member != want {
			t.Errorf("%s: the holder is %q, want %q", when, member, want)
		}
	}
	checkHolder("after the revocation time", "")
	fixture.advance(20 * time.Second)
	checkHolder("20 s later", "")
	requestWithMachine := func(member string) {
		fixture.startMember(member, "b")
		request := fixture.holders[member].Request(500, 10, false, fixture.now)
		request.PreviousMachines = []string{retained}
		fixture.assigner.HandleRequest(request, fixture.now)
	}
	requestWithMachine("n2")
	checkHolder("after a request of a member that held it before", "")
	fixture.assigner.Release(retained)
	requestWithMachine("n3")
	checkHolder("after its release and another such request", "n3")
}
