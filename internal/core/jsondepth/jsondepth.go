// Package jsondepth limits the nesting of JSON text. encoding/json refuses a text of which
// any part exceeds its own limit, so that one element decides over all others. Package
// jsondepth has no I/O or clock.
package jsondepth

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// MaxDepth is the number of levels of nesting that Limit leaves.
const MaxDepth = 64

// replacement stands for a value that is nested too deeply.
const replacement = "null"

// Unmarshal is json.Unmarshal for text of any depth: a text that this refuses is decoded
// with the values below MaxDepth levels replaced by null.
func Unmarshal(data []byte, target any) error {
	err := json.Unmarshal(data, target)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	limited, limitErr := Limit(data)
	if limitErr != nil {
		return err
	}
	return json.Unmarshal(limited, target)
}

// Limit returns the text with the arrays and objects below MaxDepth levels replaced by null.
// It fails if the text isn't JSON.
func Limit(data []byte) ([]byte, error) {
	// Unlike values, tokens have no limit of nesting, and numbers none of size.
	tokens := json.NewDecoder(bytes.NewReader(data))
	tokens.UseNumber()
	var limited []byte
	depth, copied := 0, int64(0)
	for {
		token, err := tokens.Token()
		if errors.Is(err, io.EOF) && depth == 0 {
			return append(limited, data[copied:]...), nil
		}
		if err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			if depth == MaxDepth {
				limited = append(append(limited, data[copied:tokens.InputOffset()-1]...), replacement...)
			}
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
			if depth == MaxDepth {
				copied = tokens.InputOffset()
			}
		}
	}
}
