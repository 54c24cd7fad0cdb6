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

// admissionGroups holds the records of jobs that were accepted together. Bursts of
// small jobs arrive faster than a record each can be written: the state service
// limits writes, not bytes. The ends of the jobs are stored in the group's record,
// and finished entries move to their own final keys while the budget is idle.
type admissionGroups struct {
	*core
	recordWriter *recordWriter
	results      *results

	limit      *rate.Limiter // of the storing of job ends, shared with jobs of their own records
	lastNumber uint64        // of the last group of this term
	groupByJob map[string]*admissionGroup
	// active are the groups that have ends to store or finished entries to move.
	active map[*admissionGroup]bool
	// moving: entries of some group are being moved. One group's are at a time.
	moving bool
	// unreadable: a group's record cannot be read. A job that is found nowhere else may
	// be in it, and may be over: nothing is said about such a job, and none is accepted
	// as new.
	unreadable bool
}

// admissionGroup is the record of a group of jobs.
type admissionGroup struct {
	key                string
	version            uint64
	jobs               []job.Record    // as stored
	pendingCompletions []jobCompletion // not stored yet
	writing            bool            // a transaction is under way
	awaitingRateLimit  bool            // the endings wait for the rate limit
	noMoveBefore       time.Time
}

// index is the position of a job in the group.
func (g *admissionGroup) index(id string) int {
	return slices.IndexFunc(g.jobs, func(rec job.Record) bool { return rec.Spec.ID == id })
}

// jobCompletion is the end of a job that is not durable yet.
type jobCompletion struct {
	rec      *job.Record
	onStored func() // called on the actor once the end is durable
}

// newAdmissionGroups makes a term's groups; limit is the rate of the transactions
// that store job ends.
func newAdmissionGroups(co *core, limit *rate.Limiter) *admissionGroups {
	gs := &admissionGroups{core: co, limit: limit}
	gs.reset()
	return gs
}

// reset forgets the groups of a load that failed half-way.
func (gs *admissionGroups) reset() {
	gs.groupByJob = map[string]*admissionGroup{}
	gs.active = map[*admissionGroup]bool{}
	gs.unreadable = false
}

// load adds the group records of earlier leaders, and calls add for each entry. A
// record that cannot be read is left as it is and does not delay the others.
func (gs *admissionGroups) load(entries []state.Entry, add func(*job.Record)) {
	for _, entry := range entries {
		var group job.Group
		if err := wire.Unmarshal(entry.Value, &group); err != nil {
			gs.log.Error("group record cannot be read: it is retained, its jobs wait and no new ones are admitted", "key", entry.Key, "error", err)
			gs.unreadable = true
			continue
		}
		gs.add(entry.Key, entry.Version, group.Jobs)
		for i := range group.Jobs {
			add(&group.Jobs[i])
		}
	}
}

// hasUnreadable reports whether a job that is not known may be in a record that
// cannot be read.
func (gs *admissionGroups) hasUnreadable() bool { return gs.unreadable }

// nextKey makes the key of a new group; no other term makes the same.
func (gs *admissionGroups) nextKey() string {
	gs.lastNumber++
	return fmt.Sprintf("%s%d-%d", job.GroupPrefix, gs.term, gs.lastNumber)
}

// add adds a group whose record is stored at the version.
func (gs *admissionGroups) add(key string, version uint64, recs []job.Record) {
	g := &admissionGroup{key: key, version: version, jobs: recs}
	for i := range recs {
		gs.groupByJob[recs[i].Spec.ID] = g
		if recs[i].Phase != "" {
			gs.active[g] = true
		}
	}
}

// has reports whether a group has the job.
func (gs *admissionGroups) has(id string) bool { return gs.groupByJob[id] != nil }

// find returns a job's entry as it is stored, or nil if no group has the job.
func (gs *admissionGroups) find(id string) *job.Record {
	g := gs.groupByJob[id]
	if g == nil {
		return nil
	}
	return &g.jobs[g.index(id)]
}

// recordCompletion has the end of a job in a group stored; onStored is called once it is
// durable. A user waits for the end of a cancelled job, so that is stored at once.
// Other ends wait for the rate limit, and are stored together.
func (gs *admissionGroups) recordCompletion(rec *job.Record, onStored func()) {
	g := gs.groupByJob[rec.Spec.ID]
	g.pendingCompletions = append(g.pendingCompletions, jobCompletion{rec: rec, onStored: onStored})
	gs.active[g] = true
}

// storeAndCompact stores ends and moves finished entries, for each group that has
// any.
func (gs *admissionGroups) storeAndCompact(now time.Time) {
	for g := range gs.active {
		switch {
		case g.writing:
		case g.hasCancelled():
			gs.storeCompletions(g)
		case len(g.pendingCompletions) > 0:
			gs.storeCompletionsRateLimited(g)
		case !gs.moving && gs.controller.State.Idle(gs.recordWriter.maxWrites()) && !now.Before(g.noMoveBefore):
			gs.moveFinished(g)
		}
	}
}

// hasCancelled reports whether the end of a job that is not simply done is to be
// stored.
func (g *admissionGroup) hasCancelled() bool {
	return slices.ContainsFunc(g.pendingCompletions, func(completion jobCompletion) bool { return completion.rec.Phase != wire.JobDone })
}

// storeCompletionsRateLimited stores a group's ends when the rate limit allows it.
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

// storeCompletions writes the record of a group with the ends that have come.
func (gs *admissionGroups) storeCompletions(g *admissionGroup) {
	pending := g.pendingCompletions
	g.pendingCompletions = nil
	jobs := slices.Clone(g.jobs)
	for _, completion := range pending {
		jobs[g.index(completion.rec.Spec.ID)] = *completion.rec
	}
	put, err := state.Put(g.key, job.Group{Jobs: jobs})
	if err != nil {
		gs.log.Error("group record cannot be encoded", "key", g.key, "error", err)
		return
	}
	gs.commitGroup(g, nil, []state.Write{put}, func() {
		g.jobs = jobs
		for _, completion := range pending {
			completion.onStored()
		}
	})
}

// moveFinished moves finished entries of a group to their own final keys, in one
// transaction: after a crash at any step each entry is in one of the two places.
func (gs *admissionGroups) moveFinished(g *admissionGroup) {
	conds, writes, remaining := gs.finalWrites(g)
	if len(writes) == 0 {
		delete(gs.active, g)
		return
	}
	// The write of the group's own record comes last (commitGroup).
	if len(remaining) == 0 {
		writes = append(writes, state.Write{Delete: g.key})
	} else {
		put, err := state.Put(g.key, job.Group{Jobs: remaining})
		if err != nil {
			gs.log.Error("group record cannot be encoded", "key", g.key, "error", err)
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

// finalWrites are the writes of the final records of a group's finished entries, as
// many as fit into one transaction, with their conditions, and the entries that
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
			gs.log.Error("job record cannot be encoded", "job", rec.Spec.ID, "error", err)
			remaining = append(remaining, *rec)
			continue
		}
		// Another node that reached no leader may have admitted the same job, with an active
		// record. That record has to be deleted first, or the job would start again.
		conds = append(conds, state.Condition{Key: job.ActivePrefix + rec.Spec.ID})
		writes = append(writes, put)
	}
	return conds, writes, remaining
}
