package job

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// MachineSet is a set of dense indices of machines, as a bit set.
type MachineSet []uint64

// Has reports whether i is in the set.
func (s MachineSet) Has(i int) bool {
	word := i >> wordShift
	return word < len(s) && s[word]&machineBit(i) != 0
}

// Add puts i into the set.
func (s *MachineSet) Add(i int) {
	word := i >> wordShift
	for word >= len(*s) {
		*s = append(*s, 0)
	}
	(*s)[word] |= machineBit(i)
}

// Remove takes i out of the set.
func (s MachineSet) Remove(i int) {
	if word := i >> wordShift; word < len(s) {
		s[word] &^= machineBit(i)
	}
}

// machineBit is the bit of index i in its word.
func machineBit(i int) uint64 { return 1 << (i & (wordBits - 1)) }

// Intersect is the set of what both sets have.
func (s MachineSet) Intersect(t MachineSet) MachineSet {
	out := make(MachineSet, min(len(s), len(t)))
	for i := range out {
		out[i] = s[i] & t[i]
	}
	return out
}

// Encode is the set's short text for records.
func (s MachineSet) Encode() string {
	for len(s) > 0 && s[len(s)-1] == 0 {
		s = s[:len(s)-1]
	}
	b := make([]byte, 0, wordBytes*len(s))
	for _, word := range s {
		b = binary.LittleEndian.AppendUint64(b, word)
	}
	return base64.StdEncoding.EncodeToString(b)
}

// ParseMachineSet reads the text that Encode makes.
func ParseMachineSet(text string) (MachineSet, error) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(b)%wordBytes != 0 {
		return nil, fmt.Errorf("set of machines %q: malformed", text)
	}
	s := make(MachineSet, 0, len(b)/wordBytes)
	for ; len(b) > 0; b = b[wordBytes:] {
		s = append(s, binary.LittleEndian.Uint64(b))
	}
	return s, nil
}
