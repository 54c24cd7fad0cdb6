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
	// unconfirmedKey exists while the home region still has to confirm the region's limits,
	// because the region's store lost its last writes.
	unconfirmedKey = "t/unconfirmed"
)

// FollowFunc sends a request to the leader of the home region.
type FollowFunc func(ctx context.Context, request *dynconfig.Request) (*dynconfig.Reply, error)

// teamQuotas holds the teams and their quotas in this region: those of the platform's file,
// overridden by the grants of the home region. It follows the home region to receive new
// grants.
type teamQuotas struct {
	*core
	nameIndex  *nameIndex
	jobTable   *jobTable
	takeover   *takeover
	admission  *admission
	homeQuotas *homeQuotas

	replica            *dynconfig.Replica // nil if the settings name no regions
	restored           bool               // whether the store had lost its last writes when this term began
	grantVersions      map[string]uint64  // versions of the stored grants, by team
	unconfirmedVersion uint64             // version of unconfirmedKey; 0 if the key does not exist
}

func newTeamQuotas(co *core, restored bool) *teamQuotas {
	return &teamQuotas{core: co, restored: restored}
}

// enabled reports whether the operators' settings name regions.
func (tq *teamQuotas) enabled() bool { return tq.controller.Tuning.Regions.Name != "" }

// readStored reads the stored grants. There are none if the settings name no regions.
func (tq *teamQuotas) readStored() ([]state.Entry, error) {
	if !tq.enabled() {
		return nil, nil
	}
	entry, err := tq.controller.State.Get(tq.ctx, unconfirmedKey)
	switch {
	case err == nil:
		tq.unconfirmedVersion = entry.Version
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

// storeUnconfirmed stores that the limits have to be confirmed, so that later leaders know it
// too.
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

// load loads the grants that earlier leaders have stored. It must run before any job is bound
// to its team. If a grant cannot be decoded, the limit of the team is unknown, and no task of
// the team is started until the home region has sent the grant again.
func (tq *teamQuotas) load(stored []state.Entry) {
	if !tq.enabled() {
		return
	}
	tq.grantVersions = map[string]uint64{}
	var grants []dynconfig.RegionGrant
	for _, entry := range stored {
		name := entry.Key[len(regionGrantPrefix):]
		var grant dynconfig.RegionGrant
		if err := wire.Unmarshal(entry.Value, &grant); err != nil || grant.Team != name {
			tq.log.Error("quota grant cannot be read, no task of the team starts until the home region resends it", "team", name, "error", err)
			grant = dynconfig.RegionGrant{Team: name}
		}
		grants = append(grants, grant)
		tq.grantVersions[grant.Team] = entry.Version
		tq.nameIndex.addTeam(grant.Team)
	}
	unconfirmed := tq.unconfirmedVersion != 0
	tq.replica = dynconfig.NewReplica(tq.controller.Tuning.Regions.Name, tq.term, tq.controller.fileShares(), grants, unconfirmed)
}

// teams returns the teams with their quotas, by index.
func (tq *teamQuotas) teams() []config.Team {
	if tq.replica == nil {
		return tq.controller.Settings.Facts.Teams
	}
	usage := tq.noUsage
	if tq.replica.Unconfirmed() {
		usage = tq.usage()
	}
	configured := make([]config.Team, 0, len(tq.nameIndex.teamNames()))
	for _, name := range tq.nameIndex.teamNames() {
		share, _ := tq.replica.Share(name, usage)
		configured = append(configured, configTeam(name, share))
	}
	return configured
}

// noUsage is the dynconfig.UsageFunc for calls whose result does not depend on usage because
// the limits are confirmed.
func (tq *teamQuotas) noUsage(string) (dynconfig.Amount, bool) { return dynconfig.Amount{}, false }

// teamQuota returns the quota of a team for the admission of its jobs. The quota is zero if the
// team does not exist.
func (tq *teamQuotas) teamQuota(name string) quota {
	if tq.replica == nil {
		return quota{current: tq.controller.fileTeam(name)}
	}
	share, exists := tq.replica.Share(name, tq.noUsage)
	if !exists && !tq.replica.Unconfirmed() {
		return quota{}
	}
	return quotaOf(name, share, tq.replica.Target(name))
}

// sequence returns a number that changes whenever a team changes.
func (tq *teamQuotas) sequence() uint64 {
	if tq.replica == nil {
		return 0
	}
	return tq.replica.LastSeq()
}

// usage takes a snapshot of what each team uses, including everything that may still run on a
// machine, and of which teams have jobs that have not ended. The returned function reads the
// snapshot.
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

// usageKnown reports whether the usage of the teams is known. It is unknown until the machines
// of earlier leaders have sent heartbeats, and while a machine runs a task of a job whose
// record has not been loaded.
func (tq *teamQuotas) usageKnown() bool {
	return tq.takeover.mayPlace() && len(tq.jobTable.unidentifiedJobs()) == 0
}
