package logger_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"limpetcleat/decider"
	"limpetcleat/logger"
)

func noon() time.Time { return time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC) }

func TestEventWritesOneLine(t *testing.T) {
	var output bytes.Buffer
	logger.New(&output, logger.WithTime(noon)).Event(decider.EventRequestRefused, "request", "r1", "cause", errors.New("two\nlines"))
	assert.Equal(t, output.String(), "level=info time=2026-01-02T12:00:00Z event=1301 eventName=requestRefused request=r1 cause=\"two\\nlines\"\n")
}

func TestEventWritesJSON(t *testing.T) {
	var output bytes.Buffer
	logger.New(&output, logger.WithFormat(logger.JSON)).Event(logger.EventNodeStarted, "name", "entry-1", "odd")
	var line map[string]any
	assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
	assert.Equal(t, line["event"], 2001.0)
	assert.Equal(t, line["odd"], "(missing)")
	assert.Equal(t, line["name"], "entry-1")
}

func TestEventKeepsToItsLevel(t *testing.T) {
	cases := []struct {
		level logger.Level
		lines int
	}{{logger.Debug, 3}, {logger.Info, 3}, {logger.Warning, 2}, {logger.Failure, 1}}
	for _, test := range cases {
		var output bytes.Buffer
		log := logger.New(&output, logger.WithLevel(test.level))
		log.Event(logger.EventNodeStarted)
		log.Event(logger.EventPlatformAway)
		log.Event(9999)
		assert.Equal(t, strings.Count(output.String(), "\n"), test.lines, test.level)
	}
}

func TestEventWithholdsSecrets(t *testing.T) {
	const secret = "swordfish"
	cases := []struct {
		name  string
		value any
		shown bool
	}{
		{"key", secret, false},
		{"idempotencyKey", secret, false},
		{"keyHash", secret, false},
		{"Authorization", secret, false},
		{"X-Api-Key", secret, false},
		{"api_key", secret, false},
		{"operatorToken", secret, false},
		{"prompt", secret, false},
		{"requestBody", []byte(secret), false},
		{"answer", errors.New(secret), false},
		{"content", &secretHolder{secret}, false},
		{"request", secret, true},
		{"class", secret, true},
		{"tokens", secret, true},
	}
	for _, test := range cases {
		var output bytes.Buffer
		logger.New(&output).Event(logger.EventRequestEnded, test.name, test.value)
		assert.Equal(t, strings.Contains(output.String(), secret), test.shown, test.name)
	}
	var output bytes.Buffer
	logger.New(&output).Event(logger.EventRequestEnded, "promptTokens", 12, "cause", strings.Repeat("x", 100_000))
	assert.Assert(t, strings.Contains(output.String(), "promptTokens=12"))
	assert.Assert(t, output.Len() < 3000)
}

type secretHolder struct{ text string }

func (holder *secretHolder) String() string { return holder.text }

func TestWriterMakesEvents(t *testing.T) {
	var output bytes.Buffer
	_, err := logger.New(&output).Writer(logger.EventServerComplaint).Write([]byte("http: bad\n"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(output.String(), `event=2005 eventName=serverComplaint message="http: bad"`))
}

func TestCatalogueIsThePage(t *testing.T) {
	golden.Assert(t, logger.Markdown(), "../../docs/EVENTS.md")
}

func TestCatalogueHoldsEveryNumber(t *testing.T) {
	numbers := eventConstants(t)
	catalogued := make(map[int]bool)
	names := make(map[string]bool)
	previous := 0
	for _, entry := range logger.Catalogue() {
		assert.Assert(t, entry.Number() > previous, "%d is out of order", entry.Number())
		previous = entry.Number()
		assert.Assert(t, !names[entry.Name()], entry.Name())
		names[entry.Name()] = true
		catalogued[entry.Number()] = true
		assert.Assert(t, entry.Meaning() != "" && entry.Action() != "" && entry.Level() != "")
		assert.Assert(t, numbers[entry.Number()] != "", "no constant has number %d", entry.Number())
	}
	for number, name := range numbers {
		assert.Assert(t, catalogued[number], "%s, %d, is not in the catalogue", name, number)
	}
}

// eventConstants returns the names of the module's constants that begin with Event, by number.
func eventConstants(t *testing.T) map[int]string {
	numbers := make(map[int]string)
	walk := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if ok && len(spec.Values) == 1 && strings.HasPrefix(spec.Names[0].Name, "Event") {
				addNumber(t, numbers, spec)
			}
			return true
		})
		return nil
	}
	assert.NilError(t, filepath.WalkDir("..", walk))
	assert.Assert(t, len(numbers) > 0)
	return numbers
}

// addNumber adds the constant to the numbers if its value is an integer literal, and fails the test
// if its number is already taken.
func addNumber(t *testing.T, numbers map[int]string, spec *ast.ValueSpec) {
	literal, ok := spec.Values[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.INT {
		return
	}
	number, err := strconv.Atoi(literal.Value)
	assert.NilError(t, err)
	assert.Assert(t, numbers[number] == "", "%s and %s have number %d", numbers[number], spec.Names[0].Name, number)
	numbers[number] = spec.Names[0].Name
}
