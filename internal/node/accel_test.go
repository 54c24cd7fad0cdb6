package node

import (
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// acceleratorTypes are machine types with accelerators. Both zones offer one of them; the other
// exists in the large zone only.
var acceleratorTypes = []wire.MachineType{
	{Name: "half", CPUs: 32, GPUs: 4, MemGB: 256, CacheGB: 30, FetchRate: 1, Price: 13, SpotPrice: 3, BootS: 4, Zones: []string{"b"}},
	{Name: "whole", CPUs: 64, GPUs: 8, MemGB: 512, CacheGB: 30, FetchRate: 1, Price: 20, SpotPrice: 5, BootS: 4, Zones: []string{"a", "b"}},
}

// acceleratorEnvironment has teams whose guarantees and limits cover accelerators only, a small
// zone and a large one. Services spread their replicas over the zones, and gangs occupy whole
// machines.
func acceleratorEnvironment(scale int) environment {
	factor := float64(scale)
	return environment{
		controllers: 5,
		scale:       scale,
		configure: func(set *config.Settings, tun *config.Tuning) {
			withSharding(set, tun)
			set.Facts.Zones = []string{"a", "b"}
			set.Facts.Teams = []config.Team{
				{Name: "red", GPUs: 12 * factor, GPUsMax: 14 * factor},
				{Name: "blue", GPUs: 16 * factor, GPUsMax: 48 * factor},
			}
		},
		editCluster: func(c *emulate.Config) {
			c.Types = acceleratorTypes
			c.MaxMachines = 14 * scale
			c.ZoneCapacity = map[string]int{"a": 2 * scale}
			c.Limits = map[string]emulate.Resources{"red": {GPUs: 14 * factor}, "blue": {GPUs: 48 * factor}}
		},
		submitWorkload: acceleratorWorkload,
	}
}

// acceleratorWorkload boots the first machines and submits services, arrays and gangs whose
// tasks use accelerators.
func acceleratorWorkload(s *simulation, add submitAt) {
	for range s.scale {
		s.Boot("whole", "a", false, 0)
		s.Boot("whole", "b", false, 0)
		s.Boot("half", "b", false, 0)
		s.Boot("half", "b", true, 0)
	}
	submit := func(shape, rank, team string, tasks int, gpus, seconds, atSeconds float64, edit func(*job.Spec)) {
		spec := &job.Spec{
			Team:         team,
			ShapeName:    shape,
			PriorityName: rank,
			Tasks:        tasks,
			CPUs:         6 * gpus,
			GPUs:         gpus,
			MemGB:        40 * gpus,
			EstimateS:    seconds,
		}
		edit(spec)
		cancelAfter := time.Duration(0)
		if shape == "daemon" {
			cancelAfter = 80 * time.Second
		}
		add(spec, time.Duration(atSeconds*float64(time.Second)), cancelAfter)
	}
	spread := func(j *job.Spec) { j.Spread = true }
	spot := func(j *job.Spec) { j.Spot = true }
	inOneZone := func(j *job.Spec) { j.OneZone, j.CheckpointS, j.SaveS = true, 4, 1 }
	for i := range 4 {
		at := float64(1 + 11*i)
		submit("daemon", "production", "blue", 2+2*(i%2), 1, 0, at, spread)
		submit("array", "standard", "red", 20*s.scale, 1, 5, at, spot)
		submit("ensemble", "standard", "blue", 2, 4, 9, at+1, inOneZone)
		submit("ensemble", "standard", "red", 2, 2, 12, at+2, inOneZone)
		submit("array", "standard", "blue", 12*s.scale, 1, 6, at+3, spot)
	}
}

// TestAcceleratorFaults injects faults while accelerators are the scarce resource: quotas are
// counted in them, one of the two zones that replicas are spread over runs out of machines, and
// gangs occupy whole machines.
func TestAcceleratorFaults(t *testing.T) {
	sec := time.Second
	runScenarios(t, acceleratorEnvironment(1), nil, []scenario{
		{"no faults", nil},
		{"the small zone has no capacity during a takeover", []fault{
			{14 * sec, zoneShortage("a", 30*sec)},
			{18 * sec, crashControllers(1)},
		}},
		{"machines with replicas are lost, then two controllers crash together", []fault{
			{16 * sec, killMachines(newRand(51), 2)},
			{30 * sec, crashControllers(2)},
		}},
		{"image pulls take longer than a gang waits", []fault{
			{time.Second, func(s *simulation) { s.SlowImagePulls(s.RandomWorkers(newRand(52), 2), 26*sec) }},
		}},
		{"all controllers crash while lost replicas are replaced", []fault{
			{16 * sec, killMachines(newRand(53), 2)},
			{17 * sec, crashControllers(5)},
		}},
	})
}
