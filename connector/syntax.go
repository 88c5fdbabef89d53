package connector

import (
	"bytes"
	"strings"

	"limpetcleat/interpreter"
)

// syntax checks the lines of a head against the grammar of HTTP/1.1 as its bytes come in. net/http joins lines that
// continue others, and takes blanks out of a status line, so that the parsed head does not show them. The zero value is at
// the beginning of a head.
type syntax struct {
	// line holds the first bytes of the line that is being received, of a field those of its name; at most
	// maxNameBytes and one more.
	line []byte
	// lines counts the lines received. named is set once the name of the present field has been checked.
	lines int
	named bool
	// ended is set once the head has been received, broken if it does not follow the grammar.
	ended  bool
	broken bool
}

const (
	// statusForm is a status line up to the status; digits stand as 0.
	statusForm = "HTTP/0.0 000"
	// maxNameBytes is the largest name of a field.
	maxNameBytes = 256
)

// add checks further bytes. What follows the head is not looked at.
func (syntax *syntax) add(data []byte) {
	for len(data) > 0 && !syntax.ended && !syntax.broken {
		part, rest, found := bytes.Cut(data, []byte{'\n'})
		data = rest
		syntax.addPart(part)
		if found {
			syntax.endLine()
		}
	}
}

// addPart checks a part of a line.
func (syntax *syntax) addPart(part []byte) {
	if syntax.named {
		return // net/http checks values.
	}
	if syntax.lines > 0 {
		name, _, found := bytes.Cut(part, []byte{':'})
		part, syntax.named = name, found
	}
	syntax.line = append(syntax.line, part[:min(len(part), maxNameBytes+1-len(syntax.line))]...)
	if syntax.lines == 0 {
		return
	}
	tooLong := len(syntax.line) > maxNameBytes
	syntax.broken = tooLong || syntax.named && !interpreter.IsFieldName(string(syntax.line))
}

// endLine checks a line that has been received.
func (syntax *syntax) endLine() {
	line := bytes.TrimSuffix(syntax.line, []byte{'\r'})
	switch {
	case syntax.lines == 0:
		syntax.broken = !isStatusLine(line)
	case syntax.named:
	case len(line) == 0:
		syntax.ended = true
	default:
		syntax.broken = true // A field without a colon.
	}
	syntax.line, syntax.named = syntax.line[:0], false
	syntax.lines++
}

// isStatusLine reports whether a line has a version that is understood and a status from 100 to 599.
func isStatusLine(line []byte) bool {
	text := string(line)
	if !strings.HasPrefix(text, versionPrefix) || len(text) < len(statusForm) || maskDigits(text[:len(statusForm)]) != statusForm {
		return false
	}
	class := text[len(versionPrefix+"0 ")]
	return class >= '1' && class <= '5' && (len(text) == len(statusForm) || text[len(statusForm)] == ' ')
}
