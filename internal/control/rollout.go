package control

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// rolloutPrefix is below which the records of services and their roll-outs are.
const rolloutPrefix = "r/"

// rollouts carries out what the records of roll-outs want. It compares the record
// with what is seen, stores the next step under the term, and only then lets the
// planner and the commands follow it, so that every step can be taken again by a
// successor.
type rollouts struct {
	*core
	nameIndex       *nameIndex
	jobTable        *jobTable
	completions     *completions
	taskTracker     *taskTracker
	takeover        *takeover
	admissionGroups *admissionGroups
	teamQuotas      *teamQuotas

	services  map[string]*service
	serviceOf map[string]*service // versions, by job id
	lastStep  time.Time
	checker   checker
}

// service is one service's record as stored, and what has come up since.
type service struct {
	rec     *rollout.Record
	gate    *rollout.Gate // of its spec; nil: it cannot be read
	version uint64
	// idle: the roll-out is over and what it wants is done.
	idle    bool
	storing bool
	// newFailures are failures of new copies that are not stored yet.
	newFailures []instanceFailure
	// requests is what an operator has asked for, with who waits for it.
	requests []func(*rollout.Record) (changed bool, tell func())
}

type instanceFailure struct {
	replica int32
	host    string
}

func newRollouts(co *core) *rollouts {
	ro := &rollouts{core: co, checker: checker{slots: co.c.Tuning.Rollouts.Checks}}
	ro.reset()
	return ro
}

func (ro *rollouts) reset() {
	ro.services, ro.serviceOf = map[string]*service{}, map[string]*service{}
}

// enabled reports whether roll-outs are switched on.
func (ro *rollouts) enabled() bool { return ro.c.Tuning.Rollouts.Enabled }

// readRecords reads the records; none while roll-outs are switched off.
func (ro *rollouts) readRecords() ([]state.Entry, error) {
	if !ro.enabled() {
		return nil, nil
	}
	entries, _, err := ro.c.State.List(ro.ctx, rolloutPrefix)
	return entries, err
}

// load takes in the records of earlier leaders.
func (ro *rollouts) load(entries []state.Entry) error {
	ro.reset()
	for _, e := range entries {
		rec := &rollout.Record{}
		if err := wire.Unmarshal(e.Value, rec); err != nil {
			return fmt.Errorf("roll-out %s: %w", e.Key, err)
		}
		ro.addService(&service{rec: rec, version: e.Version})
	}
	return nil
}

// addService takes in a stored record.
func (ro *rollouts) addService(s *service) {
	gate, err := rollout.NewGate(s.rec.Spec.Pass, s.rec.Spec.Fail)
	if err != nil {
		ro.log.Error("gate cannot be read", "service", s.rec.Service, "error", err)
	}
	s.gate = gate
	ro.services[s.rec.Service] = s
	for _, id := range []string{s.rec.Handle, s.rec.Current, s.rec.Next} {
		if id != "" {
			ro.serviceOf[id] = s
		}
	}
	ro.linkVersions(s)
}

// linkVersions tells the versions' jobs of each other, and holds back all that is not
// placed yet until the next step says what may be.
func (ro *rollouts) linkVersions(s *service) {
	var jobs []*job.Job
	for _, id := range []string{s.rec.Handle, s.rec.Current, s.rec.Next} {
		if j := ro.jobTable.sound(id); j != nil && !slices.Contains(jobs, j) {
			jobs = append(jobs, j)
		}
	}
	for _, j := range jobs {
		j.Handle = j.ID == s.rec.Handle
		j.Versions = slices.DeleteFunc(slices.Clone(jobs), func(o *job.Job) bool { return o == j })
		if j.Quota == nil {
			j.Quota = &job.Quota{Allowed: make([]bool, j.Tasks)}
		}
	}
}

// recordFailure notes that a copy of a version that is being rolled out has failed.
func (ro *rollouts) recordFailure(j *job.Job, replica int32, host string) {
	if s := ro.serviceOf[j.ID]; s != nil && j.ID == s.rec.Next && !s.rec.State.Over() {
		s.newFailures = append(s.newFailures, instanceFailure{replica, host})
	}
}

// rolloutInterval spaces the looks at all roll-outs.
const rolloutInterval = 250 * time.Millisecond

// step looks at each service once.
func (ro *rollouts) step(now time.Time) {
	if len(ro.services) == 0 || now.Sub(ro.lastStep) < rolloutInterval {
		return
	}
	ro.lastStep = now
	for _, s := range ro.services {
		ro.endCancelled(s)
	}
	if !ro.takeover.settled() {
		return // what runs where is not known yet: nothing new starts, nothing is stopped
	}
	down := ro.unavailableZones(now)
	for _, s := range ro.services {
		ro.advanceService(s, down, now)
	}
}

// advanceService stores a service's next step, or carries out the one that is stored.
func (ro *rollouts) advanceService(s *service, down map[string]bool, now time.Time) {
	if s.storing || (s.idle && len(s.requests) == 0 && !jobEnded(ro.jobTable.sound(s.rec.Handle))) {
		return
	}
	ro.linkVersions(s)
	view := ro.observe(s, down, now)
	copied, changed := *s.rec, false
	next := &copied
	for _, f := range s.newFailures {
		changed = next.AddFailure(f.replica, f.host) || changed
	}
	s.newFailures = nil
	var told []func()
	for _, ask := range s.requests {
		did, tell := ask(next)
		changed, told = changed || did, append(told, tell)
	}
	s.requests = nil
	if next.State != rollout.Failed && ro.jobTable.sound(next.Next) == nil && !next.State.Over() {
		changed = rollout.RollBack(next, now) || changed // its job was cancelled
	}
	changed = rollout.Step(next, view, s.gate) || changed
	if changed {
		ro.store(s, next, told)
		return
	}
	for _, tell := range told {
		tell()
	}
	ro.applyRecord(s, view)
}

// store writes a service's record; what it says is done once it is durable.
func (ro *rollouts) store(s *service, rec *rollout.Record, told []func()) {
	key := rolloutPrefix + rec.Service
	put, err := state.Put(key, rec)
	if err != nil {
		ro.log.Error("roll-out does not encode", "service", rec.Service, "error", err)
		return
	}
	s.storing = true
	txn := state.Txn{If: []state.Cond{ro.fence, {Key: key, Version: s.version}}, Writes: []state.Write{put}}
	was := s.version
	go func() {
		for ro.ctx.Err() == nil {
			version, err := ro.c.State.Commit(ro.ctx, txn)
			if errors.Is(err, state.ErrConflict) {
				// Only an entitled leader writes it: a version that has moved on is the work
				// of an unclear try of this very transaction.
				if e, gerr := ro.c.State.Get(ro.ctx, key); gerr == nil && e.Version != was {
					version, err = e.Version, nil
				}
			}
			if err == nil {
				ro.ahead(func() {
					if rec.State != s.rec.State || rec.BatchIndex != s.rec.BatchIndex {
						ro.log.Info("roll-out", "service", rec.Service, "state", rec.State, "batch", rec.BatchIndex+1, "of", len(rec.Batches), "version", rec.Next, "reason", rec.Reason)
					}
					s.rec, s.version, s.storing = rec, version, false
					ro.changed()
					for _, tell := range told {
						tell()
					}
				})
				return
			}
			ro.pause(200 * time.Millisecond)
		}
	}()
}

// unavailableZones are the zones in which there are machines, and none that can take work.
func (ro *rollouts) unavailableZones(now time.Time) map[string]bool {
	zones := ro.nameIndex.zoneNames()
	there, able := make([]bool, len(zones)), make([]bool, len(zones))
	quiet := ro.silenceLimit()
	for _, h := range ro.fleet.All() {
		if h.Zone < 0 || h.Booting {
			continue
		}
		there[h.Zone] = true
		able[h.Zone] = able[h.Zone] || (h.Usable() && h.Silent(now) < quiet)
	}
	out := map[string]bool{}
	for i, z := range zones {
		if there[i] && !able[i] {
			out[z] = true
		}
	}
	return out
}

// silenceLimit is how long a machine may be silent before its copies count as lost.
func (ro *rollouts) silenceLimit() time.Duration {
	w := ro.c.Settings.Facts.Workers
	return config.Seconds(max(2.5*w.ReportS, w.LeaseS/2))
}

// observe is what is seen of a service.
func (ro *rollouts) observe(s *service, down map[string]bool, now time.Time) *rollout.View {
	old, next := ro.jobTable.sound(s.rec.Current), ro.jobTable.sound(s.rec.Next)
	v := &rollout.View{Now: now, UnavailableZones: down, Old: ro.instances(old, now), New: ro.instances(next, now)}
	v.Cancelled = jobEnded(ro.jobTable.sound(s.rec.Handle)) || jobEnded(old)
	v.ChecksUnreachable = s.rec.Spec.Check != nil && ro.checksUnreachable(old, next)
	if n := len(v.Old); len(v.New) < n {
		v.New = append(v.New, make([]rollout.Instance, n-len(v.New))...)
	}
	return v
}

func jobEnded(j *job.Job) bool { return j == nil || j.Phase+j.Closing != "" }

// instances are the copies of a version, by replica.
func (ro *rollouts) instances(j *job.Job, now time.Time) []rollout.Instance {
	if j == nil {
		return nil
	}
	out := make([]rollout.Instance, j.Tasks)
	for s := range ro.fleet.On(j) {
		if !s.On() {
			continue
		}
		c := &out[s.Task]
		c.Live = true
		h := s.Host
		c.Lost = c.Lost || h.Lost || h.Draining || h.Releasing || !h.RecallAt.IsZero() || h.Silent(now) > ro.silenceLimit()
		if s.Phase == wire.Running && !s.Stopping {
			c.Running, c.Health = true, health(s)
			if !s.RunAt.IsZero() {
				c.SinceS = now.Sub(s.RunAt).Seconds()
			}
			if !s.BadAt.IsZero() {
				c.BadS = now.Sub(s.BadAt).Seconds()
			}
		}
	}
	return out
}

// health is what worker and check say of a copy: bad if either does, good if
// neither does and one says so.
func health(s *fleet.Slot) rollout.Health {
	switch {
	case s.Health == wire.HealthBad || s.Checked == wire.HealthBad:
		return rollout.Unhealthy
	case s.Health == wire.HealthGood || s.Checked == wire.HealthGood:
		return rollout.Healthy
	}
	return rollout.Unknown
}

// applyRecord lets the planner and the workers follow the stored record.
func (ro *rollouts) applyRecord(s *service, v *rollout.View) {
	w := rollout.Desired(s.rec, v)
	old, next := ro.jobTable.sound(s.rec.Current), ro.jobTable.sound(s.rec.Next)
	if old != nil {
		ro.applyQuota(old, func(i int) (bool, string) { return i < len(w.Old) && w.Old[i], "" })
	}
	if next != nil {
		ro.applyQuota(next, func(i int) (bool, string) { return i < len(w.New) && w.New[i].Wanted, w.New[i].Zone })
	}
	if h := ro.jobTable.sound(s.rec.Handle); h != nil && h != old && h != next {
		ro.applyQuota(h, func(int) (bool, string) { return false, "" })
	}
	if !s.rec.State.Over() {
		ro.checkHealth(s, old, next, v.Now)
		return
	}
	s.idle = v.Cancelled || next == nil || len(ro.fleet.On(next)) == 0
	if v.Cancelled {
		for _, j := range []*job.Job{old, next} {
			ro.abortVersion(j, s.rec.Handle)
		}
		return
	}
	if next != nil && len(ro.fleet.On(next)) == 0 {
		ro.abortVersion(next, s.rec.Handle)
	}
}

// endCancelled ends the jobs of all versions of a service that its user has cancelled. It
// waits neither for the roll-out's record, which an outage holds up, nor for the machines of
// earlier leaders: their tasks have as long to go as those of any cancelled job.
func (ro *rollouts) endCancelled(s *service) {
	handle := ro.jobTable.sound(s.rec.Handle)
	if !jobEnded(handle) {
		return
	}
	var since time.Time // an earlier leader has sent it, nobody knows when
	if handle != nil {
		since = handle.CancelledAt
	}
	for _, id := range []string{s.rec.Current, s.rec.Next} {
		if j := ro.jobTable.sound(id); !jobEnded(j) {
			ro.abortVersion(j, s.rec.Handle)
			j.CancelledAt = since
		}
	}
}

// abortVersion ends the job of a version that is not wanted any more. The handle is its
// user's, and stays until they cancel it.
func (ro *rollouts) abortVersion(j *job.Job, handle string) {
	if j != nil && j.ID != handle && j.Phase+j.Closing == "" {
		ro.completions.finish(j, wire.JobAborted)
	}
}

// applyQuota sets which replicas of a version may run and where, and stops the others.
func (ro *rollouts) applyQuota(j *job.Job, want func(int) (bool, string)) {
	q := &job.Quota{Allowed: make([]bool, j.Tasks), Zone: make([]int, j.Tasks)}
	for i := range j.Tasks {
		ok, zone := want(i)
		q.Allowed[i], q.Zone[i] = ok, -1
		if zone != "" {
			q.Zone[i] = ro.nameIndex.zone(zone)
		}
	}
	if j.Quota == nil || !slices.Equal(j.Quota.Allowed, q.Allowed) {
		ro.changed()
	}
	j.Quota = q
	for s := range ro.fleet.On(j) {
		if s.On() && !s.Stopping && !q.Allowed[s.Task] {
			ro.taskTracker.stopSlot(s, saveGrace(j))
		}
	}
}

// handle answers an operator's request.
func (ro *rollouts) handle(op *rpc.Operation, back func(*rpc.Reply)) {
	if !ro.enabled() {
		back(reply(http.StatusNotFound, wire.Error{Error: "roll-outs are switched off here"}))
		return
	}
	switch op.Verb {
	case rpc.VerbStart:
		ro.start(op.Spec, back)
		return
	case rpc.VerbList:
		out := []rollout.Status{}
		for _, name := range slices.Sorted(maps.Keys(ro.services)) {
			out = append(out, ro.status(ro.services[name]))
		}
		back(reply(http.StatusOK, map[string]any{"rollouts": out}))
		return
	}
	s := ro.services[op.Service]
	if s == nil {
		back(reply(http.StatusNotFound, wire.Error{Error: "no roll-out of that service"}))
		return
	}
	var ask func(*rollout.Record, time.Time) bool
	switch op.Verb {
	case rpc.VerbPause:
		ask = rollout.Pause
	case rpc.VerbResume:
		ask = rollout.Resume
	case rpc.VerbUndo:
		ask = rollout.RollBack
	default:
		back(reply(http.StatusOK, ro.status(s)))
		return
	}
	s.requests = append(s.requests, func(rec *rollout.Record) (bool, func()) {
		if !ask(rec, time.Now()) {
			return false, func() {
				back(reply(http.StatusConflict, wire.Error{Error: fmt.Sprintf("the roll-out is %s", rec.State)}))
			}
		}
		return true, func() { back(reply(http.StatusOK, ro.status(s))) }
	})
}

// status is what an operator is shown.
func (ro *rollouts) status(s *service) rollout.Status {
	now := time.Now()
	return rollout.NewStatus(s.rec, &rollout.View{Now: now, Old: ro.instances(ro.jobTable.sound(s.rec.Current), now), New: ro.instances(ro.jobTable.sound(s.rec.Next), now)})
}

// start stores a new roll-out together with the job of its next version.
func (ro *rollouts) start(body []byte, back func(*rpc.Reply)) {
	spec, err := rollout.Parse(body)
	if err != nil {
		back(reply(http.StatusBadRequest, wire.Error{Error: err.Error()}))
		return
	}
	s := ro.services[spec.Service]
	handle, current, version, answered := ro.startPoint(s, spec, back)
	if answered {
		return
	}
	was := ro.jobTable.sound(current)
	if p := ro.currentRefusal(s, current, was); p != nil {
		back(p)
		return
	}
	next := spec.NextJob(&was.Spec)
	if p := ro.nextRefusal(&next); p != nil {
		back(p)
		return
	}
	now := time.Now()
	rec := rollout.New(spec, handle, current, ro.zonesOf(was), now)
	ro.create(rec, &job.Record{Spec: next, At: now.UnixMilli()}, version, back)
}

// startPoint is the handle, the current version and the record's version that
// a new roll-out of service s starts from. answered: back has been told, or will
// be once the roll-out before is rolled back, and nothing is started now.
func (ro *rollouts) startPoint(s *service, spec *rollout.Spec, back func(*rpc.Reply)) (handle, current string, version uint64, answered bool) {
	refuse := func(status int, why string) { back(reply(status, wire.Error{Error: why})) }
	if s == nil {
		if len(ro.services) >= ro.c.Tuning.Rollouts.Most {
			refuse(http.StatusTooManyRequests, "too many services have roll-outs")
			return "", "", 0, true
		}
		return spec.From, spec.From, 0, false
	}
	if spec.From != "" && spec.From != s.rec.Handle && spec.From != s.rec.Current {
		refuse(http.StatusConflict, "from: the service runs "+s.rec.Current)
		return "", "", 0, true
	}
	switch {
	case s.storing:
		back(Later("the service's record is being stored"))
		return "", "", 0, true
	case s.rec.Next == spec.To.ID && !s.rec.State.Over():
		back(reply(http.StatusOK, ro.status(s))) // the same request once more
		return "", "", 0, true
	case !s.rec.State.Over() && !spec.Supersede:
		refuse(http.StatusConflict, fmt.Sprintf("a roll-out of the service is %s; supersede it, or undo it first", s.rec.State))
		return "", "", 0, true
	case !s.rec.State.Over():
		// What has been rolled out is taken back first; the new one is asked for again.
		s.requests = append(s.requests, func(rec *rollout.Record) (bool, func()) {
			return rollout.RollBack(rec, time.Now()), func() { back(Later("the roll-out before is rolled back first")) }
		})
		return "", "", 0, true
	}
	return s.rec.Handle, s.rec.Current, s.version, false
}

// currentRefusal refuses a roll-out whose current version is not a running
// service of its own, or that comes while machines are reconciled after failover.
func (ro *rollouts) currentRefusal(s *service, current string, was *job.Job) *rpc.Reply {
	refusal := func(status int, why string) *rpc.Reply { return reply(status, wire.Error{Error: why}) }
	switch {
	case current == "":
		return refusal(http.StatusBadRequest, "from: missing in a service's first roll-out")
	case jobEnded(was):
		return refusal(http.StatusNotFound, "from: no such service is running")
	case was.Shape != job.Service:
		return refusal(http.StatusUnprocessableEntity, "from: the job is not a service")
	case ro.serviceOf[current] != nil && ro.serviceOf[current] != s:
		return refusal(http.StatusConflict, "from: the job belongs to the service "+ro.serviceOf[current].rec.Service)
	case !ro.takeover.settled():
		return Later("machines are being met after a change of leader")
	}
	return nil
}

// nextRefusal refuses a next version that admission would refuse, or whose job
// exists already.
func (ro *rollouts) nextRefusal(next *job.Spec) *rpc.Reply {
	if p := ro.c.admissionRefusal(next, ro.nameIndex.list(), ro.teamQuotas.find(next.Team)); p != nil {
		return p
	}
	if ro.completions.known(next.ID) != nil || ro.admissionGroups.has(next.ID) {
		return reply(http.StatusConflict, wire.Error{Error: "to.uid: the job exists already"})
	}
	return nil
}

// zonesOf is where each replica runs.
func (ro *rollouts) zonesOf(j *job.Job) []string {
	out := make([]string, j.Tasks)
	for s := range ro.fleet.On(j) {
		if s.On() && s.Host.Zone >= 0 {
			out[s.Task] = ro.nameIndex.zoneNames()[s.Host.Zone]
		}
	}
	return out
}

// create makes a roll-out durable, with its job, before its operator is told.
func (ro *rollouts) create(rec *rollout.Record, next *job.Record, version uint64, back func(*rpc.Reply)) {
	key, id := rolloutPrefix+rec.Service, next.Spec.ID
	put, err1 := state.Put(key, rec)
	job1, err2 := state.Put(job.ActivePrefix+id, next)
	if err := errors.Join(err1, err2); err != nil {
		back(reply(http.StatusBadRequest, wire.Error{Error: err.Error()}))
		return
	}
	txn := state.Txn{Writes: []state.Write{put, job1}, If: []state.Cond{ro.fence, {Key: key, Version: version},
		{Key: job.ActivePrefix + id}, {Key: job.FinalPrefix + id}}}
	if s := ro.services[rec.Service]; s != nil {
		s.storing = true
	}
	done := func(v uint64, p *rpc.Reply) {
		ro.ahead(func() {
			if s := ro.services[rec.Service]; s != nil {
				s.storing = false
			}
			if v == 0 {
				back(p)
				return
			}
			if ro.jobTable.sound(id) == nil {
				ro.jobTable.add(next, v, time.Now())
			}
			s := &service{rec: rec, version: v}
			ro.addService(s)
			ro.log.Info("roll-out is taken in", "service", rec.Service, "from", rec.Current, "to", rec.Next, "batches", len(rec.Batches))
			back(reply(http.StatusCreated, ro.status(s)))
		})
	}
	go func() {
		for unclear := false; ro.ctx.Err() == nil; {
			v, err := ro.c.State.Commit(ro.ctx, txn)
			switch {
			case err == nil:
				done(v, nil)
				return
			case errors.Is(err, state.ErrConflict):
				e, gerr := ro.c.State.Get(ro.ctx, key)
				var stored rollout.Record
				switch {
				case gerr == nil && wire.Unmarshal(e.Value, &stored) == nil && stored.Next == rec.Next && stored.StartedAt == rec.StartedAt:
					done(e.Version, nil)
					return
				case gerr == nil || errors.Is(gerr, state.ErrNotFound):
					done(0, reply(http.StatusConflict, wire.Error{Error: "to.uid: the job exists already, or the service has changed"}))
					return
				}
			case errors.Is(err, state.ErrRefused) && !unclear:
				done(0, Later("state service refuses writes"))
				return
			default:
				unclear = true
				back(Later("roll-out is not settled yet"))
			}
			ro.pause(200 * time.Millisecond)
		}
	}()
}
