package control

import "vetchstream/internal/wire"

// finalStatusCache caches the status of the jobs that finished most recently. Its size is
// fixed, so that memory use does not grow with the number of jobs; the status of older
// jobs is read from the key-value store.
type finalStatusCache struct {
	byID map[string]wire.JobStatus
	ring []string // cached job IDs; the oldest is overwritten first
	next int      // index in ring of the next ID to overwrite
}

func newFinalStatusCache(size int) *finalStatusCache {
	return &finalStatusCache{
		byID: make(map[string]wire.JobStatus),
		ring: make([]string, size),
	}
}

// put caches a status, replacing the oldest one if the cache is full.
func (fc *finalStatusCache) put(status wire.JobStatus) {
	if _, ok := fc.byID[status.ID]; !ok {
		delete(fc.byID, fc.ring[fc.next])
		fc.ring[fc.next] = status.ID
		fc.next = (fc.next + 1) % len(fc.ring)
	}
	fc.byID[status.ID] = status
}

// get returns the status of a job; ok is false if it is not cached.
func (fc *finalStatusCache) get(id string) (status wire.JobStatus, ok bool) {
	status, ok = fc.byID[id]
	return status, ok
}
