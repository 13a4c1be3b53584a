package callertest

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hawthornstream/internal/settings"
	"hawthornstream/testbench/fleet"
)

// writeTestKeyPair writes the certificate and key of an httptest server to files
// and returns their paths with a pool that trusts the certificate.
func writeTestKeyPair(t *testing.T) (settings.KeyPair, *x509.CertPool) {
	t.Helper()
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	served := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(served.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	pair := settings.KeyPair{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
	}
	blocks := map[string]*pem.Block{
		pair.Certificate: {Type: "CERTIFICATE", Bytes: served.Certificate[0]},
		pair.Key:         {Type: "PRIVATE KEY", Bytes: key},
	}
	for path, block := range blocks {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	trusted := x509.NewCertPool()
	trusted.AddCert(server.Certificate())
	return pair, trusted
}

func TestCallersAreServedOverTLS(t *testing.T) {
	pair, trusted := writeTestKeyPair(t)
	f := fleet.StartTest(t, fleet.Options{
		AdjustSettings: func(s *settings.Settings) { s.TLS.Callers = &pair },
		Services:       []fleet.PlainService{{Name: "registry", Servers: 1}},
	})
	// The certificate of httptest is issued for this host.
	transport := &http.Transport{
		DisableKeepAlives: true,
		TLSClientConfig:   &tls.Config{RootCAs: trusted, ServerName: "example.com"},
	}
	url := strings.Replace(f.Daemons[0].CallersURL(), "http://", "https://", 1) + "/services/registry/sheets"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.CallerKey("alpha"))
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || response.TLS == nil {
		t.Errorf("status %d, answered over TLS: %v", response.StatusCode, response.TLS != nil)
	}

	plain, err := http.Get(f.Daemons[0].CallersURL() + "/services/registry/sheets")
	if err != nil {
		return
	}
	defer plain.Body.Close()
	if plain.StatusCode != http.StatusBadRequest {
		t.Errorf("plain text was answered with %d", plain.StatusCode)
	}
}
