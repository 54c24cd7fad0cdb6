package main

import (
	"fmt"
	"time"

	"vetchstream/internal/job"
)

// lateBoot is the name of the case in which one machine comes up late.
const lateBoot = "late-boot"

const (
	// bootS is the boot time on the price list in this case, in seconds. It is a fraction of that of the site, so that
	// a run sees many boots.
	bootS = 4
	// gangTasks is the number of tasks of the gang. Each fills a machine of the type narrow.
	gangTasks = 24
	// startLimit is how long the case waits for the gang: more than twenty boots.
	startLimit = 100 * time.Second
)

// playLateBoot plays the case "late-boot": no machine is up, a gang is submitted, and one of the machines that
// are rented for it comes up late. All others are up after 0.8 to 1.2 times their boot time.
func playLateBoot(r *run) int {
	gang := &job.Spec{
		ID: "run-004001", Class: "fraudmatch", Team: "irbidaudit", ShapeName: job.GangName, PriorityName: job.UrgentName,
		Tasks: gangTasks, CPUs: 7, MemGB: 13, Image: "img-fraudmatch", ImageGB: 2, Types: []string{"narrow"}, OneZone: true,
		EstimateS: 20, CheckpointS: 20, SaveS: 3,
	}
	if r.trouble {
		r.logf("the next machine takes %.1f times the boot time of its type", lateFactor)
		r.cloud.delayNext()
	}
	if !r.submit(gang) {
		return notRun
	}
	accepted := time.Now()
	machines := ""
	for time.Since(accepted) < startLimit {
		if all, up := r.world.MachineCounts(); fmt.Sprint(all, up) != machines {
			machines = fmt.Sprint(all, up)
			r.logf("machines: %d rented, %d of them up", all, up)
		}
		if r.running(gang.ID) == gangTasks {
			r.logf("%s runs %.1f s after it was accepted", gang.ID, time.Since(accepted).Seconds())
			return held
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.poll(gang.ID)
	r.logf("BROKEN: %s has not started %v after it was accepted; %d machines were rented for it", gang.ID, startLimit, r.cloud.rentals())
	return broken
}
