package rollout

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
)

// Sample is what a gate sees of a batch: the fields are the names in its
// expressions.
type Sample struct {
	// Replicas of the batch; Lost of them are on machines that are gone, silent or
	// being emptied, and count neither as healthy nor as failed.
	Replicas int `expr:"replicas"`
	Lost     int `expr:"lost"`
	// Healthy, Unhealthy and Unknown are shares of those that are not lost.
	Healthy   float64 `expr:"healthy"`
	Unhealthy float64 `expr:"unhealthy"`
	Unknown   float64 `expr:"unknown"`
	// Failures is the most that one replica has failed, by ending with an error or
	// by turning from healthy to unhealthy; AllFailures is their sum, and
	// FailedHosts the number of machines on which that was.
	Failures    int `expr:"failures"`
	AllFailures int `expr:"all_failures"`
	FailedHosts int `expr:"failed_hosts"`
	// BadS is how long a copy has been unhealthy without a break, at the most, in
	// seconds.
	BadS float64 `expr:"bad_s"`
	// SinceS is how long the youngest copy has run, in seconds.
	SinceS float64 `expr:"since_s"`
}

// The gate of a spec that says nothing: a batch passes when every copy is known to
// be healthy. It fails when a copy has failed three times, or copies on two
// machines three times in all, since one machine that fails everything is not the
// build's fault; when every copy has turned unhealthy; and when one has been
// unhealthy for half a minute.
const (
	DefaultPass = "healthy == 1.0"
	DefaultFail = "failures >= 3 || (all_failures >= 3 && failed_hosts >= 2) || (unhealthy == 1.0 && all_failures >= 2) || bad_s >= 30"
)

// maxNodes bounds an expression: it is an operator's text and runs in the leader.
// Without functions and ranges it has no loops, so that bounds its time too.
const maxNodes = 200

// forbiddenNodes finds what an expression may not have.
type forbiddenNodes struct{ found string }

// Visit implements ast.Visitor.
func (l *forbiddenNodes) Visit(n *ast.Node) {
	switch x := (*n).(type) {
	case *ast.BuiltinNode:
		l.found = x.Name
	case *ast.CallNode, *ast.PredicateNode:
		l.found = "a function"
	case *ast.BinaryNode:
		if x.Operator == ".." {
			l.found = "a range"
		}
	}
}

// Gate decides about a batch.
type Gate struct{ pass, fail *vm.Program }

// NewGate compiles the two expressions; empty ones are the defaults.
func NewGate(pass, fail string) (*Gate, error) {
	if pass == "" {
		pass = DefaultPass
	}
	if fail == "" {
		fail = DefaultFail
	}
	compile := func(field, text string) (*vm.Program, error) {
		var l forbiddenNodes
		p, err := expr.Compile(text, expr.Env(Sample{}), expr.AsBool(), expr.DisableAllBuiltins(), expr.MaxNodes(maxNodes), expr.Patch(&l))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", field, err)
		}
		if l.found != "" {
			return nil, fmt.Errorf("%s: %s is not allowed", field, l.found)
		}
		return p, nil
	}
	p, err := compile("pass", pass)
	if err != nil {
		return nil, err
	}
	f, err := compile("fail", fail)
	if err != nil {
		return nil, err
	}
	return &Gate{p, f}, nil
}

// Passes reports whether the batch is good; a gate that cannot tell does not pass.
func (g *Gate) Passes(s Sample) bool { return evaluate(g.pass, s, false) }

// Fails reports whether the build is bad; a gate that cannot tell fails: whoever
// wrote it wanted the roll-out to stop.
func (g *Gate) Fails(s Sample) bool { return evaluate(g.fail, s, true) }

func evaluate(p *vm.Program, s Sample, broken bool) bool {
	out, err := expr.Run(p, s)
	if err != nil {
		return broken
	}
	b, ok := out.(bool)
	return ok && b
}
