package router

import (
	"fmt"
	"strings"
)

// Verdict tells how one rule judged a host and a path.
type Verdict struct {
	Rule *Rule
	// Reason is why the rule does not match; empty for the one that does.
	Reason string
}

// Explain returns the verdicts of all rules in order, up to and with the first
// that matches.
func (table *Table) Explain(host, path string) []Verdict {
	var verdicts []Verdict
	for index := range table.definition.Rules {
		rule := &table.definition.Rules[index]
		verdict := Verdict{Rule: rule}
		switch {
		case rule.Host != normalise(host):
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
