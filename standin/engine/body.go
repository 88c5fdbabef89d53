package engine

import (
	"encoding/json"
	"strings"
)

// body is the part of an OpenAI request that the engine reads.
type body struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// PromptOf returns the whole prompt of an OpenAI request body as one string, on which the answer
// depends: for a chat, each message as its role, a colon, its text and a line end.
func PromptOf(raw []byte) (string, error) {
	body, err := parseBody(raw)
	if err != nil {
		return "", err
	}
	return body.prompt(), nil
}

func parseBody(raw []byte) (body, error) {
	var parsed body
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return body{}, &Error{Operation: "parse", Kind: KindInvalid, Err: err}
	}
	return parsed, nil
}

func (body body) prompt() string {
	if len(body.Messages) == 0 {
		return textOf(body.Prompt)
	}
	var builder strings.Builder
	for _, message := range body.Messages {
		builder.WriteString(message.Role)
		builder.WriteString(": ")
		builder.WriteString(textOf(message.Content))
		builder.WriteString("\n")
	}
	return builder.String()
}

// textOf reads a string, a list of strings or a list of content parts.
func textOf(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil {
		return strings.Join(texts, "\n")
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return ""
	}
	for _, part := range parts {
		text += part.Text
	}
	return text
}

// limit returns the caller's bound on the answer's length, or ok false when
// there is none.
func (body body) limit() (tokens int, ok bool) {
	if body.MaxCompletionTokens != nil {
		return *body.MaxCompletionTokens, true
	}
	if body.MaxTokens != nil {
		return *body.MaxTokens, true
	}
	return 0, false
}
