package rollout

// DesiredState says for each replica whether its instance of the old version should run, and
// whether and where its instance of the new version should run.
type DesiredState struct {
	Old []bool
	New []Placement
}

// Placement says whether an instance of the new version should run, and in which zone.
type Placement struct {
	Wanted bool
	Zone   string // empty: any
}

// replaceOld requires the new instance of a replica to run, and the old one to be stopped.
func (d *DesiredState) replaceOld(replica int32, zone string) {
	d.Old[replica] = false
	d.addNew(replica, zone)
}

// addNew requires the new instance of a replica to run, and leaves the old one as it is.
func (d *DesiredState) addNew(replica int32, zone string) {
	d.New[replica] = Placement{Wanted: true, Zone: zone}
}

// Desired returns what should run now. The result depends on the record and the view alone.
func Desired(r *Record, view *View) DesiredState {
	replicas := max(len(view.Old), len(view.New))
	desired := DesiredState{
		Old: make([]bool, replicas),
		New: make([]Placement, replicas),
	}
	for i := range desired.Old {
		desired.Old[i] = true
	}
	state := r.State
	if state == Paused {
		state = r.ResumeState
	}
	switch state {
	case Pending, RolledBack, Failed, Done:
		return desired // the current version alone: Done has swapped the two versions
	}
	for i := range r.Batches {
		batch := &r.Batches[i]
		switch {
		case i > r.BatchIndex:
			// The batch has not started.
		case i < r.BatchIndex:
			for _, replica := range batch.Replicas {
				desired.replaceOld(replica, batch.Zone)
			}
		case state == RollingBack:
			// The whole batch is rolled back at once, because its new instances are bad.
		case r.State == Paused:
			retainBatch(view, batch, &desired)
		default:
			r.changeBatch(view, batch, &desired)
		}
	}
	return desired
}

// retainBatch leaves the instances of a paused batch as they are. A replica without a new
// instance runs its old one, which is started if it is missing.
func retainBatch(view *View, batch *Batch, desired *DesiredState) {
	for _, replica := range batch.Replicas {
		if view.newInstance(replica).Live {
			desired.Old[replica] = view.oldInstance(replica).Live
			desired.addNew(replica, batch.Zone)
		}
	}
}

// changeBatch decides which replicas of the current batch change now. A new instance may start
// if the surge limit allows one more, or once the old instance has ended. An old instance is
// stopped once its new one has been healthy for the ready time, because a bad build can look
// healthy for a moment, or if one more replica may be unavailable.
func (r *Record) changeBatch(view *View, batch *Batch, desired *DesiredState) {
	surge, unavailable := r.retainChanging(view, batch, desired)
	for _, replica := range batch.Replicas {
		if desired.New[replica].Wanted || !desired.Old[replica] {
			continue
		}
		switch {
		case surge > 0:
			desired.addNew(replica, batch.Zone)
			surge--
		case unavailable > 0:
			desired.Old[replica] = false // the new one starts once the old one has ended
			unavailable--
		}
	}
}

// retainChanging continues the replicas of a batch whose change has started. It returns how many
// more surplus and unavailable instances the limits allow.
func (r *Record) retainChanging(view *View, batch *Batch, desired *DesiredState) (surge, unavailable int) {
	surge, unavailable = r.Spec.maxSurge(), r.Spec.maxUnavailable()
	for _, replica := range batch.Replicas {
		old, next := view.oldInstance(replica), view.newInstance(replica)
		ready := next.readyAfter(r.Spec.readySeconds()) && !next.Lost && next.Health == Healthy
		switch {
		case next.Live && !old.Live:
			desired.replaceOld(replica, batch.Zone)
			if !ready {
				unavailable--
			}
		case next.Live && ready:
			desired.replaceOld(replica, batch.Zone)
			surge--
		case next.Live:
			desired.addNew(replica, batch.Zone)
			surge--
		case !old.Live:
			// Neither instance runs: the old one ended by itself, or was stopped for this change.
			desired.replaceOld(replica, batch.Zone)
			unavailable--
		}
	}
	return surge, unavailable
}
