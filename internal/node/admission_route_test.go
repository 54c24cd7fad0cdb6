package node

import (
	"testing"
	"time"
)

// TestAdmissionRoute checks that a submission is forwarded to the leader unless the leader
// is much slower than this node, and that a slow leader is tried again at each interval.
func TestAdmissionRoute(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name           string
		leader, local  []time.Duration // observed latencies in order
		sinceLeaderTry time.Duration   // time since the leader was last tried
		want           bool            // admits the job locally
	}{
		{"no sample: forwards to the leader", nil, nil, ms(10), false},
		{"fast leader: forwards to the leader", []time.Duration{ms(12), ms(20)}, []time.Duration{ms(2)}, ms(10), false},
		{"slow leader: admits locally", []time.Duration{ms(200), ms(400)}, []time.Duration{ms(30)}, ms(10), true},
		{"slow leader and no local sample: admits locally", []time.Duration{ms(200)}, nil, ms(10), true},
		{"leader and local admission similarly slow: forwards to the leader", []time.Duration{ms(200)}, []time.Duration{ms(150)}, ms(10), false},
		{"slow leader after the retry interval: forwards to the leader", []time.Duration{ms(400)}, []time.Duration{ms(30)}, leaderRetryInterval, false},
		{"one slow answer of a fast leader: forwards to the leader", []time.Duration{ms(10), ms(150)}, nil, ms(10), false},
		{"leader has recovered: forwards to the leader", []time.Duration{ms(400), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10)}, []time.Duration{ms(30)}, ms(10), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			route := &admissionRoute{lastLeaderTry: now.Add(-tt.sinceLeaderTry)}
			for _, latency := range tt.leader {
				route.observeLeader(latency)
			}
			for _, latency := range tt.local {
				route.observeLocal(latency)
			}
			if got := route.preferLocal(now); got != tt.want {
				t.Errorf("admits locally: %v, want %v (mean latency of the leader %v, local %v)", got, tt.want, route.leaderLatency, route.localLatency)
			}
		})
	}
}
