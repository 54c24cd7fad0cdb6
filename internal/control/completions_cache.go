package control

import "vetchstream/internal/wire"

// finalStatusCache remembers the status of the jobs that were over last, within a
// bound: a long day must not fill the memory. Older ones are read from the key-value
// store.
type finalStatusCache struct {
	byID map[string]wire.JobStatus
	ring []string // the remembered ids, overwritten from the oldest on
	next int      // index in ring
}

func newFinalStatusCache(size int) *finalStatusCache {
	return &finalStatusCache{
		byID: make(map[string]wire.JobStatus),
		ring: make([]string, size),
	}
}

// put remembers a status, in place of the oldest one if the cache is full.
func (fc *finalStatusCache) put(status wire.JobStatus) {
	if _, ok := fc.byID[status.ID]; !ok {
		delete(fc.byID, fc.ring[fc.next])
		fc.ring[fc.next] = status.ID
		fc.next = (fc.next + 1) % len(fc.ring)
	}
	fc.byID[status.ID] = status
}

// get returns the status of a job; ok is false if it is not remembered.
func (fc *finalStatusCache) get(id string) (status wire.JobStatus, ok bool) {
	status, ok = fc.byID[id]
	return status, ok
}
