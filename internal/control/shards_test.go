package control

import (
	"slices"
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

// TestReplySize: a reply stays below what a holder takes, whatever waits, and nothing
// of it is lost.
func TestReplySize(t *testing.T) {
	tests := []struct {
		name                   string
		calls, answers, clears int
		body                   int // bytes of a call
	}{
		{"nothing", 0, 0, 0, 0},
		{"a burst of launches on hundreds of machines", 700, 0, 0, 2 << 10},
		{"a few that are as large as can be", 9, 0, 0, 30 << 10},
		{"everything at once", 300, 500, 400, 1 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			orders := make([]wire.Command, 20)
			call := shard.Call{Addr: "10.0.0.1:9000", Body: make([]byte, tt.body)}
			answer := shard.Answer{Host: "host-000001", Orders: orders}
			clearance := shard.ExitClearance{Host: "host-000001", Clears: orders}
			b := &mailbox{
				calls:      slices.Repeat([]shard.Call{call}, tt.calls),
				answers:    slices.Repeat([]shard.Answer{answer}, tt.answers),
				clearances: slices.Repeat([]shard.ExitClearance{clearance}, tt.clears),
			}
			calls, answers, clears := 0, 0, 0
			for range 100 {
				r := &shard.Reply{Term: 1}
				b.fillReply(r)
				calls += len(r.Calls)
				answers += len(r.Answers)
				clears += len(r.Clearances)
				if enc, err := wire.Marshal(r); err != nil || len(enc) > 4*wire.MaxBody {
					t.Fatalf("a reply of %d bytes: %v", len(enc), err)
				}
			}
			if calls != tt.calls || answers != tt.answers || clears != tt.clears {
				t.Errorf("%d calls, %d answers, %d clears came", calls, answers, clears)
			}
		})
	}
}

// TestRepeatedHostReport: a report that a holder sends again, because its request was not answered, may
// name a later heartbeat that it has answered meanwhile. That one renewed the lease.
func TestRepeatedHostReport(t *testing.T) {
	r := newTestTerm(t)
	r.controller.Settings.Siblings = []config.Sibling{{Member: "n1"}}
	r.controller.Tuning.Sharding.Enabled = true
	now := r.termStart
	r.shards.begin(now)
	h := r.addMachine("h1")
	m := &wire.Heartbeat{Host: "h1", Type: "x", Zone: "a", Session: 1, Seq: 10, Token: 7}
	full, err := wire.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	r.shards.handleHostReport(&mailbox{}, &shard.HostReport{Host: "h1", Session: 1, Seq: 10, Report: full}, now)
	now = now.Add(8 * time.Second)
	r.shards.handleHostReport(&mailbox{}, &shard.HostReport{Host: "h1", Session: 1, Seq: 11, Report: full}, now)
	now = now.Add(5 * time.Second)
	if r.fleet.ExpireLeases(now); h.Lost {
		t.Error("lost 5 s after a heartbeat that the holder answered")
	}
	now = now.Add(6 * time.Second)
	if r.fleet.ExpireLeases(now); !h.Lost {
		t.Error("not lost 11 s after it")
	}
}
