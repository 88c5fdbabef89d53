package analyser

import (
	"bytes"
	"encoding/json"

	"github.com/tidwall/gjson"
)

// parse returns the event of a line in logfmt or JSON, which may follow a prefix that a log
// collector adds. It reports whether the line is an event of a node and readable.
func (setter *setter) parse(line []byte) (event, bool) {
	pairs, object := indexOfLevel(line), bytes.Index(line, []byte(`{"`))
	if object >= 0 && (pairs < 0 || object < pairs) {
		if parsed, ok := setter.parseJSON(line[object:]); ok {
			return parsed, true
		}
	}
	if pairs < 0 {
		return event{}, false
	}
	return setter.parseLogfmt(line[pairs:])
}

// indexOfLevel returns where the pair level, the first of a line in logfmt, begins; -1 if there is
// none.
func indexOfLevel(line []byte) int {
	const key = "level="
	for from := 0; ; {
		found := bytes.Index(line[from:], []byte(key))
		if found < 0 {
			return -1
		}
		from += found
		if from == 0 || line[from-1] == ' ' || line[from-1] == '\t' {
			return from
		}
		from += len(key)
	}
}

func (setter *setter) parseLogfmt(line []byte) (event, bool) {
	parsed, valid := newEvent(), true
	intact := scanPairs(line, func(key, value []byte) bool {
		valid = setter.set(&parsed, key, value)
		return valid && (parsed.number == 0 || parsed.needed())
	})
	return parsed, intact && valid && parsed.complete()
}

func (setter *setter) parseJSON(line []byte) (event, bool) {
	parsed, valid := newEvent(), gjson.ValidBytes(line)
	if !valid {
		return parsed, false
	}
	gjson.ParseBytes(line).ForEach(func(key, value gjson.Result) bool {
		valid = setter.set(&parsed, []byte(key.String()), []byte(value.String()))
		return valid && (parsed.number == 0 || parsed.needed())
	})
	return parsed, valid && parsed.complete()
}

// scanPairs calls visit with the pairs of a line in logfmt until visit returns false. It reports
// whether the pairs up to there are well formed. The decoder of go-logfmt is not used, since it
// ends at the first malformed line.
func scanPairs(line []byte, visit func(key, value []byte) bool) bool {
	for {
		for len(line) > 0 && isBlank(line[0]) {
			line = line[1:]
		}
		if len(line) == 0 {
			return true
		}
		var key, value []byte
		end := 0
		for end < len(line) && line[end] != '=' && !isBlank(line[end]) {
			end++
		}
		key, line = line[:end], line[end:]
		if len(key) == 0 || bytes.IndexByte(key, '"') >= 0 {
			return false
		}
		if len(line) > 0 && line[0] == '=' {
			var ok bool
			if value, line, ok = cutValue(line[1:]); !ok {
				return false
			}
		}
		if !visit(key, value) {
			return true
		}
	}
}

// cutValue returns the value at the start of the text and what follows it, and reports whether the
// value is well formed.
func cutValue(text []byte) (value, rest []byte, ok bool) {
	if len(text) == 0 || text[0] != '"' {
		end := 0
		for end < len(text) && !isBlank(text[end]) {
			end++
		}
		return text[:end], text[end:], bytes.IndexByte(text[:end], '"') < 0
	}
	escaped := false
	for index := 1; index < len(text); index++ {
		switch text[index] {
		case '\\':
			escaped = true
			index++
		case '"':
			quoted, rest := text[:index+1], text[index+1:]
			if len(rest) > 0 && !isBlank(rest[0]) {
				return nil, nil, false
			}
			if !escaped {
				return quoted[1:index], rest, true
			}
			var decoded string
			err := json.Unmarshal(quoted, &decoded)
			return []byte(decoded), rest, err == nil
		}
	}
	return nil, nil, false
}

func isBlank(char byte) bool { return char == ' ' || char == '\t' }
