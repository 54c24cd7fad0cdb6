package control

import "vetchstream/internal/wire"

// finalStatusCache remembers the status of the jobs that were over last, within a
// bound: a long day must not fill the memory. Older ones are read from the key-value
// store.
type finalStatusCache struct {
	byID map[string]wire.Status
	ring []string // the remembered ids, overwritten from the oldest on
	next int      // index in ring
}

func newFinalStatusCache(size int) *finalStatusCache {
	return &finalStatusCache{
		byID: make(map[string]wire.Status),
		ring: make([]string, size),
	}
}

// put remembers a status, in place of the oldest one if the cache is full.
func (f *finalStatusCache) put(s wire.Status) {
	if _, ok := f.byID[s.ID]; !ok {
		delete(f.byID, f.ring[f.next])
		f.ring[f.next] = s.ID
		f.next = (f.next + 1) % len(f.ring)
	}
	f.byID[s.ID] = s
}

// get returns the status of a job; ok is false if it is not remembered.
func (f *finalStatusCache) get(id string) (s wire.Status, ok bool) {
	s, ok = f.byID[id]
	return s, ok
}
