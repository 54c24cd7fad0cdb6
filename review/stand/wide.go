package main

import (
	"fmt"
	"strings"
	"time"

	"vetchstream/internal/job"
)

func init() { cases["wide"] = wideGang }

const (
	wideCPUs      = 10.0             // CPUs of the gang in all
	narrowTasks   = 50               // tasks of the gang without the disruption
	gangCancelled = 5 * time.Second  // after its submission
	mayWaitFor    = 90 * time.Second // a job with room on a machine
	mayRepeatFor  = 60 * time.Second // a cancellation
)

// wideGang submits a gang with as many tasks as the protocol allows, which its user soon
// cancels. It checks that the cancellation is answered and that a job of another team, within
// its guarantee, starts.
func wideGang(c *cluster) (broken bool, err error) {
	facts := levantFacts()
	if err := c.start(facts, levantTypes(), ""); err != nil {
		return false, err
	}
	for i := range 8 {
		c.world.Boot("narrow", facts.Zones[i%len(facts.Zones)], false, time.Second)
	}
	time.Sleep(6 * time.Second)
	before := claimJob(100, 8, 30)
	before.Team = "zarqaops"
	if err := c.submit(0, before); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	gang := claimJob(200, narrowTasks, 60)
	if c.trouble {
		gang.Tasks = job.MaxTasks
	}
	gang.ShapeName = job.GangName
	gang.CPUs = wideCPUs / float64(gang.Tasks)
	gang.MemGB = wideCPUs / float64(gang.Tasks)
	if err := c.submit(1, gang); err != nil {
		return false, err
	}
	time.Sleep(gangCancelled)
	after := claimJob(101, 1, 10)
	after.Team = "zarqaops"
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
