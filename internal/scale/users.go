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

// jobClass describes a class of jobs that users submit.
type jobClass struct {
	name, shape, priority string
	// share is the share of this class in the task starts.
	share float64
	// drawTasks draws the number of tasks of a job, with mean meanTasks.
	drawTasks func(random *rand.Rand) int
	meanTasks float64
}

// urgentClass is the class of urgent jobs.
const urgentClass = "urgent"

// classes returns the classes of the planned load. Most task starts belong to arrays, some to gangs,
// and a few are urgent.
func (o *Options) classes() []jobClass {
	batch := max(8, 600*math.Sqrt(min(1, o.Factor))) // mean number of tasks of an array job
	gangs := gangSizes(int(PlannedLargestGang * min(1, max(o.Factor, 0.05))))
	sum := 0
	for _, n := range gangs {
		sum += n
	}
	return []jobClass{
		{
			name:      "batch",
			shape:     job.ArrayName,
			priority:  job.StandardName,
			share:     0.83,
			drawTasks: func(random *rand.Rand) int { return 1 + int(batch*(0.25+1.5*random.Float64())) },
			meanTasks: 1 + batch,
		},
		{
			name:      "gang",
			shape:     job.GangName,
			priority:  job.StandardName,
			share:     0.14,
			drawTasks: func(random *rand.Rand) int { return gangs[random.IntN(len(gangs))] },
			meanTasks: float64(sum) / float64(len(gangs)),
		},
		{
			name:      urgentClass,
			shape:     job.ArrayName,
			priority:  job.UrgentName,
			share:     0.03,
			drawTasks: func(random *rand.Rand) int { return 1 + random.IntN(7) },
			meanTasks: 4,
		},
	}
}

// gangSizes returns the powers of two from 2 up to the largest size.
func gangSizes(largest int) []int {
	sizes := []int{2}
	for n := 4; n <= largest; n *= 2 {
		sizes = append(sizes, n)
	}
	return sizes
}

const (
	// pollInterval is the interval between polls of a job by its user.
	pollInterval  = 5 * time.Second
	pollTimeout   = 2 * time.Second
	submitTimeout = 5 * time.Second
	// maxSubmissions bounds the attempts to submit a job.
	maxSubmissions   = 12
	submitRetryDelay = time.Second
	// maxFirstDelay bounds the delay of the first job of a class.
	maxFirstDelay = time.Second
	// maxFollowedJobs bounds the jobs that the users of a region follow at the same time.
	maxFollowedJobs = 20_000
	// taskCPUs and taskMemGB are the resources that a task requests.
	taskCPUs, taskMemGB = 1, 1
	// maxWaitMs is the longest wait that the histograms can record, in milliseconds.
	maxWaitMs = int64(time.Hour / time.Millisecond)
)

// newWaitHistogram returns an empty histogram of waits in milliseconds.
func newWaitHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxWaitMs, 3) }

// startWaits records the times that tasks waited for their start.
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
	_ = h.RecordValue(min(max(1, waited.Milliseconds()), maxWaitMs)) // clamped to the range of the histogram
}

// quantiles returns the quantiles of the waits of urgent tasks and of all other tasks.
func (w *startWaits) quantiles() (urgent, other quantiles) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return quantilesOf(w.urgent), quantilesOf(w.other)
}

// users emulates the users of one region.
type users struct {
	world     *emulate.World
	servers   []string // the controllers' addresses
	teams     []string
	runTime   time.Duration // mean run time of tasks
	lastJobID *atomic.Int64 // shared by all regions
	client    *http.Client

	submitted, accepted, refused, done atomic.Int64

	followSlots chan struct{} // holds one element for each job that is followed
	wg          sync.WaitGroup
}

func newUsers(world *emulate.World, servers, teams []string, runTime time.Duration, lastJobID *atomic.Int64) *users {
	return &users{
		world:       world,
		servers:     servers,
		teams:       teams,
		runTime:     runTime,
		lastJobID:   lastJobID,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256}},
		followSlots: make(chan struct{}, maxFollowedJobs),
	}
}

// submit submits jobs of a class until the context ends. startsPerS is the rate of task starts of all
// classes. It drops jobs, and counts them as refused, while maxFollowedJobs are being followed.
func (u *users) submit(ctx context.Context, class jobClass, startsPerS float64, random *rand.Rand) {
	jobsPerS := startsPerS * class.share / class.meanTasks
	if jobsPerS <= 0 {
		return
	}
	wait := time.Duration(random.Float64() * float64(min(maxFirstDelay, seconds(1/jobsPerS))))
	for sleep(ctx, wait) {
		spec := u.drawJob(class, random)
		server := u.servers[random.IntN(len(u.servers))]
		select {
		case u.followSlots <- struct{}{}:
			u.wg.Go(func() {
				defer func() { <-u.followSlots }()
				u.follow(ctx, spec, server)
			})
		default:
			u.refused.Add(1)
		}
		wait = seconds(random.ExpFloat64() / jobsPerS)
	}
}

// drawJob draws a job of a class.
func (u *users) drawJob(class jobClass, random *rand.Rand) *job.Spec {
	return &job.Spec{
		ID:           fmt.Sprintf("run-%d", u.lastJobID.Add(1)),
		Class:        class.name,
		Team:         u.teams[random.IntN(len(u.teams))],
		ShapeName:    class.shape,
		PriorityName: class.priority,
		Tasks:        class.drawTasks(random),
		CPUs:         taskCPUs,
		MemGB:        taskMemGB,
		Image:        fmt.Sprintf("img-%02d", random.IntN(20)),
		ImageGB:      0.5,
		EstimateS:    u.runTime.Seconds() * (0.5 + random.Float64()),
	}
}

// follow submits a job and polls it until the job has ended or the context ends.
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

// submitUntilAccepted repeats a submission until a controller accepts it. It gives up after
// maxSubmissions attempts, a rejection, or the end of the context.
func (u *users) submitUntilAccepted(ctx context.Context, id, server string, body []byte) bool {
	for range maxSubmissions {
		status, _ := u.request(ctx, submitTimeout, http.MethodPost, server, "/api/jobs", body)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			u.world.ReportViolation("refused: the submission of %s got status %d", id, status)
			return false
		}
		if !sleep(ctx, submitRetryDelay) {
			return false
		}
	}
	return false
}

// request sends a request with a time-out. It returns status 0 if there is no complete response.
func (u *users) request(ctx context.Context, timeout time.Duration, method, server, path string, body []byte) (status int, phase wire.JobPhase) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	responseBody, err := io.ReadAll(io.LimitReader(res.Body, wire.MaxBody))
	if err != nil {
		return 0, ""
	}
	var jobStatus wire.JobStatus
	_ = wire.Unmarshal(responseBody, &jobStatus) // the body of a refusal has another format
	return res.StatusCode, jobStatus.Phase
}

// close waits until the users have stopped. The context of the load must have ended.
func (u *users) close() {
	u.wg.Wait()
	u.client.CloseIdleConnections()
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits for a duration. It reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
