package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/commander"
	"limpetcleat/definer"
	"limpetcleat/demonstrator"
	"limpetcleat/editor"
	"limpetcleat/storer"
)

// result is the exit code and the output of one command line.
type result struct {
	code     int
	out      string
	problems string
}

func run(t *testing.T, args ...string) result {
	t.Helper()
	return runContext(t.Context(), args...)
}

func runContext(ctx context.Context, args ...string) result {
	var out, problems bytes.Buffer
	code := commander.New(&out, &problems).Run(ctx, args)
	return result{code: code, out: out.String(), problems: problems.String()}
}

func TestCommandLine(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		// out and problems must be contained in the output; "" requires empty output.
		out, problems string
	}{
		{"nothing", nil, commander.ExitUsage, "", "usage: limpetcleat COMMAND"},
		{"help", []string{"help"}, commander.ExitSuccess, "usage: limpetcleat COMMAND", ""},
		{"help of a command", []string{"help", "burn"}, commander.ExitSuccess, "Example:", ""},
		{"help of no command", []string{"help", "frobnicate"}, commander.ExitUsage, "", `no command "frobnicate"`},
		{"no such command", []string{"frobnicate"}, commander.ExitUsage, "", `no command "frobnicate"`},
		{"no such flag", []string{"status", "-frobnicate"}, commander.ExitUsage, "", "-frobnicate"},
		{"word that is no flag", []string{"status", "now"}, commander.ExitUsage, "", `"now" is neither a flag nor expected`},
		{"word behind the verb", []string{"rules", "get", "now"}, commander.ExitUsage, "", `"now" is neither a flag nor expected`},
		{"version", []string{"version"}, commander.ExitSuccess, "limpetcleat " + commander.Version, ""},
		{"rules without a verb", []string{"rules"}, commander.ExitUsage, "", "name one of get, put, history, explain"},
		{"rules with a wrong verb", []string{"rules", "drop"}, commander.ExitUsage, "", `no verb "drop"`},
		{"help behind the verb", []string{"rules", "put", "-h"}, commander.ExitSuccess, "-dryRun", ""},
		{"rules without a platform", []string{"rules", "get"}, commander.ExitUsage, "", "-platform is missing"},
		{"put without a file", []string{"rules", "put", "-platform", "127.0.0.1:1"}, commander.ExitUsage, "", "-file is missing"},
		{"wrong output", []string{"rules", "-output", "xml", "get"}, commander.ExitUsage, "", "allowed is text or json"},
		{"status without nodes", []string{"status"}, commander.ExitUsage, "", "-nodes is missing"},
		{"drain without nodes", []string{"drain"}, commander.ExitUsage, "", "-nodes is missing"},
		{"burn without nodes", []string{"burn"}, commander.ExitUsage, "", "-nodes is missing"},
		{"serve without settings", []string{"serve"}, commander.ExitUsage, "", "-settings is missing"},
		{"check of nothing", []string{"check"}, commander.ExitUsage, "", "name -settings, -rules or both"},
		{"standin without a kind", []string{"standin"}, commander.ExitUsage, "", "name one of platform, engine, service, authority"},
		{"authority without a directory", []string{"standin", "authority", "-names", "a"}, commander.ExitUsage, "", "-dir is missing"},
		{"authority without names", []string{"standin", "authority", "-dir", "/nonexistent"}, commander.ExitUsage, "", "-names is missing"},
		{"standin of a wrong kind", []string{"standin", "-listen", "127.0.0.1:0", "balancer"}, commander.ExitUsage, "", `no verb "balancer"`},
		{"standin without a port", []string{"standin", "engine", "-listen", "nowhere"}, commander.ExitFailed, "", "commander.standin: failed"},
		{"analyse with a flag behind a file", []string{"analyse", "day.log", "-top", "3"}, commander.ExitUsage, "", `"-top" follows a file`},
		{"analyse with a wrong output", []string{"analyse", "-output", "xml"}, commander.ExitUsage, "", "allowed is text, csv or json"},
		{"analyse with a wrong table", []string{"analyse", "-tables", "rules,all"}, commander.ExitUsage, "", `-tables names "all"`},
		{"analyse with a wrong window", []string{"analyse", "-window", "0s"}, commander.ExitUsage, "", "-window must be above 0"},
		{"analyse with a wrong plot", []string{"analyse", "-plot", "day.pdf"}, commander.ExitUsage, "", "must end in .svg or .png"},
		{"analyse with wrong objectives", []string{"analyse", "-objective", "short=fast"}, commander.ExitUsage, "", `-objective is "short=fast"`},
		{"analyse without a file", []string{"analyse", "/nonexistent"}, commander.ExitFailed, "", "/nonexistent"},
		{"no token file", []string{"status", "-nodes", "127.0.0.1:1", "-tokenFile", "/nonexistent"}, commander.ExitFailed, "", "/nonexistent"},
		{"no node answers", []string{"status", "-nodes", "127.0.0.1:1"}, commander.ExitFailed, "no answer", "no node answers"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := run(t, test.args...)
			assert.Equal(t, got.code, test.code, got.problems)
			assert.Assert(t, strings.Contains(got.out, test.out), got.out)
			assert.Assert(t, strings.Contains(got.problems, test.problems), got.problems)
			assert.Equal(t, got.out == "", test.out == "", got.out)
			assert.Equal(t, got.problems == "", test.problems == "", got.problems)
		})
	}
}

func TestEveryCommandHasHelp(t *testing.T) {
	overview := run(t, "help").out
	for _, name := range []string{"serve", "check", "rules", "status", "drain", "burn", "analyse", "demo", "load", "standin", "version"} {
		help := run(t, name, "-h")
		assert.Equal(t, help.code, commander.ExitSuccess, name)
		assert.Assert(t, strings.Contains(overview, "\n  "+name+" "), name)
		assert.Assert(t, strings.Contains(help.out, "Example:\n  limpetcleat "+name), name)
		assert.Assert(t, strings.Contains(help.out, "Exit codes: 0 done, 1 failed, 2 wrong command line"), name)
		assert.Equal(t, help.problems, "", name)
	}
}

func TestCheck(t *testing.T) {
	directory := t.TempDir()
	wrongRules := writeFile(t, directory, "wrong.json", `{"rules":[{"name":"a","when":"model ==","then":{"class":"none","pool":"none"}}]}`)
	misspelt := writeFile(t, directory, "misspelt.json", `{"rulez":[]}`)
	wrongSettings := writeFile(t, directory, "wrong.ini", "[node]\nname = a b\ncolour = green\n")
	const settings, rules = "../examples/buttons.ini", "../examples/buttons.json"
	cases := []struct {
		name          string
		args          []string
		code          int
		out, problems []string
	}{
		{"good", []string{"-settings", settings, "-rules", rules}, 0, []string{settings + " is good", rules + " is good: "}, nil},
		{"both wrong", []string{"-settings", wrongSettings, "-rules", wrongRules}, 1, nil, []string{"wrong.ini:2: node.name", "wrong.ini:3: node.colour", "wrong.json", "model =="}},
		{"misspelt", []string{"-rules", misspelt}, 1, nil, []string{"rulez"}},
		{"no file", []string{"-rules", "/nonexistent"}, 1, nil, []string{"/nonexistent"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := run(t, append([]string{"check"}, test.args...)...)
			assert.Equal(t, got.code, test.code, got.problems)
			containsAll(t, got.out, test.out)
			containsAll(t, got.problems, test.problems)
		})
	}
	var files []struct {
		File   string
		Good   bool
		Faults []string
	}
	got := run(t, "check", "-output", "json", "-settings", wrongSettings, "-rules", rules)
	assert.Equal(t, got.code, commander.ExitFailed)
	decode(t, got.out, &files)
	assert.Equal(t, len(files), 2)
	assert.Assert(t, !files[0].Good && len(files[0].Faults) > 2, "each fault must be a separate entry")
	assert.Assert(t, files[1].Good)
}

func containsAll(t *testing.T, text string, parts []string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(text, part), "%q is missing in %q", part, text)
	}
}

func decode(t *testing.T, text string, value any) {
	t.Helper()
	assert.NilError(t, json.Unmarshal([]byte(text), value), text)
}

func writeFile(t *testing.T, directory, name, content string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// fixture is a running system with the files and flags that operators use.
type fixture struct {
	t         *testing.T
	system    *demonstrator.System
	directory string
	store     *storer.Storer
	// nodes and platform are the flags that select the nodes and the platform.
	nodes    []string
	platform []string
}

func startFixture(t *testing.T) *fixture {
	t.Helper()
	system, err := demonstrator.Start(t.Context(), "127.0.0.1:0", demonstrator.ButtonsKey)
	assert.NilError(t, err)
	t.Cleanup(system.Stop)
	store := storer.New([]string{system.Platform()}, "")
	t.Cleanup(store.Close)
	directory := t.TempDir()
	token := writeFile(t, directory, "token", demonstrator.OperatorToken+"\n")
	return &fixture{
		t: t, system: system, directory: directory, store: store,
		nodes:    []string{"-nodes", strings.Join(system.Operators(), ","), "-tokenFile", token},
		platform: []string{"-platform", system.Platform()},
	}
}

// runRules runs a verb of rules with the flags for the nodes and the platform.
func (fixture *fixture) runRules(verb string, args ...string) result {
	fixture.t.Helper()
	all := append([]string{"rules"}, fixture.platform...)
	all = append(append(all, verb), fixture.nodes...)
	return run(fixture.t, append(all, args...)...)
}

// saveChanged writes a changed copy of the stored configuration to a file and returns its path.
func (fixture *fixture) saveChanged(name string, change func(document *definer.Document)) string {
	fixture.t.Helper()
	version, err := editor.New(fixture.store, "test").Load(fixture.t.Context())
	assert.NilError(fixture.t, err)
	document := version.Document()
	change(&document)
	data, err := json.Marshal(document)
	assert.NilError(fixture.t, err)
	return writeFile(fixture.t, fixture.directory, name, string(data))
}
