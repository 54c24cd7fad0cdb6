package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"vetchstream/internal/election"
	"vetchstream/internal/wire"
)

// storeOutage lets the key-value store refuse all requests for the duration.
func storeOutage(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.store.SetOutage(true)
		time.Sleep(duration)
		s.store.SetOutage(false)
	}
}

// refuseLeaderAtStore lets the key-value store refuse only the leader's requests for the
// duration.
func refuseLeaderAtStore(duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		leader := s.memberAfterLeader(0)
		s.store.RefuseFrom(func(from string) bool { return from == leader })
		time.Sleep(duration)
		s.store.RefuseFrom(func(string) bool { return false })
	}
}

// rollBackTerm stores a high term and crashes the leader, and then does the same with a much
// lower term.
func rollBackTerm(s *simulation) {
	for _, term := range []uint64{40 * wire.TokensPerTerm, 3 * wire.TokensPerTerm} {
		if err := s.store.Put(election.KeyTerm, map[string]any{"term": term}); err != nil {
			panic(err)
		}
		crashControllers(1)(s) // the next leader has the term after the stored one
		time.Sleep(8 * time.Second)
	}
}

// refuseLeaderThenOutage lets the key-value store refuse only the leader's requests, and then
// all requests for outageTime.
func refuseLeaderThenOutage(refusalTime, outageTime time.Duration) func(*simulation) {
	return func(s *simulation) {
		leader := s.memberAfterLeader(0)
		s.store.RefuseFrom(func(from string) bool { return from == leader })
		time.Sleep(refusalTime)
		storeOutage(outageTime)(s)
	}
}

// delayTransactions leaves a share of the key-value store's transactions unanswered for the
// duration. delay returns the time after which such a transaction is executed; if it is
// negative, the transaction is executed immediately.
func delayTransactions(s *simulation, seed uint64, share float64, duration time.Duration, delay func(random *rand.Rand) time.Duration) {
	var mu sync.Mutex
	random := newRand(seed)
	s.store.DelayTransactions(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= share {
			return 0
		}
		return delay(random)
	})
	time.Sleep(duration)
	s.store.DelayTransactions(nil)
}

// lateTransactions delays the execution of a share of the transactions by 2 to 12 s.
func lateTransactions(seed uint64, share float64, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		delayTransactions(s, seed, share, duration, func(random *rand.Rand) time.Duration {
			return 2*time.Second + time.Duration(random.Int64N(int64(10*time.Second)))
		})
	}
}

// lostAnswers drops the answers to a share of the transactions for the duration. The
// transactions are executed immediately.
func lostAnswers(seed uint64, share float64, duration time.Duration) func(*simulation) {
	return func(s *simulation) {
		delayTransactions(s, seed, share, duration, func(*rand.Rand) time.Duration { return -3 * time.Second })
		if s.store.ResponsesLost() == 0 {
			s.reportUnreachedCondition("no answer to a transaction was lost")
		}
	}
}
