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
func Desired(r *Record, v *View) DesiredState {
	replicas := max(len(v.Old), len(v.New))
	d := DesiredState{
		Old: make([]bool, replicas),
		New: make([]Placement, replicas),
	}
	for i := range d.Old {
		d.Old[i] = true
	}
	state := r.State
	if state == Paused {
		state = r.ResumeState
	}
	switch state {
	case Pending, RolledBack, Failed, Done:
		return d // the current version alone: Done has swapped the two versions
	}
	for i := range r.Batches {
		b := &r.Batches[i]
		switch {
		case i > r.BatchIndex:
			// The batch has not started.
		case i < r.BatchIndex:
			for _, replica := range b.Replicas {
				d.replaceOld(replica, b.Zone)
			}
		case state == RollingBack:
			// The whole batch is rolled back at once, because its new instances are bad.
		case r.State == Paused:
			retainBatch(v, b, &d)
		default:
			r.changeBatch(v, b, &d)
		}
	}
	return d
}

// retainBatch leaves the instances of a paused batch as they are. A replica without a new
// instance runs its old one, which is started if it is missing.
func retainBatch(v *View, b *Batch, d *DesiredState) {
	for _, replica := range b.Replicas {
		if v.newInstance(replica).Live {
			d.Old[replica] = v.oldInstance(replica).Live
			d.addNew(replica, b.Zone)
		}
	}
}

// changeBatch decides which replicas of the current batch change now. A new instance may start
// if the surge limit allows one more, or once the old instance has ended. An old instance is
// stopped once its new one has been healthy for the ready time, because a bad build can look
// healthy for a moment, or if one more replica may be unavailable.
func (r *Record) changeBatch(v *View, b *Batch, d *DesiredState) {
	surge, unavailable := r.retainChanging(v, b, d)
	for _, replica := range b.Replicas {
		if d.New[replica].Wanted || !d.Old[replica] {
			continue
		}
		switch {
		case surge > 0:
			d.addNew(replica, b.Zone)
			surge--
		case unavailable > 0:
			d.Old[replica] = false // the new one starts once the old one has ended
			unavailable--
		}
	}
}

// retainChanging continues the replicas of a batch whose change has started. It returns how many
// more surplus and unavailable instances the limits allow.
func (r *Record) retainChanging(v *View, b *Batch, d *DesiredState) (surge, unavailable int) {
	surge, unavailable = r.Spec.maxSurge(), r.Spec.maxUnavailable()
	for _, replica := range b.Replicas {
		old, next := v.oldInstance(replica), v.newInstance(replica)
		ready := next.readyAfter(r.Spec.readySeconds()) && !next.Lost && next.Health == Healthy
		switch {
		case next.Live && !old.Live:
			d.replaceOld(replica, b.Zone)
			if !ready {
				unavailable--
			}
		case next.Live && ready:
			d.replaceOld(replica, b.Zone)
			surge--
		case next.Live:
			d.addNew(replica, b.Zone)
			surge--
		case !old.Live:
			// Neither instance runs: the old one ended by itself, or was stopped for this change.
			d.replaceOld(replica, b.Zone)
			unavailable--
		}
	}
	return surge, unavailable
}
