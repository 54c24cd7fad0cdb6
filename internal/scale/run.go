package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"vetchstream/internal/emulate"
)

const (
	// readyTimeout bounds the time until controllers and workers are ready, and readyInterval is
	// the interval between checks.
	readyTimeout  = 90 * time.Second
	readyInterval = 200 * time.Millisecond
	// bootsPerS is the rate at which the workers of a region boot, per second.
	bootsPerS = 400
	// readyShare is the share of the workers that must have got a response before the load
	// starts.
	readyShare = 0.98
	// sampleInterval is the interval between samples of the usage of the processes.
	sampleInterval = 2 * time.Second
	// maxMemoryShare is the share of the machine's memory that a run may use.
	maxMemoryShare = 0.5
	probeTimeout   = time.Second
)

// errMemoryLimit stops a run whose processes exceed the memory limit.
var errMemoryLimit = errors.New("the processes of the run use more than half of the machine's memory")

// run holds the state of a run.
type run struct {
	options       Options
	launcher      *launcher
	regions       []*region
	relays        map[link]*relay
	startWaits    *startWaits
	blockListener net.Listener // reserves the block of loopback addresses
	client        *http.Client
	memoryLimitMB float64

	mu          sync.Mutex // guards the peaks below
	runningPeak int        // tasks
	emulationMB float64    // of this process
	totalMB     float64    // of all processes
}

// link identifies the connection from a region to a controller of another region.
type link struct{ from, to, address string }

// Run runs the controllers under load and measures them. Before it returns, it stops all processes
// and goroutines that it has started.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	dir, err := os.MkdirTemp("", "vetchstream-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{
		options:    o,
		launcher:   newLauncher(),
		relays:     map[link]*relay{},
		startWaits: newStartWaits(),
		client:     &http.Client{Timeout: probeTimeout},
	}
	defer r.close()
	if r.memoryLimitMB, err = memoryLimitMB(); err != nil {
		return nil, err
	}
	begun := time.Now()
	if err := r.prepare(dir); err != nil {
		return nil, err
	}
	if err := r.waitReady(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx, time.Since(begun))
}

// prepare starts the emulated systems of all regions, then the controllers.
func (r *run) prepare(dir string) error {
	loopback, err := r.claimAddressBlock()
	if err != nil {
		return err
	}
	for _, p := range r.options.plan() {
		region, err := newRegion(&r.options, p, loopback, r.startWaits, dir)
		if region != nil {
			r.regions = append(r.regions, region)
		}
		if err != nil {
			return err
		}
	}
	for _, region := range r.regions {
		if err := r.startControllers(region); err != nil {
			return err
		}
	}
	return nil
}

// startControllers writes the operators' settings of a region and starts its controllers.
func (r *run) startControllers(region *region) error {
	regions, err := r.regionSettings(region)
	if err != nil {
		return err
	}
	if err := region.writeTuning(regions); err != nil {
		return err
	}
	for _, c := range region.controllers {
		if err := c.start(r.launcher); err != nil {
			return err
		}
	}
	return nil
}

// Blocks of loopback addresses that runs choose from: 127.100.0.0/16 to 127.199.0.0/16.
const (
	firstBlock, lastBlock = 100, 199
	blockAddress          = "127.%d.255.254:1079"
)

// claimAddressBlock reserves a block of loopback addresses that no other run on the same machine
// uses.
func (r *run) claimAddressBlock() (*emulate.Loopback, error) {
	blocks := lastBlock - firstBlock + 1
	for i := range blocks {
		block := firstBlock + (os.Getpid()+i)%blocks
		ln, err := net.Listen("tcp4", fmt.Sprintf(blockAddress, block))
		if err == nil {
			r.blockListener = ln
			return emulate.NewLoopbackAt(byte(block)), nil
		}
	}
	return nil, errors.New("other runs use all blocks of loopback addresses")
}

// waitReady waits until the controllers are healthy, boots the workers and waits until the controllers
// have responded to readyShare of them.
func (r *run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, region := range r.regions {
		for !region.healthy(r.client) {
			if region.controllerExited() || !sleep(ctx, readyInterval) {
				return fmt.Errorf("the controllers of %s were not healthy within %v; last log line of the first: %s", region.name, readyTimeout, region.controllers[0].lastLogLine())
			}
		}
	}
	for _, region := range r.regions {
		region.bootWorkers(time.Second * time.Duration(region.workers) / bootsPerS)
	}
	for _, region := range r.regions {
		for region.world.AnsweredWorkers() < int(readyShare*float64(region.workers)) {
			if !sleep(ctx, readyInterval) {
				return fmt.Errorf("only %d of %d workers of %s got a response within %v", region.world.AnsweredWorkers(), region.workers, region.name, readyTimeout)
			}
		}
	}
	return nil
}

// measure applies the load, injects the faults and returns the report.
func (r *run) measure(ctx context.Context, startup time.Duration) (*Report, error) {
	loadCtx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	begun := time.Now()
	before := r.readCounters()
	cpu := ownCPU()
	r.startLoad(loadCtx, begun)
	var wg sync.WaitGroup
	for i, f := range r.options.Faults {
		wg.Go(func() { r.injectFault(loadCtx, f, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	operators := newOperators(r)
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(len(r.regions))))
	wg.Go(func() { operators.changeLimits(loadCtx, r.options.ChangesPerMinute, random) })
	err := r.watch(loadCtx, operators.checkLimits)
	cancel()
	took := time.Since(begun)
	report := r.report(before, r.readCounters(), took, startup, ownCPU()-cpu)
	if err != nil {
		report.Stopped = err.Error()
	}
	for _, region := range r.regions {
		region.users.close()
	}
	wg.Wait()
	operators.watchers.Wait()
	report.Configuration = operators.report()
	return report, ctx.Err()
}

// startLoad resets the statistics of the controllers and starts the users of all regions, who submit
// jobs until the context ends.
func (r *run) startLoad(ctx context.Context, begun time.Time) {
	for _, region := range r.regions {
		for _, c := range region.controllers {
			c.reset(begun)
		}
	}
	var lastJobID atomic.Int64
	for i, region := range r.regions {
		u := newUsers(region.world, region.addresses, region.teamNames(), r.options.meanTaskRunTime(), &lastJobID)
		region.startLoad(ctx, u, r.options.Seed+uint64(i)<<32)
	}
}

// watch samples the processes and calls check at intervals until the load ends. It returns
// errMemoryLimit if the processes exceed the memory limit.
func (r *run) watch(ctx context.Context, check func()) error {
	for sleep(ctx, sampleInterval) {
		check()
		if r.sample() > r.memoryLimitMB {
			return errMemoryLimit
		}
	}
	r.sample()
	return nil
}

// sample reads the usage of all processes and returns the sum of their memory, in MB.
func (r *run) sample() float64 {
	now := time.Now()
	own, err := usageOf(os.Getpid())
	if err != nil {
		r.options.Log.Error("failed to read the resource usage of this process", "error", err)
	}
	totalMB := own.rssMB
	running := 0
	for _, region := range r.regions {
		running += region.world.Load().RunningTasks
		for _, c := range region.controllers {
			totalMB += c.sample(now).rssMB
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runningPeak = max(r.runningPeak, running)
	r.emulationMB = max(r.emulationMB, own.rssMB)
	r.totalMB = max(r.totalMB, totalMB)
	return totalMB
}

// close stops everything that the run has started.
func (r *run) close() {
	for _, relay := range r.relays {
		relay.close()
	}
	for _, region := range r.regions {
		region.close(r.options.Log)
	}
	r.client.CloseIdleConnections()
	if r.blockListener != nil {
		_ = r.blockListener.Close()
	}
	r.launcher.close()
}
