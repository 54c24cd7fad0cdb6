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
	// Most is how many machines the cloud has, and Zones how many of them in a zone; a
	// zone that is not named has no bound of its own.
	Most  int
	Zones map[string]int
	// Controllers are the nodes' addresses for workers, by their members' names.
	Controllers []Controller
	// Lease is how long a worker keeps its tasks without an answer, Cancel how long
	// a cancelled task may stay, and Report how often a worker reports.
	Lease, Cancel, Report time.Duration
	// GangWait is how long a gang's member waits for the others.
	GangWait time.Duration
	// Fetch is how long an image takes to come, and ListLag how long a new machine
	// is missing from the list.
	Fetch, ListLag time.Duration
	// Limits are the teams'; 0 or none: unlimited.
	Limits map[string]Limit
	// Started is told of the first start of each task, with how long its user has waited
	// since the submission, under the world's lock; nil: nobody is.
	Started func(spec *job.Spec, waited time.Duration)
	Log     *slog.Logger
}

// Limit is what a team may use at a time.
type Limit struct{ CPUs, GPUs float64 }

// Controller is a node as workers know it.
type Controller struct{ Member, Addr string }

// World is the cloud and its workers, with the judge of the rules.
type World struct {
	cfg Config

	mu      sync.Mutex
	specs   map[string]*job.Spec
	workers map[string]*Worker
	index   index
	hires   map[string][]string
	images  map[string]Image
	history []Event
	keeps   bool // the history
	mute    bool // health checks get no answer
	cold    int  // rented machines that are yet to come up late, by late
	late    time.Duration
	count   int
	short   map[string]int // machines that are left to a zone in a shortage
	judge   judge
	ends    func(*job.Spec) // told of jobs whose last task has completed
	copying bool            // reports are kept for Copies
	copies  []Copy
	wg      sync.WaitGroup
	end     chan struct{}
}

// New makes a world without machines.
func New(cfg Config) *World {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &World{cfg: cfg, specs: map[string]*job.Spec{}, workers: map[string]*Worker{}, index: newIndex(), hires: map[string][]string{}, images: map[string]Image{}, short: map[string]int{},
		judge: newJudge(), end: make(chan struct{})}
}

// Close ends all workers and waits for them.
func (w *World) Close() {
	close(w.end)
	w.wg.Wait()
}

// Ended is closed when the world ends.
func (w *World) Ended() <-chan struct{} { return w.end }

// Go runs f as a part of the world: Close waits for it.
func (w *World) Go(f func()) { w.wg.Go(f) }

// Describe uploads a job's description, as its user does. A job that was not
// described is looked up among the controllers' records.
func (w *World) Describe(spec *job.Spec) {
	w.mu.Lock()
	w.specs[spec.ID] = spec
	if _, ok := w.judge.users.asked[spec.ID]; !ok {
		w.judge.users.asked[spec.ID] = time.Now()
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

// Image is how the tasks of an image behave.
type Image struct {
	// CrashAfter is when they fail; 0: never.
	CrashAfter time.Duration
	// BadAfter is when a replica's health turns bad; 0: never. With Flap it turns
	// good and bad again every so often from then on.
	BadAfter, Flap time.Duration
	// Mute: its workers say nothing of its health.
	Mute bool
}

// health is what a worker says of a replica that has run for so long.
func (b Image) health(ran time.Duration) wire.ReplicaHealth {
	switch {
	case b.Mute:
		return ""
	case b.BadAfter == 0 || ran < b.BadAfter:
		return wire.HealthGood
	case b.Flap > 0 && int((ran-b.BadAfter)/b.Flap)%2 == 1:
		return wire.HealthGood
	}
	return wire.HealthBad
}

// Behave sets how an image's tasks behave from now on.
func (w *World) Behave(image string, b Image) {
	w.mu.Lock()
	w.images[image] = b
	w.mu.Unlock()
}

// Machines is how many machines there are, and how many of them are up.
func (w *World) Machines() (all, up int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		all++
		if time.Now().After(k.up) {
			up++
		}
	}
	return all, up
}

// Rented is how many machines the cloud has rented out so far.
func (w *World) Rented() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, names := range w.hires {
		n += len(names)
	}
	return n
}

// Idle is how many machines are up without a task.
func (w *World) Idle() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		busy := false
		for _, t := range k.tasks {
			busy = busy || t.phase != wire.TaskExited
		}
		if !busy && time.Now().After(k.up) {
			n++
		}
	}
	return n
}

// Running counts the running tasks of a job.
func (w *World) Running(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.phase == wire.TaskRunning && t.spec.ID == id {
				n++
			}
		}
	}
	return n
}

// Load is what the workers do at a time, and have done.
type Load struct {
	// Running counts the tasks that hold their machines.
	Running int
	// Reports counts the answered reports, Directs the direct commands that came.
	Reports, Directs int
}

// Load is what the workers do now.
func (w *World) Load() Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := Load{Directs: w.judge.directs}
	for _, n := range w.judge.answers {
		l.Reports += n
	}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if k.on(t) {
				l.Running++
			}
		}
	}
	return l
}

// Answered counts the workers that have had an answer to a report.
func (w *World) Answered() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		if k.token > 0 {
			n++
		}
	}
	return n
}

// Any picks n workers.
func (w *World) Any(r *rand.Rand, n int) (out []*Worker) {
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
		k.hung = on
	}
}

// RefuseChecks lets no health check get an answer, as if only the checker were cut
// off.
func (w *World) RefuseChecks(on bool) {
	w.mu.Lock()
	w.mute = on
	w.mu.Unlock()
}

// Cold lets the next n rented machines come up late.
func (w *World) Cold(n int, by time.Duration) {
	w.mu.Lock()
	w.cold, w.late = n, by
	w.mu.Unlock()
}

// Reboot ends workers and starts them again at once, with nothing on them and without
// memory of their sessions, messages and tokens. The protocol does not say what such
// a worker calls its session; it is the first one here, as of a new machine.
func (w *World) Reboot(ks []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.lose(time.Now())
		k.session, k.seq, k.token = 1, 0, 0
		k.leased, k.change = time.Now(), true
	}
}

// Copy is a report as its worker sent it.
type Copy struct {
	Host string // of the worker, on the network
	Body []byte
}

// mostCopies bounds what is kept.
const mostCopies = 2000

// Copying lets the world keep copies of the reports that are sent from now on, or
// stops it.
func (w *World) Copying(on bool) {
	w.mu.Lock()
	w.copying = on
	w.mu.Unlock()
}

// Copies takes the copies that were kept.
func (w *World) Copies() []Copy {
	w.mu.Lock()
	defer w.mu.Unlock()
	cs := w.copies
	w.copies = nil
	return cs
}

// Sicken lets machines fail every task.
func (w *World) Sicken(ks []*Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.sick = true
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
	w.count++
	k := &Worker{w: w, name: fmt.Sprintf("host-%06d", w.count), addr: fmt.Sprintf("w%d:9000", w.count), typ: typ, zone: zone, spot: spot,
		born: time.Now(), up: time.Now().Add(in), session: 1, tasks: map[string]*task{}, node: w.count % len(w.cfg.Controllers)}
	w.workers[k.name] = k
	w.wg.Go(k.run)
	return k.name
}

// kind is a machine type; nil: there is none of that name.
func (w *World) kind(name string) *wire.MachineType {
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
		var in wire.MachineNames
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
			encode(rw, 200, w.list(q.URL.Query().Get("after")))
			return
		}
		var in wire.RentalRequest
		if !decode(q, &in) || w.kind(in.Type) == nil {
			encode(rw, 400, wire.Error{Error: "malformed"})
			return
		}
		if old, ok := w.hires[in.Request]; ok {
			encode(rw, 200, wire.MachineNames{Hosts: old})
			return
		}
		n := min(in.Count, w.cfg.Most-len(w.workers), w.left(in.Zone))
		if n <= 0 {
			encode(rw, 503, wire.Error{Error: "no capacity"})
			return
		}
		var names []string
		for range n {
			takes := time.Duration(w.kind(in.Type).BootS * float64(time.Second))
			if w.cold > 0 {
				w.cold--
				takes += w.late
			}
			names = append(names, w.boot(in.Type, in.Zone, in.Spot, takes))
		}
		w.hires[in.Request] = names
		encode(rw, 200, wire.MachineNames{Hosts: names})
	default:
		encode(rw, 404, wire.Error{Error: "no such route"})
	}
}

// left is how many more machines a zone has; the caller holds the lock.
func (w *World) left(zone string) int {
	most, bound := w.cfg.Zones[zone]
	if n, ok := w.short[zone]; ok {
		most, bound = n, true
	}
	if !bound {
		return w.cfg.Most
	}
	for _, k := range w.workers {
		if k.zone == zone {
			most--
		}
	}
	return most
}

// Shorten leaves a zone that many machines to rent; below 0: as many as before.
func (w *World) Shorten(zone string, most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if most < 0 {
		delete(w.short, zone)
	} else {
		w.short[zone] = most
	}
}

// SlowFetch makes images that machines do not have come that much later.
func (w *World) SlowFetch(ks []*Worker, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.late = by
	}
}

// list is the machine list, which lags.
func (w *World) list(after string) wire.CloudMachinePage {
	out := []wire.CloudMachine{}
	for _, n := range slices.Sorted(maps.Keys(w.workers)) {
		k := w.workers[n]
		phase := wire.MachineRunning
		if time.Now().Before(k.up) {
			phase = wire.MachineBooting
		}
		if n > after && time.Since(k.born) > w.cfg.ListLag {
			out = append(out, wire.CloudMachine{Name: n, Addr: k.addr, Type: k.typ, Zone: k.zone, Spot: k.spot, Phase: phase, AgeS: time.Since(k.born).Seconds()})
		}
	}
	return wire.CloudMachinePage{Hosts: out}
}
