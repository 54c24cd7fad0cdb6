package job

import "testing"

// TestMachineSetEncoding: a set survives its text, whatever its length, and a text that is no
// set is refused, because it would name too few machines.
func TestMachineSetEncoding(t *testing.T) {
	tests := []struct {
		name    string
		members []int
		drop    int
	}{
		{"empty", nil, 3},
		{"the first", []int{0}, -1},
		{"the edges of words", []int{63, 64, 127, 128}, 64},
		{"a large fleet", []int{1, 848, 2000}, 2000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s MachineSet
			for _, i := range tt.members {
				s.Add(i)
			}
			if tt.drop >= 0 {
				s.Remove(tt.drop)
			}
			got, err := ParseMachineSet(s.Encode())
			if err != nil {
				t.Fatal(err)
			}
			want := map[int]bool{}
			for _, i := range tt.members {
				want[i] = i != tt.drop
			}
			for i := range 2100 {
				if got.Has(i) != want[i] || s.Intersect(got).Has(i) != want[i] {
					t.Errorf("%d: %v, want %v", i, got.Has(i), want[i])
				}
			}
		})
	}
	for _, bad := range []string{"x", "AAAA", "AAAAAAAAAAA"} {
		if _, err := ParseMachineSet(bad); err == nil {
			t.Errorf("%q is taken for a set", bad)
		}
	}
}
