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

// rolloutList is the reply to a request for all roll-outs.
type rolloutList struct {
	Rollouts []rollout.Status `codec:"rollouts"`
}

// handleOperation answers an operator's request about roll-outs.
func (ro *rollouts) handleOperation(op *rpc.Operation, back func(*rpc.Reply)) {
	if !ro.enabled() {
		back(errorReply(http.StatusNotFound, "roll-outs are switched off here"))
		return
	}
	switch op.Verb {
	case rpc.VerbStart:
		ro.start(op.Spec, back)
		return
	case rpc.VerbList:
		back(reply(http.StatusOK, ro.list()))
		return
	}
	s := ro.services[op.Name]
	if s == nil {
		back(errorReply(http.StatusNotFound, "no roll-out of that service"))
		return
	}
	switch op.Verb {
	case rpc.VerbPause:
		ro.queueRequest(s, rollout.Pause, back)
	case rpc.VerbResume:
		ro.queueRequest(s, rollout.Resume, back)
	case rpc.VerbRollback:
		ro.queueRequest(s, rollout.RollBack, back)
	default:
		back(reply(http.StatusOK, ro.status(s)))
	}
}

// list is the status of all roll-outs, by service.
func (ro *rollouts) list() rolloutList {
	list := rolloutList{Rollouts: []rollout.Status{}}
	for _, name := range slices.Sorted(maps.Keys(ro.services)) {
		list.Rollouts = append(list.Rollouts, ro.status(ro.services[name]))
	}
	return list
}

// queueRequest queues a request for the service's next step. Change reports whether it has
// changed the record.
func (ro *rollouts) queueRequest(s *service, change func(*rollout.Record, time.Time) bool, back func(*rpc.Reply)) {
	s.requests = append(s.requests, func(rec *rollout.Record) (changed bool, respond func()) {
		if !change(rec, time.Now()) {
			return false, func() {
				back(errorReply(http.StatusConflict, fmt.Sprintf("the roll-out is %s", rec.State)))
			}
		}
		return true, func() { back(reply(http.StatusOK, ro.status(s))) }
	})
}

// status is what an operator is shown of a service's roll-out.
func (ro *rollouts) status(s *service) rollout.Status {
	now := time.Now()
	old, next := ro.versions(s)
	return rollout.NewStatus(s.rec, &rollout.View{
		Now: now,
		Old: ro.instances(old, now),
		New: ro.instances(next, now),
	})
}

// start stores a new roll-out together with the job of its next version.
func (ro *rollouts) start(body []byte, back func(*rpc.Reply)) {
	spec, err := rollout.Parse(body)
	if err != nil {
		back(errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	s := ro.services[spec.Service]
	base, ok := ro.startBase(s, spec, back)
	if !ok {
		return
	}
	current := ro.jobTable.identified(base.current)
	if refused := ro.currentRefusal(s, base.current, current); refused != nil {
		back(refused)
		return
	}
	next := spec.NextJob(&current.Spec)
	if refused := ro.nextRefusal(&next); refused != nil {
		back(refused)
		return
	}
	now := time.Now()
	rec := rollout.New(spec, base.handle, base.current, ro.zonesOf(current), now)
	ro.create(rec, &job.Record{Spec: next, SubmittedMS: now.UnixMilli()}, base.version, back)
}

// rolloutBase is what a new roll-out of a service starts from.
type rolloutBase struct {
	handle, current string // jobs
	version         uint64 // of the service's record; 0: there is none
}

// startBase is what a new roll-out of service s (nil: its first one) starts from. If ok is
// false nothing is started now, and back has been called or will be, once the roll-out
// before is rolled back.
func (ro *rollouts) startBase(s *service, spec *rollout.Spec, back func(*rpc.Reply)) (base rolloutBase, ok bool) {
	if s == nil {
		if len(ro.services) >= ro.controller.Tuning.Rollouts.MaxServices {
			back(errorReply(http.StatusTooManyRequests, "too many services have roll-outs"))
			return rolloutBase{}, false
		}
		return rolloutBase{handle: spec.From, current: spec.From}, true
	}
	over := s.rec.State.Over()
	switch {
	case spec.From != "" && spec.From != s.rec.Handle && spec.From != s.rec.Current:
		back(errorReply(http.StatusConflict, "from: the service runs "+s.rec.Current))
	case s.storing:
		back(Unavailable("the service's record is being stored"))
	case s.rec.Next == spec.To.ID && !over:
		back(reply(http.StatusOK, ro.status(s))) // the same request once more
	case !over && !spec.Supersede:
		back(errorReply(http.StatusConflict, fmt.Sprintf("a roll-out of the service is %s; supersede it, or undo it first", s.rec.State)))
	case !over:
		// The roll-out before is rolled back first; the client repeats its request.
		s.requests = append(s.requests, func(rec *rollout.Record) (changed bool, respond func()) {
			return rollout.RollBack(rec, time.Now()), func() { back(Unavailable("the roll-out before is rolled back first")) }
		})
	default:
		return rolloutBase{handle: s.rec.Handle, current: s.rec.Current, version: s.version}, true
	}
	return rolloutBase{}, false
}

// currentRefusal refuses a roll-out whose current version is not a running service of its
// own, or that is requested while machines are reconciled after a failover.
func (ro *rollouts) currentRefusal(s *service, id string, current *job.Job) *rpc.Reply {
	switch {
	case id == "":
		return errorReply(http.StatusBadRequest, "from: missing in a service's first roll-out")
	case jobEnded(current):
		return errorReply(http.StatusNotFound, "from: no such service is running")
	case current.Shape != job.Service:
		return errorReply(http.StatusUnprocessableEntity, "from: the job is not a service")
	case ro.serviceOf[id] != nil && ro.serviceOf[id] != s:
		return errorReply(http.StatusConflict, "from: the job belongs to the service "+ro.serviceOf[id].rec.Service)
	case !ro.takeover.reconciled():
		return Unavailable("machines are being met after a change of leader")
	}
	return nil
}

// nextRefusal refuses a next version that admission would refuse, or whose job exists
// already.
func (ro *rollouts) nextRefusal(next *job.Spec) *rpc.Reply {
	if refused := ro.controller.admissionRefusal(next, ro.nameIndex.machineTypes(), ro.teamQuotas.find(next.Team)); refused != nil {
		return refused
	}
	if ro.completions.answerFromMemory(next.ID) != nil || ro.admissionGroups.has(next.ID) {
		return errorReply(http.StatusConflict, "to.uid: the job exists already")
	}
	return nil
}

// zonesOf is where each replica of a job runs; empty: nowhere.
func (ro *rollouts) zonesOf(j *job.Job) []string {
	zones := make([]string, j.Tasks)
	for s := range ro.fleet.SlotsOf(j) {
		if s.Active() && s.Machine.Zone >= 0 {
			zones[s.Task] = ro.nameIndex.zoneNames()[s.Machine.Zone]
		}
	}
	return zones
}

// create stores a roll-out with the job of its next version, and then answers its operator.
// Version is that of the service's record; 0: there is none.
func (ro *rollouts) create(rec *rollout.Record, next *job.Record, version uint64, back func(*rpc.Reply)) {
	key, id := rolloutPrefix+rec.Service, next.Spec.ID
	putRecord, recordErr := state.Put(key, rec)
	putJob, jobErr := state.Put(job.ActivePrefix+id, next)
	if err := errors.Join(recordErr, jobErr); err != nil {
		back(errorReply(http.StatusBadRequest, err.Error()))
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
	if s := ro.services[rec.Service]; s != nil {
		s.storing = true
	}
	go func() {
		stored, refused := ro.commitCreation(txn, key, rec, back)
		if stored == 0 && refused == nil {
			return // the term has ended
		}
		ro.enqueueForUser(func() {
			if s := ro.services[rec.Service]; s != nil {
				s.storing = false
			}
			if refused != nil {
				back(refused)
				return
			}
			ro.addCreated(rec, next, stored, back)
		})
	}()
}

// commitCreation commits the transaction of a new roll-out until its outcome is clear, and
// returns the version of the stored record, or a refusal; neither: the term has ended. While
// the outcome is not clear it answers that the client has to come back.
func (ro *rollouts) commitCreation(txn state.Txn, key string, rec *rollout.Record, back func(*rpc.Reply)) (version uint64, refused *rpc.Reply) {
	for unclear := false; ro.ctx.Err() == nil; {
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
				return 0, errorReply(http.StatusConflict, "to.uid: the job exists already, or the service has changed")
			}
		case errors.Is(err, state.ErrRefused) && !unclear:
			return 0, Unavailable("state service refuses writes")
		default:
			unclear = true
			back(Unavailable("roll-out is not settled yet"))
		}
		ro.sleep(commitRetryPause)
	}
	return 0, nil
}

// findStoredCreation is the version of the stored record after a conflict if an earlier attempt
// of the same transaction has stored it, else 0. Answered: the key-value store has answered.
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

// addCreated adds a stored roll-out and the job of its next version, and answers its operator.
func (ro *rollouts) addCreated(rec *rollout.Record, next *job.Record, version uint64, back func(*rpc.Reply)) {
	if ro.jobTable.identified(next.Spec.ID) == nil {
		ro.jobTable.add(next, version, time.Now())
	}
	s := &service{rec: rec, version: version}
	ro.addService(s)
	ro.log.Info("roll-out accepted", "service", rec.Service, "from", rec.Current, "to", rec.Next, "batches", len(rec.Batches))
	back(reply(http.StatusCreated, ro.status(s)))
}
