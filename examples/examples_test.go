package examples_test

import (
	"bytes"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/commander"
	"limpetcleat/definer"
	"limpetcleat/loader"
	"limpetcleat/matcher"
)

// configuration reads and parses a configuration file.
func configuration(t *testing.T, path string) *definer.Configuration {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	configuration, err := definer.Parse(1, data)
	assert.NilError(t, err)
	return configuration
}

func TestCheckAcceptsTheExamples(t *testing.T) {
	for _, name := range []string{"buttons", "replies"} {
		var out, problems bytes.Buffer
		arguments := []string{"check", "-settings", name + ".ini", "-rules", name + ".json"}
		assert.Equal(t, commander.New(&out, &problems).Run(t.Context(), arguments), commander.ExitSuccess, problems.String())
	}
}

// TestCheckLooksForFilesWhenAsked checks that -files makes check report missing files. The files
// that the example settings name do not exist here.
func TestCheckLooksForFilesWhenAsked(t *testing.T) {
	var out, problems bytes.Buffer
	arguments := []string{"check", "-settings", "buttons.ini", "-files"}
	assert.Assert(t, commander.New(&out, &problems).Run(t.Context(), arguments) != commander.ExitSuccess)
	assert.Assert(t, bytes.Contains(problems.Bytes(), []byte("operators.token")), problems.String())
}

// TestSettingsAreProtected checks that no example disables TLS between peers.
func TestSettingsAreProtected(t *testing.T) {
	for _, path := range []string{"buttons.ini", "replies.ini"} {
		settings, err := loader.Load(path)
		assert.NilError(t, err)
		assert.Assert(t, !settings.Inner().Plain())
	}
}

// TestSettingsShowEverySetting checks the example files against the loader's table of settings:
// each file lists every setting, and the commented-out values are the defaults.
func TestSettingsShowEverySetting(t *testing.T) {
	for _, path := range []string{"buttons.ini", "replies.ini"} {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, description := range loader.Describe() {
			section := regexp.MustCompile(`(?s)\n\[` + description.Section() + `\]\n(.*?)(\n\[|$)`).FindSubmatch(text)
			assert.Assert(t, section != nil, description.Section())
			line := regexp.MustCompile(`(?m)^(#; )?` + description.Name() + ` = ?(.*)$`).FindSubmatch(section[1])
			assert.Assert(t, line != nil, "%s: %s.%s", path, description.Section(), description.Name())
			if string(line[1]) != "" && description.Default() != "" {
				assert.Equal(t, string(line[2]), description.Default(), "%s: %s", path, description.Name())
			}
		}
	}
}

// TestConfigurationsHaveTheSizesOfToday checks the numbers of Organisations, upstreams and data
// centres in the example configurations.
func TestConfigurationsHaveTheSizesOfToday(t *testing.T) {
	cases := []struct {
		path        string
		dataCentres int
		pools       map[definer.PoolName]int
	}{
		{"buttons.json", 4, map[definer.PoolName]int{"runners": 12, "orderDesk": 4}},
		{"replies.json", 3, map[definer.PoolName]int{"shared": 18, "approval": 3}},
	}
	for _, test := range cases {
		configuration := configuration(t, test.path)
		assert.Equal(t, len(configuration.Document().Organisations), 10)
		for name, upstreams := range test.pools {
			pool, ok := configuration.Pool(name)
			assert.Assert(t, ok)
			assert.Equal(t, len(pool.Upstreams()), upstreams)
			assert.Equal(t, len(pool.DataCentres()), test.dataCentres)
		}
	}
}

func TestRulesMatch(t *testing.T) {
	purpose := func(name string) map[string]string { return map[string]string{"x-purpose": name} }
	cases := []struct {
		path       string
		properties matcher.Properties
		rule       string
	}{
		{"buttons.json", matcher.Properties{Service: "orderDesk", Method: "POST", Path: "/reservations/7"}, "confirm a reservation"},
		{"buttons.json", matcher.Properties{Service: "orderDesk", Method: "GET", Path: "/stock/zip-20"}, "check stock"},
		{"buttons.json", matcher.Properties{Service: "orderDesk", Method: "DELETE", Path: "/reservations/7"}, "any other call of the order desk"},
		{"buttons.json", matcher.Properties{Model: "assistant", PromptTokens: 60, MaxTokens: 80}, "counter staff ask"},
		{"buttons.json", matcher.Properties{Model: "assistant", PromptTokens: 900, Headers: purpose("counter")}, "counter staff ask"},
		{"buttons.json", matcher.Properties{Model: "assistant", PromptTokens: 9000, MaxTokens: 900}, "draft a restocking proposal"},
		{"buttons.json", matcher.Properties{Model: "assistant", PromptTokens: 60}, "draft a restocking proposal"},
		{"buttons.json", matcher.Properties{Model: "other"}, "nothing else is served"},
		{"replies.json", matcher.Properties{Service: "approval", Method: "POST", Path: "/posts"}, "post an approved reply"},
		{"replies.json", matcher.Properties{Service: "approval", Method: "GET", Path: "/posts/1"}, "read from the approval application"},
		{"replies.json", matcher.Properties{Service: "approval", Method: "PUT", Path: "/posts/1"}, "any other call of the approval application"},
		{"replies.json", matcher.Properties{Model: "reply", PromptTokens: 300, Headers: purpose("waiting")}, "a manager waits"},
		{"replies.json", matcher.Properties{Model: "reply", PromptTokens: 50000, Headers: purpose("waiting")}, "a manager waits"},
		{"replies.json", matcher.Properties{Model: "reply", PromptTokens: 50000}, "digest a season"},
		{"replies.json", matcher.Properties{Model: "reply", Headers: purpose("digest")}, "digest a season"},
		{"replies.json", matcher.Properties{Model: "reply", PromptTokens: 300}, "draft a reply"},
		{"replies.json", matcher.Properties{Service: "other"}, "nothing else is served"},
	}
	for _, test := range cases {
		matching, err := matcher.New(configuration(t, test.path).Rules())
		assert.NilError(t, err)
		rule, err := matching.Match(test.properties)
		assert.NilError(t, err)
		assert.Equal(t, rule.Name(), test.rule)
	}
}

// TestRepeatsOfCallsThatMayNotBeRepeated checks that the rules matching modifying calls to the plain
// services do not mark them as idempotent.
func TestRepeatsOfCallsThatMayNotBeRepeated(t *testing.T) {
	for _, path := range []string{"buttons.json", "replies.json"} {
		configuration := configuration(t, path)
		matching, err := matcher.New(configuration.Rules())
		assert.NilError(t, err)
		for _, service := range []string{"orderDesk", "approval"} {
			for _, method := range []string{"POST", "PUT", "PATCH", "DELETE"} {
				rule, err := matching.Match(matcher.Properties{Service: service, Method: method, Path: "/reservations"})
				assert.NilError(t, err)
				assert.Assert(t, rule.Refusal() != "" || rule.Repeat() != definer.Idempotent, "%s %s", method, service)
			}
		}
	}
}
