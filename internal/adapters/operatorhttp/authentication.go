package operatorhttp

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"hawthornstream/internal/ports"
)

// authenticator identifies operators by their keys.
type authenticator struct {
	// keyDigests maps operator names to hexadecimal SHA-256 digests of their keys.
	keyDigests map[string]string
}

func newAuthenticator(keyDigests map[string]string) *authenticator {
	return &authenticator{keyDigests: keyDigests}
}

// operatorName returns the name of the operator whose bearer key the request
// carries. It compares the key with every digest in constant time.
func (a *authenticator) operatorName(r *http.Request) (string, bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	name, known := "", false
	for candidate, expected := range a.keyDigests {
		if subtle.ConstantTimeCompare(digest, []byte(expected)) == 1 {
			name, known = candidate, true
		}
	}
	return name, known
}

// operatorNameKey is the context key of the authenticated operator's name.
type operatorNameKey struct{}

// requireOperator rejects requests without an operator's key and passes the
// operator's name to next in the request context.
func (s *Server) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, known := s.authenticator.operatorName(r)
		if !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.writeProblem(w, newProblem(http.StatusUnauthorized, ports.OperatorReasonUnknownKey,
				"the request carries no operator's key"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	})
}

// operatorNameOf returns the name that requireOperator put into the request
// context.
func operatorNameOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorNameKey{}).(string)
	return name
}
