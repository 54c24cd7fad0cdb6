package state

import "testing"

// TestWritesIdle: background work may run whatever the size of the budget, but not
// while the budget is in use.
func TestWritesIdle(t *testing.T) {
	tests := []struct {
		name  string
		rps   float64
		taken int // writes that others have just made
		want  bool
	}{
		{"a large budget", 112, 0, true},
		{"in use", 112, 40, false},
		{"a small budget", 18, 0, true},
		{"a small one in use", 18, 4, false},
	}
	for _, tt := range tests {
		c := New("state:1", nil, Budget{RPS: 100, WriteRPS: tt.rps})
		c.writes.AllowN(c.budgetChangedAt.AddDate(3000, 0, 0), tt.taken)
		if got := c.writes.TokensAt(c.budgetChangedAt.AddDate(3000, 0, 0)) >= c.idleThreshold(12); got != tt.want {
			t.Errorf("%s: idle %v, want %v", tt.name, got, tt.want)
		}
	}
}
