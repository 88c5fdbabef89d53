package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	tokenHashMask = 0xffff
	// lengthHashIndex is the index hashed for the natural length; no token has this index.
	lengthHashIndex    = -1
	fixedLengthPattern = `#len=(\d+)`
)

// ResponseToken returns token i of the response of the model to the prompt.
func ResponseToken(model, prompt string, i int) string {
	return newResponseText(model, prompt).token(i)
}

// ResponseText returns the concatenated tokens [first, end) of the response of the model to the
// prompt.
func ResponseText(model, prompt string, first, end int) string {
	return newResponseText(model, prompt).join(first, end)
}

// CountPromptTokens returns the number of tokens in the prompt, at 4 bytes per token, rounded up.
func CountPromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// responseText is a response text whose tokens are a deterministic function of their index.
type responseText struct {
	seed uint64
}

func newResponseText(model, prompt string) responseText {
	return responseText{seed: xxhash.Sum64String(model + "\x00" + prompt)}
}

func (text responseText) hash(i int) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(text.seed, 16) + ":" + strconv.Itoa(i))
}

func (text responseText) token(i int) string {
	return fmt.Sprintf("w%04x ", text.hash(i)&tokenHashMask)
}

func (text responseText) join(first, end int) string {
	var builder strings.Builder
	for i := first; i < end; i++ {
		builder.WriteString(text.token(i))
	}
	return builder.String()
}

// lengthRule determines the natural response length in tokens: the number in the first "#len=" mark
// of the prompt, or else a value between shortest and longest derived from the text's hash.
type lengthRule struct {
	fixedLength *regexp.Regexp
	shortest    int
	longest     int
}

func newLengthRule(shortest, longest int) lengthRule {
	return lengthRule{fixedLength: regexp.MustCompile(fixedLengthPattern), shortest: shortest, longest: max(shortest, longest)}
}

func (rule lengthRule) responseLength(text responseText, prompt string) int {
	if found := rule.fixedLength.FindStringSubmatch(prompt); found != nil {
		if length, err := strconv.Atoi(found[1]); err == nil && length > 0 {
			return length
		}
	}
	span := uint64(rule.longest-rule.shortest) + 1
	return rule.shortest + int(text.hash(lengthHashIndex)%span)
}
