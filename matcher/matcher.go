// Package matcher finds the first rule whose condition holds for a request.
package matcher

import (
	"errors"
	"fmt"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"

	"limpetcleat/definer"
)

const (
	maxConditionLength = 4096
	maxConditionNodes  = 500
	memoryBudget       = 100_000
)

// Properties are what the condition of a rule can see of a request.
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

// Matcher holds the compiled conditions of one configuration's rules. It never
// changes once built and may be used by many goroutines.
type Matcher struct {
	// rules and programs have the same length and order.
	rules    []*definer.Rule
	programs []*vm.Program
}

// New compiles the rules' conditions. The error joins the faults of all rules,
// each of kind Unparsable.
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

func compile(condition string) (*vm.Program, error) {
	if len(condition) > maxConditionLength {
		return nil, fmt.Errorf("the condition has %d bytes; allowed are %d", len(condition), maxConditionLength)
	}
	tree, err := parser.Parse(condition)
	if err != nil {
		return nil, fmt.Errorf("condition %q: %w", condition, err)
	}
	if err := bounded(tree.Node); err != nil {
		return nil, fmt.Errorf("condition %q: %w", condition, err)
	}
	options := append(limits(), expr.Env(Properties{}), expr.AsBool())
	program, err := expr.Compile(condition, options...)
	if err != nil {
		return nil, fmt.Errorf("condition %q: %w", condition, err)
	}
	return program, nil
}

// Match returns the first rule whose condition holds. The error is of kind
// NoRule when none does. A condition that fails while it runs does not hold.
func (matcher *Matcher) Match(properties Properties) (*definer.Rule, error) {
	machine := newMachine()
	var boxed any = properties // Once, not for each rule.
	for index := range matcher.rules {
		holds, err := matcher.run(machine, index, boxed)
		if err == nil && holds {
			return matcher.rules[index], nil
		}
	}
	return nil, fail("match", NoRule, "none of %d rules matches", len(matcher.rules))
}

// Verdict tells how one rule judged a request.
type Verdict struct {
	rule    *definer.Rule
	holds   bool
	failure error
}

// Rule returns the rule that was tried.
func (verdict Verdict) Rule() *definer.Rule { return verdict.rule }

// Holds tells whether the rule's condition held.
func (verdict Verdict) Holds() bool { return verdict.holds }

// Failure returns why the condition could not be run, or nil.
func (verdict Verdict) Failure() error { return verdict.failure }

// Explain returns the verdicts of all rules up to and with the first that holds.
func (matcher *Matcher) Explain(properties Properties) []Verdict {
	var verdicts []Verdict
	machine := newMachine()
	var boxed any = properties // Once, not for each rule.
	for index, rule := range matcher.rules {
		holds, err := matcher.run(machine, index, boxed)
		verdicts = append(verdicts, Verdict{rule: rule, holds: holds, failure: err})
		if holds {
			break
		}
	}
	return verdicts
}

// newMachine returns what runs the conditions for one request, one at a time.
func newMachine() *vm.VM { return &vm.VM{MemoryBudget: memoryBudget} }

func (matcher *Matcher) run(machine *vm.VM, index int, properties any) (bool, error) {
	value, err := machine.Run(matcher.programs[index], properties)
	if err != nil {
		return false, fail("run", Unrunnable, "rule %q: %w", matcher.rules[index].Name(), err)
	}
	holds, ok := value.(bool)
	return ok && holds, nil
}
