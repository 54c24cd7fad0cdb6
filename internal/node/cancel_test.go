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

// Cancelled jobs whose placements cannot be settled by a command: a launch that is still on
// its way, or a halt that does not arrive, while the worker's reports go on being answered.

// holdCommands holds the direct commands of some controllers on their way to the workers for
// a while, and hands in jobs meanwhile that are cancelled a little later. Reports and
// their answers pass. With a cut afterwards the commands stay on their way for longer.
func holdCommands(of func(s *sim, member string) bool, cancelAfter, held, cut time.Duration) func(*sim) {
	const jobs, tasks, every = 60, 6, 50 * time.Millisecond
	return func(s *sim) {
		hit := map[string]bool{}
		for _, c := range controllers {
			hit[c.Member] = of(s, c.Member)
		}
		begun := time.Now()
		s.net.HoldRequests(func(from, to string) bool { return hit[from] && isWorker(to) })
		for i := range jobs {
			spec := &job.Spec{ID: fmt.Sprintf("run-7%05d", i), Team: "blue", Class: "held", ShapeName: "array", RankName: "urgent", Tasks: tasks,
				CPUs: 0.5, MemGB: 0.5, EstimateS: 120, Spot: true}
			s.Go(func() { s.live(spec, 0, cancelAfter) })
			time.Sleep(every)
		}
		time.Sleep(held - time.Since(begun))
		s.cutLinks("held", func(from, to string) bool { return hit[from] && isWorker(to) })
		s.net.HoldRequests(func(string, string) bool { return false })
		time.Sleep(cut)
		s.cutLinks("held", nil)
	}
}

// all, leads and follows choose controllers.
func all(*sim, string) bool              { return true }
func leads(s *sim, member string) bool   { return member == fmt.Sprintf("n%d", s.leader()) }
func follows(s *sim, member string) bool { return !leads(s, member) }

// overdueLaunches checks that the day held what it is about, launches that arrived when
// nothing of their jobs was allowed on a machine any more, and that none was carried out.
func overdueLaunches(s *sim) {
	arrived, carriedOut := s.OverdueLaunches()
	if arrived == 0 {
		s.unmet("no launch of a cancelled job arrived after its time")
	}
	if carriedOut > 0 {
		s.t.Errorf("%d launches of cancelled jobs were carried out after their time, of %d that arrived", carriedOut, arrived)
	}
}

// unreachableWorkers lets the controllers that do not lead open no connection to any
// worker, while workers open theirs: reports are answered, commands do not leave.
func unreachableWorkers(d time.Duration) func(*sim) {
	return func(s *sim) {
		leader := fmt.Sprintf("n%d", s.leader())
		s.net.DenyConnections(func(a, b string) bool { return isNode(a) && a != leader && isWorker(b) })
		time.Sleep(d)
		s.net.DenyConnections(func(string, string) bool { return false })
	}
}

// TestCancelledInFlight plays days on which a launch of a cancelled job arrives when
// nothing of the job may be on a machine any more.
func TestCancelledInFlight(t *testing.T) {
	const scale = 20
	sec := time.Second
	days := []day{
		{"all commands are held for longer than cancel_s", together(fault{16 * sec, holdCommands(all, 2*sec, 45*sec, 0)})},
		{"the holders' commands are held, then they are cut from the workers", together(fault{16 * sec, holdCommands(follows, 2*sec, 6*sec, 40*sec)})},
	}
	ofLeader := []day{
		{"the leader's commands are held, then it is cut from the workers", together(fault{16 * sec, holdCommands(leads, 2*sec, 6*sec, 40*sec)})},
	}
	seen := also{}
	for _, d := range slices.Concat(days, ofLeader) {
		seen[d.name] = overdueLaunches
	}
	playOn(t, plain(3, scale, shared), seen, days)
	playOn(t, plain(3, scale, promising), seen, ofLeader)
}

// TestCancelledUnhalted plays days on which the halts of cancelled jobs do not leave the
// controllers that answer the reports, or wait for others that nobody answers.
func TestCancelledUnhalted(t *testing.T) {
	const scale, sockets = 20, 200
	sec := time.Second
	playOn(t, calledOff(plain(3, scale, shared)), nil, []day{
		{"holders open no connection to the workers", together(fault{14 * sec, unreachableWorkers(60 * sec)}, fault{18 * sec, cancelNow(201, 8, 0, 10*sec)})},
		{"the same, the leader ends after the cancellations", together(fault{14 * sec, unreachableWorkers(60 * sec)}, fault{18 * sec, cancelNow(202, 8, 0, 10*sec)}, fault{24 * sec, crash(1)})},
	})
	few := func(set *config.Settings, tun *config.Tuning) {
		shared(set, tun)
		set.Facts.Resources.MaxSockets = sockets
	}
	const bound = "a hundred machines hang, called off, few commands at a time"
	playOn(t, calledOff(plain(3, scale, few)), also{bound: func(s *sim) {
		if most := control.DirectCalls(sockets); s.MaxBlockedCommands() < most {
			s.t.Errorf("%d commands waited for machines that hang, of %d at a time for each controller", s.MaxBlockedCommands(), most)
		}
	}}, []day{
		{bound, together(fault{16 * sec, hang(rng(203), 5*scale, 9*sec)}, fault{16100 * time.Millisecond, cancelNow(204, 10, 0, 10*sec)}, fault{26 * sec, hang(rng(205), 5*scale, 9*sec)})},
	})
}

// TestCancelledDrawn plays days on which held commands, cancellations and other troubles are
// drawn by a seed.
func TestCancelledDrawn(t *testing.T) {
	sec := time.Second
	st := calledOff(plain(3, 20, shared))
	st.drawn = true
	var days []day
	for seed := range uint64(3) {
		r := rng(700 + seed)
		some := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * sec / 2 }
		one := func(fs ...func(*sim)) func(*sim) { return fs[r.IntN(len(fs))] }
		of := []func(*sim, string) bool{all, leads, follows}[r.IntN(3)]
		days = append(days, day{fmt.Sprint("seed ", seed), together(
			fault{some(28, 36), holdCommands(of, some(1, 8), some(6, 90), some(0, 90))},
			fault{some(32, 60), cancelNow(seed, 8, some(0, 18), 0)},
			fault{some(32, 80), one(crash(1), crashOther(3*sec), outage(some(10, 60)), unreachableWorkers(some(10, 80)), freeze(1, some(4, 20)), flicks(seed, 4))},
			fault{some(32, 80), one(hang(r, 40, some(6, 20)), cutWorkers(r, 30, some(6, 60)), deafen(seed, 20, everybody, some(6, 60)), cutZone("a", some(6, 50)))},
		)})
	}
	playOn(t, st, nil, days)
}
