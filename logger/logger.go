// Package logger writes numbered events, one a line, and holds the catalogue
// that tells what each number means and what an operator does about it.
package logger

import (
	"io"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the severity of an event.
type Level string

// The levels, from least to most severe.
const (
	Debug   Level = "debug"
	Info    Level = "info"
	Warning Level = "warn"
	Failure Level = "error"
)

// Format is the form of a line.
type Format string

const (
	// Logfmt writes name=value pairs.
	Logfmt Format = "logfmt"
	// JSON writes one object a line.
	JSON Format = "json"
)

// Logger writes numbered events. It is safe for concurrent use.
type Logger struct {
	// sink filters by level; the library beneath writes whole lines.
	sink log.Logger
	// entries holds the catalogue by number and is never written to.
	entries map[int]Entry
	now     func() time.Time
	level   Level
	format  Format
}

// Option changes one setting of a Logger.
type Option func(*Logger)

// WithLevel sets the least severity that is written; Info without it.
func WithLevel(level Level) Option { return func(logger *Logger) { logger.level = level } }

// WithFormat sets the form of a line; Logfmt without it.
func WithFormat(format Format) Option { return func(logger *Logger) { logger.format = format } }

// WithTime sets the source of the time of an event; time.Now without it.
func WithTime(now func() time.Time) Option { return func(logger *Logger) { logger.now = now } }

// New returns a Logger that writes to the writer, one call of Write a line.
func New(writer io.Writer, options ...Option) *Logger {
	logger := &Logger{entries: make(map[int]Entry), now: time.Now, level: Info, format: Logfmt}
	for _, option := range options {
		option(logger)
	}
	for _, entry := range Catalogue() {
		logger.entries[entry.number] = entry
	}
	sink := log.NewLogfmtLogger
	if logger.format == JSON {
		sink = log.NewJSONLogger
	}
	allowed := level.ParseDefault(string(logger.level), level.InfoValue())
	logger.sink = level.NewFilter(sink(log.NewSyncWriter(writer)), level.Allow(allowed))
	return logger
}

// Event writes the event of that number with names and values in turn. Values
// under names that tell of keys, prompts or answers are withheld.
func (logger *Logger) Event(number int, pairs ...any) {
	entry, known := logger.entries[number]
	if !known {
		entry = Entry{number: number, level: Failure, name: "notInCatalogue"}
	}
	line := []any{
		level.Key(), level.ParseDefault(string(entry.level), level.ErrorValue()),
		"time", logger.now().UTC().Format(time.RFC3339Nano),
		"event", number,
		"eventName", entry.name,
	}
	// A failed write has nowhere to be told.
	_ = logger.sink.Log(append(line, redact(pairs)...)...)
}

// Writer returns a writer that turns each line written to it into an event, to
// be given to libraries that log by themselves.
func (logger *Logger) Writer(number int) io.Writer { return lineWriter{logger: logger, number: number} }

// lineWriter writes the lines of a library as events.
type lineWriter struct {
	logger *Logger
	number int
}

func (writer lineWriter) Write(data []byte) (int, error) {
	writer.logger.Event(writer.number, "message", strings.TrimSpace(string(data)))
	return len(data), nil
}
