package node

import (
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// acceleratorTypes are machines with accelerators: one type in both zones, the other in the
// large one alone.
var acceleratorTypes = []wire.MachineType{
	{Name: "half", CPUs: 32, GPUs: 4, MemGB: 256, CacheGB: 30, FetchRate: 1, Price: 13, SpotPrice: 3, BootS: 4, Zones: []string{"b"}},
	{Name: "whole", CPUs: 64, GPUs: 8, MemGB: 512, CacheGB: 30, FetchRate: 1, Price: 20, SpotPrice: 5, BootS: 4, Zones: []string{"a", "b"}},
}

// acceleratorEnvironment is a site whose teams are guaranteed and limited in accelerators alone,
// with a small zone and a large one. Replicas are kept apart, gangs take whole machines.
func acceleratorEnvironment(scale int) environment {
	return environment{controllers: 5, scale: scale,
		configure: func(set *config.Settings, tun *config.Tuning) {
			withSharding(set, tun)
			n := float64(scale)
			set.Facts.Zones = []string{"a", "b"}
			set.Facts.Teams = []config.Team{{Name: "red", GPUs: 12 * n, GPUsMax: 14 * n}, {Name: "blue", GPUs: 16 * n, GPUsMax: 48 * n}}
		},
		editCluster: func(c *emulate.Config) {
			n := float64(scale)
			c.Types, c.MaxMachines, c.ZoneCapacity = acceleratorTypes, 14*scale, map[string]int{"a": 2 * scale}
			c.Limits = map[string]emulate.Limit{"red": {GPUs: 14 * n}, "blue": {GPUs: 48 * n}}
		},
		submitWorkload: func(s *simulation, add func(*job.Spec, time.Duration, time.Duration)) {
			for range scale {
				s.Boot("whole", "a", false, 0)
				s.Boot("whole", "b", false, 0)
				s.Boot("half", "b", false, 0)
				s.Boot("half", "b", true, 0)
			}
			hand := func(shape, rank, team string, tasks int, gpus, secs, at float64, edit func(*job.Spec)) {
				sp := &job.Spec{Team: team, ShapeName: shape, PriorityName: rank, Tasks: tasks, CPUs: 6 * gpus, GPUs: gpus, MemGB: 40 * gpus, EstimateS: secs}
				if edit != nil {
					edit(sp)
				}
				abort := time.Duration(0)
				if shape == "daemon" {
					abort = 80 * time.Second
				}
				add(sp, time.Duration(at*float64(time.Second)), abort)
			}
			whole := func(j *job.Spec) { j.OneZone, j.CheckpointS, j.SaveS = true, 4, 1 }
			for i := range 4 {
				at := float64(1 + 11*i)
				hand("daemon", "production", "blue", 2+2*(i%2), 1, 0, at, func(j *job.Spec) { j.Spread = true })
				hand("array", "standard", "red", 20*scale, 1, 5, at, func(j *job.Spec) { j.Spot = true })
				hand("ensemble", "standard", "blue", 2, 4, 9, at+1, whole)
				hand("ensemble", "standard", "red", 2, 2, 12, at+2, whole)
				hand("array", "standard", "blue", 12*scale, 1, 6, at+3, func(j *job.Spec) { j.Spot = true })
			}
		}}
}

// zoneShortage takes the room of a zone away from the cloud, and its machines with it.
func zoneShortage(zone string, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.LimitZone(zone, 0)
		s.Kill(s.WorkersInZone(zone))
		time.Sleep(d)
		s.LimitZone(zone, -1)
	}
}

// TestAccelerated plays days on which accelerators are what is scarce: limits and
// guarantees in them, replicas apart in two zones of which one is short, gangs that
// take whole machines.
func TestAccelerated(t *testing.T) {
	sec := time.Second
	runScenarios(t, acceleratorEnvironment(1), nil, []scenario{
		{"quiet", nil},
		{"the small zone is short, over a takeover", []fault{{14 * sec, zoneShortage("a", 30*sec)}, {18 * sec, crashControllers(1)}}},
		{"replicas lose their machines, then two controllers end together", []fault{{16 * sec, killMachines(newRand(51), 2)}, {30 * sec, crashControllers(2)}}},
		{"images that come for longer than a gang waits", []fault{{time.Second, func(s *simulation) { s.SlowImagePulls(s.RandomWorkers(newRand(52), 2), 26*sec) }}}},
		{"all end while replicas are being replaced", []fault{{16 * sec, killMachines(newRand(53), 2)}, {17 * sec, crashControllers(5)}}},
	})
}
