package main

import (
	"fmt"
	"net/http"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/rollout"
	"vetchstream/review/stand-2/site"
)

const (
	// undoReplicas is the number of the service's replicas. One batch each makes a record of more than 2 KiB.
	undoReplicas = 60
	// undoAfter is the time from the acceptance of the roll-out until the state service lowers its limits.
	undoAfter = 3 * time.Second
	// undoCrash is the time from a start of the bad build to its failure.
	undoCrash = 4 * time.Second
	// undoWatch is the time for which the roll-out is watched, undoGrace how long before its end the third
	// failure of its replica has to be. Three failures of a replica fail the default gate.
	undoWatch = 75 * time.Second
	undoGrace = 30 * time.Second
	// gateFailures is the number of failures of one replica that fails the default gate.
	gateFailures = 3
)

// runUndo rolls out a bad build of a service. While its first batch runs, the state service lowers its
// limits.
func runUndo(r *record, trouble bool) (int, error) {
	facts := site.Facts()
	next := facts.State
	next.ValueKB = 2
	next.TxnOps = 4
	next.WriteRPS = 56
	service := array(7000, undoReplicas, 0)
	service.CPUs = 0.5
	u, err := rolloutSite(r, facts, &next, service)
	if err != nil {
		return failed, err
	}
	s := u.site
	defer s.Close()
	s.World.SetImageBehavior(badImage, emulate.ImageBehavior{CrashAfter: undoCrash})
	if !u.startRollout(service, "run-007001", map[string]any{"ready_s": 2.0, "soak_s": 30.0}) {
		return failed, fmt.Errorf("the roll-out was not accepted")
	}
	time.Sleep(undoAfter)
	r.note("largest record of a roll-out so far: %d bytes", s.Store.Largest("r/"))
	if trouble {
		s.Store.SetLimits(next)
		r.note("the state service lowers its limits: value_kb %.0f, txn_ops %d, write_rps %.0f", next.ValueKB, next.TxnOps, next.WriteRPS)
	}
	until := time.Now().Add(undoWatch)
	time.Sleep(undoWatch / 4)
	undone := u.undo(until)
	time.Sleep(time.Until(until))
	noteRollout(r, s)
	for key, count := range s.Store.Rejected() {
		r.note("rejected by the state service as too large: %d transactions that write %s first", count, key)
	}
	failedAt, starts := gateFailed(s)
	state := u.rolloutState()
	r.note("the replica of the first batch had failed %d times %.0f s ago and was started %d times after that", gateFailures, time.Since(failedAt).Seconds(), starts)
	r.note("undo answered: %v; the roll-out is %q", undone, state)
	switch {
	case failedAt.IsZero() || time.Since(failedAt) < undoGrace || state == "":
		return failed, fmt.Errorf("the build did not fail in time, or nobody tells the state of the roll-out")
	case state != string(rollout.RolledBack) && state != string(rollout.RollingBack):
		r.note("RULE BROKEN: the roll-out was not taken back although its gate failed, and an operator could not take it back")
		return broken, nil
	}
	return held, nil
}

// rolloutState asks for the state of the roll-out until there is an answer.
func (u *users) rolloutState() (state string) {
	for range 5 {
		node := u.node()
		state = node.RolloutState("captions")
		u.record.note("state of the roll-out at %s: %q", node.Member, state)
		if state != "" {
			return state
		}
		time.Sleep(retryPause)
	}
	return ""
}

// undo asks to take the roll-out back until the answer is 200, or 409 because it is over. It reports
// whether there was such an answer in time.
func (u *users) undo(until time.Time) bool {
	for ; time.Now().Before(until); time.Sleep(retryPause) {
		node := u.node()
		status := node.UndoRollout("captions")
		u.record.note("undo at %s: %d", node.Member, status)
		if status == http.StatusOK || status == http.StatusConflict {
			return true
		}
	}
	return false
}

// gateFailed returns when a replica of the bad build had failed often enough to fail the default gate, and
// how often the bad build was started after that.
func gateFailed(s *site.Site) (failedAt time.Time, starts int) {
	failures := map[string]int{}
	for _, event := range s.World.History() {
		switch {
		case event.Image != badImage:
		case event.Start && !failedAt.IsZero():
			starts++
		case !event.Start:
			if failures[event.Task]++; failures[event.Task] == gateFailures && failedAt.IsZero() {
				failedAt = event.At
			}
		}
	}
	return failedAt, starts
}
