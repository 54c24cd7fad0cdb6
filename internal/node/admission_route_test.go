package node

import (
	"testing"
	"time"
)

// TestAdmissionRoute: a submission goes to the leader unless that is far slower than this
// node, and a slow leader is tried now and then to see whether it has caught up.
func TestAdmissionRoute(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name          string
		leader, local []time.Duration // observed latencies, in their order
		after         time.Duration   // since the leader was last tried
		want          bool
	}{
		{"nothing is known", nil, nil, ms(10), false},
		{"the leader is quick", []time.Duration{ms(12), ms(20)}, []time.Duration{ms(2)}, ms(10), false},
		{"the leader is slow", []time.Duration{ms(200), ms(400)}, []time.Duration{ms(30)}, ms(10), true},
		{"the leader is slow, and this node unknown", []time.Duration{ms(200)}, nil, ms(10), true},
		{"both are slow", []time.Duration{ms(200)}, []time.Duration{ms(150)}, ms(10), false},
		{"the slow leader is tried again", []time.Duration{ms(400)}, []time.Duration{ms(30)}, leaderRetryInterval, false},
		{"one late answer is not enough", []time.Duration{ms(10), ms(150)}, nil, ms(10), false},
		{"it has caught up", []time.Duration{ms(400), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10), ms(10)}, []time.Duration{ms(30)}, ms(10), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := &admissionRoute{lastLeaderTry: now.Add(-tt.after)}
			for _, d := range tt.leader {
				r.observeLeader(d)
			}
			for _, d := range tt.local {
				r.observeLocal(d)
			}
			if got := r.preferLocal(now); got != tt.want {
				t.Errorf("admits it by itself: %v, want %v (leader %v, local %v)", got, tt.want, r.leaderLatency, r.localLatency)
			}
		})
	}
}
