package emulate

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// MaxMachines is how many machines the cloud has, and Zones how many of them in a zone; a
	// zone that is not named has no bound of its own.
	MaxMachines  int
	ZoneCapacity map[string]int
	// Controllers are the nodes' addresses for workers, by their members' names.
	Controllers []Controller
	// LeaseDuration is how long a worker keeps its tasks without an answer, Cancel how long
	// a cancelled task may stay, and Report how often a worker reports.
	LeaseDuration, CancelTimeout, HeartbeatInterval time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// ImagePull is how long an image takes to come, and ListLag how long a new machine
	// is missing from the list.
	ImagePull, ListLag time.Duration
	// Limits are the teams'; 0 or none: unlimited.
	Limits map[string]Limit
	// OnStarted is told of the first start of each task, with how long its user has waited
	// since the submission, under the world's lock; nil: nobody is.
	OnStarted func(spec *job.Spec, waited time.Duration)
	Log       *slog.Logger
}

// Limit is what a team may use at a time.
type Limit struct{ CPUs, GPUs float64 }

// Controller is a node as workers know it.
type Controller struct{ Member, Addr string }

// World is the cloud and its workers, with the judge of the rules.
type World struct {
	cfg Config

	mu              sync.Mutex
	specs           map[string]*job.Spec
	workers         map[string]*Worker
	tasks           taskIndex
	provisioned     map[string][]string
	images          map[string]ImageBehavior
	history         []Event
	recording       bool // the history
	dropChecks      bool // health checks get no answer
	delayedBoots    int  // rented machines that are yet to come up late, by late
	bootDelay       time.Duration
	machinesCreated int
	zoneLimits      map[string]int // machines that are left to a zone in a shortage
	checker         invariantChecker
	onLastTaskDone  func(*job.Spec) // told of jobs whose last task has completed
	capturing       bool            // reports are kept for Copies
	captured        []CapturedHeartbeat
	wg              sync.WaitGroup
	done            chan struct{}
}

// New makes a world without machines.
func New(cfg Config) *World {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &World{cfg: cfg, specs: map[string]*job.Spec{}, workers: map[string]*Worker{}, tasks: newTaskIndex(), provisioned: map[string][]string{}, images: map[string]ImageBehavior{}, zoneLimits: map[string]int{},
		checker: newInvariantChecker(), done: make(chan struct{})}
}

// Close ends all workers and waits for them.
func (w *World) Close() {
	close(w.done)
	w.wg.Wait()
}

// Ended is closed when the world ends.
func (w *World) Ended() <-chan struct{} { return w.done }

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
	s := w.cfg.Store.Job(id)
	if s != nil {
		w.specs[id] = s
	}
	return s
}

// ImageBehavior is how the tasks of an image behave.
type ImageBehavior struct {
	// CrashAfter is when they fail; 0: never.
	CrashAfter time.Duration
	// UnhealthyAfter is when a replica's health turns bad; 0: never. With Flap it turns
	// good and bad again every so often from then on.
	UnhealthyAfter, FlapPeriod time.Duration
	// OmitHealth: its workers say nothing of its health.
	OmitHealth bool
}

// health is what a worker says of a replica that has run for so long.
func (b ImageBehavior) health(ran time.Duration) string {
	switch {
	case b.OmitHealth:
		return ""
	case b.UnhealthyAfter == 0 || ran < b.UnhealthyAfter:
		return wire.HealthGood
	case b.FlapPeriod > 0 && int((ran-b.UnhealthyAfter)/b.FlapPeriod)%2 == 1:
		return wire.HealthGood
	}
	return wire.HealthBad
}

// SetImageBehavior sets how an image's tasks behave from now on.
func (w *World) SetImageBehavior(image string, b ImageBehavior) {
	w.mu.Lock()
	w.images[image] = b
	w.mu.Unlock()
}

// MachineCounts is how many machines there are, and how many of them are up.
func (w *World) MachineCounts() (all, up int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		all++
		if time.Now().After(k.bootedAt) {
			up++
		}
	}
	return all, up
}

// MachinesProvisioned is how many machines the cloud has rented out so far.
func (w *World) MachinesProvisioned() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, names := range w.provisioned {
		n += len(names)
	}
	return n
}

// IdleMachines is how many machines are up without a task.
func (w *World) IdleMachines() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		busy := false
		for _, t := range k.tasks {
			busy = busy || t.phase != wire.Exited
		}
		if !busy && time.Now().After(k.bootedAt) {
			n++
		}
	}
	return n
}

// RunningTasks counts the running tasks of a job.
func (w *World) RunningTasks(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.phase == wire.Running && t.spec.ID == id {
				n++
			}
		}
	}
	return n
}

// Load is what the workers do at a time, and have done.
type Load struct {
	// RunningTasks counts the tasks that hold their machines.
	RunningTasks int
	// Heartbeats counts the answered reports, Directs the direct commands that came.
	Heartbeats, DirectCommands int
}

// Load is what the workers do now.
func (w *World) Load() Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := Load{DirectCommands: w.checker.directCommands}
	for _, n := range w.checker.heartbeatsAnswered {
		l.Heartbeats += n
	}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if k.occupies(t) {
				l.RunningTasks++
			}
		}
	}
	return l
}

// AnsweredWorkers counts the workers that have had an answer to a report.
func (w *World) AnsweredWorkers() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		if k.token > 0 {
			n++
		}
	}
	return n
}

// RandomWorkers picks n workers.
func (w *World) RandomWorkers(r *rand.Rand, n int) (out []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := slices.Sorted(maps.Keys(w.workers))
	for range min(n, len(names)) {
		i := r.IntN(len(names))
		out = append(out, w.workers[names[i]])
		names = slices.Delete(names, i, i+1)
	}
	return out
}

// Kill takes machines away without a word.
func (w *World) Kill(ks []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.remove(time.Now())
	}
}

// Hang stops workers, or lets them go on.
func (w *World) Hang(ks []*Worker, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.hanging = on
	}
}

// DropHealthChecks lets no health check get an answer, as if only the checker were cut
// off.
func (w *World) DropHealthChecks(on bool) {
	w.mu.Lock()
	w.dropChecks = on
	w.mu.Unlock()
}

// DelayBoots lets the next n rented machines come up late.
func (w *World) DelayBoots(n int, by time.Duration) {
	w.mu.Lock()
	w.delayedBoots, w.bootDelay = n, by
	w.mu.Unlock()
}

// Reboot ends workers and starts them again at once, with nothing on them and without
// memory of their sessions, messages and tokens. The protocol does not say what such
// a worker calls its session; it is the first one here, as of a new machine.
func (w *World) Reboot(ks []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.dropTasks(time.Now())
		k.session, k.sequence, k.token = 1, 0, 0
		k.leaseStart, k.changed = time.Now(), true
	}
}

// CapturedHeartbeat is a report as its worker sent it.
type CapturedHeartbeat struct {
	Host string // of the worker, on the network
	Body []byte
}

// maxCapturedHeartbeats bounds what is kept.
const maxCapturedHeartbeats = 2000

// CaptureHeartbeats lets the world keep copies of the reports that are sent from now on, or
// stops it.
func (w *World) CaptureHeartbeats(on bool) {
	w.mu.Lock()
	w.capturing = on
	w.mu.Unlock()
}

// CapturedHeartbeats takes the copies that were kept.
func (w *World) CapturedHeartbeats() []CapturedHeartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	cs := w.captured
	w.captured = nil
	return cs
}

// MakeFaulty lets machines fail every task.
func (w *World) MakeFaulty(ks []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.faulty = true
	}
}

// Boot starts a machine without a rental.
func (w *World) Boot(typ, zone string, spot bool, in time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot(typ, zone, spot, in)
}

// boot starts a worker; the caller holds the lock.
func (w *World) boot(typ, zone string, spot bool, in time.Duration) string {
	w.machinesCreated++
	k := &Worker{world: w, name: fmt.Sprintf("host-%06d", w.machinesCreated), addr: fmt.Sprintf("w%d:9000", w.machinesCreated), typ: typ, zone: zone, spot: spot,
		createdAt: time.Now(), bootedAt: time.Now().Add(in), session: 1, tasks: map[string]*task{}, controller: w.machinesCreated % len(w.cfg.Controllers)}
	w.workers[k.name] = k
	w.wg.Go(k.run)
	return k.name
}

// machineType is a machine type; nil: there is none of that name.
func (w *World) machineType(name string) *wire.MachineType {
	for i := range w.cfg.Types {
		if w.cfg.Types[i].Name == name {
			return &w.cfg.Types[i]
		}
	}
	return nil
}

// ServeHTTP is the cloud.
func (w *World) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch q.URL.Path {
	case "/machine_types":
		encode(rw, 200, wire.MachineTypes{Types: w.cfg.Types})
	case "/hosts/release":
		var in wire.HostNames
		if !decode(q, &in) {
			encode(rw, 400, wire.Error{Error: "malformed"})
			return
		}
		for _, n := range in.Hosts {
			if k := w.workers[n]; k != nil {
				k.remove(time.Now())
			}
		}
		encode(rw, 200, map[string]any{})
	case "/hosts":
		if q.Method == http.MethodGet {
			encode(rw, 200, w.machineList(q.URL.Query().Get("after")))
			return
		}
		var in wire.Hire
		if !decode(q, &in) || w.machineType(in.Type) == nil {
			encode(rw, 400, wire.Error{Error: "malformed"})
			return
		}
		if old, ok := w.provisioned[in.Request]; ok {
			encode(rw, 200, wire.HostNames{Hosts: old})
			return
		}
		n := min(in.Count, w.cfg.MaxMachines-len(w.workers), w.zoneCapacity(in.Zone))
		if n <= 0 {
			encode(rw, 503, wire.Error{Error: "no capacity"})
			return
		}
		var names []string
		for range n {
			takes := time.Duration(w.machineType(in.Type).BootS * float64(time.Second))
			if w.delayedBoots > 0 {
				w.delayedBoots--
				takes += w.bootDelay
			}
			names = append(names, w.boot(in.Type, in.Zone, in.Spot, takes))
		}
		w.provisioned[in.Request] = names
		encode(rw, 200, wire.HostNames{Hosts: names})
	default:
		encode(rw, 404, wire.Error{Error: "no such route"})
	}
}

// zoneCapacity is how many more machines a zone has; the caller holds the lock.
func (w *World) zoneCapacity(zone string) int {
	most, bound := w.cfg.ZoneCapacity[zone]
	if n, ok := w.zoneLimits[zone]; ok {
		most, bound = n, true
	}
	if !bound {
		return w.cfg.MaxMachines
	}
	for _, k := range w.workers {
		if k.zone == zone {
			most--
		}
	}
	return most
}

// LimitZone leaves a zone that many machines to rent; below 0: as many as before.
func (w *World) LimitZone(zone string, most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if most < 0 {
		delete(w.zoneLimits, zone)
	} else {
		w.zoneLimits[zone] = most
	}
}

// SlowImagePulls makes images that machines do not have come that much later.
func (w *World) SlowImagePulls(ks []*Worker, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.pullDelay = by
	}
}

// machineList is the machine list, which lags.
func (w *World) machineList(after string) wire.CloudHosts {
	out := []wire.CloudHost{}
	for _, n := range slices.Sorted(maps.Keys(w.workers)) {
		k := w.workers[n]
		phase := "running"
		if time.Now().Before(k.bootedAt) {
			phase = "booting"
		}
		if n > after && time.Since(k.createdAt) > w.cfg.ListLag {
			out = append(out, wire.CloudHost{Name: n, Addr: k.addr, Type: k.typ, Zone: k.zone, Spot: k.spot, Phase: phase, AgeS: time.Since(k.createdAt).Seconds()})
		}
	}
	return wire.CloudHosts{Hosts: out}
}
