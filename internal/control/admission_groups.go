package control

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// admissionGroups holds the records of jobs that were accepted together. The key-value
// store limits the rate of writes rather than bytes, so bursts of small jobs arrive
// faster than individual records could be written. The completions of such jobs are
// stored in the group's record, and finished entries move to their own final keys while
// the request budget is idle.
type admissionGroups struct {
	*core
	recordWriter *recordWriter
	results      *results

	limit      *rate.Limiter // limits writes of completions; shared with jobs that have their own records
	lastNumber uint64        // number of the last group created in this term
	groupByJob map[string]*admissionGroup
	// active contains the groups with completions to store or finished entries to move.
	active map[*admissionGroup]bool
	// moving tells whether a move is in flight. Only one group's entries move at a time.
	moving bool
	// unreadable tells whether a group's record cannot be decoded. It may contain any job
	// that is found nowhere else, possibly in a final phase: requests about such a job are
	// refused, and no new job is accepted.
	unreadable bool
}

// admissionGroup mirrors the stored record of a group of jobs.
type admissionGroup struct {
	key                string
	version            uint64
	jobs               []job.Record    // as stored
	pendingCompletions []jobCompletion // not stored yet
	writing            bool            // a transaction is in flight
	awaitingRateLimit  bool            // pendingCompletions wait for the rate limit
	noMoveBefore       time.Time
}

// index returns the position of a job in the group.
func (g *admissionGroup) index(id string) int {
	return slices.IndexFunc(g.jobs, func(rec job.Record) bool { return rec.Spec.ID == id })
}

// jobCompletion is a job's final record that is not durable yet.
type jobCompletion struct {
	rec      *job.Record
	onStored func() // called on the actor once the record is durable
}

// newAdmissionGroups creates the admission groups of a term. limit limits the rate of
// transactions that store completions.
func newAdmissionGroups(co *core, limit *rate.Limiter) *admissionGroups {
	gs := &admissionGroups{core: co, limit: limit}
	gs.reset()
	return gs
}

// reset discards the groups of an incomplete load.
func (gs *admissionGroups) reset() {
	gs.groupByJob = map[string]*admissionGroup{}
	gs.active = map[*admissionGroup]bool{}
	gs.unreadable = false
}

// load adds the group records of earlier leaders, and calls add for each entry. A record
// that cannot be decoded is left unchanged and does not affect the others.
func (gs *admissionGroups) load(entries []state.Entry, add func(*job.Record)) {
	for _, entry := range entries {
		var group job.Group
		if err := wire.Unmarshal(entry.Value, &group); err != nil {
			gs.log.Error("cannot decode a group record; it is retained, its jobs wait and no new jobs are admitted", "key", entry.Key, "error", err)
			gs.unreadable = true
			continue
		}
		gs.add(entry.Key, entry.Version, group.Jobs)
		for i := range group.Jobs {
			add(&group.Jobs[i])
		}
	}
}

// hasUnreadable reports whether a group record cannot be decoded, so that it may contain
// a job that is found nowhere else.
func (gs *admissionGroups) hasUnreadable() bool { return gs.unreadable }

// nextKey returns the key of a new group. It contains the term, so that keys are unique
// across terms.
func (gs *admissionGroups) nextKey() string {
	gs.lastNumber++
	return fmt.Sprintf("%s%d-%d", job.GroupPrefix, gs.term, gs.lastNumber)
}

// add adds a group whose record is stored with the given version.
func (gs *admissionGroups) add(key string, version uint64, recs []job.Record) {
	g := &admissionGroup{key: key, version: version, jobs: recs}
	for i := range recs {
		gs.groupByJob[recs[i].Spec.ID] = g
		if recs[i].Phase != "" {
			gs.active[g] = true
		}
	}
}

// has reports whether a group contains the job.
func (gs *admissionGroups) has(id string) bool { return gs.groupByJob[id] != nil }

// find returns a job's entry as stored, or nil if no group contains the job.
func (gs *admissionGroups) find(id string) *job.Record {
	g := gs.groupByJob[id]
	if g == nil {
		return nil
	}
	return &g.jobs[g.index(id)]
}

// recordCompletion schedules the write of the final record of a job in a group; onStored
// is called once it is durable. A cancellation is stored immediately, because its user
// waits for it. Other completions wait for the rate limit and are stored together.
func (gs *admissionGroups) recordCompletion(rec *job.Record, onStored func()) {
	g := gs.groupByJob[rec.Spec.ID]
	g.pendingCompletions = append(g.pendingCompletions, jobCompletion{rec: rec, onStored: onStored})
	gs.active[g] = true
}

// storeAndCompact stores completions and moves finished entries of the active groups.
func (gs *admissionGroups) storeAndCompact(now time.Time) {
	for g := range gs.active {
		switch {
		case g.writing:
		case g.hasCancelled():
			gs.storeCompletions(g)
		case len(g.pendingCompletions) > 0:
			gs.storeCompletionsRateLimited(g)
		case !gs.moving && gs.controller.State.WritesIdle(gs.recordWriter.maxWrites()) && !now.Before(g.noMoveBefore):
			gs.moveFinished(g)
		}
	}
}

// hasCancelled reports whether a pending completion has a phase other than done.
func (g *admissionGroup) hasCancelled() bool {
	return slices.ContainsFunc(g.pendingCompletions, func(completion jobCompletion) bool { return completion.rec.Phase != wire.JobDone })
}

// storeCompletionsRateLimited stores a group's pending completions as soon as the rate
// limit allows it.
func (gs *admissionGroups) storeCompletionsRateLimited(g *admissionGroup) {
	if g.awaitingRateLimit {
		return
	}
	g.awaitingRateLimit = true
	go func() {
		if gs.limit.Wait(gs.ctx) != nil {
			return // the term has ended
		}
		gs.enqueueForUser(func() {
			g.awaitingRateLimit = false
			if !g.writing && len(g.pendingCompletions) > 0 {
				gs.storeCompletions(g)
			}
		})
	}()
}

// storeCompletions writes a group's record with all pending completions.
func (gs *admissionGroups) storeCompletions(g *admissionGroup) {
	pending := g.pendingCompletions
	g.pendingCompletions = nil
	jobs := slices.Clone(g.jobs)
	for _, completion := range pending {
		jobs[g.index(completion.rec.Spec.ID)] = *completion.rec
	}
	put, err := state.Put(g.key, job.Group{Jobs: jobs})
	if err != nil {
		gs.log.Error("cannot encode a group record; its completions are not stored", "key", g.key, "error", err)
		return
	}
	gs.commitGroup(g, nil, []state.Write{put}, func() {
		g.jobs = jobs
		for _, completion := range pending {
			completion.onStored()
		}
	})
}

// moveFinished moves finished entries of a group to their own final keys. A single
// transaction ensures that each entry is in exactly one of the two places, whenever the
// leader crashes.
func (gs *admissionGroups) moveFinished(g *admissionGroup) {
	conds, writes, remaining := gs.finalWrites(g)
	if len(writes) == 0 {
		delete(gs.active, g)
		return
	}
	// commitGroup requires that the write of the group's own record comes last.
	if len(remaining) == 0 {
		writes = append(writes, state.Write{Delete: g.key})
	} else {
		put, err := state.Put(g.key, job.Group{Jobs: remaining})
		if err != nil {
			gs.log.Error("cannot encode a group record; its finished entries are not moved", "key", g.key, "error", err)
			return
		}
		writes = append(writes, put)
	}
	gs.moving = true
	gs.commitGroup(g, conds, writes, func() {
		for i := range g.jobs {
			delete(gs.groupByJob, g.jobs[i].Spec.ID)
		}
		for i := range remaining {
			gs.groupByJob[remaining[i].Spec.ID] = g
		}
		g.jobs = remaining
	})
}

// finalWrites returns the conditions and writes that move a group's finished entries to
// their final keys, limited to what fits into one transaction, and the entries that
// remain in the group.
func (gs *admissionGroups) finalWrites(g *admissionGroup) (conds []state.Condition, writes []state.Write, remaining []job.Record) {
	for i := range g.jobs {
		rec := &g.jobs[i]
		if rec.Phase == "" || len(writes)+2 > gs.recordWriter.maxWrites() {
			remaining = append(remaining, *rec)
			continue
		}
		put, err := state.Put(job.FinalPrefix+rec.Spec.ID, rec)
		if err != nil {
			gs.log.Error("cannot encode a job record; the job stays in its group", "job", rec.Spec.ID, "error", err)
			remaining = append(remaining, *rec)
			continue
		}
		// A node that could not reach the leader may have admitted the same job with an
		// active record. That record has to be deleted first, or the job would start again.
		conds = append(conds, state.Condition{Key: job.ActivePrefix + rec.Spec.ID})
		writes = append(writes, put)
	}
	return conds, writes, remaining
}
