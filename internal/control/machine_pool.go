package control

import (
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/metrics"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

const (
	// typesInterval is the interval at which the machine types are read,
	// typesRetryInterval the interval after a failed read.
	typesInterval      = time.Minute
	typesRetryInterval = 2 * time.Second
	// minListInterval is the shortest interval between two reads of the machine list.
	minListInterval = 3 * time.Second
	// scalingInterval is the interval between two scaling decisions.
	scalingInterval = 500 * time.Millisecond
	// defaultBootTime is the boot time assumed for a machine of unknown type.
	defaultBootTime = time.Minute
	// phaseFailed is the phase of a listed machine that has failed at the cloud.
	phaseFailed = "failed"
)

// machinePool scales the fleet: it reads the cloud's machine types and machine list,
// provisions and releases machines, and evacuates machines with a spot notice.
type machinePool struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	registry          *registry
	takeover          *takeover
	planner           *planner
	taskTracker       *taskTracker
	recordWriter      *recordWriter
	reservationHolds  *reservationHolds
	maintenanceDrains *maintenanceDrains
	shards            *shards

	// unlisted holds the machines that were adopted from a heartbeat and have not
	// appeared in a machine list yet.
	unlisted map[*fleet.Machine]bool
	// noticeLogged holds the machines whose spot notice has been logged.
	noticeLogged map[*fleet.Machine]bool

	// unmetDemand holds the jobs that the last plan found no capacity for, the most
	// urgent first.
	unmetDemand []autoscale.UnmetDemand
	// provisioning is the number of requested machines, per offer, in requests without a
	// response yet.
	provisioning map[autoscale.Offer]int
	// requestCount is the number of provisioning requests made in this term.
	requestCount uint64
	backoff      *autoscale.Backoff

	// pendingReleases holds the machines whose release the cloud has not confirmed yet.
	pendingReleases []*fleet.Machine
	releaseInFlight bool
	// releasedNames holds the names of the machines released in this term.
	releasedNames map[string]bool

	// The times at which the next read of the list or the types, release request and
	// scaling decision are due.
	nextListAt    time.Time
	nextTypesAt   time.Time
	nextReleaseAt time.Time
	nextScalingAt time.Time
	listInFlight  bool
	typesInFlight bool
}

func newMachinePool(co *core) *machinePool {
	return &machinePool{
		core:          co,
		unlisted:      map[*fleet.Machine]bool{},
		noticeLogged:  map[*fleet.Machine]bool{},
		provisioning:  map[autoscale.Offer]int{},
		backoff:       autoscale.NewBackoff(),
		releasedNames: map[string]bool{},
	}
}

// setUnmetDemand sets the jobs that the last plan found no capacity for, the most urgent
// first.
func (mp *machinePool) setUnmetDemand(unmet []autoscale.UnmetDemand) { mp.unmetDemand = unmet }

// wasReleased reports whether a machine of this name has been released in this term.
func (mp *machinePool) wasReleased(name string) bool { return mp.releasedNames[name] }

// reconcile starts the reads that are due and makes the scaling decisions that are due.
func (mp *machinePool) reconcile(now time.Time) {
	mp.readTypes(now)
	mp.readList(now)
	if now.Before(mp.nextScalingAt) || len(mp.nameIndex.machineTypes()) == 0 {
		return
	}
	mp.nextScalingAt = now.Add(scalingInterval)
	mp.scaleIn(now)
	mp.sendReleases(now)
	mp.scaleOut(now)
}

// readTypes starts a read of the machine types if one is due.
func (mp *machinePool) readTypes(now time.Time) {
	if mp.typesInFlight || !now.After(mp.nextTypesAt) {
		return
	}
	mp.typesInFlight = true
	go func() {
		types, err := mp.controller.Cloud.MachineTypes(mp.ctx)
		mp.enqueue(func() {
			mp.typesInFlight = false
			if err != nil {
				mp.nextTypesAt = time.Now().Add(typesRetryInterval)
				return
			}
			mp.nextTypesAt = time.Now().Add(typesInterval)
			mp.applyTypes(types)
		})
	}()
}

// applyTypes updates the machine types and the indices that jobs derive from them.
func (mp *machinePool) applyTypes(types []wire.MachineType) {
	first := len(mp.nameIndex.machineTypes()) == 0
	mp.nameIndex.updateTypes(types)
	mp.jobTable.rebindNames()
	mp.controller.mu.Lock()
	mp.controller.types = mp.nameIndex.machineTypes()
	mp.controller.mu.Unlock()
	mp.requestPlan()
	if first {
		mp.storeTypes(types)
	}
}

// storeTypes stores the machine types for a later leader that cannot reach the cloud. A
// failure is ignored: that leader waits for the cloud instead.
func (mp *machinePool) storeTypes(types []wire.MachineType) {
	w, err := state.Put(typesKey, typesRecord{Types: types})
	if err != nil {
		return
	}
	mp.recordWriter.write([]state.Write{w}, func(error) {})
}

// readList starts a read of the machine list if one is due.
func (mp *machinePool) readList(now time.Time) {
	if mp.listInFlight || !now.After(mp.nextListAt) {
		return
	}
	mp.listInFlight = true
	listLag := config.Seconds(mp.controller.Settings.Facts.Cloud.ListLagS)
	go func() {
		list, err := mp.controller.Cloud.ListMachines(mp.ctx)
		mp.enqueue(func() {
			mp.listInFlight = false
			mp.nextListAt = time.Now().Add(max(minListInterval, listLag/2))
			if err != nil {
				mp.log.Debug("listing machines failed", "error", err)
				return
			}
			mp.applyList(list)
		})
	}()
}

// applyList applies the cloud's machine list. The list lags: it may lack a running
// machine and contain one that no longer exists.
func (mp *machinePool) applyList(list []wire.CloudMachine) {
	now := time.Now()
	mp.takeover.compareListing(list)
	mp.releaseStaleAdoptions(list)
	for i := range list {
		if listed := &list[i]; !mp.wasReleased(listed.Name) {
			mp.applyListed(listed, now)
		}
	}
}

// applyListed applies one entry of the machine list.
func (mp *machinePool) applyListed(listed *wire.CloudMachine, now time.Time) {
	machine := mp.fleet.Machines[listed.Name]
	if machine == nil {
		machine = mp.fleet.Add(listed.Name, now)
		machine.AddedAt = now.Add(-config.Seconds(listed.AgeS))
		mp.log.Info("unknown machine found in the cloud's list", "machine", listed.Name, "phase", listed.Phase)
	}
	if !machine.Described {
		mp.nameIndex.describeMachine(machine, listed.Type, listed.Zone, listed.Spot)
	}
	if machine.Addr == "" {
		machine.Addr = listed.Addr
	}
	if listed.Phase == phaseFailed && !machine.Releasing {
		mp.release(machine, "the cloud reports it as failed")
	}
}

// adopt adds an unknown machine that sends heartbeats.
func (mp *machinePool) adopt(heartbeat *wire.Heartbeat, now time.Time) *fleet.Machine {
	mp.log.Info("adopting unknown machine that sends heartbeats", "machine", heartbeat.Machine, "type", heartbeat.Type, "zone", heartbeat.Zone)
	machine := mp.fleet.Add(heartbeat.Machine, now)
	mp.unlisted[machine] = true
	return machine
}

// releaseStaleAdoptions releases the adopted machines that the list lacks although it
// contains later ones: they no longer existed when the list was made (see
// takeover.compareListing). A delayed copy of a heartbeat has re-added such a machine
// after an earlier leader released it. Until it is removed, the jobs that the heartbeat
// names would wait for its lease to expire.
func (mp *machinePool) releaseStaleAdoptions(list []wire.CloudMachine) {
	if len(list) == 0 || len(mp.unlisted) == 0 {
		return
	}
	listed := map[string]bool{}
	for i := range list {
		listed[list[i].Name] = true
	}
	lastName := list[len(list)-1].Name
	for machine := range mp.unlisted {
		switch {
		case listed[machine.Name]:
			delete(mp.unlisted, machine)
		case machine.Name < lastName && !machine.Releasing:
			mp.release(machine, "a delayed heartbeat added it after its release")
		}
	}
}

// bootTime returns the nominal boot time of a machine.
func (mp *machinePool) bootTime(machine *fleet.Machine) time.Duration {
	if t := mp.nameIndex.machineType(machine); t != nil {
		return config.Seconds(t.BootS)
	}
	return defaultBootTime
}

// mayRenewLease reports whether a heartbeat response may renew the machine's lease. If
// not, the worker's session must end, and the tasks on the machine are lost.
func (mp *machinePool) mayRenewLease(machine *fleet.Machine, now time.Time) bool {
	if mp.fleet.Renewable(machine, now, maxCommands) {
		machine.RenewalStopped = false
		return true
	}
	if !machine.RenewalStopped {
		mp.log.Info("ending worker session: a launch command of a cancelled job may still be in flight",
			"machine", machine.Name, "tasks", machine.ActiveTasks-machine.CancelledInFlight)
		mp.controller.Meter.Add(metrics.SessionsExpired, "", 1)
		mp.taskTracker.applyEvents(mp.fleet.StopRenewal(machine), now)
	}
	return false
}
