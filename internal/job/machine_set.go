package job

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// MachineSet is a set of dense indices of machines.
type MachineSet []uint64

// Has reports whether i is in the set.
func (s MachineSet) Has(i int) bool { return i>>6 < len(s) && s[i>>6]&(1<<(i&63)) != 0 }

// Add puts i into the set.
func (s *MachineSet) Add(i int) {
	for i>>6 >= len(*s) {
		*s = append(*s, 0)
	}
	(*s)[i>>6] |= 1 << (i & 63)
}

// Remove takes i out of the set.
func (s MachineSet) Remove(i int) {
	if i>>6 < len(s) {
		s[i>>6] &^= 1 << (i & 63)
	}
}

// Intersect is what both sets have.
func (s MachineSet) Intersect(t MachineSet) MachineSet {
	out := make(MachineSet, min(len(s), len(t)))
	for i := range out {
		out[i] = s[i] & t[i]
	}
	return out
}

// Encode is the set's short form for records.
func (s MachineSet) Encode() string {
	for len(s) > 0 && s[len(s)-1] == 0 {
		s = s[:len(s)-1]
	}
	b := make([]byte, 0, 8*len(s))
	for _, w := range s {
		b = binary.LittleEndian.AppendUint64(b, w)
	}
	return base64.StdEncoding.EncodeToString(b)
}

// ParseMachineSet reads the short form.
func ParseMachineSet(text string) (MachineSet, error) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(b)%8 != 0 {
		return nil, fmt.Errorf("set of machines %q: malformed", text)
	}
	s := make(MachineSet, 0, len(b)/8)
	for ; len(b) > 0; b = b[8:] {
		s = append(s, binary.LittleEndian.Uint64(b))
	}
	return s, nil
}
