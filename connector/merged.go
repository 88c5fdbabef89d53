package connector

import (
	"net/http"
	"strings"
)

// versionPrefix begins the status line of a response, before the minor version.
const versionPrefix = "HTTP/1."

// isMerged reports whether a head consists of the beginning of one head and the next one, whose status line stands within
// a line of the first. It would have the status of one response and the id of the other.
func isMerged(answer *http.Response) bool {
	if containsStatusLine(answer.Status) {
		return true
	}
	for _, values := range answer.Header {
		for _, value := range values {
			if containsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether the text contains a version and a status.
func containsStatusLine(text string) bool {
	const form = "0 000" // The minor version and the status.
	for {
		_, after, found := strings.Cut(text, versionPrefix)
		if !found {
			return false
		}
		if len(after) >= len(form) && maskDigits(after[:len(form)]) == form {
			return true
		}
		text = after
	}
}

// maskDigits replaces all digits by 0.
func maskDigits(text string) string {
	return strings.Map(func(char rune) rune {
		if char >= '0' && char <= '9' {
			return '0'
		}
		return char
	}, text)
}
