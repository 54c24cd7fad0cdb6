package emulate

import (
	"log/slog"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Config says what is emulated.
type Config struct {
	Network Network
	Store   *Store
	// Types is the cloud's price list.
	Types []wire.MachineType
	// MaxMachines is how many machines the cloud has, and ZoneCapacity how many of them in a
	// zone; a zone that is not named has no bound of its own.
	MaxMachines  int
	ZoneCapacity map[string]int
	// Controllers are the addresses for workers and users.
	Controllers []Controller
	// LeaseDuration is how long a worker's tasks run on without an answer to a heartbeat,
	// CancelTimeout how long a cancelled task may stay, and HeartbeatInterval how often a
	// worker sends heartbeats.
	LeaseDuration, CancelTimeout, HeartbeatInterval time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// ImagePullTime is how long an image takes to come, and ListLag how long a new machine
	// is missing from the list.
	ImagePullTime, ListLag time.Duration
	// Limits are the teams'; 0 or none: unlimited.
	Limits map[string]Resources
	// OnStarted is called with the first start of each task, and how long its user has waited
	// since the submission, under the world's lock; nil: it is not.
	OnStarted func(spec *job.Spec, waited time.Duration)
	Log       *slog.Logger
}

// Resources is what a team may use at a time.
type Resources struct{ CPUs, GPUs float64 }

// Controller is a controller as workers know it.
type Controller struct{ Member, Addr string }

// World is the cloud and its workers, with the checker of the invariants.
type World struct {
	cfg Config

	mu             sync.Mutex
	specs          map[string]*job.Spec // by job
	workers        map[string]*Worker   // by name
	tasks          taskIndex
	images         map[string]ImageBehavior
	checker        invariantChecker
	onLastTaskDone func(*job.Spec) // called with jobs whose last task has completed

	// provisioned are the machines of each request, machinesCreated counts all.
	provisioned     map[string][]string
	machinesCreated int
	// The next delayedBoots machines boot that much later.
	delayedBoots     int
	bootDelay        time.Duration
	zoneLimits       map[string]int // machines that are left to a zone in a shortage
	dropHealthChecks bool           // health checks get no answer

	recording bool // events are added to the history
	history   []Event
	capturing bool // heartbeats are captured
	captured  []CapturedHeartbeat

	wg   sync.WaitGroup
	done chan struct{}
}

// New makes a world without machines.
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

// Close ends all workers and waits for them.
func (w *World) Close() {
	close(w.done)
	w.wg.Wait()
}

// Done is closed when the world ends.
func (w *World) Done() <-chan struct{} { return w.done }

// Go runs f as a part of the world: Close waits for it.
func (w *World) Go(f func()) { w.wg.Go(f) }

// DescribeJob uploads a job's description, as its user does. A job that was not
// described is looked up among the controllers' records.
func (w *World) DescribeJob(spec *job.Spec) {
	w.mu.Lock()
	w.specs[spec.ID] = spec
	if _, ok := w.checker.users.submittedAt[spec.ID]; !ok {
		w.checker.users.submittedAt[spec.ID] = time.Now()
	}
	w.mu.Unlock()
}

// spec is a job's description; the caller holds the lock.
func (w *World) spec(id string) *job.Spec {
	if s := w.specs[id]; s != nil {
		return s
	}
	s := w.cfg.Store.JobSpec(id)
	if s != nil {
		w.specs[id] = s
	}
	return s
}
