package app

import (
	"io"
	"testing"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/settings"
)

const testSettings = `{
  "vm": {"name": "entry-1", "failureDomain": "ub-a", "region": "ulaanbaatar"},
  "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "platform": {"objectAPI": "http://127.0.0.1:1", "vmList": "http://127.0.0.1:1/v1/vms"},
  "operators": {"keyDigests": {"on-call": "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}}
}`

func TestNewComposesDaemon(t *testing.T) {
	s, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(s, logging.New(io.Discard, "error")); err != nil {
		t.Fatal(err)
	}
}
