package engine

const choiceIndex = 0

// Chunk is one event of a streamed response, or the body of an unstreamed one. Fields that do not
// apply are omitted from the JSON.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// AttemptID identifies the attempt that this response belongs to.
	AttemptID string `json:"attemptId"`
	// TokenIndex is the index of the token in the whole response.
	TokenIndex *int `json:"tokenIndex,omitempty"`
}

// Choice is a completion choice; a response has exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Content `json:"delta,omitempty"`
	Message      *Content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content is a chat message or message delta.
type Content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage is the token count of a request and its response.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails holds the number of prompt tokens found in the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// format is the response format of an endpoint: chat or text completion.
type format interface {
	// responseObject and chunkObject return the "object" value of an unstreamed response and of a
	// chunk.
	responseObject() string
	chunkObject() string
	responseChoice(text string) Choice
	chunkChoice(text string) Choice
}

type chatFormat struct{}

func (chatFormat) responseObject() string { return "chat.completion" }

func (chatFormat) chunkObject() string { return "chat.completion.chunk" }

func (chatFormat) responseChoice(text string) Choice {
	return Choice{Index: choiceIndex, Message: &Content{Role: "assistant", Content: text}}
}

func (chatFormat) chunkChoice(text string) Choice {
	return Choice{Index: choiceIndex, Delta: &Content{Role: "assistant", Content: text}}
}

type textFormat struct{}

func (textFormat) responseObject() string { return "text_completion" }

func (textFormat) chunkObject() string { return "text_completion" }

func (textFormat) responseChoice(text string) Choice {
	return Choice{Index: choiceIndex, Text: &text}
}

func (format textFormat) chunkChoice(text string) Choice {
	return format.responseChoice(text)
}
