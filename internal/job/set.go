package job

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// Set is a set of dense indices of machines.
type Set []uint64

// Has reports whether i is in the set.
func (s Set) Has(i int) bool { return i>>6 < len(s) && s[i>>6]&(1<<(i&63)) != 0 }

// Add puts i into the set.
func (s *Set) Add(i int) {
	for i>>6 >= len(*s) {
		*s = append(*s, 0)
	}
	(*s)[i>>6] |= 1 << (i & 63)
}

// Drop takes i out of the set.
func (s Set) Drop(i int) {
	if i>>6 < len(s) {
		s[i>>6] &^= 1 << (i & 63)
	}
}

// And is what both sets have.
func (s Set) And(t Set) Set {
	out := make(Set, min(len(s), len(t)))
	for i := range out {
		out[i] = s[i] & t[i]
	}
	return out
}

// Text is the set's short form for records.
func (s Set) Text() string {
	for len(s) > 0 && s[len(s)-1] == 0 {
		s = s[:len(s)-1]
	}
	b := make([]byte, 0, 8*len(s))
	for _, w := range s {
		b = binary.LittleEndian.AppendUint64(b, w)
	}
	return base64.StdEncoding.EncodeToString(b)
}

// ParseSet reads the short form.
func ParseSet(text string) (Set, error) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(b)%8 != 0 {
		return nil, fmt.Errorf("set of machines %q: malformed", text)
	}
	s := make(Set, 0, len(b)/8)
	for ; len(b) > 0; b = b[8:] {
		s = append(s, binary.LittleEndian.Uint64(b))
	}
	return s, nil
}
