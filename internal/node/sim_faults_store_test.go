package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"vetchstream/internal/election"
)

// storeOutage lets the key-value store refuse everybody for a while.
func storeOutage(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.store.SetOutage(true)
		time.Sleep(duration)
		s.store.SetOutage(false)
	}
}

// refuseLeaderAtStore lets the key-value store refuse the leader alone for a while.
func refuseLeaderAtStore(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		leader := s.memberAfterLeader(0)
		s.store.RefuseFrom(func(from string) bool { return from == leader })
		time.Sleep(duration)
		s.store.RefuseFrom(func(string) bool { return false })
	}
}

// rollBackTerm lets a leader of a high term end, and the key-value store name a much earlier
// term.
func rollBackTerm(s *simulation) {
	for _, term := range []uint64{40, 3} {
		if err := s.store.Put(election.KeyTerm, map[string]any{"term": term}); err != nil {
			panic(err)
		}
		crashControllers(1)(s) // the next term is one above
		time.Sleep(8 * time.Second)
	}
}

// refuseLeaderThenOutage lets the key-value store refuse the leader alone, and then everybody
// for a while.
func refuseLeaderThenOutage(shift, out time.Duration) func(*simulation) {
	return func(s *simulation) {
		leader := s.memberAfterLeader(0)
		s.store.RefuseFrom(func(from string) bool { return from == leader })
		time.Sleep(shift)
		storeOutage(out)(s)
	}
}

// delayTransactions lets a share of the transactions go without an answer for a while; delay
// is how late each is carried out, below 0: at once.
func delayTransactions(s *simulation, seed uint64, share float64, duration time.Duration, delay func(r *rand.Rand) time.Duration) {
	var mu sync.Mutex
	r := newRand(seed)
	s.store.DelayTransactions(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if r.Float64() >= share {
			return 0
		}
		return delay(r)
	})
	time.Sleep(duration)
	s.store.DelayTransactions(nil)
}

// lateTransactions lets a share of the transactions be carried out 2 to 12 s later.
func lateTransactions(seed uint64, share float64, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		delayTransactions(s, seed, share, duration, func(r *rand.Rand) time.Duration {
			return 2*time.Second + time.Duration(r.Int64N(int64(10*time.Second)))
		})
	}
}

// lostAnswers loses the answers to a share of the transactions for a while, which are carried
// out at once.
func lostAnswers(seed uint64, share float64, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		delayTransactions(s, seed, share, duration, func(*rand.Rand) time.Duration { return -3 * time.Second })
		if s.store.AnswersLost() == 0 {
			s.reportUnreachedCondition("no answer to a transaction was lost")
		}
	}
}
