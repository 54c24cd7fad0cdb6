// Package scale runs the controllers as real processes, in several regions, beside
// workers that run no tasks, and measures what each role takes as the fleet grows.
// Workers, state services, clouds and users are emulated in the calling process (package
// emulate), and speak the published protocol over loopback in real time.
package scale

import (
	"fmt"
	"log/slog"
	"math"
	"time"
)

// The size that the system is planned for, that of a run with factor 1.
const (
	PlannedWorkers      = 4600
	PlannedStartsPerS   = 3200
	PlannedRunningTasks = 120_000
	PlannedTeams        = 190
	PlannedZones        = 16
	PlannedRegions      = 5
	PlannedControllers  = 11
	PlannedLargestGang  = 256
)

// Bounds of a run, so that it ends and leaves resources of the machine to others.
const (
	maxFactor      = 2
	maxControllers = 40
	maxRegions     = 10
	maxDuration    = time.Hour
	maxChanges     = 1000 // of the configuration, a minute
	minDuration    = 5 * time.Second
)

// Options says what is run.
type Options struct {
	// Factor of the planned size: workers, starts a second and teams.
	Factor float64
	// Regions and Controllers are how many there are in all; each region has at least one
	// controller.
	Regions, Controllers int
	// StartsPerS is how many task starts the users ask for a second; 0: the planned rate
	// times Factor.
	StartsPerS float64
	// Duration is how long the load lasts.
	Duration time.Duration
	// Seed draws the jobs.
	Seed uint64
	// Faults are injected, each at its time.
	Faults []Fault
	// ChangesPerMinute is how many changes of the configuration are made a minute; 0: none.
	ChangesPerMinute float64
	// Binary is the controllers' program.
	Binary string
	Log    *slog.Logger
}

// Check returns an error that names the first option that is out of bounds.
func (o *Options) Check() error {
	switch {
	case !(o.Factor > 0 && o.Factor <= maxFactor):
		return fmt.Errorf("--factor %v is not above 0 and up to %d", o.Factor, maxFactor)
	case o.Regions < 1 || o.Regions > maxRegions:
		return fmt.Errorf("--regions %d is not from 1 to %d", o.Regions, maxRegions)
	case o.Controllers < o.Regions || o.Controllers > maxControllers:
		return fmt.Errorf("--controllers %d is not from the number of regions to %d", o.Controllers, maxControllers)
	case !(o.StartsPerS >= 0 && o.StartsPerS <= maxFactor*PlannedStartsPerS):
		return fmt.Errorf("--starts %v is not from 0 to %d", o.StartsPerS, maxFactor*PlannedStartsPerS)
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fmt.Errorf("--duration %v is not from %v to %v", o.Duration, minDuration, maxDuration)
	case !(o.ChangesPerMinute >= 0 && o.ChangesPerMinute <= maxChanges):
		return fmt.Errorf("--changes %v is not from 0 to %d", o.ChangesPerMinute, maxChanges)
	}
	return checkFaults(o.Faults, o.regionNames())
}

// regionPlan is the size of one region.
type regionPlan struct {
	name        string
	zones       []string
	workers     int
	controllers int
	startsPerS  float64
}

// largestShare is the part of the fleet that is in the first region.
const largestShare = 1.0 / 3

// regionShares are the regions' parts of the fleet: a third in the first, the others ever
// smaller.
func regionShares(regions int) []float64 {
	if regions == 1 {
		return []float64{1}
	}
	out := []float64{largestShare}
	if regions == 2 {
		out[0] = 0.6
	}
	sum := 0.0
	for i := 1; i < regions; i++ {
		sum += regionWeight(i, regions)
	}
	rest := 1 - out[0]
	for i := 1; i < regions; i++ {
		out = append(out, rest*regionWeight(i, regions)/sum)
	}
	return out
}

// regionWeight is the weight of a region after the first: the second has about twice
// that of the last.
func regionWeight(i, regions int) float64 { return float64(2*regions - i) }

// regionNames are the names of the regions, the home region first.
func (o *Options) regionNames() []string {
	names := make([]string, o.Regions)
	for i := range names {
		names[i] = fmt.Sprintf("region-%d", i)
	}
	return names
}

// requestedStartsPerS is the rate of task requestedStartsPerS that users ask for in all.
func (o *Options) requestedStartsPerS() float64 {
	if o.StartsPerS > 0 {
		return o.StartsPerS
	}
	return PlannedStartsPerS * o.Factor
}

// teamCount is the number of teamCount.
func (o *Options) teamCount() int { return max(4, int(math.Round(PlannedTeams*o.Factor))) }

// meanTaskRunTime is the mean run time of a task: what the planned rate and number of running
// tasks imply, and in a short run no more than a quarter of it, so that tasks end in it.
func (o *Options) meanTaskRunTime() time.Duration {
	planned := time.Duration(float64(time.Second) * PlannedRunningTasks / PlannedStartsPerS)
	return min(planned, o.Duration/4)
}

// plan divides the fleet among the regions.
func (o *Options) plan() []regionPlan {
	parts, names := regionShares(o.Regions), o.regionNames()
	plans := make([]regionPlan, o.Regions)
	for i := range plans {
		zones := PlannedZones / o.Regions
		if i < PlannedZones%o.Regions {
			zones++
		}
		p := &plans[i]
		p.name = names[i]
		for z := range max(1, zones) {
			p.zones = append(p.zones, fmt.Sprintf("%s-%c", p.name, 'a'+z))
		}
		p.workers = max(1, int(math.Round(PlannedWorkers*o.Factor*parts[i])))
		p.startsPerS = o.requestedStartsPerS() * parts[i]
		p.controllers = o.Controllers / o.Regions
		if i < o.Controllers%o.Regions {
			p.controllers++
		}
	}
	return plans
}
