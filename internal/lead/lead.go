// Package lead decides which controller leads: a lease in the state service,
// a term that only ever rises, and the entitlement counted from them.
package lead

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

const (
	prefix    = "lead/"
	keyHolder = "lead/holder"
	// KeyTerm holds the highest term; every write of a leader is conditional on
	// its version.
	KeyTerm = "lead/term"
)

type holder struct {
	Member string `codec:"member"`
	Term   uint64 `codec:"term"`
}

type termRecord struct {
	Term uint64 `codec:"term"`
}

// Reign is one time in the lead.
type Reign struct {
	Term uint64
	// TermVersion is the version of the term key that this reign wrote.
	TermVersion uint64
	// Since is a moment at or after the end of every earlier entitlement.
	Since time.Time
	// Alive is when the leader before was last heard of; zero: never.
	Alive time.Time
}

// View is what a node believes about the leadership.
type View struct {
	Leader string
	Term   uint64
	// Seen is when the state service last answered this node.
	Seen time.Time
}

// Elector takes part in the election on behalf of one member.
type Elector struct {
	member string
	ttl    time.Duration
	state  *state.Client
	log    *slog.Logger
	lead   func(ctx context.Context, r Reign)

	mu       sync.Mutex
	view     View
	alive    time.Time // when a leader was last heard of
	until    time.Time
	reigning uint64
	deposed  chan struct{}
}

// New makes an elector; lead is run, with a context that ends with the reign,
// each time the member takes the lead.
func New(member string, ttl time.Duration, st *state.Client, log *slog.Logger, lead func(context.Context, Reign)) *Elector {
	return &Elector{member: member, ttl: ttl, state: st, log: log, lead: lead}
}

// Entitled reports whether the member may act as leader of the term right now.
// It is asked as late as possible, at each sending, because a decision can wait
// behind a busy processor for longer than the lease lasts.
func (e *Elector) Entitled(term uint64) bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reigning == term && term != 0 && now.Before(e.until)
}

// Left is how long the member may still act as leader of the term without another
// renewal; 0: it may not.
func (e *Elector) Left(term uint64) time.Duration {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reigning != term || term == 0 {
		return 0
	}
	return max(0, e.until.Sub(now))
}

// View returns what the node knows of the leadership.
func (e *Elector) View() View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// Heard takes in a leader that a sibling or a worker has seen. A node that is
// cut from the state service alone learns of its successor this way.
func (e *Elector) Heard(leader string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term > e.view.Term {
		e.view.Leader, e.view.Term = leader, term
	}
	if e.reigning != 0 && term > e.reigning && e.deposed != nil {
		e.until = time.Time{}
		close(e.deposed)
		e.deposed = nil
	}
}

// Alive notes that the leader has given a sign of life.
func (e *Elector) Alive() {
	e.mu.Lock()
	e.alive = time.Now()
	e.mu.Unlock()
}

// Vacant is how long the lead may still be held by a leader that gives no sign of
// life: what is left of its lease, as far as this node knows.
func (e *Elector) Vacant() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.ttl-time.Since(e.alive))
}

// Run takes part until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		epoch, held, termVersion, term, err := e.look(ctx)
		if err != nil {
			pause(ctx, 250*time.Millisecond)
			continue
		}
		if !held {
			e.campaign(ctx, term, termVersion)
			pause(ctx, 50*time.Millisecond)
			continue
		}
		if _, _, err := e.state.Watch(ctx, prefix, epoch, 5*time.Second); err != nil && !errors.Is(err, state.ErrGone) {
			pause(ctx, 250*time.Millisecond)
			continue
		}
		e.seen()
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (e *Elector) seen() {
	e.mu.Lock()
	e.view.Seen = time.Now()
	e.mu.Unlock()
}

// look reads both keys in one listing, so that they belong together.
func (e *Elector) look(ctx context.Context) (epoch uint64, held bool, termVersion, term uint64, err error) {
	entries, epoch, err := e.state.List(ctx, prefix)
	if err != nil {
		return
	}
	var h holder
	for _, en := range entries {
		switch en.Key {
		case keyHolder:
			held = wire.Unmarshal(en.Value, &h) == nil
		case KeyTerm:
			var t termRecord
			if err = wire.Unmarshal(en.Value, &t); err != nil {
				return
			}
			term, termVersion = t.Term, en.Version
		}
	}
	e.mu.Lock()
	e.view.Seen = time.Now()
	if term >= e.view.Term {
		e.view.Term = term
		e.view.Leader = h.Member
	}
	e.mu.Unlock()
	return
}

// margin is taken off the lease: steady clocks differ by up to 0.05 %, on both
// sides, and the processor can be late.
func (e *Elector) margin() time.Duration { return e.ttl/500 + 50*time.Millisecond }

func (e *Elector) campaign(ctx context.Context, term, termVersion uint64) {
	begun := time.Now()
	lease, err := e.state.Grant(ctx, e.ttl)
	if err != nil {
		return
	}
	term++
	hv, err1 := state.Put(keyHolder, holder{Member: e.member, Term: term})
	tv, err2 := state.Put(KeyTerm, termRecord{Term: term})
	if err1 != nil || err2 != nil {
		return
	}
	hv.Lease = lease
	version, err := e.state.Commit(ctx, state.Txn{
		If:     []state.Cond{{Key: keyHolder}, {Key: KeyTerm, Version: termVersion}},
		Writes: []state.Write{hv, tv},
	})
	if errors.Is(err, state.ErrUnknown) {
		// The commit may have gone through: the lease on the holder key tells.
		en, gerr := e.state.Get(ctx, keyHolder)
		var h holder
		if gerr == nil && en.Lease == lease && wire.Unmarshal(en.Value, &h) == nil && h.Term == term {
			version, err = en.Version, nil
		}
	}
	if err != nil {
		// Without its lease a transaction that is applied late fails.
		_ = e.state.Revoke(ctx, lease)
		return
	}
	e.mu.Lock()
	alive := e.alive
	e.mu.Unlock()
	e.reign(ctx, Reign{Term: term, TermVersion: version, Since: time.Now(), Alive: alive}, lease, begun)
}

func (e *Elector) reign(ctx context.Context, r Reign, lease uint64, begun time.Time) {
	rctx, cancel := context.WithCancel(ctx)
	deposed := make(chan struct{})
	e.mu.Lock()
	e.reigning, e.until = r.Term, begun.Add(e.ttl-e.margin())
	e.view = View{Leader: e.member, Term: r.Term, Seen: time.Now()}
	e.deposed = deposed
	e.mu.Unlock()
	e.log.Info("took the lead", "term", r.Term)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		e.lead(rctx, r)
	}()
	e.renew(rctx, lease, deposed)
	e.mu.Lock()
	e.reigning, e.until, e.deposed = 0, time.Time{}, nil
	if e.view.Term == r.Term {
		e.view.Leader = ""
	}
	e.mu.Unlock()
	cancel()
	<-finished
	e.log.Info("left the lead", "term", r.Term)
}

// renew keeps the lease until it is gone or a later term was heard of. In an
// outage the entitlement lapses but the reign goes on: leases have their full
// time again afterwards, so the same term may resume.
func (e *Elector) renew(ctx context.Context, lease uint64, deposed <-chan struct{}) {
	tick := time.NewTimer(e.ttl / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-deposed:
			return
		case <-tick.C:
		}
		begun := time.Now()
		err := e.state.Extend(ctx, lease)
		wait := e.ttl / 4
		switch {
		case err == nil:
			e.mu.Lock()
			e.until = begun.Add(e.ttl - e.margin())
			e.view.Seen = time.Now()
			e.mu.Unlock()
		case errors.Is(err, state.ErrNotFound):
			return
		default:
			e.log.Debug("lease renewal failed", "error", err)
			wait = 200 * time.Millisecond
		}
		tick.Reset(wait)
	}
}
