package configuration

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

// maxDecompressedBytes is the maximum size of a chain's JSON.
const maxDecompressedBytes = 8 << 20

// ParseChain decompresses, decodes and validates the value of the platform
// object. It fails with *CorruptChainError.
func ParseChain(data []byte) (Chain, error) {
	text, err := decompress(data)
	if err != nil {
		return Chain{}, &CorruptChainError{Cause: err.Error()}
	}
	var chain Chain
	if err := json.Unmarshal(text, &chain); err != nil {
		return Chain{}, &CorruptChainError{Cause: err.Error()}
	}
	if chain.Current == nil {
		return Chain{}, &CorruptChainError{Cause: "no current revision"}
	}
	stored := chain.Current
	current, err := NewRevision(stored.Number, stored.ApplyID, stored.Author, stored.AcceptedAt, stored.Document)
	if err != nil {
		return Chain{}, &CorruptChainError{Cause: err.Error()}
	}
	if current.Digest != stored.Digest || current.Number == 0 {
		return Chain{}, &CorruptChainError{Cause: "the digest or number of the current revision is wrong"}
	}
	chain.Current = current
	return chain, nil
}

// Encode returns the chain as gzip-compressed JSON, the value of the platform
// object. It fails with *ChainTooLargeError.
func (c Chain) Encode() ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, &CorruptChainError{Cause: err.Error()}
	}
	if len(text) > maxDecompressedBytes {
		return nil, &ChainTooLargeError{Size: len(text), Limit: maxDecompressedBytes}
	}
	data := compress(text)
	if len(data) > MaxChainBytes {
		return nil, &ChainTooLargeError{Size: len(data), Limit: MaxChainBytes}
	}
	return data, nil
}

// compress ignores write errors: a buffer in memory returns none.
func compress(text []byte) []byte {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, _ = writer.Write(text)
	_ = writer.Close()
	return buffer.Bytes()
}

// decompress reads at most maxDecompressedBytes, so that a small value can't
// exhaust the memory. A longer text is truncated and then fails to parse.
func decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(reader, maxDecompressedBytes))
}
