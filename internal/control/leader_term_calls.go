package control

import "context"

// Calls into the leader's actor from other goroutines.

// callActor runs f in the actor and returns its result; the zero value: the term has ended.
func callActor[T any](co *core, f func() T) (out T) {
	done := make(chan T, 1)
	co.enqueueForUser(func() { done <- f() })
	select {
	case out = <-done:
	case <-co.ctx.Done():
	}
	return out
}

// runInActor runs f in the actor and waits for it, or for the end of the term.
func (co *core) runInActor(f func()) {
	callActor(co, func() struct{} {
		f()
		return struct{}{}
	})
}

// queryActor runs query in the actor, by one of its queues, and waits until it responds,
// which may be later. The result is nil if the term or the context ends first.
func queryActor[T any](ctx context.Context, co *core, queue chan<- func(), query func(respond func(*T))) *T {
	answer := make(chan *T, 1)
	respond := func(v *T) {
		select {
		case answer <- v:
		default: // only the first answer counts
		}
	}
	select {
	case queue <- func() { query(respond) }:
	case <-co.ctx.Done():
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case v := <-answer:
		return v
	case <-co.ctx.Done():
		return nil
	case <-ctx.Done():
		return nil
	}
}
