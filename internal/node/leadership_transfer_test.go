package node

import (
	"testing"
	"time"

	"vetchstream/internal/rpc"
)

// TestTransferPolicy: an overloaded leader resigns once, in favor of a sibling that is far
// faster.
func TestTransferPolicy(t *testing.T) {
	begun := time.Unix(1000, 0)
	slow := rpc.NodeStatus{Overloaded: true, ProbeUs: 500}
	fast := rpc.NodeStatus{Member: "n1", ProbeUs: 100, StoreReachable: true}
	tests := []struct {
		name    string
		self    rpc.NodeStatus
		sibling func(h *rpc.NodeStatus)
		seconds int
		want    int // transfers
	}{
		{"it is slow and the other is not", slow, nil, 30, 1},
		{"not before it has been overloaded for long enough", slow, nil, 5, 0},
		{"it is not overloaded", rpc.NodeStatus{ProbeUs: 500}, nil, 30, 0},
		{"the work is too much, the machine is as fast", rpc.NodeStatus{Overloaded: true, ProbeUs: 110}, nil, 30, 0},
		{"the other is overloaded too", slow, func(h *rpc.NodeStatus) { h.Overloaded = true }, 30, 0},
		{"the other does not reach the key-value store", slow, func(h *rpc.NodeStatus) { h.StoreReachable = false }, 30, 0},
		{"the other has not measured itself", slow, func(h *rpc.NodeStatus) { h.ProbeUs = 0 }, 30, 0},
		{"again after an interval that doubles: 6 s, 66 s, 186 s", slow, nil, 200, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			policy := &transferPolicy{minOverloadTime: 5 * time.Second}
			sibling := fast
			got := 0
			if tt.sibling != nil {
				tt.sibling(&sibling)
			}
			for i := range tt.seconds {
				now := begun.Add(time.Duration(i) * time.Second)
				policy.observeSibling(sibling, now)
				if to, ok := policy.selectSuccessor(tt.self, now); ok {
					got++
					if to != "n1" {
						t.Errorf("transfer to %q, want n1", to)
					}
				}
			}
			if got != tt.want {
				t.Errorf("%d transfers, want %d", got, tt.want)
			}
		})
	}
}
