package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// admissionGroups are the records of jobs that were accepted together. A swarm of small
// jobs comes faster than one record each can be written: the state service counts
// writes, not bytes. Their ends go into the same record, and what is over moves
// to its own final key when there is nothing better to do with the budget.
type admissionGroups struct {
	*core
	recordWriter *recordWriter
	results      *results

	limit *rate.Limiter // of endings, shared with those of jobs alone
	next  uint64        // number of the next group of this term
	byJob map[string]*group
	// open are the groups that have something to store or to move.
	open   map[*group]bool
	moving bool // one group's entries are moved at a time
	// doubt: a record cannot be read. A job that is found nowhere else may be in it, and
	// its end with it: nothing is told of such a job, and none is taken in as new.
	doubt bool
}

// group is one record.
type group struct {
	key     string
	version uint64
	jobs    []job.Record // as stored
	ends    []ending     // to be stored
	writing bool         // a transaction is under way
	waiting bool         // its turn among the endings is awaited
	restAt  time.Time    // no moves before
}

// ending is the end of a job that is not durable yet.
type ending struct {
	rec  *job.Record
	then func()
}

func newAdmissionGroups(co *core, limit *rate.Limiter) *admissionGroups {
	gs := &admissionGroups{core: co, limit: limit}
	gs.reset()
	return gs
}

// reset forgets what a load that failed half-way has found.
func (gs *admissionGroups) reset() {
	gs.byJob, gs.open, gs.doubt = map[string]*group{}, map[*group]bool{}, false
}

// doubtful reports whether a job that is not known may be in a record that cannot be read.
func (gs *admissionGroups) doubtful() bool { return gs.doubt }

// name makes a key that no other term can make.
func (gs *admissionGroups) name() string {
	gs.next++
	return fmt.Sprintf("%s%d-%d", job.GroupPrefix, gs.term, gs.next)
}

// add takes in a record that has been stored.
func (gs *admissionGroups) add(key string, version uint64, recs []job.Record) {
	g := &group{key: key, version: version, jobs: recs}
	for i := range recs {
		gs.byJob[recs[i].Spec.ID] = g
		if recs[i].Phase != "" {
			gs.open[g] = true
		}
	}
}

// has reports whether a group record has the job.
func (gs *admissionGroups) has(id string) bool { return gs.byJob[id] != nil }

// find returns a job's entry as it is stored; nil: no group has it.
func (gs *admissionGroups) find(id string) *job.Record {
	g := gs.byJob[id]
	if g == nil {
		return nil
	}
	i := slices.IndexFunc(g.jobs, func(r job.Record) bool { return r.Spec.ID == id })
	return &g.jobs[i]
}

// end stores the end of a job of a group; then is called once it is durable. A
// user waits for the end of a cancelled job; the others take turns, and what
// comes meanwhile goes with them.
func (gs *admissionGroups) end(rec *job.Record, then func()) {
	g := gs.byJob[rec.Spec.ID]
	g.ends = append(g.ends, ending{rec, then})
	gs.open[g] = true
}

// step stores ends and moves what is over, for each group that has any.
func (gs *admissionGroups) step(now time.Time) {
	for g := range gs.open {
		switch {
		case g.writing:
		case slices.ContainsFunc(g.ends, func(e ending) bool { return e.rec.Phase != wire.JobDone }):
			gs.store(g)
		case len(g.ends) > 0:
			gs.await(g)
		case !gs.moving && gs.controller.State.Idle(gs.recordWriter.size()) && !now.Before(g.restAt):
			gs.move(g)
		}
	}
}

// await stores a group's ends when its turn has come.
func (gs *admissionGroups) await(g *group) {
	if g.waiting {
		return
	}
	g.waiting = true
	go func() {
		if gs.limit.Wait(gs.ctx) != nil {
			return
		}
		gs.enqueueForUser(func() {
			g.waiting = false
			if !g.writing && len(g.ends) > 0 {
				gs.store(g)
			}
		})
	}()
}

// store writes the record with the ends that have come.
func (gs *admissionGroups) store(g *group) {
	ends := g.ends
	g.ends = nil
	jobs := slices.Clone(g.jobs)
	for _, e := range ends {
		i := slices.IndexFunc(jobs, func(r job.Record) bool { return r.Spec.ID == e.rec.Spec.ID })
		jobs[i] = *e.rec
	}
	put, err := state.Put(g.key, job.Group{Jobs: jobs})
	if err != nil {
		gs.log.Error("group does not encode", "key", g.key, "error", err)
		return
	}
	gs.commit(g, nil, []state.Write{put}, func() {
		g.jobs = jobs
		for _, e := range ends {
			e.then()
		}
	})
}

// moveRest spaces the moves of one group after a conflict.
const moveRest = time.Second

// move takes entries that are over out of a group, each to its own final key, in
// one transaction: a crash at any step leaves an entry in one of the two places.
func (gs *admissionGroups) move(g *group) {
	var conds []state.Cond
	var writes []state.Write
	var left []job.Record
	for i := range g.jobs {
		rec := &g.jobs[i]
		if rec.Phase == "" || len(writes)+2 > gs.recordWriter.size() {
			left = append(left, *rec)
			continue
		}
		put, err := state.Put(job.FinalPrefix+rec.Spec.ID, rec)
		if err != nil {
			gs.log.Error("record does not encode", "job", rec.Spec.ID, "error", err)
			left = append(left, *rec)
			continue
		}
		// Another node that reached no leader may have admitted the job once more, by
		// itself. That record has to go first, or it would be a new job afterwards.
		conds = append(conds, state.Cond{Key: job.ActivePrefix + rec.Spec.ID})
		writes = append(writes, put)
	}
	if len(writes) == 0 {
		delete(gs.open, g)
		return
	}
	if len(left) == 0 {
		writes = append(writes, state.Write{Delete: g.key})
	} else {
		put, err := state.Put(g.key, job.Group{Jobs: left})
		if err != nil {
			gs.log.Error("group does not encode", "key", g.key, "error", err)
			return
		}
		writes = append(writes, put)
	}
	gs.moving = true
	gs.commit(g, conds, writes, func() {
		for i := range g.jobs {
			delete(gs.byJob, g.jobs[i].Spec.ID)
		}
		for i := range left {
			gs.byJob[left[i].Spec.ID] = g
		}
		g.jobs = left
	})
}

// commit writes a group's record on its version, until it is settled. Only one
// transaction of a group is under way at a time, and only an entitled leader
// writes groups: a version that has moved on is the work of an unclear try of
// this very transaction.
func (gs *admissionGroups) commit(g *group, conds []state.Cond, writes []state.Write, then func()) {
	g.writing = true
	was := g.version
	gone := writes[len(writes)-1].Delete != ""
	txn := state.Txn{If: append([]state.Cond{gs.fence, {Key: g.key, Version: was}}, conds...), Writes: writes}
	done := func(version uint64) {
		gs.enqueueForUser(func() {
			g.writing, g.version = false, version
			gs.moving = gs.moving && len(conds) == 0
			then()
			if len(g.jobs) == 0 {
				delete(gs.open, g)
			}
		})
	}
	// A move that cannot be made as it is is made anew, later.
	again := func() {
		g.writing, gs.moving, g.restAt = false, false, time.Now().Add(moveRest)
	}
	go func() {
		for unclear := false; gs.ctx.Err() == nil; {
			version, err := gs.controller.State.Commit(gs.ctx, txn)
			var conflict *state.ConflictError
			switch {
			case err == nil:
				done(version)
				return
			case errors.As(err, &conflict):
				e, gerr := gs.controller.State.Get(gs.ctx, g.key)
				switch {
				case gerr == nil && e.Version != was:
					done(e.Version)
					return
				case errors.Is(gerr, state.ErrNotFound) && gone && unclear:
					done(0)
					return
				case gerr == nil && len(conds) > 0:
					// A job that was admitted twice: the other record goes first.
					gs.enqueueForUser(func() {
						for _, c := range conds {
							if slices.Contains(conflict.Failed, c.Key) {
								gs.results.drop(c.Key)
							}
						}
						again()
					})
					return
				}
			case errors.Is(err, state.ErrRejected):
				gs.enqueueForUser(func() { gs.recordWriter.smaller(err) })
				if len(conds) > 0 && !unclear {
					gs.enqueueForUser(again)
					return
				}
			case !errors.Is(err, state.ErrRefused):
				unclear = true
			}
			gs.sleep(200 * time.Millisecond)
		}
	}()
}

// load takes in the group records of earlier leaders, and calls take for each
// entry. One that cannot be read is kept as it is, and does not hold up the others.
func (gs *admissionGroups) load(entries []state.Entry, take func(*job.Record)) {
	for _, e := range entries {
		var rec job.Group
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			gs.log.Error("a group's record cannot be read, it is kept, its jobs wait and no new ones are taken in", "key", e.Key, "error", err)
			gs.doubt = true
			continue
		}
		gs.add(e.Key, e.Version, rec.Jobs)
		for i := range rec.Jobs {
			take(&rec.Jobs[i])
		}
	}
}
