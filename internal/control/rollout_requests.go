package control

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// rolloutList is the reply to a request that lists all roll-outs.
type rolloutList struct {
	Rollouts []rollout.Status `codec:"rollouts"`
}

// handleOperation handles an operator's request for roll-outs and passes the reply to
// respond.
func (ro *rollouts) handleOperation(op *rpc.Operation, respond func(*rpc.Reply)) {
	if !ro.enabled() {
		respond(errorReply(http.StatusNotFound, "roll-outs are disabled"))
		return
	}
	switch op.Verb {
	case rpc.VerbStart:
		ro.start(op.Spec, respond)
		return
	case rpc.VerbList:
		respond(reply(http.StatusOK, ro.list()))
		return
	}
	svc := ro.services[op.Name]
	if svc == nil {
		respond(errorReply(http.StatusNotFound, "no roll-out of this service"))
		return
	}
	switch op.Verb {
	case rpc.VerbPause:
		ro.queueRequest(svc, rollout.Pause, respond)
	case rpc.VerbResume:
		ro.queueRequest(svc, rollout.Resume, respond)
	case rpc.VerbRollback:
		ro.queueRequest(svc, rollout.RollBack, respond)
	default:
		respond(reply(http.StatusOK, ro.status(svc)))
	}
}

// list returns the statuses of all roll-outs, sorted by service.
func (ro *rollouts) list() rolloutList {
	list := rolloutList{Rollouts: []rollout.Status{}}
	for _, name := range slices.Sorted(maps.Keys(ro.services)) {
		list.Rollouts = append(list.Rollouts, ro.status(ro.services[name]))
	}
	return list
}

// queueRequest queues a request for the next step of a service's roll-out. Change reports
// whether it has changed the record.
func (ro *rollouts) queueRequest(svc *service, change func(*rollout.Record, time.Time) bool, respond func(*rpc.Reply)) {
	svc.requests = append(svc.requests, func(rec *rollout.Record) (changed bool, sendReply func()) {
		if !change(rec, time.Now()) {
			return false, func() {
				respond(errorReply(http.StatusConflict, fmt.Sprintf("the roll-out is %s", rec.State)))
			}
		}
		return true, func() { respond(reply(http.StatusOK, ro.status(svc))) }
	})
}

// status returns the status of a service's roll-out.
func (ro *rollouts) status(svc *service) rollout.Status {
	now := time.Now()
	old, next := ro.versions(svc)
	return rollout.NewStatus(svc.rec, &rollout.View{
		Now: now,
		Old: ro.instances(old, now),
		New: ro.instances(next, now),
	})
}

// start checks a request for a new roll-out, and stores it together with the job of its next
// version.
func (ro *rollouts) start(body []byte, respond func(*rpc.Reply)) {
	spec, err := rollout.Parse(body)
	if err != nil {
		respond(errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	svc := ro.services[spec.Service]
	base, ok := ro.startBase(svc, spec, respond)
	if !ok {
		return
	}
	current := ro.jobTable.identified(base.current)
	if refused := ro.currentRefusal(svc, base.current, current); refused != nil {
		respond(refused)
		return
	}
	next := spec.NextJob(&current.Spec)
	if refused := ro.nextRefusal(&next); refused != nil {
		respond(refused)
		return
	}
	now := time.Now()
	rec := rollout.New(spec, base.handle, base.current, ro.zonesOf(current), now)
	ro.create(rec, &job.Record{Spec: next, SubmittedMS: now.UnixMilli()}, base.version, respond)
}

// rolloutBase is the state of a service from which a new roll-out starts.
type rolloutBase struct {
	handle, current string // job IDs
	version         uint64 // of the service's record; 0 if there is none
}

// startBase returns the base of a new roll-out. The service is nil if this is its first
// roll-out. If ok is false, no roll-out can start now: startBase has called respond, or
// respond will be called once the rollback of the previous roll-out is stored.
func (ro *rollouts) startBase(svc *service, spec *rollout.Spec, respond func(*rpc.Reply)) (base rolloutBase, ok bool) {
	if svc == nil {
		if len(ro.services) >= ro.controller.Tuning.Rollouts.MaxServices {
			respond(errorReply(http.StatusTooManyRequests, "too many services have roll-outs"))
			return rolloutBase{}, false
		}
		return rolloutBase{handle: spec.From, current: spec.From}, true
	}
	over := svc.rec.State.Ended()
	switch {
	case spec.From != "" && spec.From != svc.rec.Handle && spec.From != svc.rec.Current:
		respond(errorReply(http.StatusConflict, "from: the service runs "+svc.rec.Current))
	case svc.storing:
		respond(Unavailable("the service's record is being stored"))
	case svc.rec.Next == spec.To.ID && !over:
		respond(reply(http.StatusOK, ro.status(svc))) // a repeated request
	case !over && !spec.Supersede:
		respond(errorReply(http.StatusConflict, fmt.Sprintf("a roll-out of the service is %s; supersede it, or undo it first", svc.rec.State)))
	case !over:
		// The previous roll-out is rolled back first. The client repeats its request.
		svc.requests = append(svc.requests, func(rec *rollout.Record) (changed bool, sendReply func()) {
			return rollout.RollBack(rec, time.Now()), func() { respond(Unavailable("the previous roll-out is rolled back first")) }
		})
	default:
		return rolloutBase{handle: svc.rec.Handle, current: svc.rec.Current, version: svc.version}, true
	}
	return rolloutBase{}, false
}

// currentRefusal returns the reply that refuses a roll-out because of its current version, or
// nil. The version must be a running service that belongs to no other service's roll-out, and
// the machines must be reconciled after a failover.
func (ro *rollouts) currentRefusal(svc *service, id string, current *job.Job) *rpc.Reply {
	switch {
	case id == "":
		return errorReply(http.StatusBadRequest, "from: required in the first roll-out of a service")
	case jobEnded(current):
		return errorReply(http.StatusNotFound, "from: no running service has this job id")
	case current.Shape != job.Service:
		return errorReply(http.StatusUnprocessableEntity, "from: the job is not a service")
	case ro.serviceOf[id] != nil && ro.serviceOf[id] != svc:
		return errorReply(http.StatusConflict, "from: the job belongs to the service "+ro.serviceOf[id].rec.Service)
	case !ro.takeover.reconciled():
		return Unavailable("the new leader has not reconciled all machines yet")
	}
	return nil
}

// nextRefusal returns the reply that refuses a roll-out because of its next version, or nil.
// Admission must accept the version's job, and no job with its ID may exist.
func (ro *rollouts) nextRefusal(next *job.Spec) *rpc.Reply {
	if refused := ro.controller.admissionRefusal(next, ro.nameIndex.machineTypes(), ro.teamQuotas.teamQuota(next.Team)); refused != nil {
		return refused
	}
	if ro.completions.answerFromMemory(next.ID) != nil || ro.admissionGroups.has(next.ID) {
		return errorReply(http.StatusConflict, "to.uid: a job with this id already exists")
	}
	return nil
}

// zonesOf returns the zone in which each replica of a job is placed. The zone is empty for a
// replica without a placement.
func (ro *rollouts) zonesOf(j *job.Job) []string {
	zones := make([]string, j.Tasks)
	for slot := range ro.fleet.SlotsOf(j) {
		if slot.Active() && slot.Machine.Zone >= 0 {
			zones[slot.Task] = ro.nameIndex.zoneNames()[slot.Machine.Zone]
		}
	}
	return zones
}

// create stores a roll-out together with the job of its next version, and then replies to the
// operator. Version is the version of the service's record, or 0 if there is none.
func (ro *rollouts) create(rec *rollout.Record, next *job.Record, version uint64, respond func(*rpc.Reply)) {
	key, id := rolloutPrefix+rec.Service, next.Spec.ID
	putRecord, recordErr := state.Put(key, rec)
	putJob, jobErr := state.Put(job.ActivePrefix+id, next)
	if err := errors.Join(recordErr, jobErr); err != nil {
		respond(errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	txn := state.Txn{
		If: []state.Condition{
			ro.fence,
			{Key: key, Version: version},
			{Key: job.ActivePrefix + id},
			{Key: job.FinalPrefix + id},
		},
		Writes: []state.Write{putRecord, putJob},
	}
	if svc := ro.services[rec.Service]; svc != nil {
		svc.storing = true
	}
	go func() {
		stored, refused := ro.commitCreation(txn, key, rec, respond)
		if stored == 0 && refused == nil {
			return // the term has ended
		}
		ro.enqueueForUser(func() {
			if svc := ro.services[rec.Service]; svc != nil {
				svc.storing = false
			}
			if refused != nil {
				respond(refused)
				return
			}
			ro.addCreated(rec, next, stored, respond)
		})
	}()
}

// commitCreation retries the transaction of a new roll-out until its outcome is known. It
// returns the version of the stored record or a refusal, and neither if the term has ended.
// While the outcome is unknown, it replies that the client must retry the request.
func (ro *rollouts) commitCreation(txn state.Txn, key string, rec *rollout.Record, respond func(*rpc.Reply)) (version uint64, refused *rpc.Reply) {
	for outcomeUnknown := false; ro.ctx.Err() == nil; {
		version, err := ro.controller.State.Commit(ro.ctx, txn)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, state.ErrConflict):
			stored, answered := ro.findStoredCreation(key, rec)
			switch {
			case stored != 0:
				return stored, nil
			case answered:
				return 0, errorReply(http.StatusConflict, "to.uid: a job with this id already exists, or the service has changed")
			}
		case errors.Is(err, state.ErrRefused) && !outcomeUnknown:
			return 0, Unavailable("the key-value store refuses writes")
		default:
			outcomeUnknown = true
			respond(Unavailable("it is not known yet whether the roll-out was stored"))
		}
		ro.sleep(commitRetryPause)
	}
	return 0, nil
}

// findStoredCreation is called after a conflict. It returns the version of the stored record
// if an earlier attempt of the same transaction has stored it, and 0 otherwise. Answered
// reports whether the key-value store has answered.
func (ro *rollouts) findStoredCreation(key string, rec *rollout.Record) (version uint64, answered bool) {
	entry, err := ro.controller.State.Get(ro.ctx, key)
	if err != nil {
		return 0, errors.Is(err, state.ErrNotFound)
	}
	var stored rollout.Record
	if wire.Unmarshal(entry.Value, &stored) == nil && stored.Next == rec.Next && stored.StartedAt == rec.StartedAt {
		return entry.Version, true
	}
	return 0, true
}

// addCreated adds a stored roll-out and the job of its next version, and replies to the
// operator.
func (ro *rollouts) addCreated(rec *rollout.Record, next *job.Record, version uint64, respond func(*rpc.Reply)) {
	if ro.jobTable.identified(next.Spec.ID) == nil {
		ro.jobTable.add(next, version, time.Now())
	}
	svc := &service{rec: rec, version: version}
	ro.addService(svc)
	ro.log.Info("roll-out accepted", "service", rec.Service, "from", rec.Current, "to", rec.Next, "batches", len(rec.Batches))
	respond(reply(http.StatusCreated, ro.status(svc)))
}
