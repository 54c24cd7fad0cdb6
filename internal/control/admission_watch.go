package control

import (
	"errors"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
)

const (
	// relistInterval is the interval between full listings of the active jobs. Without
	// them, a job whose watch event was lost would never be adopted.
	relistInterval = time.Minute
	// watchTimeout bounds a single watch request.
	watchTimeout = 10 * time.Second
	// readRetryPause is the delay after a failed read or watch.
	readRetryPause = 300 * time.Millisecond
)

// watchActiveJobs adopts jobs that other nodes admit while they cannot reach the leader.
// Until the term ends, it watches the active records from the given revision on and
// lists all of them every relistInterval.
func (ad *admission) watchActiveJobs(revision uint64) {
	listedAt := time.Now()
	for ad.ctx.Err() == nil {
		events, next, err := ad.controller.State.Watch(ad.ctx, job.ActivePrefix, revision, watchTimeout)
		switch {
		case errors.Is(err, state.ErrCompacted) || time.Since(listedAt) > relistInterval:
			entries, listed, err := ad.controller.State.List(ad.ctx, job.ActivePrefix)
			if err != nil {
				ad.sleep(readRetryPause)
				continue
			}
			listedAt = time.Now()
			for _, entry := range entries {
				ad.enqueueAdoption(entry.Key)
			}
			revision = listed
		case err != nil:
			ad.sleep(readRetryPause)
		default:
			for _, event := range events {
				if event.Put != "" {
					ad.enqueueAdoption(event.Put)
				}
			}
			revision = max(revision, next)
		}
	}
}

// enqueueAdoption makes the actor adopt the job whose active record has the given key.
func (ad *admission) enqueueAdoption(key string) {
	ad.enqueueForUser(func() { ad.adopt(key[len(job.ActivePrefix):]) })
}

// adopt starts the adoption of a job that has its own record, unless the job is already
// in the leader's memory.
func (ad *admission) adopt(id string) {
	if ad.admissionGroups.has(id) {
		// Another node admitted the job as well. The entry in the group suffices.
		ad.results.deleteLater(job.ActivePrefix + id)
		return
	}
	if ad.hasJob(id) {
		return
	}
	go ad.readAndAdopt(id)
}

// readAndAdopt reads a job's record and adds the job if it is active. The watch event may
// be outdated: the record of a job that has finished since is under its final key.
func (ad *admission) readAndAdopt(id string) {
	for ad.ctx.Err() == nil {
		rec, version, err := readJobRecord(ad.ctx, ad.controller.State, id)
		if errors.Is(err, errUnreadable) {
			return // the next listing retries
		}
		if err != nil {
			ad.sleep(readRetryPause)
			continue
		}
		if rec == nil || rec.Phase != "" {
			return
		}
		ad.enqueueForUser(func() {
			if !ad.hasJob(id) {
				ad.jobTable.add(rec, version, time.Now())
			}
		})
		return
	}
}
