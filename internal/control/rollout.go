package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// rolloutPrefix is the key prefix of the records of services and their roll-outs.
const rolloutPrefix = "r/"

// rollouts carries out what the records of roll-outs require. It compares a record with what
// is observed, stores the next step under the term, and only then lets the planner and the
// commands follow it, so that a successor can repeat every step.
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
	serviceOf map[string]*service // by job id of the versions
	lastStep  time.Time
	checker   checker
}

// service is one service's record as stored, and what has happened since.
type service struct {
	rec     *rollout.Record
	gate    *rollout.Gate // of its specification; nil: it cannot be read
	version uint64
	// idle: the roll-out is over and what it requires is done.
	idle    bool
	storing bool
	// newFailures are failures of new instances that are not stored yet.
	newFailures []instanceFailure
	// requests are operators' requests for the next step.
	requests []operatorRequest
}

// operatorRequest applies an operator's request to a record, and reports whether it has
// changed. Respond answers the operator; it is called once the record is stored.
type operatorRequest func(*rollout.Record) (changed bool, respond func())

// instanceFailure is a failure of a replica's new instance on a machine.
type instanceFailure struct {
	replica int32
	machine string
}

func newRollouts(co *core) *rollouts {
	ro := &rollouts{core: co, checker: checker{availableChecks: co.controller.Tuning.Rollouts.MaxChecks}}
	ro.reset()
	return ro
}

// reset forgets all services.
func (ro *rollouts) reset() {
	ro.services = map[string]*service{}
	ro.serviceOf = map[string]*service{}
}

// enabled reports whether roll-outs are switched on.
func (ro *rollouts) enabled() bool { return ro.controller.Tuning.Rollouts.Enabled }

// readRecords reads the stored records; none while roll-outs are switched off.
func (ro *rollouts) readRecords() ([]state.Entry, error) {
	if !ro.enabled() {
		return nil, nil
	}
	entries, _, err := ro.controller.State.List(ro.ctx, rolloutPrefix)
	return entries, err
}

// load adds the services in the records of earlier leaders.
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

// addService adds the service of a stored record, or replaces it.
func (ro *rollouts) addService(s *service) {
	gate, err := rollout.NewGate(s.rec.Spec.Pass, s.rec.Spec.Fail)
	if err != nil {
		ro.log.Error("roll-out gate cannot be read", "service", s.rec.Service, "error", err)
	}
	s.gate = gate
	ro.services[s.rec.Service] = s
	for _, id := range s.jobIDs() {
		if id != "" {
			ro.serviceOf[id] = s
		}
	}
	ro.linkVersions(s)
}

// jobIDs are the ids of a service's jobs: its handle and its versions. They may be equal or
// empty.
func (s *service) jobIDs() [3]string {
	return [...]string{s.rec.Handle, s.rec.Current, s.rec.Next}
}

// linkVersions links the jobs of a service's versions with each other. A job without a quota
// gets one that allows no replica, until the next step says which may be placed.
func (ro *rollouts) linkVersions(s *service) {
	var jobs []*job.Job
	for _, id := range s.jobIDs() {
		if j := ro.jobTable.identified(id); j != nil && !slices.Contains(jobs, j) {
			jobs = append(jobs, j)
		}
	}
	for _, j := range jobs {
		j.IsVersionGroup = j.ID == s.rec.Handle
		j.Versions = slices.DeleteFunc(slices.Clone(jobs), func(o *job.Job) bool { return o == j })
		if j.Replicas == nil {
			j.Replicas = &job.ReplicaPlan{Allowed: make([]bool, j.Tasks)}
		}
	}
}

// recordFailure notes that an instance of a version that is being rolled out has failed.
func (ro *rollouts) recordFailure(j *job.Job, replica int32, host string) {
	if s := ro.serviceOf[j.ID]; s != nil && j.ID == s.rec.Next && !s.rec.State.Over() {
		s.newFailures = append(s.newFailures, instanceFailure{replica, host})
	}
}

// rolloutInterval is how often the roll-outs are evaluated.
const rolloutInterval = 250 * time.Millisecond

// step evaluates each service once.
func (ro *rollouts) step(now time.Time) {
	if len(ro.services) == 0 || now.Sub(ro.lastStep) < rolloutInterval {
		return
	}
	ro.lastStep = now
	for _, s := range ro.services {
		ro.endCancelledVersions(s)
	}
	if !ro.takeover.reconciled() {
		return // what runs where is not known yet: nothing new starts, nothing is stopped
	}
	unavailable := ro.unavailableZones(now)
	for _, s := range ro.services {
		ro.advanceService(s, unavailable, now)
	}
}

// advanceService stores a service's next step, or carries out the one that is stored.
func (ro *rollouts) advanceService(s *service, unavailable map[string]bool, now time.Time) {
	if s.storing || (s.idle && len(s.requests) == 0 && !jobEnded(ro.jobTable.identified(s.rec.Handle))) {
		return
	}
	ro.linkVersions(s)
	view := ro.observe(s, unavailable, now)
	next := *s.rec
	changed := s.addFailures(&next)
	requested, responses := s.applyRequests(&next)
	changed = requested || changed
	if next.State != rollout.Failed && ro.jobTable.identified(next.Next) == nil && !next.State.Over() {
		changed = rollout.RollBack(&next, now) || changed // the next version's job was cancelled
	}
	changed = rollout.Step(&next, view, s.gate) || changed
	if changed {
		ro.store(s, &next, responses)
		return
	}
	for _, respond := range responses {
		respond()
	}
	ro.applyRecord(s, view)
}

// addFailures moves the new failures into a record, and reports whether it has changed.
func (s *service) addFailures(rec *rollout.Record) (changed bool) {
	for _, f := range s.newFailures {
		changed = rec.AddFailure(f.replica, f.machine) || changed
	}
	s.newFailures = nil
	return changed
}

// applyRequests applies the operators' requests to a record, and reports whether it has
// changed. The responses are called once the record is stored.
func (s *service) applyRequests(rec *rollout.Record) (changed bool, responses []func()) {
	for _, apply := range s.requests {
		did, respond := apply(rec)
		changed = changed || did
		responses = append(responses, respond)
	}
	s.requests = nil
	return changed, responses
}

// store stores a service's changed record in the background. What it requires is done once it
// is durable.
func (ro *rollouts) store(s *service, rec *rollout.Record, responses []func()) {
	key := rolloutPrefix + rec.Service
	put, err := state.Put(key, rec)
	if err != nil {
		ro.log.Error("roll-out cannot be encoded", "service", rec.Service, "error", err)
		return
	}
	s.storing = true
	before := s.version
	txn := state.Txn{
		If:     []state.Condition{ro.fence, {Key: key, Version: before}},
		Writes: []state.Write{put},
	}
	go func() {
		if version, ok := ro.commitRecord(txn, key, before); ok {
			ro.enqueueForUser(func() { ro.recordStored(s, rec, version, responses) })
		}
	}()
}

// commitRecord commits the transaction of a changed record until it succeeds, and returns the
// record's version; not ok: the term has ended.
func (ro *rollouts) commitRecord(txn state.Txn, key string, before uint64) (version uint64, ok bool) {
	for ro.ctx.Err() == nil {
		version, err := ro.controller.State.Commit(ro.ctx, txn)
		if err == nil {
			return version, true
		}
		if errors.Is(err, state.ErrConflict) {
			// Only the leader writes the record: a version that has moved on is the work of an
			// earlier attempt of this very transaction whose outcome was not clear.
			if entry, err := ro.controller.State.Get(ro.ctx, key); err == nil && entry.Version != before {
				return entry.Version, true
			}
		}
		ro.sleep(commitRetryPause)
	}
	return 0, false
}

// recordStored replaces a service's record by the one that is recordStored, and answers the operators
// whose requests it contains.
func (ro *rollouts) recordStored(s *service, rec *rollout.Record, version uint64, responses []func()) {
	if rec.State != s.rec.State || rec.BatchIndex != s.rec.BatchIndex {
		ro.log.Info("roll-out progress", "service", rec.Service, "state", rec.State, "batch", rec.BatchIndex+1, "batches", len(rec.Batches), "version", rec.Next, "reason", rec.Reason)
	}
	s.rec = rec
	s.version = version
	s.storing = false
	ro.requestPlan()
	for _, respond := range responses {
		respond()
	}
}
