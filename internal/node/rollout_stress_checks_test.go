package node

import (
	"fmt"
	"strings"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// staleReplicaTimeout is how long the leader may consider a replica running after its machine was
// lost: the lease and a second.
const staleReplicaTimeout = 11 * time.Second

// rolloutHistory evaluates the machines' history of one service.
type rolloutHistory struct {
	service  *rolloutService
	started  map[string]string    // replica of the next version -> zone of its first start
	running  map[string]int       // replica -> number of its running copies of either version
	lostAt   map[string]time.Time // replica -> time at which it was last lost with a machine
	complete bool                 // every replica has run
	// firstStart and lastEnd are when the first replica of the next version started and the last
	// one ended.
	firstStart, lastEnd time.Time
	violations          []string
}

// reportViolation records a violation.
func (h *rolloutHistory) reportViolation(format string, a ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, a...))
}

// add processes an event of one of the service's two images.
func (h *rolloutHistory) add(e emulate.Event) {
	_, replica, _ := strings.Cut(e.Task, "/")
	if e.Start {
		h.running[replica]++
	} else {
		h.running[replica]--
	}
	if e.Image == h.service.image {
		h.addNextVersion(e, replica)
	}
	if e.Cause == emulate.CauseLost {
		h.lostAt[replica] = e.At
	}
	h.checkReplicaCount(e, replica)
	h.complete = h.complete || len(h.running) == h.service.spec.Tasks
}

// addNextVersion records when and where the next version ran.
func (h *rolloutHistory) addNextVersion(e emulate.Event, replica string) {
	if !e.Start {
		h.lastEnd = e.At
		return
	}
	if _, ok := h.started[replica]; !ok {
		h.started[replica] = e.Zone
	}
	if h.firstStart.IsZero() {
		h.firstStart = e.At
	}
}

// checkReplicaCount checks that the roll-out does not halt the only copy of a replica. The
// roll-out may start one extra replica, so none may be missing, except while the leader has not
// yet noticed that the machine of another copy was lost.
func (h *rolloutHistory) checkReplicaCount(e emulate.Event, replica string) {
	halted := !e.Start && e.Cause == wire.CauseStopped && e.Image == h.service.spec.Image
	if halted && h.complete && h.running[replica] == 0 && e.At.Sub(h.lostAt[replica]) > staleReplicaTimeout {
		h.reportViolation("%s: the roll-out halted %s at %v, the only copy of that replica", h.service.name, e.Task, e.At)
	}
}

// checkEnd checks that a bad build ran in one batch and one zone at most, and that the roll-out has
// ended in the right state.
func (h *rolloutHistory) checkEnd() {
	service := h.service
	zones := map[string]bool{}
	for _, zone := range h.started {
		zones[zone] = true
	}
	want := rollout.Done
	if service.badBuild {
		want = rollout.RolledBack
		if len(h.started) > service.batch || len(zones) > 1 {
			h.reportViolation("%s: the bad build ran as %d replicas in %d zones, want one zone and a batch of %d at most", service.name, len(h.started), len(zones), service.batch)
		}
		if service.state == string(rollout.RolledBack) {
			service.rolledBackAfter = h.lastEnd.Sub(h.firstStart)
		}
	}
	if service.state != string(want) {
		h.reportViolation("%s (bad build: %v): the roll-out ended in state %q, want %q: %s", service.name, service.badBuild, service.state, want, service.reason)
	}
}

// checkRolloutHistories checks the machines' history of each service and returns the violations.
func checkRolloutHistories(services []*rolloutService, history []emulate.Event) (violations []string) {
	for _, service := range services {
		h := &rolloutHistory{
			service: service,
			started: map[string]string{},
			running: map[string]int{},
			lostAt:  map[string]time.Time{},
		}
		for _, e := range history {
			if e.Image == service.image || e.Image == service.spec.Image {
				h.add(e)
			}
		}
		h.checkEnd()
		violations = append(violations, h.violations...)
	}
	return violations
}
