package dynconfig

import (
	"slices"

	"vetchstream/internal/explorer"
)

// regionAction returns an action whose index modulo two selects the region.
func regionAction(name string, count int, do func(w *world, s *regionSim, i int) bool) explorer.Action[*world] {
	return explorer.Action[*world]{
		Name:  name,
		Count: count,
		Do:    func(w *world, i int) bool { return do(w, &w.regions[i%len(w.regions)], i) },
	}
}

// worldActions returns all actions. Their order determines the steps of a seed.
func worldActions() []explorer.Action[*world] {
	return slices.Concat(homeActions(), requestActions(), delayedMessageActions(), leaderActions(), taskActions(), failureActions())
}

// homeActions returns the actions that change and reconcile the configuration at the home region.
func homeActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("change team", len(testChanges), func(w *world, _ *regionSim, i int) bool {
			u, err := w.home.Propose(testChanges[i])
			if err != nil || w.changesMade >= maxChanges {
				return false
			}
			w.changesMade++
			w.storeHome(u)
			return true
		}),
		regionAction("remove team", 1, func(w *world, _ *regionSim, _ int) bool {
			u, err := w.home.Propose(&Change{Remove: []string{testTeam}})
			if err != nil || w.changesMade >= maxChanges {
				return false
			}
			w.changesMade++
			w.storeHome(u)
			return true
		}),
		regionAction("reconcile", 1, func(w *world, _ *regionSim, _ int) bool {
			u := w.home.Step(stepTeams)
			if u.Empty() {
				return false
			}
			w.storeHome(u)
			return true
		}),
	}
}

// requestActions returns the actions that deliver requests and replies.
func requestActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("send request", 2, func(w *world, s *regionSim, _ int) bool {
			if s.request != nil || (s.storing != nil && w.disabled != storedBeforeUse) {
				return false
			}
			s.request = s.replica.Request(w.reportedUsage(s))
			return true
		}),
		regionAction("receive request", 2, func(w *world, s *regionSim, _ int) bool {
			if s.request == nil || s.reply != nil {
				return false
			}
			s.reply = w.homeReply(s.request)
			return true
		}),
		regionAction("receive reply", 2, func(w *world, s *regionSim, _ int) bool {
			if s.reply == nil {
				return false
			}
			if out := s.replica.HandleReply(s.request, s.reply); len(out) > 0 {
				s.storing = out
				if w.disabled == storedBeforeUse {
					s.applyStored(out)
				}
			} else if !s.replica.Unconfirmed() {
				s.markedUnconfirmed = false
			}
			s.request = nil
			s.reply = nil
			return true
		}),
	}
}

// delayedMessageActions returns the actions that abandon requests, and deliver these and the
// replies to them later.
func delayedMessageActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("abandon request", 2, func(_ *world, s *regionSim, _ int) bool {
			if s.request == nil {
				return false
			}
			s.delayedRequest = s.request
			s.delayedReply = s.reply
			s.request = nil
			s.reply = nil
			return true
		}),
		regionAction("receive late request", 2, func(w *world, s *regionSim, _ int) bool {
			if s.delayedRequest == nil {
				return false
			}
			if f := w.home.followers[s.delayedRequest.Region]; w.disabled == newestRequest {
				f.term = 0
				f.number = 0
			}
			w.homeReply(s.delayedRequest)
			s.delayedRequest = nil
			return true
		}),
		regionAction("receive late reply", 2, func(w *world, s *regionSim, _ int) bool {
			if s.delayedReply == nil || w.disabled != currentReply || s.storing != nil {
				return false
			}
			s.replica.homeTerm = 0
			s.replica.lastSeq = 0
			for _, e := range s.delayedReply.Grants {
				s.storing = append(s.storing, e)
				delete(s.replica.teams, e.Team)
			}
			s.delayedReply = nil
			return len(s.storing) > 0
		}),
	}
}

// leaderActions returns the actions that store grants and end the terms of the regions' leaders.
func leaderActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("store grants", 2, func(_ *world, s *regionSim, _ int) bool {
			if s.storing == nil {
				return false
			}
			s.store(s.storing)
			s.applyStored(s.storing)
			s.storing = nil
			return true
		}),
		regionAction("end term", 2, func(w *world, s *regionSim, i int) bool {
			if w.leaderEnds >= maxLeaderEnds {
				return false
			}
			w.leaderEnds++
			s.delayedTxn = s.storing
			s.delayedRequest = s.request
			w.startTerm(i, false)
			return true
		}),
		regionAction("store late grants", 2, func(w *world, s *regionSim, _ int) bool {
			if w.disabled != fencing || s.delayedTxn == nil {
				return false
			}
			s.store(s.delayedTxn)
			s.delayedTxn = nil
			return true
		}),
	}
}

// taskActions returns the actions that start and finish tasks of one CPU.
func taskActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("start task", 2, func(_ *world, s *regionSim, _ int) bool {
			share, known := s.replica.Share(testTeam, s.usage())
			if !known || s.used+1 > share.Limit.CPUs+tolerance {
				return false
			}
			s.used++
			return true
		}),
		regionAction("finish task", 2, func(_ *world, s *regionSim, _ int) bool {
			if s.used == 0 {
				return false
			}
			s.used--
			return true
		}),
	}
}

// failureActions returns the actions that end the home leader's term and restore stores to an
// earlier state.
func failureActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("end home term", 1, func(w *world, _ *regionSim, _ int) bool {
			if w.leaderEnds >= maxLeaderEnds {
				return false
			}
			w.leaderEnds++
			w.startHomeTerm()
			return true
		}),
		regionAction("restore home store", 1, func(w *world, _ *regionSim, _ int) bool {
			if w.restores >= maxRestores {
				return false
			}
			w.restores++
			w.records = w.previousRecords
			w.storedHead = w.previousHead
			w.startHomeTerm()
			return true
		}),
		regionAction("restore store", 2, func(w *world, s *regionSim, i int) bool {
			if w.restores >= maxRestores {
				return false
			}
			w.restores++
			s.entries = s.previousEntries
			s.highestSeq = 0
			w.startTerm(i, true)
			return true
		}),
	}
}
