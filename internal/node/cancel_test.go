package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/control"
	"vetchstream/internal/job"
)

// Cancelled jobs whose placements cannot be settled by a command: a launch that is still in
// flight, or a halt that does not arrive, while the worker's heartbeats go on being answered.

// holdDirectCommands holds the direct commands of some controllers on their way to the
// workers for a while, and submits jobs meanwhile that are cancelled a little later.
// Heartbeats and their answers pass. With a cut afterwards the commands are held for longer.
func holdDirectCommands(of func(s *simulation, member string) bool, cancelAfter, held, cut time.Duration) func(*simulation) {
	const jobs, tasks, interval = 60, 6, 50 * time.Millisecond
	return func(s *simulation) {
		senders := map[string]bool{}
		for _, c := range simControllers {
			senders[c.Member] = of(s, c.Member)
		}
		isCommand := func(from, to string) bool { return senders[from] && isWorker(to) }
		begun := time.Now()
		s.net.HoldRequests(isCommand)
		for i := range jobs {
			spec := &job.Spec{
				ID:           fmt.Sprintf("run-7%05d", i),
				Team:         "blue",
				Class:        "held",
				ShapeName:    "array",
				PriorityName: "urgent",
				Tasks:        tasks,
				CPUs:         0.5,
				MemGB:        0.5,
				EstimateS:    120,
				Spot:         true,
			}
			s.Go(func() { s.runUser(spec, 0, cancelAfter) })
			time.Sleep(interval)
		}
		time.Sleep(held - time.Since(begun))
		s.setPartition("held", isCommand)
		s.net.HoldRequests(func(string, string) bool { return false })
		time.Sleep(cut)
		s.setPartition("held", nil)
	}
}

// anyMember chooses all controllers, isLeader the one that leads, isFollower the others.
func anyMember(*simulation, string) bool           { return true }
func isLeader(s *simulation, member string) bool   { return member == s.memberFromLeader(0) }
func isFollower(s *simulation, member string) bool { return !isLeader(s, member) }

// checkOverdueLaunches checks that the scenario reached what it is about, launches that arrived
// when no task of their jobs was allowed on a machine any more, and that none was carried out.
func checkOverdueLaunches(s *simulation) {
	arrived, carriedOut := s.OverdueLaunches()
	if arrived == 0 {
		s.notReached("no launch of a cancelled job arrived after its time")
	}
	if carriedOut > 0 {
		s.t.Errorf("%d launches of cancelled jobs were carried out after their time, of %d that arrived", carriedOut, arrived)
	}
}

// TestLateLaunchesOfCancelledJobs: a launch of a cancelled job arrives when no task of the job may be on
// a machine any more.
func TestLateLaunchesOfCancelledJobs(t *testing.T) {
	const scale = 20
	sec := time.Second
	days := []scenario{
		{"all commands are held for longer than cancel_s", overlapping(
			fault{16 * sec, holdDirectCommands(anyMember, 2*sec, 45*sec, 0)},
		)},
		{"the holders' commands are held, then they are cut from the workers", overlapping(
			fault{16 * sec, holdDirectCommands(isFollower, 2*sec, 6*sec, 40*sec)},
		)},
	}
	ofLeader := []scenario{
		{"the leader's commands are held, then it is cut from the workers", overlapping(
			fault{16 * sec, holdDirectCommands(isLeader, 2*sec, 6*sec, 40*sec)},
		)},
	}
	seen := finalChecks{}
	for _, d := range slices.Concat(days, ofLeader) {
		seen[d.name] = checkOverdueLaunches
	}
	runScenarios(t, defaultEnvironment(3, scale, withSharding), seen, days)
	runScenarios(t, defaultEnvironment(3, scale, withOutagePromises), seen, ofLeader)
}

// TestUndeliveredHaltsOfCancelledJobs: the halts of cancelled jobs do not leave the controllers that answer
// the heartbeats, or wait behind others that nobody answers.
func TestUndeliveredHaltsOfCancelledJobs(t *testing.T) {
	const scale, sockets = 20, 200
	sec := time.Second
	runScenarios(t, withLongJobs(defaultEnvironment(3, scale, withSharding)), nil, []scenario{
		{"holders open no connection to the workers", overlapping(
			fault{14 * sec, denyWorkerConnections(60 * sec)},
			fault{18 * sec, cancelRunningJobs(201, 8, 0, 10*sec)},
		)},
		{"the same, the leader ends after the cancellations", overlapping(
			fault{14 * sec, denyWorkerConnections(60 * sec)},
			fault{18 * sec, cancelRunningJobs(202, 8, 0, 10*sec)},
			fault{24 * sec, crashControllers(1)},
		)},
	})
	fewSockets := func(set *config.Settings, tun *config.Tuning) {
		withSharding(set, tun)
		set.Facts.Resources.MaxSockets = sockets
	}
	const bound = "a hundred machines hang, called off, few commands at a time"
	checkCommandsBounded := func(s *simulation) {
		if most := control.MaxDirectCalls(sockets); s.MaxBlockedCommands() < most {
			s.t.Errorf("%d commands waited for machines that hang, of %d at a time for each controller", s.MaxBlockedCommands(), most)
		}
	}
	runScenarios(t, withLongJobs(defaultEnvironment(3, scale, fewSockets)), finalChecks{bound: checkCommandsBounded}, []scenario{
		{bound, overlapping(
			fault{16 * sec, hangWorkers(newRand(203), 5*scale, 9*sec)},
			fault{16100 * time.Millisecond, cancelRunningJobs(204, 10, 0, 10*sec)},
			fault{26 * sec, hangWorkers(newRand(205), 5*scale, 9*sec)},
		)},
	})
}

// TestCancelledJobsRandomFaults: held commands, cancellations and other faults that are drawn by a seed.
func TestCancelledJobsRandomFaults(t *testing.T) {
	sec := time.Second
	env := withLongJobs(defaultEnvironment(3, 20, withSharding))
	env.randomized = true
	var days []scenario
	for seed := range uint64(3) {
		r := newRand(700 + seed)
		some := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * sec / 2 }
		one := func(fs ...func(*simulation)) func(*simulation) { return fs[r.IntN(len(fs))] }
		of := []func(*simulation, string) bool{anyMember, isLeader, isFollower}[r.IntN(3)]
		days = append(days, scenario{fmt.Sprint("seed ", seed), overlapping(
			fault{some(28, 36), holdDirectCommands(of, some(1, 8), some(6, 90), some(0, 90))},
			fault{some(32, 60), cancelRunningJobs(seed, 8, some(0, 18), 0)},
			fault{some(32, 80), one(
				crashControllers(1),
				crashFollower(3*sec),
				storeOutage(some(10, 60)),
				denyWorkerConnections(some(10, 80)),
				pauseControllers(1, some(4, 20)),
				restartRepeatedly(seed, 4),
			)},
			fault{some(32, 80), one(
				hangWorkers(r, 40, some(6, 20)),
				partitionWorkers(r, 30, some(6, 60)),
				blockAnswers(seed, 20, anyController, some(6, 60)),
				partitionZone("a", some(6, 50)),
			)},
		)})
	}
	runScenarios(t, env, nil, days)
}
