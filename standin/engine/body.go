package engine

import (
	"encoding/json"
	"strings"
)

// body holds the fields of an OpenAI request body that the engine uses.
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

// PromptFromBody returns the prompt of an OpenAI request body as one string, which determines the
// response. A chat message is rendered as its role, a colon, a space, its text and a newline.
func PromptFromBody(raw []byte) (string, error) {
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
		return contentText(body.Prompt)
	}
	var builder strings.Builder
	for _, message := range body.Messages {
		builder.WriteString(message.Role)
		builder.WriteString(": ")
		builder.WriteString(contentText(message.Content))
		builder.WriteString("\n")
	}
	return builder.String()
}

// contentText returns the text of a JSON string, a list of strings joined by newlines, or a list of
// concatenated content parts. It returns an empty string for any other value.
func contentText(raw json.RawMessage) string {
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

// maxTokens returns the response limit of the request, and whether the request sets one.
// max_completion_tokens takes precedence over max_tokens.
func (body body) maxTokens() (tokens int, ok bool) {
	if body.MaxCompletionTokens != nil {
		return *body.MaxCompletionTokens, true
	}
	if body.MaxTokens != nil {
		return *body.MaxTokens, true
	}
	return 0, false
}
