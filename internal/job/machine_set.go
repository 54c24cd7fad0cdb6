package job

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// MachineSet is a set of machines, stored as a bit set of their dense indices.
type MachineSet []uint64

// Has reports whether the set contains i.
func (s MachineSet) Has(i int) bool {
	word := i >> wordShift
	return word < len(s) && s[word]&machineBit(i) != 0
}

// Add adds i to the set.
func (s *MachineSet) Add(i int) {
	word := i >> wordShift
	for word >= len(*s) {
		*s = append(*s, 0)
	}
	(*s)[word] |= machineBit(i)
}

// Remove removes i from the set.
func (s MachineSet) Remove(i int) {
	if word := i >> wordShift; word < len(s) {
		s[word] &^= machineBit(i)
	}
}

// machineBit returns the word in which only the bit of index i is set.
func machineBit(i int) uint64 { return 1 << (i & (wordBits - 1)) }

// Intersect returns the intersection of s and other.
func (s MachineSet) Intersect(other MachineSet) MachineSet {
	intersection := make(MachineSet, min(len(s), len(other)))
	for i := range intersection {
		intersection[i] = s[i] & other[i]
	}
	return intersection
}

// Encode returns the set as text for a record: the words in little-endian order without
// trailing zero words, encoded as base64.
func (s MachineSet) Encode() string {
	for len(s) > 0 && s[len(s)-1] == 0 {
		s = s[:len(s)-1]
	}
	encoded := make([]byte, 0, wordBytes*len(s))
	for _, word := range s {
		encoded = binary.LittleEndian.AppendUint64(encoded, word)
	}
	return base64.StdEncoding.EncodeToString(encoded)
}

// ParseMachineSet parses a text that Encode has returned.
func ParseMachineSet(text string) (MachineSet, error) {
	decoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(decoded)%wordBytes != 0 {
		return nil, fmt.Errorf("machine set %q is not base64 of whole words", text)
	}
	set := make(MachineSet, 0, len(decoded)/wordBytes)
	for ; len(decoded) > 0; decoded = decoded[wordBytes:] {
		set = append(set, binary.LittleEndian.Uint64(decoded))
	}
	return set, nil
}
