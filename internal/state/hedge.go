package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Most requests to the state service take a few milliseconds, and now and then
// one takes a hundred times as long. A request that is that late is sent once
// more beside the first, and the first answer counts (the hedged requests of Dean
// and Barroso, "The Tail at Scale"): a user would wait for it, and a launch.
const (
	// hedgeTimes is after how many usual answer times a request is sent again.
	hedgeTimes = 3
	// hedgeLeast and hedgeMost bound that wait.
	hedgeLeast = 25 * time.Millisecond
	hedgeMost  = 300 * time.Millisecond
	// usualPercent is the share of the answers that the usual time covers. More than
	// that would count the late ones as usual.
	usualPercent = 85
	// usualEvery is after how many answers the usual time is taken anew.
	usualEvery = 64
)

// pace knows how long answers usually take.
type pace struct {
	mu    sync.Mutex
	hist  *hdrhistogram.Histogram // of milliseconds
	count int
	wait  time.Duration
}

func newPace() *pace {
	return &pace{hist: hdrhistogram.New(1, callTimeout.Milliseconds(), 2), wait: hedgeMost}
}

// took notes an answer.
func (p *pace) took(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.hist.RecordValue(min(max(1, d.Milliseconds()), callTimeout.Milliseconds()))
	if p.count++; p.count%usualEvery != 0 {
		return
	}
	usual := time.Duration(p.hist.ValueAtQuantile(usualPercent)) * time.Millisecond
	p.wait = min(max(hedgeTimes*usual, hedgeLeast), hedgeMost)
	p.hist.Reset()
}

// after is when a request that has not been answered is late.
func (p *pace) after() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wait
}

// result is what an attempt has come to.
type result[T any] struct {
	v   T
	err error
}

// hedged runs an attempt, and a second one beside it if the first is late and
// again lets it. The first clear result counts. One that is not clear waits for
// the other: the request may have been executed.
func hedged[T any](ctx context.Context, p *pace, again func() bool, attempt func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ch := make(chan result[T], 2)
	run := func() {
		begun := time.Now()
		v, err := attempt(ctx)
		if err == nil {
			p.took(time.Since(begun))
		}
		ch <- result[T]{v, err}
	}
	go run()
	late := time.NewTimer(p.after())
	defer late.Stop()
	var rest result[T] // not clear: what is left if nothing better comes
	for flying := 1; flying > 0; {
		select {
		case <-late.C:
			if again() {
				flying++
				go run()
			}
		case r := <-ch:
			flying--
			unclear := errors.Is(r.err, ErrUnknown)
			if !unclear && !errors.Is(r.err, ErrRefused) {
				return r.v, r.err
			}
			if unclear || rest.err == nil {
				rest = r
			}
		}
	}
	return rest.v, rest.err
}
