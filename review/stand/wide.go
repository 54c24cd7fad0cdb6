package main

import (
	"fmt"
	"strings"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

func init() { cases["wide"] = wideGang }

// lonestarFacts are the facts of the site lonestar-ctv-shared.
func lonestarFacts() config.Facts {
	facts := config.Facts{
		Nodes:     controllers,
		Zones:     []string{"austin", "lubbock", "houston", "elpaso"},
		SkewMs:    100,
		Workers:   config.Workers{ReportS: 2, LeaseS: 14, GangWaitS: 45, GangPeerS: 6, CancelS: 34},
		State:     config.StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 32, TxnOps: 12},
		Cloud:     config.CloudLimits{RPS: 3, ListLagS: 12},
		Resources: config.Resources{CoreShare: 0.144, RAMMB: 98, MaxSockets: 800},
	}
	for i := range 6 {
		facts.Teams = append(facts.Teams, config.Team{Name: fmt.Sprintf("playops-%02d", i)})
	}
	return facts
}

// lonestarTypes are the machine types of the site.
func lonestarTypes() []wire.MachineType {
	zones := []string{"austin", "lubbock", "houston", "elpaso"}
	return []wire.MachineType{
		{Name: "stubby", CPUs: 4, MemGB: 16, CacheGB: 40, FetchRate: 1, Price: 0.21, SpotPrice: 0.06, BootS: 50, Zones: zones},
		{Name: "bigiron", CPUs: 64, MemGB: 128, CacheGB: 80, FetchRate: 1, Price: 2.8, SpotPrice: 0.77, BootS: 20, Zones: zones},
	}
}

const (
	wideCPUs      = 100.0            // CPUs of the gang in all
	narrowTasks   = 100              // tasks of the gang without the disruption
	gangCancelled = 3 * time.Second  // after its submission
	mayWaitFor    = 90 * time.Second // a job with room on a machine
	mayRepeatFor  = 60 * time.Second // a cancellation
)

// wideGang submits a gang with as many tasks as the protocol allows, which its user soon
// cancels. It checks that the cancellation is answered and that a job of another team starts.
func wideGang(c *cluster) (broken bool, err error) {
	facts := lonestarFacts()
	if err := c.start(facts, lonestarTypes(), ""); err != nil {
		return false, err
	}
	for _, zone := range facts.Zones {
		c.world.Boot("bigiron", zone, false, time.Second)
		c.world.Boot("stubby", zone, false, time.Second)
	}
	time.Sleep(5 * time.Second)
	before := claimJob(100, 8, 30)
	before.Team, before.Class = "playops-01", "capburn"
	if err := c.submit(0, before); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	gang := claimJob(200, narrowTasks, 60)
	if c.trouble {
		gang.Tasks = job.MaxTasks
	}
	gang.ShapeName, gang.Team, gang.Class = job.GangName, "playops-00", "liveencode"
	gang.CPUs = wideCPUs / float64(gang.Tasks)
	gang.MemGB = wideCPUs / float64(gang.Tasks)
	if err := c.submit(1, gang); err != nil {
		return false, err
	}
	time.Sleep(gangCancelled)
	after := claimJob(101, 1, 10)
	after.Team, after.Class = "playops-01", "capburn"
	if err := c.submit(2, after); err != nil {
		return false, err
	}
	accepted := time.Now()
	answered := make(chan bool, 1)
	go func() { answered <- c.cancel(0, gang.ID, accepted.Add(mayRepeatFor)) }()
	c.pollUntilDone([]*job.Spec{before, after}, accepted.Add(mayWaitFor+time.Second))
	if !<-answered {
		c.record.logf("the cancellation of %s was repeated for %v without an answer", gang.ID, mayRepeatFor)
		broken = true
	}
	if c.firstStart(after.ID).IsZero() && time.Since(accepted) >= mayWaitFor {
		c.record.logf("job %s has waited for %.1f s, beside machines without any task", after.ID, time.Since(accepted).Seconds())
		broken = broken || c.world.IdleMachines() > 0
	}
	if lost := c.lost(before.ID); lost > 0 {
		c.record.logf("%d tasks of %s were killed by the leases of their machines, whose reports nobody answered", lost, before.ID)
	}
	return broken, nil
}

// firstStart returns when the first task of a job was started; zero if none was.
func (c *cluster) firstStart(id string) time.Time {
	for _, e := range c.world.History() {
		if e.Start && strings.HasPrefix(e.Task, id+"/") {
			return e.At
		}
	}
	return time.Time{}
}

// lost returns how many tasks of a job ended with a lease or a machine.
func (c *cluster) lost(id string) (n int) {
	for _, e := range c.world.History() {
		if !e.Start && fmt.Sprint(e.Cause) == "lost" && strings.HasPrefix(e.Task, id+"/") {
			n++
		}
	}
	return n
}
