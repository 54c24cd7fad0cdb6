package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

// TestReplySizeLimit checks that a reply stays below the size that a holder accepts, however
// many items wait, and that all items are delivered eventually.
func TestReplySizeLimit(t *testing.T) {
	tests := []struct {
		name                   string
		calls, answers, clears int
		body                   int // bytes of a call
	}{
		{"an empty mailbox yields empty replies", 0, 0, 0, 0},
		{"launches on hundreds of machines are split into several replies", 700, 0, 0, 2 << 10},
		{"a few calls of maximum size are split into several replies", 9, 0, 0, 30 << 10},
		{"calls, answers and clearances together are split into several replies", 300, 500, 400, 1 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			orders := make([]wire.Command, 20)
			call := shard.Call{Addr: "10.0.0.1:9000", Body: make([]byte, tt.body)}
			answer := shard.Answer{Machine: "host-000001", Commands: orders}
			clearance := shard.ExitClearance{Machine: "host-000001", Commands: orders}
			box := &mailbox{
				calls:      slices.Repeat([]shard.Call{call}, tt.calls),
				answers:    slices.Repeat([]shard.Answer{answer}, tt.answers),
				clearances: slices.Repeat([]shard.ExitClearance{clearance}, tt.clears),
			}
			calls, answers, clears := 0, 0, 0
			for range 100 {
				reply := &shard.Reply{Term: 1}
				box.fillReply(reply)
				calls += len(reply.Calls)
				answers += len(reply.Answers)
				clears += len(reply.Clearances)
				if encoded, err := wire.Marshal(reply); err != nil || len(encoded) > 4*wire.MaxBody {
					t.Fatalf("the encoded reply has %d bytes, want at most four times wire.MaxBody (encoding error: %v)", len(encoded), err)
				}
			}
			if calls != tt.calls || answers != tt.answers || clears != tt.clears {
				t.Errorf("%d calls, %d answers and %d clearances were delivered, want as many as were queued", calls, answers, clears)
			}
		})
	}
}

// TestRepeatedMachineReport checks that a report that a holder repeats, because its request was
// not answered, renews the lease from the heartbeat that it names. This may be a later
// heartbeat that the holder has answered in the meantime.
func TestRepeatedMachineReport(t *testing.T) {
	lt := newTestTerm(t)
	lt.controller.Settings.Siblings = []config.Sibling{{Member: "n1"}}
	lt.controller.Tuning.Sharding.Enabled = true
	now := lt.termStart
	lt.shards.start(now)
	machine := lt.addMachine("h1")
	heartbeat := &wire.Heartbeat{Machine: "h1", Type: "x", Zone: "a", Session: 1, Seq: 10, Token: wire.FirstToken(7 * wire.TokensPerTerm)}
	encoded, err := wire.Marshal(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	lt.shards.handleMachineReport(&mailbox{}, &shard.MachineReport{Machine: "h1", Session: 1, Seq: 10, Heartbeat: encoded}, now)
	now = now.Add(8 * time.Second)
	lt.shards.handleMachineReport(&mailbox{}, &shard.MachineReport{Machine: "h1", Session: 1, Seq: 11, Heartbeat: encoded}, now)
	now = now.Add(5 * time.Second)
	if lt.fleet.ExpireLeases(now); machine.Lost {
		t.Error("the machine is lost 5 s after a heartbeat that the holder answered")
	}
	now = now.Add(6 * time.Second)
	if lt.fleet.ExpireLeases(now); !machine.Lost {
		t.Error("the machine is not lost 11 s after the last heartbeat that the holder answered")
	}
}

// TestMachineWithUsedUpTokensReturnsToLeader checks that a machine that gets launches in answers of
// the leader only is taken back from its holder, and stays with the leader.
func TestMachineWithUsedUpTokensReturnsToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRestartWorld(t)
		w.assignToHolder()
		w.machine.Token = w.lt.term
		w.lt.fleet.Assign(w.machine, fleet.PlacementKey{Job: w.job, Attempt: 1}, time.Now())
		for range 100 {
			w.lt.shards.step(time.Now(), true)
			w.sync()
			time.Sleep(restartTestSync)
		}
		if w.machine.Holder() != nil {
			t.Error("the holder keeps a machine that has no token left for direct launches")
		}
	})
}
