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
	// typesInterval is how often the machine types are read, typesRetryInterval after what time
	// that is tried again.
	typesInterval      = time.Minute
	typesRetryInterval = 2 * time.Second
	// minListInterval is how often the machine list is read at most.
	minListInterval = 3 * time.Second
	// scalingInterval is how often the pool decides what to provision and release.
	scalingInterval = 500 * time.Millisecond
	// defaultBootTime is assumed for a machine whose type is not known.
	defaultBootTime = time.Minute
	// phaseFailed is the phase of a listed machine that has stopped on its own.
	phaseFailed = "failed"
)

// machinePool scales the fleet: it reads the cloud's machine types and machine list,
// provisions and releases machines, and evacuates those with a spot notice.
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

	// unlisted are the machines that were adopted from a heartbeat and that no list has had
	// yet.
	unlisted map[*fleet.Machine]bool
	// noticeLogged are the machines whose spot notice has been logged.
	noticeLogged map[*fleet.Machine]bool

	// unmetDemand are the jobs for which the last plan found no room, the most urgent first.
	unmetDemand []autoscale.UnmetDemand
	// provisioning counts the machines of the requests that are not answered yet.
	provisioning map[autoscale.Offer]int
	// requestCount counts the requests for machines made in this term.
	requestCount uint64
	backoff      *autoscale.Backoff

	// pendingReleases are the machines whose release has not been answered yet.
	pendingReleases []*fleet.Machine
	releaseInFlight bool
	// releasedNames are the machines that were released in this term.
	releasedNames map[string]bool

	// The times at which the next list, types, release and decision are due.
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

// setUnmetDemand sets the jobs for which the last plan found no room, the most urgent first.
func (mp *machinePool) setUnmetDemand(unmet []autoscale.UnmetDemand) { mp.unmetDemand = unmet }

// wasReleased reports whether a machine of that name has been released.
func (mp *machinePool) wasReleased(name string) bool { return mp.releasedNames[name] }

// reconcile starts the reads and the decisions that are due.
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

// readTypes reads the machine types if that is due.
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

// applyTypes takes in the machine types.
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

// storeTypes stores the machine types for a later leader that cannot reach the cloud. It may
// fail: that leader then waits for the cloud.
func (mp *machinePool) storeTypes(types []wire.MachineType) {
	w, err := state.Put(typesKey, typesRecord{Types: types})
	if err != nil {
		return
	}
	mp.recordWriter.write([]state.Write{w}, func(error) {})
}

// readList reads the machine list if that is due.
func (mp *machinePool) readList(now time.Time) {
	if mp.listInFlight || !now.After(mp.nextListAt) {
		return
	}
	mp.listInFlight = true
	lag := config.Seconds(mp.controller.Settings.Facts.Cloud.ListLagS)
	go func() {
		list, err := mp.controller.Cloud.ListMachines(mp.ctx)
		mp.enqueue(func() {
			mp.listInFlight = false
			mp.nextListAt = time.Now().Add(max(minListInterval, lag/2))
			if err != nil {
				mp.log.Debug("listing the machines failed", "error", err)
				return
			}
			mp.applyList(list)
		})
	}()
}

// applyList applies the cloud's machine list. The list lags: a machine that it lacks may be
// up, and one that it has may be gone.
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

// applyListed applies one machine of the list.
func (mp *machinePool) applyListed(listed *wire.CloudMachine, now time.Time) {
	h := mp.fleet.Machines[listed.Name]
	if h == nil {
		h = mp.fleet.Add(listed.Name, now)
		h.AddedAt = now.Add(-config.Seconds(listed.AgeS))
		mp.log.Info("unknown machine found in the cloud's list", "machine", listed.Name, "phase", listed.Phase)
	}
	if !h.Described {
		mp.nameIndex.describeMachine(h, listed.Type, listed.Zone, listed.Spot)
	}
	if h.Addr == "" {
		h.Addr = listed.Addr
	}
	if listed.Phase == phaseFailed && !h.Releasing {
		mp.release(h, "the cloud reports it as failed")
	}
}

// adopt adds an unknown machine that sends heartbeats.
func (mp *machinePool) adopt(m *wire.Heartbeat, now time.Time) *fleet.Machine {
	mp.log.Info("adopting an unknown machine that sends heartbeats", "machine", m.Host, "type", m.Type, "zone", m.Zone)
	h := mp.fleet.Add(m.Host, now)
	mp.unlisted[h] = true
	return h
}

// releaseStaleAdoptions releases the adopted machines that the list lacks although it has
// later ones: they were gone when it was made (takeover.compareListing says why). A late copy of a
// heartbeat has brought back a machine that an earlier leader has released; until it is
// settled, the jobs that it names would wait for a lease.
func (mp *machinePool) releaseStaleAdoptions(list []wire.CloudMachine) {
	if len(list) == 0 || len(mp.unlisted) == 0 {
		return
	}
	listed := map[string]bool{}
	for i := range list {
		listed[list[i].Name] = true
	}
	last := list[len(list)-1].Name
	for h := range mp.unlisted {
		switch {
		case listed[h.Name]:
			delete(mp.unlisted, h)
		case h.Name < last && !h.Releasing:
			mp.release(h, "a delayed heartbeat added it after its release")
		}
	}
}

// bootTime returns the nominal boot time of a machine.
func (mp *machinePool) bootTime(h *fleet.Machine) time.Duration {
	if t := mp.nameIndex.machineType(h); t != nil {
		return config.Seconds(t.BootS)
	}
	return defaultBootTime
}

// mayRenewLease reports whether an answer may renew the machine's lease. Where it may not,
// the worker's session has to end, and the tasks there are lost.
func (mp *machinePool) mayRenewLease(h *fleet.Machine, now time.Time) bool {
	if mp.fleet.Renewable(h, now, maxCommands) {
		h.RenewalStopped = false
		return true
	}
	if !h.RenewalStopped {
		mp.log.Info("ending an agent session: a launch of a cancelled job may still be in flight",
			"machine", h.Name, "tasks", h.ActiveTasks-h.CancelledInFlight)
		mp.controller.Meter.Add(metrics.SessionsExpired, "", 1)
		mp.taskTracker.applyEvents(mp.fleet.StopRenewal(h), now)
	}
	return false
}
