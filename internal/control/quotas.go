package control

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Keys of the configuration that was changed while the regions serve.
const (
	// regionPrefix is followed by a team's name: what the region has been granted of it.
	regionPrefix = "t/r/"
	// unconfirmedKey is there while the region's limits have to be confirmed, because its
	// state service had lost its last moments.
	unconfirmedKey = "t/unconfirmed"
)

// Follow asks the leader of the home region.
type Follow func(ctx context.Context, q *dynconfig.Request) (*dynconfig.Reply, error)

// teamQuotas knows the teams that there are now: those of the platform's file, and over them
// what the home region has granted. It follows the home region.
type teamQuotas struct {
	*core
	nameIndex  *nameIndex
	jobTable   *jobTable
	takeover   *takeover
	admission  *admission
	homeQuotas *homeQuotas

	replica  *dynconfig.Replica // nil: no regions are named
	restored bool               // the state service had lost its last moments when this term began
	versions map[string]uint64  // of the stored entries, by team
	marker   uint64             // version of unconfirmedKey; 0: it is not there
}

func newTeamQuotas(co *core, restored bool) *teamQuotas {
	return &teamQuotas{core: co, restored: restored}
}

// on reports whether regions are named in the operators' settings.
func (tm *teamQuotas) on() bool { return tm.c.Tuning.Regions.Name != "" }

// list reads the stored entries; none while no regions are named.
func (tm *teamQuotas) list() ([]state.Entry, error) {
	if !tm.on() {
		return nil, nil
	}
	e, err := tm.c.State.Get(tm.ctx, unconfirmedKey)
	switch {
	case err == nil:
		tm.marker = e.Version
	case !errors.Is(err, state.ErrNotFound):
		return nil, err
	case tm.restored:
		if tm.marker, err = tm.mark(); err != nil {
			return nil, err
		}
	}
	entries, _, err := tm.c.State.List(tm.ctx, regionPrefix)
	return entries, err
}

// mark stores that the limits have to be confirmed, for the leaders to come.
func (tm *teamQuotas) mark() (version uint64, err error) {
	put, err := state.Put(unconfirmedKey, struct{}{})
	if err != nil {
		return 0, err
	}
	return tm.c.State.Commit(tm.ctx, state.Txn{If: []state.Cond{tm.fence, {Key: unconfirmedKey}}, Writes: []state.Write{put}})
}

// load takes in the entries of earlier leaders, before any job is bound to its team. Where
// an entry cannot be read its limit is not known: the team starts nothing until the home
// region has told it once more.
func (tm *teamQuotas) load(stored []state.Entry) {
	if !tm.on() {
		return
	}
	tm.versions = map[string]uint64{}
	var entries []dynconfig.Entry
	for _, s := range stored {
		name := s.Key[len(regionPrefix):]
		var e dynconfig.Entry
		if err := wire.Unmarshal(s.Value, &e); err != nil || e.Team != name {
			tm.log.Error("what is granted of a team cannot be read, it starts nothing until it is told again", "team", name, "error", err)
			e = dynconfig.Entry{Team: name}
		}
		entries = append(entries, e)
		tm.versions[e.Team] = s.Version
		tm.nameIndex.addTeam(e.Team)
	}
	tm.replica = dynconfig.NewReplica(tm.c.Tuning.Regions.Name, tm.term, tm.c.fileShares(), entries, tm.marker != 0)
}

// fileShares are the teams of the platform's file.
func (c *Controller) fileShares() map[string]dynconfig.Share {
	out := map[string]dynconfig.Share{}
	for _, t := range c.Settings.Facts.Teams {
		out[t.Name] = dynconfig.Share{Limit: dynconfig.Amount{CPUs: boundOf(t.CPUsMax), GPUs: boundOf(t.GPUsMax)},
			Guarantee: dynconfig.Amount{CPUs: t.CPUs, GPUs: t.GPUs}}
	}
	return out
}

// boundOf is a limit of the platform's file, in which 0 means that there is none.
func boundOf(limit float64) float64 {
	if limit == 0 {
		return dynconfig.Unlimited
	}
	return limit
}

// nothing is a limit under which no task fits, where 0 would mean that there is none.
const nothing = 1e-9

// limitOf is a limit as the platform's file has it.
func limitOf(bound float64) float64 {
	if math.IsInf(bound, 1) {
		return 0
	}
	return max(bound, nothing)
}

// teamOf is a share as a team of the platform's file.
func teamOf(name string, s dynconfig.Share) config.Team {
	return config.Team{Name: name, CPUs: s.Guarantee.CPUs, GPUs: s.Guarantee.GPUs, CPUsMax: limitOf(s.Limit.CPUs), GPUsMax: limitOf(s.Limit.GPUs)}
}

// all are the teams, by index.
func (tm *teamQuotas) all() []config.Team {
	if tm.replica == nil {
		return tm.c.Settings.Facts.Teams
	}
	uses := tm.uses
	if tm.replica.Unconfirmed() {
		uses = tm.usage()
	}
	out := make([]config.Team, 0, len(tm.nameIndex.teamNames()))
	for _, name := range tm.nameIndex.teamNames() {
		share, _ := tm.replica.Share(name, uses)
		out = append(out, teamOf(name, share))
	}
	return out
}

// uses is asked where limits are confirmed and what is in use does not matter.
func (tm *teamQuotas) uses(string) (dynconfig.Amount, bool) { return dynconfig.Amount{}, false }

// find is a team that takes jobs.
func (tm *teamQuotas) find(name string) quota {
	if tm.replica == nil {
		return quota{now: tm.c.fileTeam(name)}
	}
	share, known := tm.replica.Share(name, tm.uses)
	if !known && !tm.replica.Unconfirmed() {
		return quota{}
	}
	return quotaOf(name, share, tm.replica.Wants(name))
}

// quota is a team that takes jobs, as it is now and as it is to be; now is nil where there
// is no such team, soon where no change is under way.
type quota struct{ now, soon *config.Team }

func quotaOf(name string, share dynconfig.Share, wants dynconfig.Amount) quota {
	now, soon := teamOf(name, share), teamOf(name, dynconfig.Share{Limit: wants})
	return quota{&now, &soon}
}

// sequence changes whenever a team does.
func (tm *teamQuotas) sequence() uint64 {
	if tm.replica == nil {
		return 0
	}
	return tm.replica.After()
}

// usage adds up what each team uses, with everything that may be on a machine, and which
// teams have jobs that are not over.
func (tm *teamQuotas) usage() dynconfig.Uses {
	all := make([]place.Team, len(tm.nameIndex.teamNames()))
	busy := make([]bool, len(all))
	for _, j := range tm.jobTable.all() {
		if j.TeamIdx < 0 {
			continue
		}
		n := 0.0
		for s := range tm.fleet.On(j) {
			if s.On() {
				n++
			}
		}
		t := &all[j.TeamIdx].Used
		t.CPUs, t.GPUs = t.CPUs+n*j.CPUs, t.GPUs+n*j.GPUs
		busy[j.TeamIdx] = busy[j.TeamIdx] || n > 0 || j.Phase == ""
	}
	tm.takeover.blocked(all)
	return func(team string) (dynconfig.Amount, bool) {
		i := tm.nameIndex.teamIndex(team)
		if i < 0 {
			return dynconfig.Amount{}, false
		}
		return dynconfig.Amount{CPUs: all[i].Used.CPUs, GPUs: all[i].Used.GPUs}, busy[i] || tm.admission.arriving(team)
	}
}

// known reports whether it is known what the teams use: not before the machines of earlier
// leaders are met, nor while a machine runs a task of a job whose record is not read.
func (tm *teamQuotas) known() bool {
	return tm.takeover.around() && len(tm.jobTable.strange()) == 0
}

const (
	// followTime bounds a request to the home region, which holds it for a while.
	followTime = 4 * time.Second
	// followPause and followPauseMost are the first and the longest wait after a request
	// that failed.
	followPause, followPauseMost = 200 * time.Millisecond, 3 * time.Second
	// followSoon is the wait while what the teams use is not known.
	followSoon = 200 * time.Millisecond
)

// follow keeps asking the home region and stores what it grants, until the term ends.
func (tm *teamQuotas) follow() {
	if !tm.on() {
		return
	}
	wait := followPause
	for tm.ctx.Err() == nil {
		q := await(tm.core, tm.request)
		if q == nil {
			tm.pause(followSoon)
			continue
		}
		p, err := tm.ask(q)
		if err != nil || p.Refused != "" {
			tm.pause(wait/2 + rand.N(wait))
			wait = min(2*wait, followPauseMost)
			continue
		}
		wait = followPause
		entries := await(tm.core, func() []dynconfig.Entry { return tm.replica.Answered(q, p) })
		tm.keep(entries)
		tm.call(tm.confirm)
	}
}

// await runs f in the actor and returns its result; the zero value: the term has ended.
func await[T any](co *core, f func() T) (out T) {
	done := make(chan T, 1)
	co.ahead(func() { done <- f() })
	select {
	case out = <-done:
	case <-co.ctx.Done():
	}
	return out
}

// call runs f in the actor and waits for it, or for the end of the term.
func (co *core) call(f func()) {
	await(co, func() struct{} {
		f()
		return struct{}{}
	})
}

// request is what to ask next; nil: not yet.
func (tm *teamQuotas) request() *dynconfig.Request {
	if !tm.known() {
		return nil
	}
	return tm.replica.Request(tm.usage())
}

// ask asks the home region's leader, which may be this one.
func (tm *teamQuotas) ask(q *dynconfig.Request) (*dynconfig.Reply, error) {
	ctx, cancel := context.WithTimeout(tm.ctx, followTime)
	defer cancel()
	if tm.homeQuotas.on() {
		return tm.c.FollowHome(ctx, q), nil
	}
	return tm.c.Follow(ctx, q)
}

// keep stores entries, and lets them count once they are stored.
func (tm *teamQuotas) keep(entries []dynconfig.Entry) {
	most := max(1, tm.c.Settings.Facts.State.TxnOps)
	for len(entries) > 0 && tm.ctx.Err() == nil {
		part := entries[:min(most, len(entries))]
		entries = entries[len(part):]
		version, ok := tm.store(part)
		if !ok {
			return
		}
		tm.call(func() { tm.stored(part, version) })
	}
}

// store stores entries in one transaction and waits for its outcome.
func (tm *teamQuotas) store(entries []dynconfig.Entry) (version uint64, ok bool) {
	versions := await(tm.core, func() []uint64 {
		out := make([]uint64, len(entries))
		for i, e := range entries {
			out[i] = tm.versions[e.Team]
		}
		return out
	})
	if versions == nil {
		return 0, false
	}
	var conds []state.Cond
	var writes []state.Write
	for i, e := range entries {
		put, err := state.Put(regionPrefix+e.Team, e)
		if err != nil {
			tm.log.Error("grant does not encode", "team", e.Team, "error", err)
			return 0, false
		}
		conds = append(conds, state.Cond{Key: regionPrefix + e.Team, Version: versions[i]})
		writes = append(writes, put)
	}
	version, err := tm.settle(conds[0].Key, conds[0].Version, conds, writes)
	if err != nil {
		tm.log.Error("grants cannot be stored", "teams", len(entries), "error", err)
		return 0, false
	}
	return version, true
}

// stored lets entries count.
func (tm *teamQuotas) stored(entries []dynconfig.Entry, version uint64) {
	added := false
	for _, e := range entries {
		tm.versions[e.Team] = version
		added = tm.nameIndex.addTeam(e.Team) || added
		tm.log.Info("team has changed", "team", e.Team, "revision", e.Revision, "cpus_max", e.Limit.CPUs, "gpus_max", e.Limit.GPUs, "removed", e.Removed)
	}
	tm.replica.Stored(entries)
	if added {
		tm.jobTable.rebind()
	}
	tm.c.Meter.Set(metrics.Revision, int(tm.replica.Revision()))
	tm.changed()
}

// confirm strikes the marker off once the home region has confirmed the limits.
func (tm *teamQuotas) confirm() {
	if tm.marker == 0 || tm.replica.Unconfirmed() {
		return
	}
	version := tm.marker
	tm.marker = 0
	go func() {
		conds := []state.Cond{{Key: unconfirmedKey, Version: version}}
		if _, err := tm.settle(unconfirmedKey, version, conds, []state.Write{{Delete: unconfirmedKey}}); err != nil {
			tm.log.Error("the word that limits are confirmed cannot be stored", "error", err)
		}
	}()
}

// fileTeam is a team of the platform's file; nil: there is none of that name.
func (c *Controller) fileTeam(name string) *config.Team {
	for i := range c.Settings.Facts.Teams {
		if t := &c.Settings.Facts.Teams[i]; t.Name == name {
			return t
		}
	}
	return nil
}

// storedTeam is a team as the region's leader has last stored it, for a node that does not
// lead, with the condition under which that holds.
func (c *Controller) storedTeam(ctx context.Context, name string) (quota, []state.Cond, error) {
	if c.Tuning.Regions.Name == "" || !job.ValidTeam(name) {
		return quota{now: c.fileTeam(name)}, nil, nil
	}
	e, err := c.State.Get(ctx, regionPrefix+name)
	if errors.Is(err, state.ErrNotFound) {
		return c.unnamedTeam(ctx, name)
	}
	if err != nil {
		return quota{}, nil, err
	}
	conds := []state.Cond{{Key: regionPrefix + name, Version: e.Version}}
	var entry dynconfig.Entry
	if err := wire.Unmarshal(e.Value, &entry); err != nil {
		return quota{}, nil, err
	}
	if entry.Removed {
		return quota{}, conds, nil
	}
	return quotaOf(name, dynconfig.Share{Limit: entry.Limit, Guarantee: entry.Guarantee}, entry.Wants), conds, nil
}

// errUnconfirmed is returned for a team of which the region's state service may have lost
// what was granted.
var errUnconfirmed = errors.New("the region's quotas are not confirmed yet")

// unnamedTeam is a team of which nothing is granted here. That it is none at all is sure
// only where the region's quotas are confirmed.
func (c *Controller) unnamedTeam(ctx context.Context, name string) (quota, []state.Cond, error) {
	conds := []state.Cond{{Key: regionPrefix + name}}
	if t := c.fileTeam(name); t != nil {
		return quota{now: t}, conds, nil
	}
	_, err := c.State.Get(ctx, unconfirmedKey)
	switch {
	case err == nil:
		return quota{}, nil, errUnconfirmed
	case errors.Is(err, state.ErrNotFound):
		return quota{}, conds, nil
	}
	return quota{}, nil, err
}
