package engine

import "encoding/json"

// Request is the body of POST /v1/completions on an engine: the OpenAI completions API with the extensions of the platform's
// engines.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// RequestID is returned as the ID of every chunk. It carries the attempt ID.
	RequestID string `json:"request_id"`
	Priority  string `json:"priority,omitempty"`
	// ResumeText and ResumeTokens are the text and the token count of the part of the answer that has already been generated.
	ResumeText   string `json:"resume_text,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
	KVHandle     string `json:"kv_handle,omitempty"`
	// Sampling holds the caller's sampling parameters unchanged.
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
	// Target is the address of the engine that imports the KV cache.
	Target string `json:"target"`
}

// ExportAnswer is the answer to POST /kv/export. KVHandle identifies the imported KV cache on the target.
type ExportAnswer struct {
	KVHandle string `json:"kv_handle"`
}
