package control

import (
	"context"
	"math/rand/v2"
	"time"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/metrics"
	"vetchstream/internal/state"
)

// The leader of a region follows the home region: it requests grants, stores them, and then
// applies them.

const (
	// followTimeout limits a request to the home region, which holds the request while it has
	// nothing to send.
	followTimeout = 4 * time.Second
	// minFollowRetry and maxFollowRetry are the first and the longest pause after a failed
	// request.
	minFollowRetry = 200 * time.Millisecond
	maxFollowRetry = 3 * time.Second
	// usagePollInterval is the pause between checks of whether the usage of the teams is known.
	usagePollInterval = 200 * time.Millisecond
)

// follow requests and applies grants of the home region until the term ends.
func (tq *teamQuotas) follow() {
	if !tq.enabled() {
		return
	}
	retry := minFollowRetry
	for tq.ctx.Err() == nil {
		request := callActor(tq.core, tq.nextRequest)
		if request == nil {
			tq.sleep(usagePollInterval)
			continue
		}
		reply, err := tq.sendRequest(request)
		if err != nil || reply.Refused != "" {
			tq.sleep(retry/2 + rand.N(retry))
			retry = min(2*retry, maxFollowRetry)
			continue
		}
		retry = minFollowRetry
		grants := callActor(tq.core, func() []dynconfig.RegionGrant { return tq.replica.HandleReply(request, reply) })
		tq.storeGrants(grants)
		tq.runInActor(tq.clearUnconfirmed)
	}
}

// nextRequest returns the next request to the home region, or nil while the usage to report is
// unknown.
func (tq *teamQuotas) nextRequest() *dynconfig.Request {
	if !tq.usageKnown() {
		return nil
	}
	return tq.replica.Request(tq.usage())
}

// sendRequest sends a request to the home region's leader, which may be this controller.
func (tq *teamQuotas) sendRequest(request *dynconfig.Request) (*dynconfig.Reply, error) {
	ctx, cancel := context.WithTimeout(tq.ctx, followTimeout)
	defer cancel()
	if tq.homeQuotas.enabled() {
		return tq.controller.HandleFollow(ctx, request), nil
	}
	return tq.controller.Follow(ctx, request)
}

// storeGrants stores grants, in several transactions if necessary, and applies each batch once
// it is stored.
func (tq *teamQuotas) storeGrants(grants []dynconfig.RegionGrant) {
	maxBatch := max(1, tq.controller.Settings.Facts.State.TxnOps)
	for len(grants) > 0 && tq.ctx.Err() == nil {
		batch := grants[:min(maxBatch, len(grants))]
		grants = grants[len(batch):]
		version, ok := tq.storeBatch(batch)
		if !ok {
			return
		}
		tq.runInActor(func() { tq.applyStored(batch, version) })
	}
}

// storeBatch stores grants in one transaction and waits for its outcome.
func (tq *teamQuotas) storeBatch(grants []dynconfig.RegionGrant) (version uint64, ok bool) {
	versions := callActor(tq.core, func() []uint64 {
		current := make([]uint64, len(grants))
		for i, grant := range grants {
			current[i] = tq.grantVersions[grant.Team]
		}
		return current
	})
	if versions == nil {
		return 0, false
	}
	var conditions []state.Condition
	var writes []state.Write
	for i, grant := range grants {
		key := regionGrantPrefix + grant.Team
		put, err := state.Put(key, grant)
		if err != nil {
			tq.log.Error("quota grant cannot be encoded", "team", grant.Team, "error", err)
			return 0, false
		}
		conditions = append(conditions, state.Condition{Key: key, Version: versions[i]})
		writes = append(writes, put)
	}
	version, err := tq.commitUntilSettled(conditions[0].Key, conditions[0].Version, conditions, writes)
	if err != nil {
		tq.log.Error("quota grants cannot be stored", "teams", len(grants), "error", err)
		return 0, false
	}
	return version, true
}

// applyStored applies grants that have been stored.
func (tq *teamQuotas) applyStored(grants []dynconfig.RegionGrant, version uint64) {
	added := false
	for _, grant := range grants {
		tq.grantVersions[grant.Team] = version
		added = tq.nameIndex.addTeam(grant.Team) || added
		tq.log.Info("team quota changed", "team", grant.Team, "revision", grant.Revision,
			"cpus_max", grant.Limit.CPUs, "gpus_max", grant.Limit.GPUs, "removed", grant.Removed)
	}
	tq.replica.ApplyStored(grants)
	if added {
		tq.jobTable.rebindNames()
	}
	tq.controller.Meter.Set(metrics.ConfigRevision, int(tq.replica.Revision()))
	tq.requestPlan()
}

// clearUnconfirmed deletes unconfirmedKey once the home region has confirmed the limits.
func (tq *teamQuotas) clearUnconfirmed() {
	if tq.unconfirmedVersion == 0 || tq.replica.Unconfirmed() {
		return
	}
	version := tq.unconfirmedVersion
	tq.unconfirmedVersion = 0
	go func() {
		conditions := []state.Condition{{Key: unconfirmedKey, Version: version}}
		writes := []state.Write{{Delete: unconfirmedKey}}
		if _, err := tq.commitUntilSettled(unconfirmedKey, version, conditions, writes); err != nil {
			tq.log.Error("confirmation of the quota limits cannot be stored", "error", err)
		}
	}()
}
