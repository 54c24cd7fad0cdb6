package control

import "context"

// Calls into the leader's actor from other goroutines.

// callActor runs f in the actor and returns its result, or the zero value if the term
// ends first.
func callActor[T any](co *core, f func() T) (result T) {
	done := make(chan T, 1)
	co.enqueueForUser(func() { done <- f() })
	select {
	case result = <-done:
	case <-co.ctx.Done():
	}
	return result
}

// runInActor runs f in the actor and waits until it has returned or the term has ended.
func (c *core) runInActor(f func()) {
	callActor(c, func() struct{} {
		f()
		return struct{}{}
	})
}

// queryActor passes query to the actor through one of its inboxes and waits for its
// response, which may come after query has returned. It returns nil if the term or ctx
// ends first.
func queryActor[T any](ctx context.Context, co *core, queue chan<- func(), query func(respond func(*T))) *T {
	response := make(chan *T, 1)
	respond := func(v *T) {
		select {
		case response <- v:
		default: // only the first response counts
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
	case v := <-response:
		return v
	case <-co.ctx.Done():
		return nil
	case <-ctx.Done():
		return nil
	}
}
