package control

import "vetchstream/internal/wire"

// finals remembers the last jobs that are over, within a bound: a long day must
// not fill the memory. What is forgotten is read from the state service.
type finals struct {
	m    map[string]wire.Status
	ring []string
	next int
}

func newFinals(n int) *finals {
	return &finals{m: make(map[string]wire.Status), ring: make([]string, n)}
}

func (f *finals) put(s wire.Status) {
	if _, ok := f.m[s.ID]; !ok {
		delete(f.m, f.ring[f.next])
		f.ring[f.next] = s.ID
		f.next = (f.next + 1) % len(f.ring)
	}
	f.m[s.ID] = s
}

func (f *finals) get(id string) (wire.Status, bool) {
	s, ok := f.m[id]
	return s, ok
}
