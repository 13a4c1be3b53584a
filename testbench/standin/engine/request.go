package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"hawthornstream/testbench/standin"
)

const (
	defaultTokenCount = 16
	maxBodyBytes      = 64 << 20
)

// request is a chat completion request with the metadata that tests add.
type request struct {
	id             string
	idempotencyKey string
	bodyDigest     string

	Model     string   `json:"model"`
	Stream    bool     `json:"stream"`
	MaxTokens int      `json:"max_tokens"`
	Metadata  metadata `json:"metadata"`
}

// metadata is what a test's caller adds to a request: the actual number of tokens
// to generate, the workspace and the caller's operation.
type metadata struct {
	Tokens    string `json:"tokens"`
	Workspace string `json:"workspace"`
	Operation string `json:"operation"`
}

func readRequest(r *http.Request) (request, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return request{}, err
	}
	digest := sha256.Sum256(body)
	parsed := request{
		id:             r.Header.Get(standin.HeaderRequestID),
		idempotencyKey: r.Header.Get(standin.HeaderIdempotencyKey),
		bodyDigest:     hex.EncodeToString(digest[:]),
	}
	return parsed, json.Unmarshal(body, &parsed)
}

// tokenCount returns the number of tokens to generate: the test's, else
// max_tokens, else the default.
func (r *request) tokenCount() int {
	if count, err := strconv.Atoi(r.Metadata.Tokens); err == nil && count > 0 {
		return count
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultTokenCount
}

func (r *request) newRunRecord(config Config) standin.Run {
	return standin.Run{
		Server:         config.Name,
		Service:        config.Service,
		RequestID:      r.id,
		Workspace:      r.Metadata.Workspace,
		Operation:      r.Metadata.Operation,
		IdempotencyKey: r.idempotencyKey,
		BodyDigest:     r.bodyDigest,
		ArrivedAt:      time.Now(),
	}
}
