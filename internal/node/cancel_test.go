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

// Tests of cancelled jobs whose tasks no direct command can stop: a launch is still in flight, or
// a halt does not arrive, while controllers keep answering the worker's heartbeats.

// holdDirectCommands delays the direct commands of the chosen controllers to the workers by up to
// hold and meanwhile submits jobs, each of which is cancelled cancelAfter after it was accepted.
// Heartbeats and their answers pass. A partition that follows for partitionFor delays the
// commands further.
func holdDirectCommands(isSender func(s *simulation, member string) bool, cancelAfter, hold, partitionFor time.Duration) func(*simulation) {
	const jobs, tasks, interval = 60, 6, 50 * time.Millisecond
	return func(s *simulation) {
		senders := map[string]bool{}
		for _, c := range simControllers {
			senders[c.Member] = isSender(s, c.Member)
		}
		isCommand := func(from, to string) bool { return senders[from] && isWorker(to) }
		start := time.Now()
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
		time.Sleep(hold - time.Since(start))
		s.setPartition("held", isCommand)
		s.net.HoldRequests(func(string, string) bool { return false })
		time.Sleep(partitionFor)
		s.setPartition("held", nil)
	}
}

// anyMember selects all controllers, isLeader the leader, isFollower all others.
func anyMember(*simulation, string) bool           { return true }
func isLeader(s *simulation, member string) bool   { return member == s.memberAfterLeader(0) }
func isFollower(s *simulation, member string) bool { return !isLeader(s, member) }

// checkOverdueLaunches checks that launches arrived after the deadline by which the cancelled
// jobs' tasks must have stopped, and that workers carried out none of them.
func checkOverdueLaunches(s *simulation) {
	arrived, carriedOut := s.OverdueLaunches()
	if arrived == 0 {
		s.reportUnreachedCondition("no launch of a cancelled job arrived after the job's deadline to stop")
	}
	if carriedOut > 0 {
		s.t.Errorf("workers carried out %d launches of cancelled jobs that arrived after the deadline to stop, of %d that arrived", carriedOut, arrived)
	}
}

// TestLateLaunchesOfCancelledJobs delays launches of cancelled jobs until no task of these jobs
// may run on a machine any more.
func TestLateLaunchesOfCancelledJobs(t *testing.T) {
	const scale = 20
	sec := time.Second
	scenarios := []scenario{
		{"commands of all controllers are delayed beyond cancel_s", overlapping(
			fault{16 * sec, holdDirectCommands(anyMember, 2*sec, 45*sec, 0)},
		)},
		{"followers' commands are delayed, then followers are partitioned from the workers", overlapping(
			fault{16 * sec, holdDirectCommands(isFollower, 2*sec, 6*sec, 40*sec)},
		)},
	}
	leaderScenarios := []scenario{
		{"leader's commands are delayed, then the leader is partitioned from the workers", overlapping(
			fault{16 * sec, holdDirectCommands(isLeader, 2*sec, 6*sec, 40*sec)},
		)},
	}
	checks := finalChecks{}
	for _, sc := range slices.Concat(scenarios, leaderScenarios) {
		checks[sc.name] = checkOverdueLaunches
	}
	runScenarios(t, defaultEnvironment(3, scale, withSharding), checks, scenarios)
	runScenarios(t, defaultEnvironment(3, scale, withOutagePromises), checks, leaderScenarios)
}

// TestUndeliveredHaltsOfCancelledJobs cancels jobs while the controllers that answer their
// workers' heartbeats cannot send halts, or queue them behind commands to workers that hang.
func TestUndeliveredHaltsOfCancelledJobs(t *testing.T) {
	const scale, sockets = 20, 200
	sec := time.Second
	runScenarios(t, withLongJobs(defaultEnvironment(3, scale, withSharding)), nil, []scenario{
		{"followers cannot connect to the workers", overlapping(
			fault{14 * sec, denyWorkerConnections(60 * sec)},
			fault{18 * sec, cancelRunningJobs(201, 8, 0, 10*sec)},
		)},
		{"followers cannot connect to the workers, leader crashes after the cancellations", overlapping(
			fault{14 * sec, denyWorkerConnections(60 * sec)},
			fault{18 * sec, cancelRunningJobs(202, 8, 0, 10*sec)},
			fault{24 * sec, crashControllers(1)},
		)},
	})
	fewSockets := func(set *config.Settings, tun *config.Tuning) {
		withSharding(set, tun)
		set.Facts.Resources.MaxSockets = sockets
	}
	const workersHang = "100 workers hang while jobs are cancelled: few concurrent commands"
	checkCommandLimitReached := func(s *simulation) {
		if most := control.MaxDirectCalls(sockets); s.MaxBlockedCommands() < most {
			s.t.Errorf("at most %d commands waited for hanging workers, want the limit of %d per controller to be reached", s.MaxBlockedCommands(), most)
		}
	}
	runScenarios(t, withLongJobs(defaultEnvironment(3, scale, fewSockets)), finalChecks{workersHang: checkCommandLimitReached}, []scenario{
		{workersHang, overlapping(
			fault{16 * sec, hangWorkers(newRand(203), 5*scale, 9*sec)},
			fault{16100 * time.Millisecond, cancelRunningJobs(204, 10, 0, 10*sec)},
			fault{26 * sec, hangWorkers(newRand(205), 5*scale, 9*sec)},
		)},
	})
}

// TestCancelledJobsRandomFaults combines delayed commands, cancellations and other faults drawn
// from a seed.
func TestCancelledJobsRandomFaults(t *testing.T) {
	sec := time.Second
	env := withLongJobs(defaultEnvironment(3, 20, withSharding))
	env.randomized = true
	var scenarios []scenario
	for seed := range uint64(3) {
		r := newRand(700 + seed)
		randomDuration := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * sec / 2 }
		pick := func(fs ...func(*simulation)) func(*simulation) { return fs[r.IntN(len(fs))] }
		isSender := []func(*simulation, string) bool{anyMember, isLeader, isFollower}[r.IntN(3)]
		scenarios = append(scenarios, scenario{fmt.Sprint("seed ", seed), overlapping(
			fault{randomDuration(28, 36), holdDirectCommands(isSender, randomDuration(1, 8), randomDuration(6, 90), randomDuration(0, 90))},
			fault{randomDuration(32, 60), cancelRunningJobs(seed, 8, randomDuration(0, 18), 0)},
			fault{randomDuration(32, 80), pick(
				crashControllers(1),
				crashFollower(3*sec),
				storeOutage(randomDuration(10, 60)),
				denyWorkerConnections(randomDuration(10, 80)),
				pauseControllers(1, randomDuration(4, 20)),
				restartRepeatedly(seed, 4),
			)},
			fault{randomDuration(32, 80), pick(
				hangWorkers(r, 40, randomDuration(6, 20)),
				partitionWorkers(r, 30, randomDuration(6, 60)),
				blockAnswers(seed, 20, anyController, randomDuration(6, 60)),
				partitionZone("a", randomDuration(6, 50)),
			)},
		)})
	}
	runScenarios(t, env, nil, scenarios)
}
