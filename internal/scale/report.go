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

// Report holds the measurements of a run. The controllers are real processes; workers, key-value
// stores, clouds and users are emulated.
type Report struct {
	Factor      float64 `json:"factor"`
	Workers     int     `json:"workers"`
	Controllers int     `json:"controllers"`
	Teams       int     `json:"teams"`
	DurationS   float64 `json:"duration_s"`
	// ReadyS is the time from the start of the run until the workers had got their first
	// responses.
	ReadyS float64 `json:"ready_s"`
	// Stopped is the reason why the run ended early, or empty if it did not.
	Stopped string `json:"stopped,omitempty"`
	// RequestedStartsPerS is the rate of task starts that users requested, StartsPerS the
	// actual rate.
	RequestedStartsPerS float64 `json:"asked_starts_per_s"`
	Starts              int     `json:"starts"`
	StartsPerS          float64 `json:"starts_per_s"`
	// RunningPeak is the maximum number of tasks that ran at the same time.
	RunningPeak  int           `json:"running_peak"`
	MeanTaskRunS float64       `json:"task_run_s"`
	Jobs         jobCounts     `json:"jobs"`
	Violations   []string      `json:"rules_broken"`
	Worker       workerTraffic `json:"worker"`
	// Configuration describes the changes of teams' limits.
	Configuration configurationReport `json:"configuration"`
	UrgentMs      quantiles           `json:"urgent_start_ms"`
	OtherMs       quantiles           `json:"other_start_ms"`
	Regions       []regionReport      `json:"regions"`
	// EmulationCPU is the processor time of this process, which emulates workers, key-value
	// stores, clouds and users, in cores. EmulationMB is the peak of its memory, and TotalMB
	// that of all processes together.
	EmulationCPU float64 `json:"stand_ins_cpu"`
	EmulationMB  float64 `json:"stand_ins_mb"`
	TotalMB      float64 `json:"total_mb"`
}

// jobCounts counts jobs by outcome, as the users observe it.
type jobCounts struct {
	Submitted int64 `json:"submitted"`
	Accepted  int64 `json:"accepted"`
	Refused   int64 `json:"refused"`
	Done      int64 `json:"told_done"`
}

// quantiles summarizes a distribution of times, in milliseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"most"`
}

// quantilesOf returns the quantiles of a histogram of milliseconds.
func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}

// regionReport holds the measurements of one region.
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

// controllerReport holds the resource usage of one controller.
type controllerReport struct {
	Member string `json:"member"`
	controllerStats
}

// counterReading is a snapshot of the counters of all regions, in their order.
type counterReading struct {
	traffic []map[string]counters
	starts  []int
	loads   []emulate.Load
	stores  []emulate.StoreLoad
}

func (r *run) readCounters() (reading counterReading) {
	for _, region := range r.regions {
		reading.traffic = append(reading.traffic, region.network.totals())
		reading.starts = append(reading.starts, region.world.Starts())
		reading.loads = append(reading.loads, region.world.Load())
		reading.stores = append(reading.stores, region.store.Load())
	}
	return reading
}

// report derives the report from two readings that are took apart. ready is the duration of the
// start, cpu the processor time of this process between the readings.
func (r *run) report(before, after counterReading, took, ready, cpu time.Duration) *Report {
	options := &r.options
	result := &Report{
		Factor:              options.Factor,
		Controllers:         options.Controllers,
		Teams:               options.teamCount(),
		DurationS:           took.Seconds(),
		ReadyS:              ready.Seconds(),
		RequestedStartsPerS: options.requestedStartsPerS(),
		MeanTaskRunS:        options.meanTaskRunTime().Seconds(),
		Violations:          []string{},
		Worker:              trafficPerWorker(before.traffic, after.traffic, took),
		EmulationCPU:        cpu.Seconds() / took.Seconds(),
	}
	for i, region := range r.regions {
		result.Workers += region.workers
		result.Starts += after.starts[i] - before.starts[i]
		result.Violations = append(result.Violations, region.world.Violations()...)
		result.Jobs.Submitted += region.users.submitted.Load()
		result.Jobs.Accepted += region.users.accepted.Load()
		result.Jobs.Refused += region.users.refused.Load()
		result.Jobs.Done += region.users.done.Load()
		result.Regions = append(result.Regions, region.report(i, before, after, took.Seconds()))
	}
	result.StartsPerS = float64(result.Starts) / took.Seconds()
	result.UrgentMs, result.OtherMs = r.startWaits.quantiles()
	r.mu.Lock()
	defer r.mu.Unlock()
	result.RunningPeak = r.runningPeak
	result.EmulationMB = r.emulationMB
	result.TotalMB = r.totalMB
	return result
}

// report derives the report of the region, which has index i, from two readings. seconds is the time
// between them.
func (r *region) report(i int, before, after counterReading, seconds float64) regionReport {
	perS := func(first, last int) float64 { return float64(last-first) / seconds }
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
	fmt.Fprintf(w, "%d workers in %d regions, %d controllers, %d teams, %.0f s (ready after %.0f s); workers and external systems are emulated\n",
		p.Workers, len(p.Regions), p.Controllers, p.Teams, p.DurationS, p.ReadyS)
	if p.Stopped != "" {
		fmt.Fprintf(w, "stopped early: %s\n", p.Stopped)
	}
	fmt.Fprintf(w, "task starts: %d, %.0f per second of %.0f requested; at most %d running tasks, mean run time %.0f s\n", p.Starts, p.StartsPerS, p.RequestedStartsPerS, p.RunningPeak, p.MeanTaskRunS)
	fmt.Fprintf(w, "jobs: %d submitted, %d accepted, %d refused, %d reported done\n", p.Jobs.Submitted, p.Jobs.Accepted, p.Jobs.Refused, p.Jobs.Done)
	fmt.Fprintf(w, "traffic per worker: %.0f bytes/s sent, %.0f bytes/s received (maximum of both: %.0f), %.2f messages/s\n", p.Worker.Sent, p.Worker.Received, p.Worker.MaxTotal, p.Worker.Messages)
	fmt.Fprintf(w, "start wait of urgent tasks, ms: %d tasks, p50 %d, p99 %d, max %d; of other tasks: %d tasks, p50 %d, p99 %d, max %d\n",
		p.UrgentMs.Count, p.UrgentMs.P50, p.UrgentMs.P99, p.UrgentMs.Max, p.OtherMs.Count, p.OtherMs.P50, p.OtherMs.P99, p.OtherMs.Max)
	changes := &p.Configuration
	fmt.Fprintf(w, "configuration: %d changes, %d refused, %d not in force at the end; delay until in force everywhere, ms: p50 %d, p99 %d, max %d; %d waited for another region, max %d\n",
		changes.Changes, changes.Refused, changes.Unsettled, changes.InForceMs.P50, changes.InForceMs.P99, changes.InForceMs.Max, changes.InForceAfterWaitMs.Count, changes.InForceAfterWaitMs.Max)
	fmt.Fprintf(w, "emulation: %.2f cores, %.0f MB; all processes: %.0f MB\n", p.EmulationCPU, p.EmulationMB, p.TotalMB)
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "REGION\tZONES\tWORKERS\tSTARTS/S\tREPORTS/S\tDIRECT/S\tSTATE REQ/S\tWRITES/S\tKEYS")
	for _, region := range p.Regions {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%d\n", region.Name, region.Zones, region.Workers, region.StartsPerS,
			region.HeartbeatsPerS, region.DirectCommandsPerS, region.StateRequestsPerS, region.StateWritesPerS, region.StateKeys)
	}
	fmt.Fprintln(table, "CONTROLLER\tCPU MEAN\tCPU PEAK\tMEMORY MB\tSOCKETS\tENDS")
	for _, region := range p.Regions {
		for _, c := range region.Controllers {
			fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.0f\t%d\t%d\n", c.Member, c.CPUMean, c.CPUPeak, c.RSSPeakMB, c.SocketsPeak, c.UnexpectedExits)
		}
	}
	_ = table.Flush()
	for _, violation := range p.Violations {
		fmt.Fprintln(w, "BROKEN:", violation)
	}
}

// ownCPU returns the processor time that this process has used, or 0 if it cannot be read.
func ownCPU() time.Duration {
	u, err := usageOf(os.Getpid())
	if err != nil {
		return 0
	}
	return u.cpu
}

// memoryLimitMB returns the amount of memory that the processes of a run may use together.
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
		return 0, errors.New("/proc/meminfo has no MemTotal")
	}
	return maxMemoryShare * float64(*info.MemTotal) / 1024, nil // MemTotal is in KB
}
