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
	// regionGrantPrefix is followed by a team's name: what the region has been granted of it.
	regionGrantPrefix = "t/r/"
	// unconfirmedKey is there while the region's limits have to be confirmed, because its
	// state service had lost its last moments.
	unconfirmedKey = "t/unconfirmed"
)

// FollowFunc asks the leader of the home region.
type FollowFunc func(ctx context.Context, q *dynconfig.Request) (*dynconfig.Reply, error)

// teamQuotas knows the teams that there are now: those of the platform's file, and over them
// what the home region has granted. It follows the home region.
type teamQuotas struct {
	*core
	nameIndex  *nameIndex
	jobTable   *jobTable
	takeover   *takeover
	admission  *admission
	homeQuotas *homeQuotas

	replica            *dynconfig.Replica // nil: no regions are named
	restored           bool               // the state service had lost its last moments when this term began
	entryVersions      map[string]uint64  // of the stored entries, by team
	unconfirmedVersion uint64             // version of unconfirmedKey; 0: it is not there
}

func newTeamQuotas(co *core, restored bool) *teamQuotas {
	return &teamQuotas{core: co, restored: restored}
}

// enabled reports whether regions are named in the operators' settings.
func (tm *teamQuotas) enabled() bool { return tm.controller.Tuning.Regions.Name != "" }

// readStored reads the stored entries; none while no regions are named.
func (tm *teamQuotas) readStored() ([]state.Entry, error) {
	if !tm.enabled() {
		return nil, nil
	}
	e, err := tm.controller.State.Get(tm.ctx, unconfirmedKey)
	switch {
	case err == nil:
		tm.unconfirmedVersion = e.Version
	case !errors.Is(err, state.ErrNotFound):
		return nil, err
	case tm.restored:
		if tm.unconfirmedVersion, err = tm.storeUnconfirmed(); err != nil {
			return nil, err
		}
	}
	entries, _, err := tm.controller.State.List(tm.ctx, regionGrantPrefix)
	return entries, err
}

// storeUnconfirmed stores that the limits have to be confirmed, for the leaders to come.
func (tm *teamQuotas) storeUnconfirmed() (version uint64, err error) {
	put, err := state.Put(unconfirmedKey, struct{}{})
	if err != nil {
		return 0, err
	}
	return tm.controller.State.Commit(tm.ctx, state.Txn{If: []state.Condition{tm.fence, {Key: unconfirmedKey}}, Writes: []state.Write{put}})
}

// load takes in the entries of earlier leaders, before any job is bound to its team. Where
// an entry cannot be read its limit is not known: the team starts nothing until the home
// region has told it once more.
func (tm *teamQuotas) load(stored []state.Entry) {
	if !tm.enabled() {
		return
	}
	tm.entryVersions = map[string]uint64{}
	var entries []dynconfig.RegionGrant
	for _, s := range stored {
		name := s.Key[len(regionGrantPrefix):]
		var e dynconfig.RegionGrant
		if err := wire.Unmarshal(s.Value, &e); err != nil || e.Team != name {
			tm.log.Error("what is granted of a team cannot be read, it starts nothing until it is told again", "team", name, "error", err)
			e = dynconfig.RegionGrant{Team: name}
		}
		entries = append(entries, e)
		tm.entryVersions[e.Team] = s.Version
		tm.nameIndex.addTeam(e.Team)
	}
	tm.replica = dynconfig.NewReplica(tm.controller.Tuning.Regions.Name, tm.term, tm.controller.fileShares(), entries, tm.unconfirmedVersion != 0)
}

// fileShares are the teams of the platform's file.
func (c *Controller) fileShares() map[string]dynconfig.Share {
	out := map[string]dynconfig.Share{}
	for _, t := range c.Settings.Facts.Teams {
		out[t.Name] = dynconfig.Share{Limit: dynconfig.Amount{CPUs: limitAmount(t.CPUsMax), GPUs: limitAmount(t.GPUsMax)},
			Guarantee: dynconfig.Amount{CPUs: t.CPUs, GPUs: t.GPUs}}
	}
	return out
}

// limitAmount is a limit of the platform's file, in which 0 means that there is none.
func limitAmount(limit float64) float64 {
	if limit == 0 {
		return dynconfig.Unlimited
	}
	return limit
}

// zeroLimit is a limit under which no task fits, where 0 would mean that there is none.
const zeroLimit = 1e-9

// fileLimit is a limit as the platform's file has it.
func fileLimit(bound float64) float64 {
	if math.IsInf(bound, 1) {
		return 0
	}
	return max(bound, zeroLimit)
}

// configTeam is a share as a team of the platform's file.
func configTeam(name string, s dynconfig.Share) config.Team {
	return config.Team{Name: name, CPUs: s.Guarantee.CPUs, GPUs: s.Guarantee.GPUs, CPUsMax: fileLimit(s.Limit.CPUs), GPUsMax: fileLimit(s.Limit.GPUs)}
}

// teams are the teams, by index.
func (tm *teamQuotas) teams() []config.Team {
	if tm.replica == nil {
		return tm.controller.Settings.Facts.Teams
	}
	uses := tm.noUsage
	if tm.replica.Unconfirmed() {
		uses = tm.usage()
	}
	out := make([]config.Team, 0, len(tm.nameIndex.teamNames()))
	for _, name := range tm.nameIndex.teamNames() {
		share, _ := tm.replica.Share(name, uses)
		out = append(out, configTeam(name, share))
	}
	return out
}

// noUsage is asked where limits are confirmed and what is in use does not matter.
func (tm *teamQuotas) noUsage(string) (dynconfig.Amount, bool) { return dynconfig.Amount{}, false }

// find is a team that takes jobs.
func (tm *teamQuotas) find(name string) quota {
	if tm.replica == nil {
		return quota{current: tm.controller.fileTeam(name)}
	}
	share, known := tm.replica.Share(name, tm.noUsage)
	if !known && !tm.replica.Unconfirmed() {
		return quota{}
	}
	return quotaOf(name, share, tm.replica.Target(name))
}

// quota is a team that takes jobs, as it is now and as it is to be; now is nil where there
// is no such team, soon where no change is under way.
type quota struct{ current, target *config.Team }

func quotaOf(name string, share dynconfig.Share, wants dynconfig.Amount) quota {
	now, soon := configTeam(name, share), configTeam(name, dynconfig.Share{Limit: wants})
	return quota{&now, &soon}
}

// sequence changes whenever a team does.
func (tm *teamQuotas) sequence() uint64 {
	if tm.replica == nil {
		return 0
	}
	return tm.replica.LastSeq()
}

// usage adds up what each team uses, with everything that may be on a machine, and which
// teams have jobs that are not over.
func (tm *teamQuotas) usage() dynconfig.UsageFunc {
	all := make([]place.Team, len(tm.nameIndex.teamNames()))
	busy := make([]bool, len(all))
	for _, j := range tm.jobTable.all() {
		if j.TeamIdx < 0 {
			continue
		}
		n := 0.0
		for s := range tm.fleet.SlotsOf(j) {
			if s.Active() {
				n++
			}
		}
		t := &all[j.TeamIdx].Used
		t.CPUs, t.GPUs = t.CPUs+n*j.CPUs, t.GPUs+n*j.GPUs
		busy[j.TeamIdx] = busy[j.TeamIdx] || n > 0 || j.Phase == ""
	}
	tm.takeover.blockedJobs(all)
	return func(team string) (dynconfig.Amount, bool) {
		i := tm.nameIndex.team(team)
		if i < 0 {
			return dynconfig.Amount{}, false
		}
		return dynconfig.Amount{CPUs: all[i].Used.CPUs, GPUs: all[i].Used.GPUs}, busy[i] || tm.admission.hasPending(team)
	}
}

// usageKnown reports whether it is known what the teams use: not before the machines of earlier
// leaders are met, nor while a machine runs a task of a job whose record is not read.
func (tm *teamQuotas) usageKnown() bool {
	return tm.takeover.mayPlace() && len(tm.jobTable.unidentifiedJobs()) == 0
}

const (
	// followTimeout bounds a request to the home region, which holds it for a while.
	followTimeout = 4 * time.Second
	// minFollowRetry and followPauseMost are the first and the longest wait after a request
	// that failed.
	minFollowRetry, maxFollowRetry = 200 * time.Millisecond, 3 * time.Second
	// usagePollInterval is the wait while what the teams use is not known.
	usagePollInterval = 200 * time.Millisecond
)

// follow keeps asking the home region and stores what it grants, until the term ends.
func (tm *teamQuotas) follow() {
	if !tm.enabled() {
		return
	}
	wait := minFollowRetry
	for tm.ctx.Err() == nil {
		q := callActor(tm.core, tm.nextRequest)
		if q == nil {
			tm.sleep(usagePollInterval)
			continue
		}
		p, err := tm.sendRequest(q)
		if err != nil || p.Refused != "" {
			tm.sleep(wait/2 + rand.N(wait))
			wait = min(2*wait, maxFollowRetry)
			continue
		}
		wait = minFollowRetry
		entries := callActor(tm.core, func() []dynconfig.RegionGrant { return tm.replica.HandleReply(q, p) })
		tm.storeGrants(entries)
		tm.runInActor(tm.clearUnconfirmed)
	}
}

// callActor runs f in the actor and returns its result; the zero value: the term has ended.
func callActor[T any](co *core, f func() T) (out T) {
	done := make(chan T, 1)
	co.enqueueForUser(func() { done <- f() })
	select {
	case out = <-done:
	case <-co.ctx.Done():
	}
	return out
}

// runInActor runs f in the actor and waits for it, or for the end of the term.
func (co *core) runInActor(f func()) {
	callActor(co, func() struct{} {
		f()
		return struct{}{}
	})
}

// nextRequest is what to ask next; nil: not yet.
func (tm *teamQuotas) nextRequest() *dynconfig.Request {
	if !tm.usageKnown() {
		return nil
	}
	return tm.replica.Request(tm.usage())
}

// sendRequest asks the home region's leader, which may be this one.
func (tm *teamQuotas) sendRequest(q *dynconfig.Request) (*dynconfig.Reply, error) {
	ctx, cancel := context.WithTimeout(tm.ctx, followTimeout)
	defer cancel()
	if tm.homeQuotas.enabled() {
		return tm.controller.HandleFollow(ctx, q), nil
	}
	return tm.controller.Follow(ctx, q)
}

// storeGrants stores entries, and lets them count once they are stored.
func (tm *teamQuotas) storeGrants(entries []dynconfig.RegionGrant) {
	most := max(1, tm.controller.Settings.Facts.State.TxnOps)
	for len(entries) > 0 && tm.ctx.Err() == nil {
		part := entries[:min(most, len(entries))]
		entries = entries[len(part):]
		version, ok := tm.storeBatch(part)
		if !ok {
			return
		}
		tm.runInActor(func() { tm.applyStored(part, version) })
	}
}

// storeBatch stores entries in one transaction and waits for its outcome.
func (tm *teamQuotas) storeBatch(entries []dynconfig.RegionGrant) (version uint64, ok bool) {
	versions := callActor(tm.core, func() []uint64 {
		out := make([]uint64, len(entries))
		for i, e := range entries {
			out[i] = tm.entryVersions[e.Team]
		}
		return out
	})
	if versions == nil {
		return 0, false
	}
	var conds []state.Condition
	var writes []state.Write
	for i, e := range entries {
		put, err := state.Put(regionGrantPrefix+e.Team, e)
		if err != nil {
			tm.log.Error("grant does not encode", "team", e.Team, "error", err)
			return 0, false
		}
		conds = append(conds, state.Condition{Key: regionGrantPrefix + e.Team, Version: versions[i]})
		writes = append(writes, put)
	}
	version, err := tm.commitUntilSettled(conds[0].Key, conds[0].Version, conds, writes)
	if err != nil {
		tm.log.Error("grants cannot be stored", "teams", len(entries), "error", err)
		return 0, false
	}
	return version, true
}

// applyStored lets entries count.
func (tm *teamQuotas) applyStored(entries []dynconfig.RegionGrant, version uint64) {
	added := false
	for _, e := range entries {
		tm.entryVersions[e.Team] = version
		added = tm.nameIndex.addTeam(e.Team) || added
		tm.log.Info("team has changed", "team", e.Team, "revision", e.Revision, "cpus_max", e.Limit.CPUs, "gpus_max", e.Limit.GPUs, "removed", e.Removed)
	}
	tm.replica.ApplyStored(entries)
	if added {
		tm.jobTable.rebindNames()
	}
	tm.controller.Meter.Set(metrics.Revision, int(tm.replica.Revision()))
	tm.requestPlan()
}

// clearUnconfirmed strikes the marker off once the home region has confirmed the limits.
func (tm *teamQuotas) clearUnconfirmed() {
	if tm.unconfirmedVersion == 0 || tm.replica.Unconfirmed() {
		return
	}
	version := tm.unconfirmedVersion
	tm.unconfirmedVersion = 0
	go func() {
		conds := []state.Condition{{Key: unconfirmedKey, Version: version}}
		if _, err := tm.commitUntilSettled(unconfirmedKey, version, conds, []state.Write{{Delete: unconfirmedKey}}); err != nil {
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
func (c *Controller) storedTeam(ctx context.Context, name string) (quota, []state.Condition, error) {
	if c.Tuning.Regions.Name == "" || !job.ValidTeam(name) {
		return quota{current: c.fileTeam(name)}, nil, nil
	}
	e, err := c.State.Get(ctx, regionGrantPrefix+name)
	if errors.Is(err, state.ErrNotFound) {
		return c.ungrantedTeam(ctx, name)
	}
	if err != nil {
		return quota{}, nil, err
	}
	conds := []state.Condition{{Key: regionGrantPrefix + name, Version: e.Version}}
	var entry dynconfig.RegionGrant
	if err := wire.Unmarshal(e.Value, &entry); err != nil {
		return quota{}, nil, err
	}
	if entry.Removed {
		return quota{}, conds, nil
	}
	return quotaOf(name, dynconfig.Share{Limit: entry.Limit, Guarantee: entry.Guarantee}, entry.Target), conds, nil
}

// errUnconfirmed is returned for a team of which the region's state service may have lost
// what was granted.
var errUnconfirmed = errors.New("the region's quotas are not confirmed yet")

// ungrantedTeam is a team of which nothing is granted here. That it is none at all is sure
// only where the region's quotas are confirmed.
func (c *Controller) ungrantedTeam(ctx context.Context, name string) (quota, []state.Condition, error) {
	conds := []state.Condition{{Key: regionGrantPrefix + name}}
	if t := c.fileTeam(name); t != nil {
		return quota{current: t}, conds, nil
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
