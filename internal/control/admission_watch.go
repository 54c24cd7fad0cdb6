package control

import (
	"errors"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
)

const (
	// relistInterval is the time between full listings of the active jobs. A job whose
	// watch event was lost would otherwise be known to its user alone.
	relistInterval = time.Minute
	// watchTimeout bounds one watch of the active jobs.
	watchTimeout = 10 * time.Second
	// readRetryPause is the wait after a failed read or watch.
	readRetryPause = 300 * time.Millisecond
)

// watchActiveJobs adopts jobs that other nodes admit while they cannot reach the
// leader. It watches their records from the revision on, and lists them all every
// auditInterval, until the term ends.
func (ad *admission) watchActiveJobs(revision uint64) {
	listedAt := time.Now()
	for ad.ctx.Err() == nil {
		events, next, err := ad.controller.State.Watch(ad.ctx, job.ActivePrefix, revision, watchTimeout)
		switch {
		case errors.Is(err, state.ErrGone) || time.Since(listedAt) > relistInterval:
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

// enqueueAdoption has the actor adopt the job whose record has the key.
func (ad *admission) enqueueAdoption(key string) {
	ad.enqueueForUser(func() { ad.adopt(key[len(job.ActivePrefix):]) })
}

// adopt takes over a job that has a record of its own, unless this term made that
// record or knows the job.
func (ad *admission) adopt(id string) {
	if ad.admissionGroups.has(id) {
		// Admitted by another node as well: the entry in the group is enough.
		ad.results.deleteLater(job.ActivePrefix + id)
		return
	}
	if ad.hasJob(id) {
		return
	}
	go ad.readAndAdopt(id)
}

// readAndAdopt reads a job's record and adds the job if it is active. The event that
// named it may be old: a job that is over by now is under its final key.
func (ad *admission) readAndAdopt(id string) {
	for ad.ctx.Err() == nil {
		rec, version, err := readJobRecord(ad.ctx, ad.controller.State, id)
		if errors.Is(err, errUnreadable) {
			return // the next listing tries again
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
