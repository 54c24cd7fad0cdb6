package job

import "testing"

// TestMachineSetEncoding checks that encoding and parsing preserves sets of different
// sizes, and that a malformed text is an error: the set parsed from it would lack
// machines.
func TestMachineSetEncoding(t *testing.T) {
	tests := []struct {
		name    string
		members []int
		removed int
	}{
		{"an empty set", nil, 3},
		{"only index 0", []int{0}, -1},
		{"indices at the boundaries of words", []int{63, 64, 127, 128}, 64},
		{"a large index", []int{1, 848, 2000}, 2000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var set MachineSet
			for _, i := range tt.members {
				set.Add(i)
			}
			if tt.removed >= 0 {
				set.Remove(tt.removed)
			}
			got, err := ParseMachineSet(set.Encode())
			if err != nil {
				t.Fatal(err)
			}
			want := map[int]bool{}
			for _, i := range tt.members {
				want[i] = i != tt.removed
			}
			for i := range 2100 {
				if got.Has(i) != want[i] || set.Intersect(got).Has(i) != want[i] {
					t.Errorf("parsed set or intersection contains %d: parsed set %v, want both %v", i, got.Has(i), want[i])
				}
			}
		})
	}
	for _, malformed := range []string{"x", "AAAA", "AAAAAAAAAAA"} {
		if _, err := ParseMachineSet(malformed); err == nil {
			t.Errorf("malformed set %q was parsed without an error", malformed)
		}
	}
}
