// Package explorer is a model checker for tests of pure state machines, whose inputs are messages
// and the current time. It explores all sequences of a few actions breadth first, visits states
// with equal fingerprints once, and so finds a shortest sequence that violates an invariant. It
// also runs random sequences, which reach states at a greater depth.
package explorer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// World is the state under exploration. The explorer makes a new one for each sequence of actions
// and never copies it.
type World interface {
	// Fingerprint identifies the state: worlds with equal fingerprints react alike to all
	// later actions.
	Fingerprint() string
	// Violation describes a violated invariant, or is empty if all invariants hold.
	Violation() string
}

// Action is an action on one of several subjects, numbered 0 to Count-1.
type Action[W World] struct {
	Name  string
	Count int
	// Do executes the action on a subject and reports whether the action was possible.
	Do func(world W, subject int) bool
}

// Step is an action on a subject; both are indices.
type Step struct{ Action, Subject int }

// Explorer explores the states that actions lead to from a new world.
type Explorer[W World] struct {
	New     func() W
	Actions []Action[W]
	// Start lists the steps that lead from a new world to the state where exploration starts.
	Start []Step
	// MaxStates ends the exploration after so many distinct states.
	MaxStates int
	// SettleInterval makes Explore call Settle on every SettleInterval-th new state, or on
	// none if it is 0. Settle continues a state without faults and describes the expected
	// outcome that it does not reach, or returns an empty text if it reaches all.
	SettleInterval int
	Settle         func(world W) string
}

// ExploreFrom explores from each start until it finds a violation. It returns the total number of
// states visited.
func (e *Explorer[W]) ExploreFrom(starts ...[]Step) (states int, violation string) {
	for _, start := range starts {
		e.Start = start
		visited, found := e.Explore()
		states += visited
		if found != "" {
			return states, found
		}
	}
	return states, ""
}

// Explore returns the number of states visited, and the first sequence of steps that leads to a
// violation, with the violation. The text is empty if there is none.
func (e *Explorer[W]) Explore() (states int, violation string) {
	seen := map[string]bool{}
	level := [][]Step{nil}
	for len(level) > 0 {
		var next [][]Step
		for _, path := range level {
			extended, found := e.extend(path, seen)
			if found != "" {
				return len(seen), found
			}
			next = append(next, extended...)
			if len(seen) >= e.MaxStates {
				return len(seen), ""
			}
		}
		level = next
	}
	return len(seen), ""
}

// extend tries each step after path and returns the longer paths that lead to unseen states.
func (e *Explorer[W]) extend(path []Step, seen map[string]bool) (extended [][]Step, violation string) {
	for action := range e.Actions {
		for subject := range e.Actions[action].Count {
			world := e.replay(path)
			taken := e.Actions[action].Do(world, subject)
			longer := append(slices.Clone(path), Step{action, subject})
			if failure := world.Violation(); failure != "" {
				return nil, e.describe(longer) + ": " + failure
			}
			fingerprint := world.Fingerprint()
			if !taken || seen[fingerprint] {
				continue
			}
			seen[fingerprint] = true
			extended = append(extended, longer)
			if e.SettleInterval == 0 || len(seen)%e.SettleInterval != 0 {
				continue
			}
			if failure := e.Settle(world); failure != "" {
				return nil, e.describe(longer) + ", then without faults: " + failure
			}
		}
	}
	return extended, ""
}

// RandomWalk runs random sequences of up to steps possible steps each and then settles the state
// that each one reaches. It reaches deeper states than Explore, but the sequence it finds is not
// the shortest. It returns the number of steps taken, and the first sequence that leads to a
// violation, with the violation.
func (e *Explorer[W]) RandomWalk(random *rand.Rand, walks, steps int) (taken int, violation string) {
	for range walks {
		world, path, found := e.walk(random, steps)
		taken += len(path)
		if found != "" {
			return taken, e.describe(path) + ": " + found
		}
		if e.Settle == nil {
			continue
		}
		if failure := e.Settle(world); failure != "" {
			return taken, e.describe(path) + ", then without faults: " + failure
		}
	}
	return taken, ""
}

// walk takes random steps until it has taken enough of them or finds a violation.
func (e *Explorer[W]) walk(random *rand.Rand, steps int) (world W, path []Step, violation string) {
	world = e.replay(nil)
	for draws := 0; len(path) < steps && draws < maxDrawsPerStep*steps; draws++ {
		action := random.IntN(len(e.Actions))
		subject := random.IntN(e.Actions[action].Count)
		if !e.Actions[action].Do(world, subject) {
			continue
		}
		path = append(path, Step{action, subject})
		if failure := world.Violation(); failure != "" {
			return world, path, failure
		}
	}
	return world, path, ""
}

// maxDrawsPerStep bounds a walk's draws, since some draw steps that are not possible.
const maxDrawsPerStep = 20

// replay makes a new world and executes the steps of Start and of path.
func (e *Explorer[W]) replay(path []Step) W {
	world := e.New()
	for _, step := range slices.Concat(e.Start, path) {
		e.Actions[step.Action].Do(world, step.Subject)
	}
	return world
}

// Do executes the named action on a subject. It panics if there is no such action.
func (e *Explorer[W]) Do(world W, name string, subject int) {
	e.Actions[e.action(name)].Do(world, subject)
}

// Steps returns the steps of the named actions, each on subjects 0 to count-1. It panics if
// there is no action of one of the names.
func (e *Explorer[W]) Steps(count int, names ...string) (steps []Step) {
	for _, name := range names {
		action := e.action(name)
		for subject := range count {
			steps = append(steps, Step{action, subject})
		}
	}
	return steps
}

// action returns the index of the action with the given name. It panics if there is none: a
// test with a misspelled name would otherwise leave out the step and explore less than it says.
func (e *Explorer[W]) action(name string) int {
	i := slices.IndexFunc(e.Actions, func(action Action[W]) bool { return action.Name == name })
	if i < 0 {
		panic("explorer: no action is named " + name)
	}
	return i
}

// FingerprintBuilder builds a fingerprint. It prints times relative to Now, so that states that
// differ only in the time of day have equal fingerprints.
type FingerprintBuilder struct {
	strings.Builder
	Now time.Time
	// MaxAge is the age beyond which all times print alike.
	MaxAge time.Duration
}

// Times appends times, in milliseconds relative to Now.
func (b *FingerprintBuilder) Times(times ...time.Time) {
	for _, t := range times {
		fmt.Fprintf(b, "%d ", max(-b.MaxAge, t.Sub(b.Now))/time.Millisecond)
	}
}

// Values appends the printed form of values.
func (b *FingerprintBuilder) Values(values ...any) { fmt.Fprint(b, values...) }

// describe returns the steps of path as text: the name of each action and its subject.
func (e *Explorer[W]) describe(path []Step) string {
	var names []string
	for _, step := range path {
		names = append(names, fmt.Sprintf("%s%d", e.Actions[step.Action].Name, step.Subject))
	}
	return strings.Join(names, " ")
}
