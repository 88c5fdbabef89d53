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
	wordMask      = 0xffff
	// lengthIndex is the index whose hash gives the natural length; no token has it.
	lengthIndex = -1
	lengthMark  = `#len=(\d+)`
)

// Token returns token i of the answer that the model gives to the prompt.
func Token(model, prompt string, i int) string {
	return newText(model, prompt).token(i)
}

// Answer returns the tokens from first up to, but not with, end as one string.
func Answer(model, prompt string, first, end int) string {
	return newText(model, prompt).between(first, end)
}

// PromptTokens returns how many tokens the prompt counts.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// text is an answer as a function of the token's index.
type text struct {
	seed uint64
}

func newText(model, prompt string) text {
	return text{seed: xxhash.Sum64String(model + "\x00" + prompt)}
}

func (text text) hash(i int) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(text.seed, 16) + ":" + strconv.Itoa(i))
}

func (text text) token(i int) string {
	return fmt.Sprintf("w%04x ", text.hash(i)&wordMask)
}

func (text text) between(first, end int) string {
	var builder strings.Builder
	for i := first; i < end; i++ {
		builder.WriteString(text.token(i))
	}
	return builder.String()
}

// lengthRule gives natural lengths: fixed by the prompt's first mark or else
// drawn by its hash.
type lengthRule struct {
	mark     *regexp.Regexp
	shortest int
	longest  int
}

func newLengthRule(shortest, longest int) lengthRule {
	return lengthRule{mark: regexp.MustCompile(lengthMark), shortest: shortest, longest: max(shortest, longest)}
}

func (rule lengthRule) length(text text, prompt string) int {
	if found := rule.mark.FindStringSubmatch(prompt); found != nil {
		if length, err := strconv.Atoi(found[1]); err == nil && length > 0 {
			return length
		}
	}
	span := uint64(rule.longest-rule.shortest) + 1
	return rule.shortest + int(text.hash(lengthIndex)%span)
}
