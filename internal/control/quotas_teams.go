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

// The functions below convert teams between the form of the platform's file, which the planner
// uses as well, and the shares of package dynconfig. Followers use them to read a team's quota
// from the key-value store.

// quota is the quota against which the jobs of a team are admitted.
type quota struct {
	current *config.Team // nil if the team does not exist
	target  *config.Team // quota after the change in progress is complete; nil if there is no such change
}

// quotaOf returns the quota of a team that has this share and whose limit is changing to
// target.
func quotaOf(name string, share dynconfig.Share, target dynconfig.Amount) quota {
	current := configTeam(name, share)
	future := configTeam(name, dynconfig.Share{Limit: target})
	return quota{current: &current, target: &future}
}

// fileShares returns the shares of the teams in the platform's file, by name.
func (c *Controller) fileShares() map[string]dynconfig.Share {
	shares := map[string]dynconfig.Share{}
	for _, team := range c.Settings.Facts.Teams {
		shares[team.Name] = dynconfig.Share{
			Limit:     dynconfig.Amount{CPUs: limitAmount(team.CPUsMax), GPUs: limitAmount(team.GPUsMax)},
			Guarantee: dynconfig.Amount{CPUs: team.CPUs, GPUs: team.GPUs},
		}
	}
	return shares
}

// fileTeam returns a team of the platform's file, or nil if the file has no team of that name.
func (c *Controller) fileTeam(name string) *config.Team {
	for i := range c.Settings.Facts.Teams {
		if team := &c.Settings.Facts.Teams[i]; team.Name == name {
			return team
		}
	}
	return nil
}

// limitAmount converts a limit of the platform's file, where 0 means that there is no limit.
func limitAmount(limit float64) float64 {
	if limit == 0 {
		return dynconfig.Unlimited
	}
	return limit
}

// zeroLimit is a limit under which no task fits. It replaces 0 in the form of the platform's
// file, where 0 means that there is no limit.
const zeroLimit = 1e-9

// fileLimit converts an amount to a limit in the form of the platform's file.
func fileLimit(amount float64) float64 {
	if math.IsInf(amount, 1) {
		return 0
	}
	return max(amount, zeroLimit)
}

// configTeam converts a share to a team in the form of the platform's file.
func configTeam(name string, share dynconfig.Share) config.Team {
	return config.Team{
		Name:    name,
		CPUs:    share.Guarantee.CPUs,
		GPUs:    share.Guarantee.GPUs,
		CPUsMax: fileLimit(share.Limit.CPUs),
		GPUsMax: fileLimit(share.Limit.GPUs),
	}
}

// storedTeam returns, at a follower, a team's quota as the region's leader stored it last, and
// the conditions under which this quota still holds.
func (c *Controller) storedTeam(ctx context.Context, name string) (quota, []state.Condition, error) {
	if c.Tuning.Regions.Name == "" || !job.ValidTeam(name) {
		return quota{current: c.fileTeam(name)}, nil, nil
	}
	entry, err := c.State.Get(ctx, regionGrantPrefix+name)
	if errors.Is(err, state.ErrNotFound) {
		return c.ungrantedTeam(ctx, name)
	}
	if err != nil {
		return quota{}, nil, err
	}
	conditions := []state.Condition{{Key: regionGrantPrefix + name, Version: entry.Version}}
	var grant dynconfig.RegionGrant
	if err := wire.Unmarshal(entry.Value, &grant); err != nil {
		return quota{}, nil, err
	}
	if grant.Removed {
		return quota{}, conditions, nil
	}
	share := dynconfig.Share{Limit: grant.Limit, Guarantee: grant.Guarantee}
	return quotaOf(name, share, grant.Target), conditions, nil
}

// errUnconfirmed is returned for a team whose grants the region's store may have lost.
var errUnconfirmed = errors.New("the region's quotas are not confirmed yet")

// ungrantedTeam returns the quota of a team that has no grant in this region. Only if the
// region's quotas are confirmed is it certain that such a team does not exist; otherwise the
// error is errUnconfirmed.
func (c *Controller) ungrantedTeam(ctx context.Context, name string) (quota, []state.Condition, error) {
	conditions := []state.Condition{{Key: regionGrantPrefix + name}}
	if team := c.fileTeam(name); team != nil {
		return quota{current: team}, conditions, nil
	}
	_, err := c.State.Get(ctx, unconfirmedKey)
	switch {
	case err == nil:
		return quota{}, nil, errUnconfirmed
	case errors.Is(err, state.ErrNotFound):
		return quota{}, conditions, nil
	}
	return quota{}, nil, err
}
