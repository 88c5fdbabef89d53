package definer

import "time"

// Repeat is the policy on running a request more than once.
type Repeat string

const (
	// Idempotent marks requests that may be retried after a failure.
	Idempotent Repeat = "idempotent"
	// Never marks requests that are sent to an upstream at most once.
	Never Repeat = "never"
	// Keyed marks requests that run at most once for each Idempotency-Key.
	Keyed Repeat = "keyed"
)

// Rule is a condition on requests and the action for requests that meet it.
type Rule struct {
	// document has passed all checks of Build.
	document RuleDocument
}

// Name returns the name of the rule.
func (rule *Rule) Name() string { return rule.document.Name }

// When returns the source text of the rule's condition.
func (rule *Rule) When() string { return rule.document.When }

// Refusal returns the message with which the rule refuses requests; it is empty
// if the rule does not refuse them.
func (rule *Rule) Refusal() string { return rule.document.Then.Refuse }

// Class returns the name of the class that the rule assigns.
func (rule *Rule) Class() ClassName { return ClassName(rule.document.Then.Class) }

// Pool returns the name of the pool that the rule assigns.
func (rule *Rule) Pool() PoolName { return PoolName(rule.document.Then.Pool) }

// Repeat returns the policy on running a request more than once; Idempotent if none is
// set.
func (rule *Rule) Repeat() Repeat {
	if rule.document.Then.Repeat == "" {
		return Idempotent
	}
	return Repeat(rule.document.Then.Repeat)
}

// Deadline returns the time limit of the whole request; 0 means no limit.
func (rule *Rule) Deadline() time.Duration { return milliseconds(rule.document.Then.DeadlineMs) }

// LocalKeys reports whether a keyed request may run without the platform, under a
// key that is bound to one process.
func (rule *Rule) LocalKeys() bool { return rule.document.Then.LocalKeys }

// Rules returns the rules of a document that is not yet validated, so that the
// caller can check their conditions together with the rest of the document.
func Rules(document Document) []*Rule {
	rules := make([]*Rule, 0, len(document.Rules))
	for _, rule := range document.Rules {
		rules = append(rules, &Rule{document: rule})
	}
	return rules
}
