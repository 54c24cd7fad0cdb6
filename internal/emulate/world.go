package emulate

import (
	"log/slog"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Config configures a World.
type Config struct {
	Network Network
	Store   *Store
	// Types are the machine types of the cloud.
	Types []wire.MachineType
	// MaxMachines bounds the machines of the cloud, ZoneCapacity those of a zone. A zone without
	// an entry is bounded by MaxMachines alone.
	MaxMachines  int
	ZoneCapacity map[string]int
	// Controllers are the controllers that workers send heartbeats to.
	Controllers []Controller
	// LeaseDuration is the time for which a worker keeps its tasks running without a response to a
	// heartbeat. CancelTimeout bounds the time from a confirmed cancellation to the end of the
	// job's tasks. HeartbeatInterval is the time between heartbeats of a worker.
	LeaseDuration, CancelTimeout, HeartbeatInterval time.Duration
	// GangTimeout bounds the time that a member of a gang waits for the others.
	GangTimeout time.Duration
	// ImagePullTime is the time to pull an image. ListLag is the time for which a new machine is
	// missing from the cloud's list.
	ImagePullTime, ListLag time.Duration
	// Limits are the resource limits by team. A resource of 0 and a team without an entry are
	// unlimited.
	Limits map[string]Resources
	// OnStarted, if set, is called at the first start of each task, with the time since the
	// submission of its job. The world's lock is held during the call.
	OnStarted func(spec *job.Spec, waited time.Duration)
	Log       *slog.Logger
}

// Resources are amounts of CPUs and accelerators that a team uses or may use at most.
type Resources struct{ CPUs, GPUs float64 }

// Controller is the name of a controller and its address for workers.
type Controller struct{ Member, Addr string }

// World emulates the cloud and its workers, and checks the invariants of the scheduler.
type World struct {
	cfg Config

	mu             sync.Mutex
	specs          map[string]*job.Spec // by job
	workers        map[string]*Worker   // by name
	tasks          taskIndex
	images         map[string]ImageBehavior
	checker        invariantChecker
	onLastTaskDone func(*job.Spec) // see OnLastTaskDone

	// provisioned has the names of the machines that were created for each request;
	// machinesCreated counts all machines so far, also those that no request asked for.
	provisioned     map[string][]string
	machinesCreated int
	// bootDelay is added to the boot time of the next delayedBoots machines.
	delayedBoots     int
	bootDelay        time.Duration
	zoneLimits       map[string]int // capacity of a zone while LimitZone replaces its configured one
	dropHealthChecks bool           // health checks get no response

	recording bool // whether events are added to the history
	history   []Event
	capturing bool // whether heartbeats are captured
	captured  []CapturedHeartbeat

	duplicator duplicator

	wg   sync.WaitGroup
	done chan struct{}
}

// New returns a world without machines.
func New(cfg Config) *World {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &World{
		cfg:         cfg,
		specs:       map[string]*job.Spec{},
		workers:     map[string]*Worker{},
		tasks:       newTaskIndex(),
		images:      map[string]ImageBehavior{},
		checker:     newInvariantChecker(),
		provisioned: map[string][]string{},
		zoneLimits:  map[string]int{},
		done:        make(chan struct{}),
	}
}

// Close stops all workers and waits until they have ended.
func (w *World) Close() {
	close(w.done)
	w.wg.Wait()
}

// Done returns a channel that Close closes.
func (w *World) Done() <-chan struct{} { return w.done }

// Go runs f in a goroutine that Close waits for.
func (w *World) Go(f func()) { w.wg.Go(f) }

// DescribeJob makes a job's specification available to the workers, as its user does by uploading
// it. The specifications of other jobs are read from the controllers' records in the store.
func (w *World) DescribeJob(spec *job.Spec) {
	w.mu.Lock()
	w.specs[spec.ID] = spec
	if _, ok := w.checker.users.submittedAt[spec.ID]; !ok {
		w.checker.users.submittedAt[spec.ID] = time.Now()
	}
	w.mu.Unlock()
}

// spec returns a job's specification, or nil if the job is unknown; the caller holds the lock.
func (w *World) spec(id string) *job.Spec {
	if spec := w.specs[id]; spec != nil {
		return spec
	}
	spec := w.cfg.Store.JobSpec(id)
	if spec != nil {
		w.specs[id] = spec
	}
	return spec
}
