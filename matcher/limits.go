package matcher

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
)

// allowedFunctions returns the built-in functions that a condition may call. None of them
// takes a predicate to loop over or returns more than it was given, so that the time and the
// memory of an evaluation are bounded by the size of the condition and of the request.
func allowedFunctions() []string {
	return []string{
		"len", "lower", "upper", "trim", "trimPrefix", "trimSuffix",
		"hasPrefix", "hasSuffix", "indexOf", "lastIndexOf",
		"int", "float", "abs", "ceil", "floor", "round", "min", "max",
	}
}

// compileOptions returns the options that bound the size of a condition and the functions that
// it may call.
func compileOptions() []expr.Option {
	options := []expr.Option{expr.MaxNodes(maxConditionNodes), expr.DisableAllBuiltins()}
	for _, name := range allowedFunctions() {
		options = append(options, expr.EnableBuiltin(name))
	}
	return options
}

// checkBounds returns an error if the evaluation of a condition could take too much time or
// memory.
func checkBounds(root ast.Node) error {
	boundsChecker := &boundsChecker{}
	ast.Walk(&root, boundsChecker)
	return boundsChecker.fault
}

// boundsChecker is an ast.Visitor that looks for expressions whose compilation or evaluation
// is unbounded.
type boundsChecker struct {
	// fault is the first error that was found, or nil.
	fault error
}

// Visit checks one node. It implements ast.Visitor.
func (boundsChecker *boundsChecker) Visit(node *ast.Node) {
	if boundsChecker.fault != nil {
		return
	}
	switch node := (*node).(type) {
	case *ast.BinaryNode:
		if node.Operator == ".." {
			boundsChecker.fault = fmt.Errorf("ranges are not allowed; compare with both bounds instead")
		}
	case *ast.VariableDeclaratorNode:
		boundsChecker.fault = fmt.Errorf("variables are not allowed")
	case *ast.PredicateNode:
		boundsChecker.fault = fmt.Errorf("loops are not allowed")
	}
}
