package router

import (
	"fmt"
	"strings"
)

// Verdict is the result of matching one rule against a host and a path.
type Verdict struct {
	Rule *Rule
	// Reason is why the rule does not match; empty if it matches.
	Reason string
}

// Explain returns the verdicts of the rules in order, up to and including the first that
// matches.
func (table *Table) Explain(host, path string) []Verdict {
	var verdicts []Verdict
	for index := range table.definition.Rules {
		rule := &table.definition.Rules[index]
		verdict := Verdict{Rule: rule}
		switch {
		case rule.Host != normaliseHost(host):
			verdict.Reason = fmt.Sprintf("its host is %q", rule.Host)
		case !strings.HasPrefix(path, rule.PathPrefix):
			verdict.Reason = fmt.Sprintf("the path does not begin with %q", rule.PathPrefix)
		}
		verdicts = append(verdicts, verdict)
		if verdict.Reason == "" {
			break
		}
	}
	return verdicts
}
