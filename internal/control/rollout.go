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

// rollouts executes the roll-outs of services. It compares the record of a roll-out with the
// observed instances, stores the next step in a transaction fenced by the term, and only then
// updates the quotas that the planner and the commands to workers follow. The next leader can
// therefore repeat every step.
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
	serviceOf map[string]*service // by job ID of the handle and of the versions
	lastStep  time.Time
	checker   checker
}

// service is the stored record of a service together with the changes that are not stored
// yet.
type service struct {
	rec     *rollout.Record
	gate    *rollout.Gate // parsed from the specification; nil if that failed
	version uint64
	// idle is set once the roll-out has ended and its final state is in effect.
	idle    bool
	storing bool
	// newFailures are the failures of new instances that are not stored yet.
	newFailures []instanceFailure
	// requests are the operators' requests that the next step applies.
	requests []operatorRequest
}

// operatorRequest applies an operator's request to a record, and reports whether it has
// changed the record. The returned function sends the reply to the operator; it is called
// once a changed record is stored.
type operatorRequest func(*rollout.Record) (changed bool, sendReply func())

// instanceFailure is the failure of a replica's instance of the new version on a machine.
type instanceFailure struct {
	replica int32
	machine string
}

func newRollouts(co *core) *rollouts {
	ro := &rollouts{core: co, checker: checker{availableChecks: co.controller.Tuning.Rollouts.MaxChecks}}
	ro.reset()
	return ro
}

// reset discards all services.
func (ro *rollouts) reset() {
	ro.services = map[string]*service{}
	ro.serviceOf = map[string]*service{}
}

func (ro *rollouts) enabled() bool { return ro.controller.Tuning.Rollouts.Enabled }

// readRecords reads the stored records. It returns none if roll-outs are disabled.
func (ro *rollouts) readRecords() ([]state.Entry, error) {
	if !ro.enabled() {
		return nil, nil
	}
	entries, _, err := ro.controller.State.List(ro.ctx, rolloutPrefix)
	return entries, err
}

// load adds the services from the records of earlier leaders.
func (ro *rollouts) load(entries []state.Entry) error {
	ro.reset()
	for _, entry := range entries {
		rec := &rollout.Record{}
		if err := wire.Unmarshal(entry.Value, rec); err != nil {
			return fmt.Errorf("decode roll-out %s: %w", entry.Key, err)
		}
		ro.addService(&service{rec: rec, version: entry.Version})
	}
	return nil
}

// addService adds the service of a stored record, or replaces the existing one.
func (ro *rollouts) addService(svc *service) {
	gate, err := rollout.NewGate(svc.rec.Spec.Pass, svc.rec.Spec.Fail)
	if err != nil {
		ro.log.Error("cannot parse roll-out gate", "service", svc.rec.Service, "error", err)
	}
	svc.gate = gate
	ro.services[svc.rec.Service] = svc
	for _, id := range svc.jobIDs() {
		if id != "" {
			ro.serviceOf[id] = svc
		}
	}
	ro.linkVersions(svc)
}

// jobIDs returns the job IDs of a service: its handle and its two versions. IDs may be equal
// or empty.
func (s *service) jobIDs() [3]string {
	return [...]string{s.rec.Handle, s.rec.Current, s.rec.Next}
}

// linkVersions links the jobs of a service's versions with each other. A job without a
// replica quota gets one that allows no replica until the next step sets it.
func (ro *rollouts) linkVersions(svc *service) {
	var jobs []*job.Job
	for _, id := range svc.jobIDs() {
		if j := ro.jobTable.identified(id); j != nil && !slices.Contains(jobs, j) {
			jobs = append(jobs, j)
		}
	}
	for _, j := range jobs {
		j.IsVersionGroup = j.ID == svc.rec.Handle
		j.Versions = slices.DeleteFunc(slices.Clone(jobs), func(o *job.Job) bool { return o == j })
		if j.Replicas == nil {
			j.Replicas = &job.ReplicaPlan{Allowed: make([]bool, j.Tasks)}
		}
	}
}

// recordFailure records the failure of an instance if its version is being rolled out.
func (ro *rollouts) recordFailure(j *job.Job, replica int32, host string) {
	if svc := ro.serviceOf[j.ID]; svc != nil && j.ID == svc.rec.Next && !svc.rec.State.Ended() {
		svc.newFailures = append(svc.newFailures, instanceFailure{replica, host})
	}
}

// rolloutInterval is the interval at which the roll-outs are evaluated.
const rolloutInterval = 250 * time.Millisecond

// step evaluates each service.
func (ro *rollouts) step(now time.Time) {
	if len(ro.services) == 0 || now.Sub(ro.lastStep) < rolloutInterval {
		return
	}
	ro.lastStep = now
	for _, svc := range ro.services {
		ro.endCancelledVersions(svc)
	}
	if !ro.takeover.reconciled() {
		return // the running instances are not all known yet, so none is started or stopped
	}
	unavailable := ro.unavailableZones(now)
	for _, svc := range ro.services {
		ro.advanceService(svc, unavailable, now)
	}
}

// advanceService stores the next step of a service's roll-out, or applies the stored one.
func (ro *rollouts) advanceService(svc *service, unavailable map[string]bool, now time.Time) {
	if svc.storing || (svc.idle && len(svc.requests) == 0 && !jobEnded(ro.jobTable.identified(svc.rec.Handle))) {
		return
	}
	ro.linkVersions(svc)
	view := ro.observe(svc, unavailable, now)
	next := *svc.rec
	changed := svc.addFailures(&next)
	requested, replies := svc.applyRequests(&next)
	changed = requested || changed
	if next.State != rollout.Failed && ro.jobTable.identified(next.Next) == nil && !next.State.Ended() {
		changed = rollout.RollBack(&next, now) || changed // the job of the next version was cancelled
	}
	changed = rollout.Step(&next, view, svc.gate) || changed
	if changed {
		ro.store(svc, &next, replies)
		return
	}
	for _, sendReply := range replies {
		sendReply()
	}
	ro.applyRecord(svc, view)
}

// addFailures moves the new failures into a record, and reports whether that has changed the
// record.
func (s *service) addFailures(rec *rollout.Record) (changed bool) {
	for _, f := range s.newFailures {
		changed = rec.AddFailure(f.replica, f.machine) || changed
	}
	s.newFailures = nil
	return changed
}

// applyRequests applies the operators' requests to a record, and reports whether they have
// changed the record. The returned functions send the replies; they are called once a changed
// record is stored.
func (s *service) applyRequests(rec *rollout.Record) (changed bool, replies []func()) {
	for _, apply := range s.requests {
		recChanged, sendReply := apply(rec)
		changed = changed || recChanged
		replies = append(replies, sendReply)
	}
	s.requests = nil
	return changed, replies
}

// store stores a service's changed record in the background. The record takes effect only
// once it is stored.
func (ro *rollouts) store(svc *service, rec *rollout.Record, replies []func()) {
	key := rolloutPrefix + rec.Service
	put, err := state.Put(key, rec)
	if err != nil {
		ro.log.Error("cannot encode roll-out record", "service", rec.Service, "error", err)
		return
	}
	svc.storing = true
	before := svc.version
	txn := state.Txn{
		If:     []state.Condition{ro.fence, {Key: key, Version: before}},
		Writes: []state.Write{put},
	}
	go func() {
		if version, ok := ro.commitRecord(txn, key, before); ok {
			ro.enqueueForUser(func() { ro.recordStored(svc, rec, version, replies) })
		}
	}()
}

// commitRecord retries the transaction of a changed record until it succeeds, and returns the
// new version of the record. Ok is false if the term has ended.
func (ro *rollouts) commitRecord(txn state.Txn, key string, before uint64) (version uint64, ok bool) {
	for ro.ctx.Err() == nil {
		version, err := ro.controller.State.Commit(ro.ctx, txn)
		if err == nil {
			return version, true
		}
		if errors.Is(err, state.ErrConflict) {
			// Only the leader writes the record. If its version has changed, an earlier attempt
			// of this transaction with an unknown outcome was committed.
			if entry, err := ro.controller.State.Get(ro.ctx, key); err == nil && entry.Version != before {
				return entry.Version, true
			}
		}
		ro.sleep(commitRetryPause)
	}
	return 0, false
}

// recordStored replaces a service's record with the stored one, and replies to the operators
// whose requests it includes.
func (ro *rollouts) recordStored(svc *service, rec *rollout.Record, version uint64, replies []func()) {
	if rec.State != svc.rec.State || rec.BatchIndex != svc.rec.BatchIndex {
		ro.log.Info("roll-out progress", "service", rec.Service, "state", rec.State, "batch", rec.BatchIndex+1, "batches", len(rec.Batches), "version", rec.Next, "reason", rec.Reason)
	}
	svc.rec = rec
	svc.version = version
	svc.storing = false
	ro.requestPlan()
	for _, sendReply := range replies {
		sendReply()
	}
}
