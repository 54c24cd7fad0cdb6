package control

import (
	"context"
	"math/rand/v2"
	"time"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/metrics"
	"vetchstream/internal/state"
)

// How a region's leader follows the home region: it asks for grants, stores them, and puts
// them into effect.

const (
	// followTimeout bounds a request to the home region, which holds it for a while.
	followTimeout = 4 * time.Second
	// minFollowRetry and maxFollowRetry are the first and the longest wait after a request
	// that failed.
	minFollowRetry = 200 * time.Millisecond
	maxFollowRetry = 3 * time.Second
	// usagePollInterval is the wait while it is not known what the teams use.
	usagePollInterval = 200 * time.Millisecond
)

// follow follows the home region until the term ends.
func (tq *teamQuotas) follow() {
	if !tq.enabled() {
		return
	}
	retry := minFollowRetry
	for tq.ctx.Err() == nil {
		q := callActor(tq.core, tq.nextRequest)
		if q == nil {
			tq.sleep(usagePollInterval)
			continue
		}
		p, err := tq.sendRequest(q)
		if err != nil || p.Refused != "" {
			tq.sleep(retry/2 + rand.N(retry))
			retry = min(2*retry, maxFollowRetry)
			continue
		}
		retry = minFollowRetry
		grants := callActor(tq.core, func() []dynconfig.RegionGrant { return tq.replica.HandleReply(q, p) })
		tq.storeGrants(grants)
		tq.runInActor(tq.clearUnconfirmed)
	}
}

// nextRequest is the next request to the home region; nil: it is not known yet what to report.
func (tq *teamQuotas) nextRequest() *dynconfig.Request {
	if !tq.usageKnown() {
		return nil
	}
	return tq.replica.Request(tq.usage())
}

// sendRequest sends a request to the home region's leader, which may be this one.
func (tq *teamQuotas) sendRequest(q *dynconfig.Request) (*dynconfig.Reply, error) {
	ctx, cancel := context.WithTimeout(tq.ctx, followTimeout)
	defer cancel()
	if tq.homeQuotas.enabled() {
		return tq.controller.HandleFollow(ctx, q), nil
	}
	return tq.controller.Follow(ctx, q)
}

// storeGrants stores grants, in as many transactions as it takes, and puts each batch into
// effect once it is stored.
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
		out := make([]uint64, len(grants))
		for i, g := range grants {
			out[i] = tq.grantVersions[g.Team]
		}
		return out
	})
	if versions == nil {
		return 0, false
	}
	var conds []state.Condition
	var writes []state.Write
	for i, g := range grants {
		key := regionGrantPrefix + g.Team
		put, err := state.Put(key, g)
		if err != nil {
			tq.log.Error("quota grant cannot be encoded", "team", g.Team, "error", err)
			return 0, false
		}
		conds = append(conds, state.Condition{Key: key, Version: versions[i]})
		writes = append(writes, put)
	}
	version, err := tq.commitUntilSettled(conds[0].Key, conds[0].Version, conds, writes)
	if err != nil {
		tq.log.Error("quota grants cannot be stored", "teams", len(grants), "error", err)
		return 0, false
	}
	return version, true
}

// applyStored puts stored grants into effect.
func (tq *teamQuotas) applyStored(grants []dynconfig.RegionGrant, version uint64) {
	added := false
	for _, g := range grants {
		tq.grantVersions[g.Team] = version
		added = tq.nameIndex.addTeam(g.Team) || added
		tq.log.Info("team quota changed", "team", g.Team, "revision", g.Revision,
			"cpus_max", g.Limit.CPUs, "gpus_max", g.Limit.GPUs, "removed", g.Removed)
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
		conds := []state.Condition{{Key: unconfirmedKey, Version: version}}
		writes := []state.Write{{Delete: unconfirmedKey}}
		if _, err := tq.commitUntilSettled(unconfirmedKey, version, conds, writes); err != nil {
			tq.log.Error("confirmation of the quota limits cannot be stored", "error", err)
		}
	}()
}
