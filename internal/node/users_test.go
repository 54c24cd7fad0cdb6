package node

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// blockAnswers holds what the controllers for which from is true send to n machines, answers
// included, while their reports go on arriving.
func blockAnswers(seed uint64, n int, from func(controller string) bool, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		hit := map[string]bool{}
		for _, k := range s.RandomWorkers(newRand(seed), n) {
			hit[k.Host()] = true
		}
		s.net.PartitionOneWay(func(a, b string) bool { return isController(a) && from(a) && hit[b] })
		time.Sleep(d)
		s.net.PartitionOneWay(func(string, string) bool { return false })
	}
}

func anyController(string) bool { return true }

// blockAnswersFrom is deafen toward the leader, or toward another controller alone.
func blockAnswersFrom(seed uint64, n, after int, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		one := fmt.Sprintf("n%d", (s.leader()+after)%len(s.controllers))
		blockAnswers(seed, n, func(c string) bool { return c == one }, d)(s)
	}
}

// replayHeartbeats keeps copies of all reports for a while, and delivers them to all
// controllers at once, so long after.
func replayHeartbeats(collect, after time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.CaptureHeartbeats(true)
		time.Sleep(collect)
		s.CaptureHeartbeats(false)
		copies := s.CapturedHeartbeats()
		time.Sleep(after)
		gate := make(chan struct{}, 100)
		for i, c := range copies {
			gate <- struct{}{}
			s.Go(func() {
				defer func() { <-gate }()
				ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.controllerAddress(i)+"/checkin", bytes.NewReader(c.Body))
				if err != nil {
					panic(err)
				}
				req.Header.Set("Content-Type", wire.ContentType)
				hc := &http.Client{Transport: &http.Transport{DialContext: s.net.Dialer(c.Host), DisableKeepAlives: true}}
				if res, err := hc.Do(req); err == nil {
					_ = res.Body.Close()
				}
			})
		}
	}
}

// isolateController cuts a controller, counted from the leader, off from the state service and
// the other controllers, and not from its workers and users.
func isolateController(after int, d time.Duration) func(*simulation) {
	return func(s *simulation) {
		one := fmt.Sprintf("n%d", (s.leader()+after)%len(s.controllers))
		s.setPartition("alone", func(a, b string) bool { return a == one && (b == "state" || isController(b)) })
		time.Sleep(d)
		s.setPartition("alone", nil)
	}
}

// restartController ends a controller, counted from the leader, and has it back at once.
func restartController(after int, gap time.Duration) func(*simulation) {
	return func(s *simulation) {
		i := (s.leader() + after) % len(s.controllers)
		s.killController(i)
		time.Sleep(gap)
		s.startController(i)
	}
}

// restartRepeatedly does so again and again, so that it falls into every step of an election, a
// takeover and a move.
func restartRepeatedly(seed uint64, times int) func(*simulation) {
	return func(s *simulation) {
		r := newRand(seed)
		for range times {
			restartController(r.IntN(len(s.controllers)), time.Duration(50+r.IntN(450))*time.Millisecond)(s)
			time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
		}
	}
}

func rebootWorkers(seed uint64, n int) func(*simulation) {
	return func(s *simulation) { s.Reboot(s.RandomWorkers(newRand(seed), n)) }
}

// TestOneWay: machines that are heard and hear nothing.
func TestOneWay(t *testing.T) {
	sec := time.Second
	days := []scenario{
		{"a machine, for longer than the lease", []fault{{14 * sec, blockAnswers(22, 1, anyController, 40*sec)}}},
		{"all of them, while jobs are cancelled", []fault{{12 * sec, blockAnswers(23, 100, anyController, 25*sec)}}},
		{"toward the leader alone", []fault{{14 * sec, blockAnswersFrom(24, 2, 0, 30*sec)}}},
		{"while the leader changes", []fault{{14 * sec, blockAnswers(25, 2, anyController, 30*sec)}, {16 * sec, crashControllers(1)}}},
	}
	runDefault(t, 1, nil, nil, days)
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"toward a holder, five controllers", []fault{{14 * sec, blockAnswersFrom(26, 100, 1, 30*sec)}}},
		{"toward all, while a holder ends, five controllers", []fault{{14 * sec, blockAnswers(27, 2, anyController, 30*sec)}, {16 * sec, crashFollower(4 * sec)}}},
	})
}

// TestCopies: copies of reports that come late.
func TestCopies(t *testing.T) {
	sec := time.Second
	days := []scenario{
		{"well over a lease later, at the next leader", []fault{{10 * sec, replayHeartbeats(15*sec, 25*sec)}, {30 * sec, crashControllers(1)}}},
		{"of machines that were returned", []fault{{10 * sec, replayHeartbeats(15*sec, 40*sec)}, {26 * sec, killMachines(newRand(32), 1)}, {62 * sec, crashControllers(3)}}},
	}
	runDefault(t, 1, nil, nil, days)
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{{"at other holders, five controllers", []fault{{10 * sec, replayHeartbeats(15*sec, 8*sec)}, {30 * sec, crashFollower(2 * sec)}}}})
}

// TestAlone: a controller without the state service and the other controllers that
// keeps its workers.
func TestAlone(t *testing.T) {
	sec := time.Second
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"the leader, for 5 s and for the lease of the lead", []fault{{14 * sec, isolateController(0, 5*sec)}, {35 * sec, isolateController(0, 3*sec)}}},
		{"the leader, for the workers' lease and longer", []fault{{14 * sec, isolateController(0, 10*sec)}, {40 * sec, isolateController(0, 30*sec)}}},
		{"a holder, for longer than the workers' lease", []fault{{14 * sec, isolateController(1, 25*sec)}}},
	})
	runDefault(t, 1, nil, nil, []scenario{
		{"the leader of three, without shares", []fault{{14 * sec, isolateController(0, 25*sec)}}},
	})
}

// TestBackAtOnce: processes and machines that are back within a fraction of a second.
func TestBackAtOnce(t *testing.T) {
	sec := time.Second
	runDefault(t, 1, nil, nil, []scenario{
		{"the leader, again and again", []fault{{12 * sec, func(s *simulation) {
			for i := range 8 {
				restartController(0, time.Duration(50+60*i)*time.Millisecond)(s)
				time.Sleep(time.Duration(300+700*i) * time.Millisecond)
			}
		}}}},
		{"workers, and the leader", []fault{{14 * sec, rebootWorkers(43, 100)}, {14*sec + 300*time.Millisecond, restartController(0, 200*time.Millisecond)}}},
	})
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"any of five, again and again", []fault{{10 * sec, restartRepeatedly(44, 12)}}},
		{"two of five together, twice", []fault{{14 * sec, crashControllers(2)}, {30 * sec, func(s *simulation) {
			go restartController(0, 100*time.Millisecond)(s)
			restartController(1, 400*time.Millisecond)(s)
		}}}},
	})
}

// cutThree cuts the leader and two others off from everything but each other.
func cutThree(d time.Duration) func(*simulation) {
	return func(s *simulation) {
		first := s.leader()
		cut := map[string]bool{}
		for i := range 3 {
			cut[fmt.Sprintf("n%d", (first+i)%len(s.controllers))] = true
		}
		s.setPartition("three", func(a, b string) bool { return cut[a] && !cut[b] })
		time.Sleep(d)
		s.setPartition("three", nil)
	}
}

// TestFive plays days of five controllers of which several fail.
func TestFive(t *testing.T) {
	sec := time.Second
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, []scenario{
		{"two end together, then all", []fault{{14 * sec, crashControllers(2)}, {40 * sec, crashControllers(5)}}},
		{"three of them cut from everything", []fault{{14 * sec, cutThree(20 * sec)}}},
		{"state service out, one ends in it", []fault{{14 * sec, storeOutage(25 * sec)}, {20 * sec, crashFollower(3 * sec)}}},
	})
}

// TestUsersAtSize plays such days with up to 240 machines.
func TestUsersAtSize(t *testing.T) {
	const scale = 20
	sec := time.Second
	runScenarios(t, defaultEnvironment(5, scale, withSharding), nil, []scenario{
		{"a part hears nothing over a takeover, copies by the hundred", []fault{{14 * sec, blockAnswers(61, 2*scale, anyController, 20*sec)}, {18 * sec, func(s *simulation) {
			restartController(0, 300*time.Millisecond)(s)
			replayHeartbeats(10*sec, 8*sec)(s)
		}}}},
	})
}

// TestPairs draws two troubles that overlap, with an outage or a crash beside them.
func TestPairs(t *testing.T) {
	var days []scenario
	for seed := range uint64(4) {
		r := newRand(500 + seed)
		sec := time.Second
		draw := []func() func(*simulation){
			func() func(*simulation) { return blockAnswers(seed, 2, anyController, time.Duration(6+r.IntN(20))*sec) },
			func() func(*simulation) { return replayHeartbeats(8*sec, time.Duration(1+r.IntN(20))*sec) },
			func() func(*simulation) { return isolateController(r.IntN(2), time.Duration(3+r.IntN(20))*sec) },
			func() func(*simulation) { return restartRepeatedly(seed, 4) },
		}
		beside := []func(*simulation){storeOutage(time.Duration(3+r.IntN(15)) * sec), crashControllers(1 + r.IntN(3)), rebootWorkers(seed, 2)}
		a, b := draw[seed%4](), draw[(seed+1+seed/4)%4]()
		// Three faults come one after the other in a day; these have to overlap.
		days = append(days, scenario{fmt.Sprintf("pair %d", seed), []fault{{12 * sec, func(s *simulation) {
			done := make(chan struct{}, 3)
			for i, f := range []func(*simulation){a, b, beside[seed%3]} {
				go func() {
					time.Sleep(time.Duration(3*i) * sec)
					f(s)
					done <- struct{}{}
				}()
			}
			for range 3 {
				<-done
			}
		}}}})
	}
	runDefault(t, 1, nil, nil, days[:2])
	runScenarios(t, defaultEnvironment(5, 1, withSharding), nil, days[2:])
}
