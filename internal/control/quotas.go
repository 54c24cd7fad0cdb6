package control

import (
	"context"
	"errors"

	"vetchstream/internal/config"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/place"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Keys of the quotas in the region's key-value store.
const (
	// regionGrantPrefix is followed by a team's name; the value is a dynconfig.RegionGrant.
	regionGrantPrefix = "t/r/"
	// unconfirmedKey exists while the region's limits have to be confirmed by the home
	// region, because the store had lost its last writes.
	unconfirmedKey = "t/unconfirmed"
)

// FollowFunc sends a request to the leader of the home region.
type FollowFunc func(ctx context.Context, q *dynconfig.Request) (*dynconfig.Reply, error)

// teamQuotas has the teams and their quotas in this region: those of the platform's file,
// and over them what the home region has granted. It follows the home region.
type teamQuotas struct {
	*core
	nameIndex  *nameIndex
	jobTable   *jobTable
	takeover   *takeover
	admission  *admission
	homeQuotas *homeQuotas

	replica            *dynconfig.Replica // nil: no regions are named
	restored           bool               // the store had lost its last writes when this term began
	grantVersions      map[string]uint64  // versions of the stored grants, by team
	unconfirmedVersion uint64             // version of unconfirmedKey; 0: it does not exist
}

func newTeamQuotas(co *core, restored bool) *teamQuotas {
	return &teamQuotas{core: co, restored: restored}
}

// enabled reports whether regions are named in the operators' settings.
func (tq *teamQuotas) enabled() bool { return tq.controller.Tuning.Regions.Name != "" }

// readStored reads the stored grants; none while no regions are named.
func (tq *teamQuotas) readStored() ([]state.Entry, error) {
	if !tq.enabled() {
		return nil, nil
	}
	e, err := tq.controller.State.Get(tq.ctx, unconfirmedKey)
	switch {
	case err == nil:
		tq.unconfirmedVersion = e.Version
	case !errors.Is(err, state.ErrNotFound):
		return nil, err
	case tq.restored:
		if tq.unconfirmedVersion, err = tq.storeUnconfirmed(); err != nil {
			return nil, err
		}
	}
	entries, _, err := tq.controller.State.List(tq.ctx, regionGrantPrefix)
	return entries, err
}

// storeUnconfirmed stores, for later leaders too, that the limits have to be confirmed.
func (tq *teamQuotas) storeUnconfirmed() (version uint64, err error) {
	put, err := state.Put(unconfirmedKey, struct{}{})
	if err != nil {
		return 0, err
	}
	return tq.controller.State.Commit(tq.ctx, state.Txn{
		If:     []state.Condition{tq.fence, {Key: unconfirmedKey}},
		Writes: []state.Write{put},
	})
}

// load takes in the grants that earlier leaders have stored, before any job is bound to its
// team. If a grant cannot be read its limit is not known: the team starts nothing until the
// home region has sent the grant again.
func (tq *teamQuotas) load(stored []state.Entry) {
	if !tq.enabled() {
		return
	}
	tq.grantVersions = map[string]uint64{}
	var grants []dynconfig.RegionGrant
	for _, entry := range stored {
		name := entry.Key[len(regionGrantPrefix):]
		var g dynconfig.RegionGrant
		if err := wire.Unmarshal(entry.Value, &g); err != nil || g.Team != name {
			tq.log.Error("quota grant cannot be read, no task of the team starts until the home region resends it", "team", name, "error", err)
			g = dynconfig.RegionGrant{Team: name}
		}
		grants = append(grants, g)
		tq.grantVersions[g.Team] = entry.Version
		tq.nameIndex.addTeam(g.Team)
	}
	unconfirmed := tq.unconfirmedVersion != 0
	tq.replica = dynconfig.NewReplica(tq.controller.Tuning.Regions.Name, tq.term, tq.controller.fileShares(), grants, unconfirmed)
}

// teams lists the teams, by index.
func (tq *teamQuotas) teams() []config.Team {
	if tq.replica == nil {
		return tq.controller.Settings.Facts.Teams
	}
	usage := tq.noUsage
	if tq.replica.Unconfirmed() {
		usage = tq.usage()
	}
	out := make([]config.Team, 0, len(tq.nameIndex.teamNames()))
	for _, name := range tq.nameIndex.teamNames() {
		share, _ := tq.replica.Share(name, usage)
		out = append(out, configTeam(name, share))
	}
	return out
}

// noUsage is the dynconfig.UsageFunc for calls whose result does not depend on usage, because
// the limits are confirmed.
func (tq *teamQuotas) noUsage(string) (dynconfig.Amount, bool) { return dynconfig.Amount{}, false }

// find is the quota of a team that accepts jobs.
func (tq *teamQuotas) find(name string) quota {
	if tq.replica == nil {
		return quota{current: tq.controller.fileTeam(name)}
	}
	share, exists := tq.replica.Share(name, tq.noUsage)
	if !exists && !tq.replica.Unconfirmed() {
		return quota{}
	}
	return quotaOf(name, share, tq.replica.Target(name))
}

// sequence changes whenever a team does.
func (tq *teamQuotas) sequence() uint64 {
	if tq.replica == nil {
		return 0
	}
	return tq.replica.LastSeq()
}

// usage adds up what each team uses now, including everything that may still be on a machine,
// and which teams have jobs that are not over. The returned function reads that snapshot.
func (tq *teamQuotas) usage() dynconfig.UsageFunc {
	teams := make([]place.Team, len(tq.nameIndex.teamNames()))
	busy := make([]bool, len(teams))
	for _, j := range tq.jobTable.all() {
		if j.TeamIdx < 0 {
			continue
		}
		tasks := 0.0
		for slot := range tq.fleet.SlotsOf(j) {
			if slot.Active() {
				tasks++
			}
		}
		used := &teams[j.TeamIdx].Used
		used.CPUs += tasks * j.CPUs
		used.GPUs += tasks * j.GPUs
		busy[j.TeamIdx] = busy[j.TeamIdx] || tasks > 0 || j.Phase == ""
	}
	tq.takeover.blockedJobs(teams)
	return func(team string) (dynconfig.Amount, bool) {
		i := tq.nameIndex.teamIndex(team)
		if i < 0 {
			return dynconfig.Amount{}, false
		}
		used := dynconfig.Amount{CPUs: teams[i].Used.CPUs, GPUs: teams[i].Used.GPUs}
		return used, busy[i] || tq.admission.hasPending(team)
	}
}

// usageKnown reports whether it is known what the teams use: not before the machines of
// earlier leaders have sent heartbeats, nor while a machine runs a task of a job whose record
// has not been read.
func (tq *teamQuotas) usageKnown() bool {
	return tq.takeover.mayPlace() && len(tq.jobTable.unidentifiedJobs()) == 0
}
