package matcher

import (
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
)

// functions returns the built-in functions that a condition may call. None of
// them loops over a condition of its own or returns more than it was given, so
// that the time and the memory of a run are bounded by the size of the condition
// and of the request.
func functions() []string {
	return []string{
		"len", "lower", "upper", "trim", "trimPrefix", "trimSuffix",
		"hasPrefix", "hasSuffix", "indexOf", "lastIndexOf",
		"int", "float", "abs", "ceil", "floor", "round", "min", "max",
	}
}

// limits returns the settings that keep every condition bounded.
func limits() []expr.Option {
	options := []expr.Option{expr.MaxNodes(maxConditionNodes), expr.DisableAllBuiltins()}
	for _, name := range functions() {
		options = append(options, expr.EnableBuiltin(name))
	}
	return options
}

// bounded returns why a condition could take too much time or memory, or nil.
func bounded(root ast.Node) error {
	visitor := &boundVisitor{}
	ast.Walk(&root, visitor)
	return visitor.fault
}

// boundVisitor looks for what could make a run or its preparation unbounded.
type boundVisitor struct {
	// fault is the first that was found.
	fault error
}

// Visit looks at one node.
func (visitor *boundVisitor) Visit(node *ast.Node) {
	if visitor.fault != nil {
		return
	}
	switch node := (*node).(type) {
	case *ast.BinaryNode:
		if node.Operator == ".." {
			visitor.fault = fmt.Errorf("a range is not allowed; compare with its ends")
		}
	case *ast.VariableDeclaratorNode:
		visitor.fault = fmt.Errorf("a variable is not allowed")
	case *ast.PredicateNode:
		visitor.fault = fmt.Errorf("a loop is not allowed")
	}
}
