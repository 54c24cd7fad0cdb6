package rollout

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
)

// The gate of a specification that leaves it out. A batch passes when every instance is known
// to be healthy. It fails when a replica has failed three times, or replicas on two machines
// three times in all, since one machine that fails everything is not the build's fault; when
// every instance has turned unhealthy; and when one has been unhealthy for half a minute.
const (
	DefaultPass = "healthy == 1.0"
	DefaultFail = "failures >= 3 || (all_failures >= 3 && failed_hosts >= 2) || (unhealthy == 1.0 && all_failures >= 2) || bad_s >= 30"
)

// maxNodes bounds an expression: it is an operator's text and runs in the leader. Without
// functions and ranges it has no loops, so that bounds its run time too.
const maxNodes = 200

// forbiddenNodes finds what an expression may not have. It implements ast.Visitor.
type forbiddenNodes struct{ found string }

// Visit implements ast.Visitor.
func (f *forbiddenNodes) Visit(n *ast.Node) {
	switch x := (*n).(type) {
	case *ast.BuiltinNode:
		f.found = x.Name
	case *ast.CallNode, *ast.PredicateNode:
		f.found = "a function"
	case *ast.BinaryNode:
		if x.Operator == ".." {
			f.found = "a range"
		}
	}
}

// Gate decides whether a batch passes or fails, by two compiled expressions.
type Gate struct{ pass, fail *vm.Program }

// NewGate compiles the two expressions; empty ones are the defaults. An error names the
// field.
func NewGate(pass, fail string) (*Gate, error) {
	if pass == "" {
		pass = DefaultPass
	}
	if fail == "" {
		fail = DefaultFail
	}
	passProgram, err := compile("pass", pass)
	if err != nil {
		return nil, err
	}
	failProgram, err := compile("fail", fail)
	if err != nil {
		return nil, err
	}
	return &Gate{pass: passProgram, fail: failProgram}, nil
}

// compile compiles the expression of a field and checks it against the names of Sample.
func compile(field, text string) (*vm.Program, error) {
	var forbidden forbiddenNodes
	program, err := expr.Compile(text,
		expr.Env(Sample{}),
		expr.AsBool(),
		expr.DisableAllBuiltins(),
		expr.MaxNodes(maxNodes),
		expr.Patch(&forbidden),
	)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", field, err)
	}
	if forbidden.found != "" {
		return nil, fmt.Errorf("%s: %s is not allowed", field, forbidden.found)
	}
	return program, nil
}

// Passes reports whether the batch is good; a gate that cannot be evaluated does not pass.
func (g *Gate) Passes(s Sample) bool { return evaluate(g.pass, s, false) }

// Fails reports whether the build is bad; a gate that cannot be evaluated fails: whoever
// wrote it wanted the roll-out to stop.
func (g *Gate) Fails(s Sample) bool { return evaluate(g.fail, s, true) }

// evaluate evaluates an expression; onError is its value if that fails.
func evaluate(p *vm.Program, s Sample, onError bool) bool {
	out, err := expr.Run(p, s)
	if err != nil {
		return onError
	}
	b, ok := out.(bool)
	return ok && b
}
