package rollout

// DesiredState is what should run: for each replica whether its instance of the old version
// should, and where that of the new one.
type DesiredState struct {
	Old []bool
	New []Placement
}

// Placement is whether, and where, an instance of the new version should run.
type Placement struct {
	Wanted bool
	Zone   string // empty: any
}

// replaceOld has a replica's instance of the new version run alone.
func (d *DesiredState) replaceOld(replica int32, zone string) {
	d.Old[replica] = false
	d.addNew(replica, zone)
}

// addNew has a replica's instance of the new version run, whatever the old one does.
func (d *DesiredState) addNew(replica int32, zone string) {
	d.New[replica] = Placement{Wanted: true, Zone: zone}
}

// Desired is what should run now. It follows from the record and the view alone.
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
		return d // the current version: in Done the versions have changed places
	}
	for i := range r.Batches {
		b := &r.Batches[i]
		switch {
		case i > r.BatchIndex:
			// Not begun yet.
		case i < r.BatchIndex:
			for _, replica := range b.Replicas {
				d.replaceOld(replica, b.Zone)
			}
		case state == RollingBack:
			// The whole batch is rolled back at once: its new instances are bad.
		case r.State == Paused:
			retainBatch(v, b, &d)
		default:
			r.changeBatch(v, b, &d)
		}
	}
	return d
}

// retainBatch leaves the instances of a paused batch as they are. One that is missing comes
// back as it was.
func retainBatch(v *View, b *Batch, d *DesiredState) {
	for _, replica := range b.Replicas {
		if v.newInstance(replica).Live {
			d.Old[replica] = v.oldInstance(replica).Live
			d.addNew(replica, b.Zone)
		}
	}
}

// changeBatch decides which replicas of the batch under way change now. A new instance may
// start when there may be a surplus one or when its old one is gone; an old instance is
// stopped when its new one has been healthy for a while (a bad build can look healthy for a
// moment), or when one may be unavailable.
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
			d.Old[replica] = false // the new one follows when it is gone
			unavailable--
		}
	}
}

// retainChanging goes on with the replicas of a batch whose change has begun, and returns how
// many surplus and unavailable instances there may be besides.
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
			// Neither is there: the old one has ended by itself, or for this change.
			d.replaceOld(replica, b.Zone)
			unavailable--
		}
	}
	return surge, unavailable
}
