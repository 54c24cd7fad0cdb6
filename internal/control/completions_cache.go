package control

import "vetchstream/internal/wire"

// finalStatusCache remembers the last jobs that are over, within a bound: a long day must
// not fill the memory. What is forgotten is read from the state service.
type finalStatusCache struct {
	m    map[string]wire.JobStatus
	ring []string
	next int
}

func newFinalStatusCache(n int) *finalStatusCache {
	return &finalStatusCache{m: make(map[string]wire.JobStatus), ring: make([]string, n)}
}

func (f *finalStatusCache) put(s wire.JobStatus) {
	if _, ok := f.m[s.ID]; !ok {
		delete(f.m, f.ring[f.next])
		f.ring[f.next] = s.ID
		f.next = (f.next + 1) % len(f.ring)
	}
	f.m[s.ID] = s
}

func (f *finalStatusCache) get(id string) (wire.JobStatus, bool) {
	s, ok := f.m[id]
	return s, ok
}
