package control

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/place"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// admissionRefusal returns the refusal of a job that can never run or whose feasibility
// cannot be decided yet, or nil if the job may be admitted.
func (c *Controller) admissionRefusal(spec *job.Spec, types []wire.MachineType, team quota) *rpc.Reply {
	reason, decidable := unschedulableReason(spec, types, team.current)
	if reason != "" && team.target != nil {
		if later, _ := unschedulableReason(spec, types, team.target); later == "" {
			return Unavailable("a quota change of the team is in progress")
		}
	}
	if !decidable {
		return Unavailable("machine types are not known yet")
	}
	if reason != "" {
		return reply(http.StatusUnprocessableEntity, wire.Error{Error: job.ErrUnschedulable.Error() + ": " + reason})
	}
	return nil
}

// typesRecord is the stored price list.
type typesRecord struct {
	Types []wire.MachineType `codec:"types"`
}

// loadMachineTypes returns the latest price list that this node has cached or a leader
// has stored, or nil if there is none yet.
func (c *Controller) loadMachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	if types := c.cachedTypes(); types != nil {
		return types, nil
	}
	entry, err := c.State.Get(ctx, typesKey)
	if errors.Is(err, state.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var rec typesRecord
	if err := wire.Unmarshal(entry.Value, &rec); err != nil {
		return nil, err
	}
	c.cacheTypes(rec.Types)
	return rec.Types, nil
}

func (c *Controller) cachedTypes() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types
}

func (c *Controller) cacheTypes(types []wire.MachineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.types = types
}

// quotaTolerance absorbs rounding errors in comparisons with a limit.
const quotaTolerance = 1e-6

// unschedulableReason returns the reason why a job can never run, or an empty string if
// it can. decidable is false if the machine types are not known yet.
func unschedulableReason(spec *job.Spec, types []wire.MachineType, team *config.Team) (reason string, decidable bool) {
	if team == nil {
		return "unknown team", true
	}
	if len(types) == 0 {
		return "", false
	}
	zones := feasibleZones(spec, types)
	if len(zones) == 0 {
		return "its tasks fit no allowed machine type in an allowed zone", true
	}
	// All tasks of a gang run at the same time, and at most half of those of a spread gang
	// may be in one zone.
	if spec.ParsedShape() == job.Gang && spec.Tasks > 1 && spec.Spread && (spec.OneZone || len(zones) == 1) {
		return "its tasks have to be spread over zones, but may run in one zone only", true
	}
	if exceedsQuota(spec, team) {
		return "it exceeds the team's limit", true
	}
	return "", true
}

// feasibleZones returns the allowed zones in which a task of the job fits an allowed
// machine type.
func feasibleZones(spec *job.Spec, types []wire.MachineType) map[string]bool {
	need := place.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemGB: spec.MemGB}
	zones := map[string]bool{}
	for i := range types {
		machineType := &types[i]
		capacity := place.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemGB: machineType.MemGB}
		if !capacity.Fits(need) || (spec.Types != nil && !slices.Contains(spec.Types, machineType.Name)) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == "" || zone == spec.Zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

// exceedsQuota reports whether a job can never run within the team's limit. An array can
// run one task at a time; other jobs run all their tasks at the same time.
func exceedsQuota(spec *job.Spec, team *config.Team) bool {
	concurrent := 1.0
	if spec.ParsedShape() != job.Array {
		concurrent = float64(spec.Tasks)
	}
	tooManyCPUs := team.CPUsMax > 0 && spec.CPUs*concurrent > team.CPUsMax+quotaTolerance
	tooManyGPUs := team.GPUsMax > 0 && spec.GPUs*concurrent > team.GPUsMax+quotaTolerance
	return tooManyCPUs || tooManyGPUs
}
