package control

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// checker makes the health checks of roll-outs, a bounded number at a time over
// all services: they must not take the sockets that reports and users need.
type checker struct {
	slots     int
	lastCheck map[*fleet.Slot]time.Time
}

const (
	// checkTimeout bounds one check.
	checkTimeout = 2 * time.Second
	// maxCheckedOld is how many copies of the old version are checked beside the new
	// ones: they tell a bad build from a checker that reaches nobody.
	maxCheckedOld = 3
)

// Answers of a check: those of a worker's word on health, and none.
const noAnswer = "none"

// checkHealth asks for the health of the new copies, and of a few old ones.
func (ro *rollouts) checkHealth(s *service, old, next *job.Job, now time.Time) {
	c := s.rec.Spec.Check
	if c == nil || s.rec.State == rollout.RollingBack {
		return
	}
	every := time.Duration(s.rec.Spec.CheckIntervalS() * float64(time.Second))
	if ro.checker.lastCheck == nil || len(ro.checker.lastCheck) > 100_000 {
		ro.checker.lastCheck = map[*fleet.Slot]time.Time{}
	}
	ask := func(j *job.Job, most int) {
		if j == nil {
			return
		}
		for sl := range ro.fleet.On(j) {
			if most == 0 || ro.checker.slots == 0 {
				return
			}
			if !sl.On() || sl.Phase != wire.Running || sl.Host.Addr == "" {
				continue
			}
			most--
			if now.Sub(ro.checker.lastCheck[sl]) < every {
				continue
			}
			ro.checker.lastCheck[sl] = now
			ro.checker.slots--
			ro.probe(sl, c.Path)
		}
	}
	ask(next, -1)
	ask(old, maxCheckedOld)
}

// probe makes one check.
func (ro *rollouts) probe(sl *fleet.Slot, path string) {
	at := "http://" + sl.Host.Addr + path + "?" + url.Values{"piece": {job.TaskName(sl.Job.ID, sl.Task)}}.Encode()
	go func() {
		said := noAnswer
		ctx, cancel := context.WithTimeout(ro.ctx, checkTimeout)
		defer cancel()
		if req, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil); err == nil {
			if res, err := ro.c.direct.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 4096))
				_ = res.Body.Close()
				switch {
				case res.StatusCode == http.StatusNotFound:
					said = "" // a worker that knows no checks, or not this copy
				case res.StatusCode >= 200 && res.StatusCode < 300:
					said = wire.HealthGood
				default:
					said = wire.HealthBad
				}
			}
		}
		ro.post(func() {
			ro.checker.slots++
			if sl.Host.Slots[sl.Key] != sl {
				delete(ro.checker.lastCheck, sl)
				return
			}
			if sl.Checked == wire.HealthGood && said == wire.HealthBad {
				ro.recordFailure(sl.Job, sl.Task, sl.Host.Name)
			}
			sl.Checked = said
			sl.Judge(time.Now())
		})
	}()
}

// checksUnreachable reports whether the checks reach nobody: no copy of either version
// answers, and at least one of the old ones was asked, which nothing was done to.
// Where no old copy is left, silence of every new one is silence of the checker.
func (ro *rollouts) checksUnreachable(old, next *job.Job) bool {
	asked, answered := 0, 0
	for _, j := range []*job.Job{old, next} {
		if j == nil {
			continue
		}
		for sl := range ro.fleet.On(j) {
			switch {
			case sl.Checked == noAnswer:
				asked++
			case sl.Checked != "":
				asked++
				answered++
			}
		}
	}
	return asked > 1 && answered == 0
}
