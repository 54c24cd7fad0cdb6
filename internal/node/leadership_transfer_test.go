package node

import (
	"testing"
	"time"

	"vetchstream/internal/rpc"
)

// TestTransferPolicy checks under which conditions an overloaded leader resigns in favor of a
// faster sibling, and the minimum interval between its resignations.
func TestTransferPolicy(t *testing.T) {
	start := time.Unix(1000, 0)
	slow := rpc.NodeStatus{Overloaded: true, ProbeUs: 500}
	fast := rpc.NodeStatus{Member: "n1", ProbeUs: 100, StoreReachable: true}
	tests := []struct {
		name        string
		self        rpc.NodeStatus
		editSibling func(status *rpc.NodeStatus)
		seconds     int // duration of the case
		want        int // number of transfers
	}{
		{"slow overloaded leader and fast sibling: one transfer", slow, nil, 30, 1},
		{"overloaded for less than the minimum time: no transfer", slow, nil, 5, 0},
		{"leader not overloaded: no transfer", rpc.NodeStatus{ProbeUs: 500}, nil, 30, 0},
		{"leader overloaded on an equally fast machine: no transfer", rpc.NodeStatus{Overloaded: true, ProbeUs: 110}, nil, 30, 0},
		{"sibling overloaded as well: no transfer", slow, func(status *rpc.NodeStatus) { status.Overloaded = true }, 30, 0},
		{"sibling does not reach the key-value store: no transfer", slow, func(status *rpc.NodeStatus) { status.StoreReachable = false }, 30, 0},
		{"sibling without a probe: no transfer", slow, func(status *rpc.NodeStatus) { status.ProbeUs = 0 }, 30, 0},
		{"overloaded for 200 s: transfers at intervals that double (5 s, 65 s, 185 s)", slow, nil, 200, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			policy := &transferPolicy{minOverloadTime: 5 * time.Second}
			sibling := fast
			transfers := 0
			if tt.editSibling != nil {
				tt.editSibling(&sibling)
			}
			for i := range tt.seconds {
				now := start.Add(time.Duration(i) * time.Second)
				policy.observeSibling(sibling, now)
				if successor, ok := policy.selectSuccessor(tt.self, now); ok {
					transfers++
					if successor != "n1" {
						t.Errorf("successor %q, want n1", successor)
					}
				}
			}
			if transfers != tt.want {
				t.Errorf("%d transfers, want %d", transfers, tt.want)
			}
		})
	}
}
