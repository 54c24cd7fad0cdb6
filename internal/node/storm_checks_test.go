package node

import (
	"fmt"
	"strings"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// staleReplicaTimeout is for how long the leader may take a replica for running whose machine is
// gone: a lease.
const staleReplicaTimeout = 11 * time.Second

// rolloutHistory is what the machines' history says of one service.
type rolloutHistory struct {
	service  *rolloutService
	started  map[string]string    // replica of the next version -> zone of its first start
	running  map[string]int       // copies of a replica of either version
	lostAt   map[string]time.Time // replica -> its last loss with a machine
	complete bool                 // all replicas have run
	// firstStart and lastEnd are of the next version.
	firstStart, lastEnd time.Time
	violations          []string
}

// violate adds a violation.
func (h *rolloutHistory) violate(format string, a ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, a...))
}

// add takes an event of the service's images into account.
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

// addNextVersion notes when and where the next version ran.
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

// checkReplicaCount checks that the roll-out does not halt the only copy of a replica. There is
// one extra, so none may be missing, but for a copy whose machine is gone and which the leader
// does not know yet.
func (h *rolloutHistory) checkReplicaCount(e emulate.Event, replica string) {
	halted := !e.Start && e.Cause == wire.CauseStopped && e.Image == h.service.spec.Image
	if halted && h.complete && h.running[replica] == 0 && e.At.Sub(h.lostAt[replica]) > staleReplicaTimeout {
		h.violate("%s fell below its floor: %s was stopped at %v with no copy of it elsewhere", h.service.name, e.Task, e.At)
	}
}

// checkEnd checks how far a bad build has come, and that the service has ended on a good one.
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
			h.violate("%s: the bad build ran as %d replicas in %d zones, a batch is %d", service.name, len(h.started), len(zones), service.batch)
		}
		if service.state == string(rollout.RolledBack) {
			service.rolledBackAfter = h.lastEnd.Sub(h.firstStart)
		}
	}
	if service.state != string(want) {
		h.violate("%s (bad: %v) ended %q, want %q: %s", service.name, service.badBuild, service.state, want, service.reason)
	}
}

// checkRolloutHistories checks the machines' history of each service against what was promised.
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
