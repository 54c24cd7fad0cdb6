package control

import (
	"context"
	"errors"
	"math"

	"vetchstream/internal/config"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Teams as the platform's file and the planner have them, and as a node that does not lead
// reads them from the key-value store.

// quota is the quota of a team that accepts jobs.
type quota struct {
	current *config.Team // nil: there is no such team
	target  *config.Team // what it will be once a change is complete; nil: none is under way
}

// quotaOf is the quota of a team with this share, whose limit is to become the target.
func quotaOf(name string, share dynconfig.Share, target dynconfig.Amount) quota {
	current := configTeam(name, share)
	future := configTeam(name, dynconfig.Share{Limit: target})
	return quota{current: &current, target: &future}
}

// fileShares are the teams of the platform's file, by name.
func (c *Controller) fileShares() map[string]dynconfig.Share {
	out := map[string]dynconfig.Share{}
	for _, t := range c.Settings.Facts.Teams {
		out[t.Name] = dynconfig.Share{
			Limit:     dynconfig.Amount{CPUs: limitAmount(t.CPUsMax), GPUs: limitAmount(t.GPUsMax)},
			Guarantee: dynconfig.Amount{CPUs: t.CPUs, GPUs: t.GPUs},
		}
	}
	return out
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

// limitAmount converts a limit of the platform's file, in which 0 means that there is none.
func limitAmount(limit float64) float64 {
	if limit == 0 {
		return dynconfig.Unlimited
	}
	return limit
}

// zeroLimit is a limit under which no task fits, for the platform's file, in which 0 means
// that there is no limit.
const zeroLimit = 1e-9

// fileLimit converts an amount to a limit as the platform's file has it.
func fileLimit(amount float64) float64 {
	if math.IsInf(amount, 1) {
		return 0
	}
	return max(amount, zeroLimit)
}

// configTeam converts a share to a team as the platform's file has it.
func configTeam(name string, share dynconfig.Share) config.Team {
	return config.Team{
		Name:    name,
		CPUs:    share.Guarantee.CPUs,
		GPUs:    share.Guarantee.GPUs,
		CPUsMax: fileLimit(share.Limit.CPUs),
		GPUsMax: fileLimit(share.Limit.GPUs),
	}
}

// storedTeam is a team's quota as the region's leader has last stored it, for a node that
// does not lead, with the conditions under which it still holds.
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
	var g dynconfig.RegionGrant
	if err := wire.Unmarshal(e.Value, &g); err != nil {
		return quota{}, nil, err
	}
	if g.Removed {
		return quota{}, conds, nil
	}
	share := dynconfig.Share{Limit: g.Limit, Guarantee: g.Guarantee}
	return quotaOf(name, share, g.Target), conds, nil
}

// errUnconfirmed is returned for a team whose grants the region's store may have lost.
var errUnconfirmed = errors.New("the region's quotas are not confirmed yet")

// ungrantedTeam is the quota of a team that has no grant here. That there is no such team is
// certain only if the region's quotas are confirmed; the error is errUnconfirmed otherwise.
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
