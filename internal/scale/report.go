package scale

import (
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/procfs"

	"vetchstream/internal/emulate"
)

// Report is what a run has measured. Workers, state services, clouds and users are
// emulated; controllers are real processes.
type Report struct {
	Factor      float64 `json:"factor"`
	Workers     int     `json:"workers"`
	Controllers int     `json:"controllers"`
	Teams       int     `json:"teams"`
	DurationS   float64 `json:"duration_s"`
	// ReadyS is the time from the first process until the workers had answers.
	ReadyS float64 `json:"ready_s"`
	// Stopped is why the run has ended before its time; empty: it has not.
	Stopped string `json:"stopped,omitempty"`
	// RequestedStartsPerS is the rate of task starts that users requested, StartsPerS the rate of those
	// that there were.
	RequestedStartsPerS float64 `json:"asked_starts_per_s"`
	Starts              int     `json:"starts"`
	StartsPerS          float64 `json:"starts_per_s"`
	// RunningPeak is the largest number of tasks on their machines at a time.
	RunningPeak  int           `json:"running_peak"`
	MeanTaskRunS float64       `json:"task_run_s"`
	Jobs         jobCounts     `json:"jobs"`
	Violations   []string      `json:"rules_broken"`
	Worker       workerTraffic `json:"worker"`
	// Configuration is how long changes of the teams took.
	Configuration configurationReport `json:"configuration"`
	UrgentMs      quantiles           `json:"urgent_start_ms"`
	OtherMs       quantiles           `json:"other_start_ms"`
	Regions       []regionReport      `json:"regions"`
	// EmulationCPU is what emulated workers, key-value stores, clouds and users used together, in
	// cores, and EmulationMB their memory.
	EmulationCPU float64 `json:"stand_ins_cpu"`
	EmulationMB  float64 `json:"stand_ins_mb"`
	TotalMB      float64 `json:"total_mb"`
}

// jobCounts counts the jobs by what became of them.
type jobCounts struct {
	Submitted int64 `json:"submitted"`
	Accepted  int64 `json:"accepted"`
	Refused   int64 `json:"refused"`
	Done      int64 `json:"told_done"`
}

// quantiles of a time, in milliseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"most"`
}

// quantilesOf are the quantiles of a histogram of milliseconds.
func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}

// regionReport is what one region did and used.
type regionReport struct {
	Name               string             `json:"name"`
	Zones              int                `json:"zones"`
	Workers            int                `json:"workers"`
	StartsPerS         float64            `json:"starts_per_s"`
	HeartbeatsPerS     float64            `json:"reports_per_s"`
	DirectCommandsPerS float64            `json:"direct_commands_per_s"`
	StateRequestsPerS  float64            `json:"state_requests_per_s"`
	StateWritesPerS    float64            `json:"state_writes_per_s"`
	StateKeys          int                `json:"state_keys"`
	Controllers        []controllerReport `json:"controllers"`
}

// controllerReport is what one controller used.
type controllerReport struct {
	Member string `json:"member"`
	controllerStats
}

// counterReading is the counters of a moment.
type counterReading struct {
	traffic []map[string]counters
	starts  []int
	loads   []emulate.Load
	stores  []emulate.StoreLoad
}

func (r *run) readCounters() (out counterReading) {
	for _, region := range r.regions {
		out.traffic = append(out.traffic, region.network.totals())
		out.starts = append(out.starts, region.world.Starts())
		out.loads = append(out.loads, region.world.Load())
		out.stores = append(out.stores, region.store.Load())
	}
	return out
}

// report compares two readings, took apart. ready is how long the start took, cpu the processor
// time of this process in between.
func (r *run) report(before, after counterReading, took, ready, cpu time.Duration) *Report {
	o := &r.options
	p := &Report{
		Factor:              o.Factor,
		Controllers:         o.Controllers,
		Teams:               o.teamCount(),
		DurationS:           took.Seconds(),
		ReadyS:              ready.Seconds(),
		RequestedStartsPerS: o.requestedStartsPerS(),
		MeanTaskRunS:        o.meanTaskRunTime().Seconds(),
		Violations:          []string{},
		Worker:              trafficPerWorker(before.traffic, after.traffic, took),
		EmulationCPU:        cpu.Seconds() / took.Seconds(),
	}
	for i, region := range r.regions {
		p.Workers += region.workers
		p.Starts += after.starts[i] - before.starts[i]
		p.Violations = append(p.Violations, region.world.Violations()...)
		p.Jobs.Submitted += region.users.submitted.Load()
		p.Jobs.Accepted += region.users.accepted.Load()
		p.Jobs.Refused += region.users.refused.Load()
		p.Jobs.Done += region.users.done.Load()
		p.Regions = append(p.Regions, region.report(i, before, after, took.Seconds()))
	}
	p.StartsPerS = float64(p.Starts) / took.Seconds()
	p.UrgentMs, p.OtherMs = r.startWaits.quantiles()
	r.mu.Lock()
	defer r.mu.Unlock()
	p.RunningPeak = r.runningPeak
	p.EmulationMB = r.emulationMB
	p.TotalMB = r.totalMB
	return p
}

// report compares two readings of region i, that many seconds apart.
func (r *region) report(i int, before, after counterReading, seconds float64) regionReport {
	perS := func(was, now int) float64 { return float64(now-was) / seconds }
	out := regionReport{
		Name:               r.name,
		Zones:              len(r.zones),
		Workers:            r.workers,
		StartsPerS:         perS(before.starts[i], after.starts[i]),
		HeartbeatsPerS:     perS(before.loads[i].Heartbeats, after.loads[i].Heartbeats),
		DirectCommandsPerS: perS(before.loads[i].DirectCommands, after.loads[i].DirectCommands),
		StateRequestsPerS:  perS(before.stores[i].Requests, after.stores[i].Requests),
		StateWritesPerS:    perS(before.stores[i].Writes, after.stores[i].Writes),
		StateKeys:          r.store.CountKeys(""),
	}
	for _, c := range r.controllers {
		out.Controllers = append(out.Controllers, controllerReport{c.member, c.statistics()})
	}
	return out
}

// Print writes the report as text with tables.
func (p *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d workers in %d regions, %d controllers, %d teams, %.0f s (ready after %.0f s); workers and outside systems are emulated\n",
		p.Workers, len(p.Regions), p.Controllers, p.Teams, p.DurationS, p.ReadyS)
	if p.Stopped != "" {
		fmt.Fprintf(w, "stopped early: %s\n", p.Stopped)
	}
	fmt.Fprintf(w, "task starts: %d, %.0f a second of %.0f asked for; at most %d at a time, of %.0f s\n", p.Starts, p.StartsPerS, p.RequestedStartsPerS, p.RunningPeak, p.MeanTaskRunS)
	fmt.Fprintf(w, "jobs: %d submitted, %d accepted, %d refused, %d told done\n", p.Jobs.Submitted, p.Jobs.Accepted, p.Jobs.Refused, p.Jobs.Done)
	fmt.Fprintf(w, "a worker sends %.0f and receives %.0f bytes a second (most: %.0f together), %.2f messages a second\n", p.Worker.Sent, p.Worker.Received, p.Worker.MaxTotal, p.Worker.Messages)
	fmt.Fprintf(w, "start of urgent tasks, ms: %d of them, p50 %d, p99 %d, most %d; of others: %d, p50 %d, p99 %d, most %d\n",
		p.UrgentMs.Count, p.UrgentMs.P50, p.UrgentMs.P99, p.UrgentMs.Max, p.OtherMs.Count, p.OtherMs.P50, p.OtherMs.P99, p.OtherMs.Max)
	c := &p.Configuration
	fmt.Fprintf(w, "configuration: %d changes, %d refused, %d not in force at the end; in force everywhere, ms: p50 %d, p99 %d, most %d; %d waited for another region, most %d\n",
		c.Changes, c.Refused, c.Unsettled, c.InForceMs.P50, c.InForceMs.P99, c.InForceMs.Max, c.InForceAfterWaitMs.Count, c.InForceAfterWaitMs.Max)
	fmt.Fprintf(w, "stand-ins: %.2f cores, %.0f MB; all processes %.0f MB\n", p.EmulationCPU, p.EmulationMB, p.TotalMB)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "REGION\tZONES\tWORKERS\tSTARTS/S\tREPORTS/S\tDIRECT/S\tSTATE REQ/S\tWRITES/S\tKEYS")
	for _, g := range p.Regions {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%d\n", g.Name, g.Zones, g.Workers, g.StartsPerS, g.HeartbeatsPerS, g.DirectCommandsPerS, g.StateRequestsPerS, g.StateWritesPerS, g.StateKeys)
	}
	fmt.Fprintln(t, "CONTROLLER\tCPU MEAN\tCPU PEAK\tMEMORY MB\tSOCKETS\tENDS")
	for _, g := range p.Regions {
		for _, c := range g.Controllers {
			fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.0f\t%d\t%d\n", c.Member, c.CPUMean, c.CPUPeak, c.RSSPeakMB, c.SocketsPeak, c.UnexpectedExits)
		}
	}
	_ = t.Flush()
	for _, b := range p.Violations {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}

// ownCPU is the processor time that this process has used.
func ownCPU() time.Duration {
	u, err := usageOf(os.Getpid())
	if err != nil {
		return 0
	}
	return u.cpu
}

// memoryLimitMB is the memory of the machine that a run may use.
func memoryLimitMB() (float64, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	info, err := fs.Meminfo()
	if err != nil {
		return 0, err
	}
	if info.MemTotal == nil {
		return 0, errors.New("meminfo: no MemTotal")
	}
	return maxMemoryShare * float64(*info.MemTotal) / 1024, nil // it is in KB
}
