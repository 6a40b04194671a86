package engine

import "encoding/json"

// Request is the body of POST /v1/completions on an engine: the OpenAI completions API with the extensions that the
// platform's engines offer.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// RequestID is echoed as the id of every chunk.
	RequestID string `json:"request_id"`
	Priority  string `json:"priority,omitempty"`
	// ResumeText and ResumeTokens describe the part of the answer that exists already.
	ResumeText   string `json:"resume_text,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
	KVHandle     string `json:"kv_handle,omitempty"`
	// Sampling parameters pass through unchanged.
	Sampling map[string]json.RawMessage `json:"sampling,omitempty"`
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	ID         string   `json:"id"`
	TokenIndex int      `json:"token_index"`
	Choices    []Choice `json:"choices"`
}

// Choice holds the text of one token.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// ExportRequest is the body of POST /kv/export.
type ExportRequest struct {
	RequestID string `json:"request_id"`
	// Target is the address of the engine that imports.
	Target string `json:"target"`
}

// ExportAnswer names the imported KV cache on the target.
type ExportAnswer struct {
	KVHandle string `json:"kv_handle"`
}
