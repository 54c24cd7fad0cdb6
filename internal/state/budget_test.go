package state

import "testing"

// TestWritesIdle checks that an unused write budget counts as idle whatever its size,
// and one in use does not.
func TestWritesIdle(t *testing.T) {
	tests := []struct {
		name         string
		writeRPS     float64
		recentWrites int // writes that have just been made
		want         bool
	}{
		{"a large unused budget is idle", 112, 0, true},
		{"a large budget in use is not idle", 112, 40, false},
		{"a small unused budget is idle", 18, 0, true},
		{"a small budget in use is not idle", 18, 4, false},
	}
	for _, tt := range tests {
		c := New("state:1", nil, Budget{RPS: 100, WriteRPS: tt.writeRPS})
		c.writes.AllowN(c.budgetChangedAt.AddDate(3000, 0, 0), tt.recentWrites)
		if got := c.writes.TokensAt(c.budgetChangedAt.AddDate(3000, 0, 0)) >= c.idleThreshold(12); got != tt.want {
			t.Errorf("%s: idle = %v, want %v", tt.name, got, tt.want)
		}
	}
}
