package rollout

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/vm"
)

// The default expressions of the gate. A batch passes if every instance is known to be healthy.
// It fails if one replica has failed three times, or if replicas have failed three times in all
// on at least two machines: a single machine on which everything fails does not show that the
// build is bad. It also fails if every instance is unhealthy after at least two failures, or if one
// instance has been unhealthy for 30 seconds.
const (
	DefaultPass = "healthy == 1.0"
	DefaultFail = "failures >= 3 || (all_failures >= 3 && failed_hosts >= 2) || (unhealthy == 1.0 && all_failures >= 2) || bad_s >= 30"
)

// maxNodes bounds the syntax tree of an expression, which an operator writes and the leader
// evaluates. An expression without functions and ranges has no loops, so the bound also limits
// its run time.
const maxNodes = 200

// forbiddenNodes finds functions and ranges, which an expression may not use. It implements
// ast.Visitor.
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

// NewGate compiles the two expressions. An empty expression stands for the default. An error
// starts with the name of the field.
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

// compile compiles the expression of a field. The expression may use the names in the tags of
// Sample, and must be a condition.
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

// Passes reports whether the batch passes. An expression that cannot be evaluated does not pass.
func (g *Gate) Passes(s Sample) bool { return evaluate(g.pass, s, false) }

// Fails reports whether the batch fails. An expression that cannot be evaluated fails, because
// its author wanted it to be able to stop the roll-out.
func (g *Gate) Fails(s Sample) bool { return evaluate(g.fail, s, true) }

// evaluate evaluates an expression, and returns onError if the evaluation fails.
func evaluate(p *vm.Program, s Sample, onError bool) bool {
	out, err := expr.Run(p, s)
	if err != nil {
		return onError
	}
	b, ok := out.(bool)
	return ok && b
}
