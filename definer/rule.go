package definer

import "time"

// Repeat tells how often a request may be run.
type Repeat string

const (
	// Idempotent requests may be run again after a failure.
	Idempotent Repeat = "idempotent"
	// Never marks requests that are sent to an upstream at most once.
	Never Repeat = "never"
	// Keyed marks requests that run at most once for each Idempotency-Key.
	Keyed Repeat = "keyed"
)

// Rule is one operator's rule: when it holds, then its action is done.
type Rule struct {
	// document has passed all checks of Build.
	document RuleDocument
}

// Name returns the rule's name.
func (rule *Rule) Name() string { return rule.document.Name }

// When returns the rule's condition as written.
func (rule *Rule) When() string { return rule.document.When }

// Refusal returns the message of a refusal; empty if the rule does not refuse.
func (rule *Rule) Refusal() string { return rule.document.Then.Refuse }

// Class returns the class that the rule gives.
func (rule *Rule) Class() ClassName { return ClassName(rule.document.Then.Class) }

// Pool returns the pool that the rule gives.
func (rule *Rule) Pool() PoolName { return PoolName(rule.document.Then.Pool) }

// Repeat returns how often the request may be run; Idempotent if none is set.
func (rule *Rule) Repeat() Repeat {
	if rule.document.Then.Repeat == "" {
		return Idempotent
	}
	return Repeat(rule.document.Then.Repeat)
}

// Deadline returns the bound on the whole request; 0 is no bound.
func (rule *Rule) Deadline() time.Duration { return milliseconds(rule.document.Then.DeadlineMs) }

// LocalKeys tells whether a keyed call may run without the platform.
func (rule *Rule) LocalKeys() bool { return rule.document.Then.LocalKeys }

// Rules returns the rules of a document before it has passed any check, so that
// their conditions can be checked along with it.
func Rules(document Document) []*Rule {
	rules := make([]*Rule, 0, len(document.Rules))
	for _, rule := range document.Rules {
		rules = append(rules, &Rule{document: rule})
	}
	return rules
}
