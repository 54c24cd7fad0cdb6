// Package explorer is a model checker for tests of pure state machines, which are stepped with
// messages and with time passed in. It explores every order of a few actions breadth first,
// visits states with the same fingerprint once, and finds the shortest order that violates an
// invariant. It also walks random orders, which reach deeper.
package explorer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// World is the state that is explored. It is made anew for each order of actions, so it need
// not be copied.
type World interface {
	// Fingerprint identifies the state: worlds with the same one behave alike from then on.
	Fingerprint() string
	// Violation describes an invariant that does not hold; empty: all do.
	Violation() string
}

// Action is an action that can be taken for each of several subjects, 0 to Count-1.
type Action[W World] struct {
	Name  string
	Count int
	// Do takes the action for subject i, and reports whether it could be taken.
	Do func(w W, i int) bool
}

// Step is one action for one subject, by their indices.
type Step struct{ Action, Index int }

// Explorer explores a world by its actions.
type Explorer[W World] struct {
	New     func() W
	Actions []Action[W]
	// Start are the steps before the first that is explored.
	Start []Step
	// MaxStates is how many states are visited.
	MaxStates int
	// SettleInterval is how often, in states, Settle lets a state go on without faults; 0:
	// never. Settle describes what does not come about; empty: all does.
	SettleInterval int
	Settle         func(w W) string
}

// ExploreFrom explores from each of several starts, up to the first violation, and returns how
// many states were visited in all.
func (g *Explorer[W]) ExploreFrom(starts ...[]Step) (states int, violation string) {
	for _, start := range starts {
		g.Start = start
		n, found := g.Explore()
		states += n
		if found != "" {
			return states, found
		}
	}
	return states, ""
}

// Explore returns how many states it has visited, and the first order of steps with a violation
// that it leads to; empty: none does.
func (g *Explorer[W]) Explore() (states int, violation string) {
	seen := map[string]bool{}
	level := [][]Step{nil}
	for len(level) > 0 {
		var next [][]Step
		for _, path := range level {
			extended, found := g.extend(path, seen)
			if found != "" {
				return len(seen), found
			}
			next = append(next, extended...)
			if len(seen) >= g.MaxStates {
				return len(seen), ""
			}
		}
		level = next
	}
	return len(seen), ""
}

// extend takes each possible step after a path, and returns the paths to states that were not
// seen before.
func (g *Explorer[W]) extend(path []Step, seen map[string]bool) (extended [][]Step, violation string) {
	for a := range g.Actions {
		for i := range g.Actions[a].Count {
			w := g.replay(path)
			taken := g.Actions[a].Do(w, i)
			longer := append(slices.Clone(path), Step{a, i})
			if why := w.Violation(); why != "" {
				return nil, g.describe(longer) + ": " + why
			}
			fingerprint := w.Fingerprint()
			if !taken || seen[fingerprint] {
				continue
			}
			seen[fingerprint] = true
			extended = append(extended, longer)
			if g.SettleInterval == 0 || len(seen)%g.SettleInterval != 0 {
				continue
			}
			if why := g.Settle(w); why != "" {
				return nil, g.describe(longer) + ", then without faults: " + why
			}
		}
	}
	return extended, ""
}

// RandomWalk walks drawn orders of so many steps that could be taken, and lets each go on
// without faults. It reaches deeper than Explore, and finds no shortest order. It returns how
// many steps were taken, and the first order with a violation that it leads to.
func (g *Explorer[W]) RandomWalk(r *rand.Rand, walks, steps int) (taken int, violation string) {
	for range walks {
		w, path, found := g.walk(r, steps)
		taken += len(path)
		if found != "" {
			return taken, g.describe(path) + ": " + found
		}
		if g.Settle == nil {
			continue
		}
		if why := g.Settle(w); why != "" {
			return taken, g.describe(path) + ", then without faults: " + why
		}
	}
	return taken, ""
}

// walk takes drawn steps until a violation.
func (g *Explorer[W]) walk(r *rand.Rand, steps int) (w W, path []Step, violation string) {
	w = g.replay(nil)
	for draws := 0; len(path) < steps && draws < maxDrawsPerStep*steps; draws++ {
		a := r.IntN(len(g.Actions))
		i := r.IntN(g.Actions[a].Count)
		if !g.Actions[a].Do(w, i) {
			continue
		}
		path = append(path, Step{a, i})
		if why := w.Violation(); why != "" {
			return w, path, why
		}
	}
	return w, path, ""
}

// maxDrawsPerStep bounds the draws of steps that cannot be taken.
const maxDrawsPerStep = 20

// replay makes a world and takes the steps of the start and of a path.
func (g *Explorer[W]) replay(path []Step) W {
	w := g.New()
	for _, s := range slices.Concat(g.Start, path) {
		g.Actions[s.Action].Do(w, s.Index)
	}
	return w
}

// Do takes an action by its name.
func (g *Explorer[W]) Do(w W, name string, i int) {
	for a := range g.Actions {
		if g.Actions[a].Name == name {
			g.Actions[a].Do(w, i)
			return
		}
	}
	panic("no action is named " + name)
}

// Steps are the steps of actions by their names, each for subjects 0 to n-1.
func (g *Explorer[W]) Steps(n int, names ...string) (out []Step) {
	for _, name := range names {
		for a := range g.Actions {
			if g.Actions[a].Name != name {
				continue
			}
			for i := range n {
				out = append(out, Step{a, i})
			}
		}
	}
	return out
}

// Printer builds a fingerprint. Times are printed relative to now, so that states that differ
// in the time of day alone have the same one.
type Printer struct {
	strings.Builder
	Now time.Time
	// MaxAge is the age beyond which all times count as equally old.
	MaxAge time.Duration
}

// Times adds times.
func (p *Printer) Times(times ...time.Time) {
	for _, t := range times {
		fmt.Fprintf(p, "%d ", max(-p.MaxAge, t.Sub(p.Now))/time.Millisecond)
	}
}

// Values adds values.
func (p *Printer) Values(values ...any) { fmt.Fprint(p, values...) }

// describe names the steps of a path.
func (g *Explorer[W]) describe(path []Step) string {
	var names []string
	for _, s := range path {
		names = append(names, fmt.Sprintf("%s%d", g.Actions[s.Action].Name, s.Index))
	}
	return strings.Join(names, " ")
}
