package commander_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/commander"
)

func TestClientSettingsStandForFlags(t *testing.T) {
	directory := t.TempDir()
	good := writeFile(t, directory, "good.ini", "# what operators use\nnodes = 127.0.0.1:1\nplatform = 127.0.0.1:2\n")
	unknown := writeFile(t, directory, "unknown.ini", "node = 127.0.0.1:1\n")
	sectioned := writeFile(t, directory, "sectioned.ini", "[client]\nnodes = 127.0.0.1:1\n")
	token := writeFile(t, directory, "token.ini", "token = operators-token-of-the-test\n")
	cases := []struct {
		name     string
		args     []string
		code     int
		problems string
	}{
		{"good", []string{"status", "-client", good}, commander.ExitFailed, "127.0.0.1:1"},
		{"a flag goes before", []string{"status", "-client", good, "-nodes", "127.0.0.1:3"}, commander.ExitFailed, "127.0.0.1:3"},
		{"behind the verb", []string{"rules", "put", "-client", good}, commander.ExitUsage, "-file is missing"},
		{"unknown name", []string{"status", "-client", unknown}, commander.ExitFailed, `unknown.ini: found "node"`},
		{"within a section", []string{"status", "-client", sectioned}, commander.ExitFailed, `found "nodes"`},
		{"secret", []string{"status", "-client", token}, commander.ExitFailed, `found "token"`},
		{"no file", []string{"status", "-client", "/nonexistent"}, commander.ExitFailed, "/nonexistent"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := run(t, test.args...)
			assert.Equal(t, got.code, test.code, got.problems)
			containsAll(t, got.problems, []string{test.problems})
		})
	}
}
