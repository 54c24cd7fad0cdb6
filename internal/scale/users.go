package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// class is a class of jobs that users submit.
type class struct {
	name, shape, priority string
	// share is the part of the task starts that are of this class.
	share float64
	// drawTasks draws the number of a job's tasks, of which meanTasks is the mean.
	drawTasks func(r *rand.Rand) int
	meanTasks float64
}

// urgentClass is the class of urgent jobs.
const urgentClass = "urgent"

// classes are the planned load: most starts are of arrays, some of gangs, a few urgent.
func (o *Options) classes() []class {
	batch := max(8, 600*math.Sqrt(min(1, o.Factor))) // mean size of an array
	gangs := gangSizes(int(PlannedLargestGang * min(1, max(o.Factor, 0.05))))
	sum := 0
	for _, n := range gangs {
		sum += n
	}
	return []class{
		{
			name:      "batch",
			shape:     job.ArrayName,
			priority:  job.StandardName,
			share:     0.83,
			drawTasks: func(r *rand.Rand) int { return 1 + int(batch*(0.25+1.5*r.Float64())) },
			meanTasks: 1 + batch,
		},
		{
			name:      "gang",
			shape:     job.GangName,
			priority:  job.StandardName,
			share:     0.14,
			drawTasks: func(r *rand.Rand) int { return gangs[r.IntN(len(gangs))] },
			meanTasks: float64(sum) / float64(len(gangs)),
		},
		{
			name:      urgentClass,
			shape:     job.ArrayName,
			priority:  job.UrgentName,
			share:     0.03,
			drawTasks: func(r *rand.Rand) int { return 1 + r.IntN(7) },
			meanTasks: 4,
		},
	}
}

// gangSizes are powers of two up to the largest.
func gangSizes(largest int) []int {
	sizes := []int{2}
	for n := 4; n <= largest; n *= 2 {
		sizes = append(sizes, n)
	}
	return sizes
}

const (
	// A user polls a job with this interval, and submits it that often at the most.
	pollInterval     = 5 * time.Second
	pollTimeout      = 2 * time.Second
	submitTimeout    = 5 * time.Second
	maxSubmissions   = 12
	submitRetryDelay = time.Second
	// maxFirstDelay is how soon the first job of a class comes.
	maxFirstDelay = time.Second
	// maxFollowedJobs bounds the jobs that are followed at a time in a region.
	maxFollowedJobs = 20_000
	// taskCPUs and taskMemGB are what a task takes of its machine.
	taskCPUs, taskMemGB = 1, 1
	// maxWaitMs is the longest wait that the histograms can record, in milliseconds.
	maxWaitMs = int64(time.Hour / time.Millisecond)
)

// newWaitHistogram makes a histogram of waits in milliseconds.
func newWaitHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxWaitMs, 3) }

// startWaits are how long tasks waited for their start, in milliseconds.
type startWaits struct {
	mu     sync.Mutex
	urgent *hdrhistogram.Histogram
	other  *hdrhistogram.Histogram
}

func newStartWaits() *startWaits {
	return &startWaits{urgent: newWaitHistogram(), other: newWaitHistogram()}
}

// started records the first start of a task.
func (w *startWaits) started(spec *job.Spec, waited time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.other
	if spec.Class == urgentClass {
		h = w.urgent
	}
	_ = h.RecordValue(min(max(1, waited.Milliseconds()), maxWaitMs)) // within its range
}

// quantiles are those of the waits of urgent and of other tasks.
func (w *startWaits) quantiles() (urgent, other quantiles) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return quantilesOf(w.urgent), quantilesOf(w.other)
}

// users are the users of one region.
type users struct {
	world     *emulate.World
	servers   []string // the controllers' addresses
	teams     []string
	runTime   time.Duration // mean of the tasks
	lastJobID *atomic.Int64 // in all regions
	client    *http.Client

	submitted, accepted, refused, done atomic.Int64

	followSlots chan struct{} // holds one for each job that is followed
	wg          sync.WaitGroup
}

func newUsers(w *emulate.World, servers, teams []string, runTime time.Duration, lastJobID *atomic.Int64) *users {
	return &users{
		world:       w,
		servers:     servers,
		teams:       teams,
		runTime:     runTime,
		lastJobID:   lastJobID,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256}},
		followSlots: make(chan struct{}, maxFollowedJobs),
	}
}

// submit submits jobs of a class at a rate of task starts a second until the context ends.
func (u *users) submit(ctx context.Context, c class, startsPerS float64, r *rand.Rand) {
	jobsPerS := startsPerS * c.share / c.meanTasks
	if jobsPerS <= 0 {
		return
	}
	wait := time.Duration(r.Float64() * float64(min(maxFirstDelay, seconds(1/jobsPerS))))
	for sleep(ctx, wait) {
		spec := u.drawJob(c, r)
		server := u.servers[r.IntN(len(u.servers))]
		select {
		case u.followSlots <- struct{}{}:
			u.wg.Go(func() {
				defer func() { <-u.followSlots }()
				u.follow(ctx, spec, server)
			})
		default:
			u.refused.Add(1)
		}
		wait = seconds(r.ExpFloat64() / jobsPerS)
	}
}

// drawJob draws a job of a class.
func (u *users) drawJob(c class, r *rand.Rand) *job.Spec {
	return &job.Spec{
		ID:           fmt.Sprintf("run-%d", u.lastJobID.Add(1)),
		Class:        c.name,
		Team:         u.teams[r.IntN(len(u.teams))],
		ShapeName:    c.shape,
		PriorityName: c.priority,
		Tasks:        c.drawTasks(r),
		CPUs:         taskCPUs,
		MemGB:        taskMemGB,
		Image:        fmt.Sprintf("img-%02d", r.IntN(20)),
		ImageGB:      0.5,
		EstimateS:    u.runTime.Seconds() * (0.5 + r.Float64()),
	}
}

// follow submits a job and polls it until it is over or the context ends.
func (u *users) follow(ctx context.Context, spec *job.Spec, server string) {
	body, err := wire.Marshal(spec)
	if err != nil {
		u.refused.Add(1)
		return
	}
	u.submitted.Add(1)
	u.world.DescribeJob(spec)
	if !u.submitUntilAccepted(ctx, spec.ID, server, body) {
		u.refused.Add(1)
		return
	}
	u.accepted.Add(1)
	u.world.JobAccepted(spec.ID)
	var final wire.JobPhase
	for final == "" && sleep(ctx, pollInterval) {
		status, phase := u.request(ctx, pollTimeout, http.MethodGet, server, "/api/jobs/"+spec.ID, nil)
		if ctx.Err() == nil {
			final = u.world.CheckPoll(spec, status, phase, final, false)
		}
	}
	if final == wire.JobDone {
		u.done.Add(1)
	}
}

// submitUntilAccepted repeats a submission until it is accepted.
func (u *users) submitUntilAccepted(ctx context.Context, id, server string, body []byte) bool {
	for range maxSubmissions {
		status, _ := u.request(ctx, submitTimeout, http.MethodPost, server, "/api/jobs", body)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.world.ReportViolation("refused: %s got %d", id, status)
			return false
		}
		if !sleep(ctx, submitRetryDelay) {
			return false
		}
	}
	return false
}

// request makes a request with a time limit; a status of 0 means that there was no answer.
func (u *users) request(ctx context.Context, limit time.Duration, method, server, path string, body []byte) (status int, phase wire.JobPhase) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := u.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxBody))
	if err != nil {
		return 0, ""
	}
	var s wire.JobStatus
	_ = wire.Unmarshal(b, &s) // a refusal has another body
	return res.StatusCode, s.Phase
}

// close waits for the users; their context has ended.
func (u *users) close() {
	u.wg.Wait()
	u.client.CloseIdleConnections()
}

// seconds is a time that is given in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits; false: the context has ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
