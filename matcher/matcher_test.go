package matcher_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/matcher"
)

func rules(conditions ...string) []*definer.Rule {
	var document definer.Document
	for index, condition := range conditions {
		document.Rules = append(document.Rules, definer.RuleDocument{Name: fmt.Sprint(index), When: condition})
	}
	return definer.Rules(document)
}

func request() matcher.Properties {
	return matcher.Properties{
		Organisation: "Buttons", Model: "small-7b", Method: "POST", Path: "/v1/chat/completions", Streamed: true,
		PromptTokens: 1200, MaxTokens: 300, Headers: map[string]string{"x-class": "desk"},
	}
}

func TestConditions(t *testing.T) {
	cases := []struct {
		condition string
		holds     bool
	}{
		{"true", true},
		{"streamed", true},
		{"not streamed", false},
		{`model == "small-7b" && organisation != "Pubs"`, true},
		{`model in ["large", "small-7b"]`, true},
		{`model startsWith "large" || path endsWith "completions"`, true},
		{`path matches "^/v[0-9]+/chat/"`, true},
		{`path matches model`, false},
		{`headers["x-class"] == "desk"`, true},
		{`headers["none"] == ""`, true},
		{`"x-class" in headers`, true},
		{"promptTokens + maxTokens > 1499 and promptTokens < 2000", true},
		{"promptTokens / (maxTokens - 300) > 1", true},
		{"promptTokens % (maxTokens - 300) > 1", false},
		{`lower(organisation) == "buttons" && len(path) < 100`, true},
		{`hasPrefix(path, "/v1") ? maxTokens == 300 : false`, true},
		{`int(headers["x-class"]) > 1`, false},
	}
	for _, test := range cases {
		t.Run(test.condition, func(t *testing.T) {
			compiled, err := matcher.New(rules(test.condition, "true"))
			assert.NilError(t, err)
			rule, err := compiled.Match(request())
			assert.NilError(t, err)
			assert.Equal(t, rule.Name() == "0", test.holds)
			verdicts := compiled.Explain(request())
			assert.Equal(t, verdicts[0].Holds(), test.holds)
			assert.Equal(t, len(verdicts) == 1, test.holds)
		})
	}
}

func TestNoRuleMatches(t *testing.T) {
	compiled, err := matcher.New(rules("false", `headers["a"] == "b"`))
	assert.NilError(t, err)
	_, err = compiled.Match(request())
	var failure *matcher.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Kind(), matcher.NoRule)
}

// invalidConditions returns conditions that are not valid or would take too much time or memory.
func invalidConditions() []string {
	return []string{
		"", "nothing", "model", "1 ==", `organisation + 1 == 2`,
		"len(1..1000000) > 1",
		"promptTokens in 1..9000000",
		strings.Repeat("len(1..1000000) + ", 200) + "1 > 0",
		"all(1..1000, all(1..1000, # > 0))",
		`any(headers, true)`,
		`count(split(path, "")) > 1`,
		`repeat(path, 100000) == ""`,
		`replace(path, "a", path) == ""`,
		`toJSON($env) == ""`,
		"let a = path + path; let b = a + a; len(b) > 1",
		strings.Repeat("true && ", 600) + "true",
		strings.Repeat("(", 3000) + "true" + strings.Repeat(")", 3000),
		strings.Repeat("!", 4000) + "true",
		strings.Repeat(" ", 4097),
	}
}

func TestFaultsOfAllConditionsAreTold(t *testing.T) {
	conditions := append(invalidConditions(), "true")
	_, err := matcher.New(rules(conditions...))
	var joined interface{ Unwrap() []error }
	assert.Assert(t, errors.As(err, &joined))
	for index, fault := range joined.Unwrap() {
		assert.ErrorContains(t, fault, fmt.Sprintf("rule %q:", fmt.Sprint(index)))
	}
	assert.Equal(t, len(joined.Unwrap()), len(invalidConditions()))
}

// FuzzMatcher checks that any condition for any request neither panics nor hangs, and that
// Explain agrees with Match.
func FuzzMatcher(f *testing.F) {
	for _, condition := range append(invalidConditions(), "true", `path matches "(a+)+$"`, `headers["a"] contains model`) {
		f.Add(condition, "small", "/v1", "a", "b", 3)
	}
	f.Fuzz(func(t *testing.T, condition, model, path, header, value string, tokens int) {
		compiled, err := matcher.New(rules(condition))
		if err != nil {
			return
		}
		properties := matcher.Properties{Model: model, Path: path, PromptTokens: tokens, Headers: map[string]string{header: value}}
		_, err = compiled.Match(properties)
		assert.Equal(t, err == nil, compiled.Explain(properties)[0].Holds())
		matcher.FirstFalseOperand(condition, properties)
	})
}

// BenchmarkMatch measures a match of the last of 50 rules.
func BenchmarkMatch(b *testing.B) {
	var conditions []string
	for index := range 49 {
		conditions = append(conditions, fmt.Sprintf(`model == "model-%02d" && organisation == "o%d" && promptTokens < 4000`, index, index))
	}
	compiled, err := matcher.New(rules(append(conditions, "true")...))
	assert.NilError(b, err)
	properties := request()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := compiled.Match(properties); err != nil {
			b.Fatal(err)
		}
	}
}
