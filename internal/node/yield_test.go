package node

import (
	"testing"
	"time"

	"vetchstream/internal/rpc"
)

// TestYield: a leader gives the lead away once, to one that computes far faster.
func TestYield(t *testing.T) {
	begun := time.Unix(1000, 0)
	slow := rpc.NodeStatus{Overloaded: true, ProbeUs: 500}
	fast := rpc.NodeStatus{Member: "n1", ProbeUs: 100, StoreReachable: true}
	tests := []struct {
		name    string
		self    rpc.NodeStatus
		sibling func(h *rpc.NodeStatus)
		seconds int
		want    int // times that the lead is given away
	}{
		{"it is slow and the other is not", slow, nil, 30, 1},
		{"not before it has been behind for long enough", slow, nil, 5, 0},
		{"it keeps up", rpc.NodeStatus{ProbeUs: 500}, nil, 30, 0},
		{"the work is too much, the machine is as fast", rpc.NodeStatus{Overloaded: true, ProbeUs: 110}, nil, 30, 0},
		{"the other is behind too", slow, func(h *rpc.NodeStatus) { h.Overloaded = true }, 30, 0},
		{"the other does not reach the state service", slow, func(h *rpc.NodeStatus) { h.StoreReachable = false }, 30, 0},
		{"the other has not measured itself", slow, func(h *rpc.NodeStatus) { h.ProbeUs = 0 }, 30, 0},
		{"again after a rest that doubles: 6 s, 66 s, 186 s", slow, nil, 200, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			y := &yield{patience: 5 * time.Second}
			h, got := fast, 0
			if tt.sibling != nil {
				tt.sibling(&h)
			}
			for i := range tt.seconds {
				now := begun.Add(time.Duration(i) * time.Second)
				y.heard(h, now)
				if to, ok := y.due(tt.self, now); ok {
					got++
					if to != "n1" {
						t.Errorf("given to %q", to)
					}
				}
			}
			if got != tt.want {
				t.Errorf("given away %d times, want %d", got, tt.want)
			}
		})
	}
}
