// Package logger writes structured log events, one per line, each identified by a number. It
// contains the catalogue of all events with their levels, meanings and operator actions.
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

// Format is the encoding of log lines.
type Format string

const (
	// Logfmt writes name=value pairs.
	Logfmt Format = "logfmt"
	// JSON writes one JSON object per line.
	JSON Format = "json"
)

// Logger writes numbered events. It is safe for concurrent use.
type Logger struct {
	// sink filters by level and writes each line in one piece.
	sink log.Logger
	// entries is the catalogue by event number; it is read-only after New.
	entries map[int]Entry
	now     func() time.Time
	level   Level
	format  Format
}

// Option changes one setting of a Logger.
type Option func(*Logger)

// WithLevel sets the least severity that is written. The default is Info.
func WithLevel(level Level) Option { return func(logger *Logger) { logger.level = level } }

// WithFormat sets the encoding of log lines. The default is Logfmt.
func WithFormat(format Format) Option { return func(logger *Logger) { logger.format = format } }

// WithTime sets the clock that supplies the time of an event. The default is time.Now.
func WithTime(now func() time.Time) Option { return func(logger *Logger) { logger.now = now } }

// New returns a Logger that writes each line to the writer with one call of Write.
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

// Event writes the event with the number and the pairs, which are alternating names and values.
// The values of names that denote secrets, prompts or responses are replaced by a placeholder. A
// number that is not in the catalogue is written with level Failure.
func (logger *Logger) Event(number int, pairs ...any) { logger.EventAt(logger.now(), number, pairs...) }

// EventAt does what Event does for an event that happened at a time.
func (logger *Logger) EventAt(at time.Time, number int, pairs ...any) {
	entry, known := logger.entries[number]
	if !known {
		entry = Entry{number: number, level: Failure, name: "notInCatalogue"}
	}
	line := []any{
		level.Key(), level.ParseDefault(string(entry.level), level.ErrorValue()),
		"time", at.UTC().Format(time.RFC3339Nano),
		"event", number,
		"eventName", entry.name,
	}
	// A failed write of the log cannot be logged.
	_ = logger.sink.Log(append(line, redactPairs(pairs)...)...)
}

// Writer returns a writer that logs each call of Write as an event with the number. It is for
// libraries that write their own log lines.
func (logger *Logger) Writer(number int) io.Writer { return lineWriter{logger: logger, number: number} }

// lineWriter logs the lines of a library as events.
type lineWriter struct {
	logger *Logger
	number int
}

func (writer lineWriter) Write(data []byte) (int, error) {
	writer.logger.Event(writer.number, "message", strings.TrimSpace(string(data)))
	return len(data), nil
}
