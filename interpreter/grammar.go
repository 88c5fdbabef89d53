package interpreter

import (
	"net/http"
	"strings"
)

const (
	// minStatus and maxStatus are the statuses that an answer may have.
	minStatus = 100
	maxStatus = 599
)

// IsFieldName reports whether a text may name a field of a header.
func IsFieldName(name string) bool {
	const others = "!#$%&'*+-.^_`|~"
	for _, char := range []byte(name) {
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		digit := char >= '0' && char <= '9'
		if !letter && !digit && strings.IndexByte(others, char) < 0 {
			return false
		}
	}
	return name != ""
}

// HasFieldNames reports whether all names of a header or a trailer may name fields: net/http reads those with blanks as
// well, which HTTP does not allow, as two readers may take such a line for different fields.
func HasFieldNames(header http.Header) bool {
	for name := range header {
		if !IsFieldName(name) {
			return false
		}
	}
	return true
}

// IsHead reports whether the head of an answer is one of HTTP/1: its version, its status and its names. net/http reads
// others as well.
func IsHead(answer *http.Response) bool {
	return answer.ProtoMajor == 1 && answer.StatusCode >= minStatus && answer.StatusCode <= maxStatus && HasFieldNames(answer.Header)
}
