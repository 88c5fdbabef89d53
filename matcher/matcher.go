// Package matcher compiles the conditions of rules, which are boolean expressions over the
// properties of a request, and finds the first rule whose condition holds. Conditions are
// restricted so that each evaluation is bounded in time and memory.
package matcher

import (
	"errors"
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"

	"limpetcleat/definer"
)

// The bounds of one condition: the length of its text in bytes, the number of nodes of its
// syntax tree, and what the virtual machine may allocate to evaluate it.
const (
	maxConditionLength = 4096
	maxConditionNodes  = 500
	memoryBudget       = 100_000
)

// Properties holds the properties of a request that conditions can use, under their names in
// the expr tags.
type Properties struct {
	Organisation string            `expr:"organisation"`
	Model        string            `expr:"model"`
	Service      string            `expr:"service"`
	Method       string            `expr:"method"`
	Path         string            `expr:"path"`
	Streamed     bool              `expr:"streamed"`
	PromptTokens int               `expr:"promptTokens"`
	MaxTokens    int               `expr:"maxTokens"`
	Headers      map[string]string `expr:"headers"`
}

// Matcher holds the compiled conditions of the rules of one configuration. It is immutable and
// safe for concurrent use.
type Matcher struct {
	// rules and programs have the same length and order.
	rules    []*definer.Rule
	programs []*vm.Program
}

// New compiles the conditions of the rules. The error joins one error of kind Unparsable for
// each rule whose condition is not valid.
func New(rules []*definer.Rule) (*Matcher, error) {
	matcher := &Matcher{rules: rules}
	var faults []error
	for _, rule := range rules {
		program, err := compile(rule.When())
		if err != nil {
			faults = append(faults, fail("compile", Unparsable, "rule %q: %w", rule.Name(), err))
			continue
		}
		matcher.programs = append(matcher.programs, program)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return matcher, nil
}

// compile parses, checks and compiles a condition, within the bounds.
func compile(condition string) (*vm.Program, error) {
	if len(condition) > maxConditionLength {
		return nil, fmt.Errorf("the condition has %d bytes; allowed are %d", len(condition), maxConditionLength)
	}
	tree, err := parser.Parse(condition)
	if err != nil {
		return nil, fmt.Errorf("condition %q: %w", condition, err)
	}
	if err := checkBounds(tree.Node); err != nil {
		return nil, fmt.Errorf("condition %q: %w", condition, err)
	}
	options := append(compileOptions(), expr.Env(Properties{}), expr.AsBool())
	program, err := expr.Compile(condition, options...)
	if err != nil {
		return nil, fmt.Errorf("condition %q: %w", condition, err)
	}
	return program, nil
}

// Match returns the first rule whose condition holds for a request with the properties. The
// error is of kind NoRule if none does. A condition whose evaluation fails does not hold.
func (matcher *Matcher) Match(properties Properties) (*definer.Rule, error) {
	machine := newVM()
	var boxed any = properties // Converted once, to allocate only once for all rules.
	for index := range matcher.rules {
		holds, err := matcher.evaluate(machine, index, boxed)
		if err == nil && holds {
			return matcher.rules[index], nil
		}
	}
	return nil, fail("match", NoRule, "none of %d rules matches", len(matcher.rules))
}

// Verdict is the result of evaluating the condition of one rule for a request.
type Verdict struct {
	rule    *definer.Rule
	holds   bool
	failure error
}

// Rule returns the rule whose condition was evaluated.
func (verdict Verdict) Rule() *definer.Rule { return verdict.rule }

// Holds reports whether the condition holds.
func (verdict Verdict) Holds() bool { return verdict.holds }

// Failure returns the error of the evaluation, of kind Unrunnable, or nil.
func (verdict Verdict) Failure() error { return verdict.failure }

// Explain returns the verdicts of the rules in order, up to and including the first whose
// condition holds.
func (matcher *Matcher) Explain(properties Properties) []Verdict {
	var verdicts []Verdict
	machine := newVM()
	var boxed any = properties // Converted once, to allocate only once for all rules.
	for index, rule := range matcher.rules {
		holds, err := matcher.evaluate(machine, index, boxed)
		verdicts = append(verdicts, Verdict{rule: rule, holds: holds, failure: err})
		if holds {
			break
		}
	}
	return verdicts
}

// newVM returns the virtual machine that evaluates the conditions for one request, one at a
// time, within the memory budget.
func newVM() *vm.VM { return &vm.VM{MemoryBudget: memoryBudget} }

// evaluate reports whether the condition of the rule at the index holds. The error is of kind
// Unrunnable.
func (matcher *Matcher) evaluate(machine *vm.VM, index int, properties any) (bool, error) {
	value, err := machine.Run(matcher.programs[index], properties)
	if err != nil {
		return false, fail("run", Unrunnable, "rule %q: %w", matcher.rules[index].Name(), err)
	}
	holds, ok := value.(bool)
	return ok && holds, nil
}
