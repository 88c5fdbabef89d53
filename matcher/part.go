package matcher

import (
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"
)

// FirstFalseOperand returns the first operand of a condition's top-level conjunction that does not
// hold, for display. It returns the whole condition if all operands hold or it does not parse.
func FirstFalseOperand(condition string, properties Properties) string {
	tree, err := parser.Parse(condition)
	if err != nil {
		return condition
	}
	for _, part := range conjuncts(tree.Node) {
		if !holds(part.String(), properties) {
			return part.String()
		}
	}
	return condition
}

// conjuncts returns the operands that a node joins by && or and, from left to right.
func conjuncts(node ast.Node) []ast.Node {
	joined, ok := node.(*ast.BinaryNode)
	if !ok || (joined.Operator != "&&" && joined.Operator != "and") {
		return []ast.Node{node}
	}
	return append(conjuncts(joined.Left), conjuncts(joined.Right)...)
}

// holds reports whether a part of a condition holds; a part that fails to compile or evaluate
// does not.
func holds(part string, properties Properties) bool {
	program, err := compile(part)
	if err != nil {
		return false
	}
	machine := vm.VM{MemoryBudget: memoryBudget}
	value, err := machine.Run(program, properties)
	truth, ok := value.(bool)
	return err == nil && ok && truth
}
