// Package explorer plays every order of a few steps of a small world, states that
// look alike once, and finds the shortest order that breaks something. It is for
// tests of machines that are pure: stepped with messages, with time passed in.
package explorer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// World is what is played. It is made anew for each order, so it need not be copied.
type World interface {
	// Print names the state: worlds that print alike go on alike.
	Print() string
	// Broken says what does not hold; empty: all does.
	Broken() string
}

// Action is a step that can be taken for each of some things.
type Action[W World] struct {
	Name  string
	Count int
	// Do reports whether the step could be taken.
	Do func(w W, i int) bool
}

// Step is one action for one thing, by their indices.
type Step struct{ Action, Index int }

// Explorer is a world with its steps.
type Explorer[W World] struct {
	New     func() W
	Actions []Action[W]
	// Start are the steps before the first that is tried.
	Start []Step
	// MaxStates is how many states are looked at.
	MaxStates int
	// SettleInterval is how often, in states, a state is played on without faults by Settle; 0:
	// never. Settle returns what does not come about.
	SettleInterval int
	Settle         func(w W) string
}

// ExploreFrom plays from each of several starts, up to the first order that breaks something,
// and returns how many states were seen in all.
func (g *Explorer[W]) ExploreFrom(starts ...[]Step) (states int, broken string) {
	for _, start := range starts {
		g.Start = start
		n, b := g.Explore()
		states += n
		if b != "" {
			return states, b
		}
	}
	return states, ""
}

// Explore explores and returns how many states it has seen, and the first order that
// breaks something with what it breaks; empty: none does.
func (g *Explorer[W]) Explore() (states int, broken string) {
	seen := map[string]bool{}
	level := [][]Step{nil}
	for len(level) > 0 {
		var next [][]Step
		for _, path := range level {
			for a := range g.Actions {
				for i := range g.Actions[a].Count {
					w := g.replay(path)
					could := g.Actions[a].Do(w, i)
					now := append(slices.Clone(path), Step{a, i})
					if why := w.Broken(); why != "" {
						return len(seen), g.describe(now) + ": " + why
					}
					p := w.Print()
					if !could || seen[p] {
						continue
					}
					seen[p] = true
					next = append(next, now)
					if g.SettleInterval == 0 || len(seen)%g.SettleInterval != 0 {
						continue
					}
					if why := g.Settle(w); why != "" {
						return len(seen), g.describe(now) + ", then without faults: " + why
					}
				}
			}
			if len(seen) >= g.MaxStates {
				return len(seen), ""
			}
		}
		level = next
	}
	return len(seen), ""
}

// RandomWalk plays orders that are drawn, each of so many steps that could be taken, and then on
// without faults. It reaches deeper than Play, which looks at every order, and finds no
// shortest one. It returns how many steps were taken, and the first order that breaks
// something with what it breaks.
func (g *Explorer[W]) RandomWalk(r *rand.Rand, walks, steps int) (taken int, broken string) {
	for range walks {
		w := g.replay(nil)
		var path []Step
		for tries := 0; len(path) < steps && tries < maxDrawsPerStep*steps; tries++ {
			a := r.IntN(len(g.Actions))
			i := r.IntN(g.Actions[a].Count)
			if !g.Actions[a].Do(w, i) {
				continue
			}
			path = append(path, Step{a, i})
			taken++
			if why := w.Broken(); why != "" {
				return taken, g.describe(path) + ": " + why
			}
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

// maxDrawsPerStep bounds the draws of steps that cannot be taken.
const maxDrawsPerStep = 20

func (g *Explorer[W]) replay(path []Step) W {
	w := g.New()
	for _, s := range slices.Concat(g.Start, path) {
		g.Actions[s.Action].Do(w, s.Index)
	}
	return w
}

// Do takes a step by its name.
func (g *Explorer[W]) Do(w W, name string, i int) {
	for a := range g.Actions {
		if g.Actions[a].Name == name {
			g.Actions[a].Do(w, i)
			return
		}
	}
	panic("no step is named " + name)
}

// Steps are steps by their names, each for things 0 to n-1.
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

// Printer names a state. Times are told from now, so that states that differ in the
// time of day alone are alike.
type Printer struct {
	strings.Builder
	Now time.Time
	// MaxAge is how long ago all that is longer ago counts as.
	MaxAge time.Duration
}

// Times prints a time.
func (p *Printer) Times(times ...time.Time) {
	for _, t := range times {
		fmt.Fprintf(p, "%d ", max(-p.MaxAge, t.Sub(p.Now))/time.Millisecond)
	}
}

// Values prints values.
func (p *Printer) Values(values ...any) { fmt.Fprint(p, values...) }

func (g *Explorer[W]) describe(path []Step) string {
	var b []string
	for _, s := range path {
		b = append(b, fmt.Sprintf("%s%d", g.Actions[s.Action].Name, s.Index))
	}
	return strings.Join(b, " ")
}
