// Package scale runs controllers of several regions as real processes against emulated workers,
// and measures the resources that each role needs as the fleet grows. Package emulate provides the
// workers, which run no tasks, and the key-value stores, clouds and users, all in the calling
// process. They use the published protocol over loopback in real time.
package scale

import (
	"fmt"
	"log/slog"
	"math"
	"time"
)

// The size that the system is planned for, which is the size of a run with factor 1.
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

// Bounds of a run. They limit its duration and its use of the machine's resources.
const (
	maxFactor      = 2
	maxControllers = 40
	maxRegions     = 10
	maxDuration    = time.Hour
	maxChanges     = 1000 // of the configuration, per minute
	minDuration    = 5 * time.Second
)

// Options configures a run.
type Options struct {
	// Factor multiplies the planned number of workers, task starts per second and teams.
	Factor float64
	// Regions is the number of regions, and Controllers that of controllers in all regions.
	// Each region has at least one controller.
	Regions, Controllers int
	// StartsPerS is the rate of task starts that the users request per second; 0 stands for
	// the planned rate times Factor.
	StartsPerS float64
	// Duration is the duration of the load.
	Duration time.Duration
	// Seed seeds the random draws of jobs, configuration changes and fault targets.
	Seed uint64
	// Faults lists the faults to inject.
	Faults []Fault
	// ChangesPerMinute is the rate of configuration changes; 0 stands for none.
	ChangesPerMinute float64
	// Binary is the path of the program that runs as a controller.
	Binary string
	Log    *slog.Logger
}

// Check returns an error that names the first option outside its bounds.
func (o *Options) Check() error {
	switch {
	case !(o.Factor > 0 && o.Factor <= maxFactor):
		return fmt.Errorf("--factor %v must be greater than 0 and at most %d", o.Factor, maxFactor)
	case o.Regions < 1 || o.Regions > maxRegions:
		return fmt.Errorf("--regions %d must be from 1 to %d", o.Regions, maxRegions)
	case o.Controllers < o.Regions || o.Controllers > maxControllers:
		return fmt.Errorf("--controllers %d must be from the number of regions to %d", o.Controllers, maxControllers)
	case !(o.StartsPerS >= 0 && o.StartsPerS <= maxFactor*PlannedStartsPerS):
		return fmt.Errorf("--starts %v must be from 0 to %d", o.StartsPerS, maxFactor*PlannedStartsPerS)
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fmt.Errorf("--duration %v must be from %v to %v", o.Duration, minDuration, maxDuration)
	case !(o.ChangesPerMinute >= 0 && o.ChangesPerMinute <= maxChanges):
		return fmt.Errorf("--changes %v must be from 0 to %d", o.ChangesPerMinute, maxChanges)
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

// firstRegionShare is the share of the fleet in the first region if there are three regions or more.
const firstRegionShare = 1.0 / 3

// regionShares returns each region's share of the fleet. Of three or more regions, the first has a
// third, and each later one less than the one before.
func regionShares(regions int) []float64 {
	if regions == 1 {
		return []float64{1}
	}
	shares := []float64{firstRegionShare}
	if regions == 2 {
		shares[0] = 0.6
	}
	sum := 0.0
	for i := 1; i < regions; i++ {
		sum += regionWeight(i, regions)
	}
	rest := 1 - shares[0]
	for i := 1; i < regions; i++ {
		shares = append(shares, rest*regionWeight(i, regions)/sum)
	}
	return shares
}

// regionWeight returns the relative weight of a region after the first. The weight of the second is
// about twice that of the last.
func regionWeight(i, regions int) float64 { return float64(2*regions - i) }

// regionNames returns the names of the regions, the home region first.
func (o *Options) regionNames() []string {
	names := make([]string, o.Regions)
	for i := range names {
		names[i] = fmt.Sprintf("region-%d", i)
	}
	return names
}

// requestedStartsPerS returns the rate of task starts that users of all regions request together.
func (o *Options) requestedStartsPerS() float64 {
	if o.StartsPerS > 0 {
		return o.StartsPerS
	}
	return PlannedStartsPerS * o.Factor
}

// teamCount returns the number of teams, which is at least four.
func (o *Options) teamCount() int { return max(4, int(math.Round(PlannedTeams*o.Factor))) }

// meanTaskRunTime returns the mean run time of tasks. It follows from the planned start rate and
// number of running tasks, and is at most a quarter of the run, so that tasks also end in short runs.
func (o *Options) meanTaskRunTime() time.Duration {
	planned := time.Duration(float64(time.Second) * PlannedRunningTasks / PlannedStartsPerS)
	return min(planned, o.Duration/4)
}

// plan divides the zones, workers, controllers and load among the regions.
func (o *Options) plan() []regionPlan {
	shares, names := regionShares(o.Regions), o.regionNames()
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
		p.workers = max(1, int(math.Round(PlannedWorkers*o.Factor*shares[i])))
		p.startsPerS = o.requestedStartsPerS() * shares[i]
		p.controllers = o.Controllers / o.Regions
		if i < o.Controllers%o.Regions {
			p.controllers++
		}
	}
	return plans
}
