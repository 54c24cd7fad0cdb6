package main

import (
	"fmt"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
)

// waitLimit is the users' bound: once the troubles are over, no job is left waiting for so long while a machine
// that fits has room and its team is under its limit.
const waitLimit = 90 * time.Second

// runLimit is how long a run may take. It leaves time to end the processes.
const runLimit = 117 * time.Second

const (
	// boundHost is the network name of the only machine of the type wide in aqaba, the last one of bootMachines.
	boundHost = "w7"
	// holdTime is how long a command is held up. The users name 2 to 16 s.
	holdTime = 8 * time.Second
)

// boundJob returns a job of one shape that may run on machines of the type wide in aqaba alone. The site has one.
func boundJob(id, class, shape, rank string, tasks int, cpus, seconds float64) *job.Spec {
	return &job.Spec{
		ID: id, Class: class, Team: "aqabatravel", ShapeName: shape, PriorityName: rank, Tasks: tasks, CPUs: cpus, MemGB: 2,
		Image: "img-" + class, ImageGB: 0.6, Types: []string{"wide"}, Zone: "aqaba", EstimateS: seconds,
	}
}

// running returns the number of a job's tasks that run.
func (r *run) running(id string) int {
	n := 0
	for _, e := range r.events(id) {
		if e.Start {
			n++
		} else {
			n--
		}
	}
	return n
}

// starts returns the number of starts of a job's tasks after a moment.
func (r *run) starts(id string, after time.Time) int {
	n := 0
	for _, e := range r.events(id) {
		if e.Start && e.At.After(after) {
			n++
		}
	}
	return n
}

// judgeWaiting waits for a start of the job after the given moment, at which the machine has room for it. It
// breaks the rule if there is none within waitLimit.
func (r *run) judgeWaiting(id string, since time.Time) int {
	nextPoll := time.Now()
	for time.Since(since) < waitLimit {
		if r.starts(id, since) > 0 {
			r.logf("%s has started %.1f s after there was room", id, time.Since(since).Seconds())
			return held
		}
		if time.Now().After(nextPoll) {
			nextPoll = time.Now().Add(pollInterval)
			r.poll(id)
		}
		if time.Since(r.start) > runLimit {
			r.logf("not run: the time of a run is over")
			return notRun
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.logf("BROKEN: %s has waited for %v while the machine that fits it has room", id, waitLimit)
	return broken
}

// playLateLaunch plays the case "late-launch": the direct command that launches an array is held up. Later an
// urgent job stops the array's tasks and is done. Then there is room for the array again.
func playLateLaunch(r *run) int {
	service := boundJob("run-005001", "desk", job.ServiceName, job.ProductionName, 1, 4, 0)
	urgent := boundJob("run-005002", "fraudmatch", job.GangName, job.UrgentName, 1, 12, 2)
	if !r.submit(service) || !until(15*time.Second, func() bool { return r.running(service.ID) == 1 }) {
		r.logf("not run: the service does not run")
		return notRun
	}
	array, holdOver, ok := r.startHeldArray()
	if !ok {
		return notRun
	}
	time.Sleep(time.Until(holdOver) + 500*time.Millisecond)
	r.logf("the trouble is over")
	if !r.submit(urgent) || !until(10*time.Second, func() bool { return r.ended(urgent.ID) }) {
		r.logf("not run: the urgent job has not run")
		return notRun
	}
	since := time.Now()
	r.logf("the urgent job has ended; the machine has room for %s again", array.ID)
	return r.judgeWaiting(array.ID, since)
}

// startHeldArray submits an array and holds up the direct command that launches it. A launch may also go in the
// answer to a report; then the array is cancelled and another one is submitted. holdOver is when the command has
// been delivered.
func (r *run) startHeldArray() (array *job.Spec, holdOver time.Time, ok bool) {
	const maxTries = 3
	for i := range maxTries {
		// The report that shows the last change is answered first.
		time.Sleep(1200 * time.Millisecond)
		array = boundJob(fmt.Sprintf("run-%06d", 5003+i), "vatbackfill", job.ArrayName, job.IdleName, 3, 4, 300)
		holdOver = time.Now().Add(holdTime)
		if r.trouble {
			r.logf("the next direct command to %s is held up for %v", boundHost, holdTime)
			r.network.holdNext(boundHost, holdTime)
		}
		if !r.submit(array) || !until(holdTime+2*time.Second, func() bool { return r.running(array.ID) == array.Tasks }) {
			r.logf("not run: the array does not start")
			return nil, holdOver, false
		}
		r.logf("all tasks of %s run", array.ID)
		if !r.trouble || r.network.heldCommands() == 1 {
			return array, holdOver, true
		}
		r.logf("the launch went in the answer to a report")
		r.network.holdNext("", 0)
		if _, cancelled := r.abort(array.ID); !cancelled {
			return nil, holdOver, false
		}
	}
	return nil, holdOver, false
}

// ended reports whether a task of the job has run and none runs.
func (r *run) ended(id string) bool { return r.starts(id, time.Time{}) > 0 && r.running(id) == 0 }

// smallJob returns an array of one or two short tasks, like those of ocrread.
func smallJob(i int) *job.Spec {
	dueS := 120.0
	return &job.Spec{
		ID: fmt.Sprintf("run-%06d", 4000+i), Class: "ocrread", Team: teams[i%len(teams)].Name, ShapeName: job.ArrayName,
		PriorityName: job.StandardName, Tasks: 1 + i%2, CPUs: 1, MemGB: 1.2, Image: "img-07", ImageGB: 0.6, Spot: true,
		EstimateS: 12, DeadlineS: &dueS,
	}
}

// goodJobs is the number of sound jobs of the class that has two jobs with a mistake: these are 4 in 100.
const goodJobs = 48

// playQuarantine plays the case "quarantine": two jobs of a class were submitted with a mistake and fail until
// their users cancel them. Then another job needs the machine on which they failed.
func playQuarantine(r *run) int {
	service := boundJob("run-006001", "desk", job.ServiceName, job.ProductionName, 1, 4, 0)
	waiting := boundJob("run-006004", "fraudmatch", job.GangName, job.UrgentName, 1, 7, 5)
	mistakes := []*job.Spec{
		boundJob("run-006002", "ocrread", job.ArrayName, job.StandardName, 1, 1, 20),
		boundJob("run-006003", "ocrread", job.ArrayName, job.StandardName, 1, 1, 20),
	}
	if !r.submit(service) || !until(15*time.Second, func() bool { return r.running(service.ID) == 1 }) {
		r.logf("not run: the service does not run")
		return notRun
	}
	for i := range goodJobs {
		spec := smallJob(i)
		spec.Types = []string{"narrow"}
		if !r.submit(spec) {
			return notRun
		}
	}
	if r.trouble {
		r.logf("the two next jobs of class ocrread have a mistake: their tasks fail as they start")
		r.world.SetImageBehavior("img-ocrread", emulate.ImageBehavior{CrashAfter: time.Millisecond})
	}
	for _, spec := range mistakes {
		if !r.submit(spec) {
			return notRun
		}
	}
	time.Sleep(8 * time.Second)
	for _, spec := range mistakes {
		if _, ok := r.abort(spec.ID); !ok {
			return notRun
		}
	}
	if !r.submit(waiting) {
		return notRun
	}
	r.logf("the trouble is over: the jobs with a mistake are cancelled; the machine has room for %s", waiting.ID)
	return r.judgeWaiting(waiting.ID, time.Now())
}
