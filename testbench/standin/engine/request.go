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
	defaultTokens = 16
	maxBody       = 64 << 20
)

// request is a chat completion request with the marks of the tests.
type request struct {
	id     string
	key    string
	digest string

	Model     string   `json:"model"`
	Stream    bool     `json:"stream"`
	MaxTokens int      `json:"max_tokens"`
	Metadata  metadata `json:"metadata"`
}

// metadata holds the tests' marks: the true number of tokens, the workspace and
// the caller's operation.
type metadata struct {
	Tokens    string `json:"tokens"`
	Workspace string `json:"workspace"`
	Operation string `json:"operation"`
}

func readRequest(r *http.Request) (request, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return request{}, err
	}
	digest := sha256.Sum256(body)
	read := request{
		id:     r.Header.Get(standin.HeaderRequestID),
		key:    r.Header.Get(standin.HeaderIdempotencyKey),
		digest: hex.EncodeToString(digest[:]),
	}
	return read, json.Unmarshal(body, &read)
}

// tokens returns the number of tokens that the request really takes.
func (r *request) tokens() int {
	if count, err := strconv.Atoi(r.Metadata.Tokens); err == nil && count > 0 {
		return count
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultTokens
}

func (r *request) record(config Config) standin.Run {
	return standin.Run{
		Server:         config.Name,
		Service:        config.Service,
		RequestID:      r.id,
		Workspace:      r.Metadata.Workspace,
		Operation:      r.Metadata.Operation,
		IdempotencyKey: r.key,
		BodyDigest:     r.digest,
		ArrivedAt:      time.Now(),
	}
}
