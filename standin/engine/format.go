package engine

const indexOfChoice = 0

// Chunk is one part of a streamed answer, or a whole answer; the fields that a
// form of answer does not have are left out.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// AttemptID is the attempt whose answer this is.
	AttemptID string `json:"attemptId"`
	// TokenIndex is the index of the chunk's token in the whole answer.
	TokenIndex *int `json:"tokenIndex,omitempty"`
}

// Choice is the only choice of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Content `json:"delta,omitempty"`
	Message      *Content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content is the text of a chat answer.
type Content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of the prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// format is one of the two forms of answers.
type format interface {
	// whole and part return the object names of a whole answer and of a chunk.
	whole() string
	part() string
	wholeChoice(text string) Choice
	partChoice(text string) Choice
}

type chatFormat struct{}

func (chatFormat) whole() string { return "chat.completion" }

func (chatFormat) part() string { return "chat.completion.chunk" }

func (chatFormat) wholeChoice(text string) Choice {
	return Choice{Index: indexOfChoice, Message: &Content{Role: "assistant", Content: text}}
}

func (chatFormat) partChoice(text string) Choice {
	return Choice{Index: indexOfChoice, Delta: &Content{Role: "assistant", Content: text}}
}

type textFormat struct{}

func (textFormat) whole() string { return "text_completion" }

func (textFormat) part() string { return "text_completion" }

func (textFormat) wholeChoice(text string) Choice {
	return Choice{Index: indexOfChoice, Text: &text}
}

func (format textFormat) partChoice(text string) Choice {
	return format.wholeChoice(text)
}
