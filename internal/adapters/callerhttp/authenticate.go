package callerhttp

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

const bearerPrefix = "Bearer "

// authenticate returns the workspace that the request's bearer key belongs to.
func authenticate(r *http.Request, configuration *ports.Configuration) (ports.WorkspaceID, *outcome.Refusal) {
	key, found := strings.CutPrefix(r.Header.Get(headerAuthorization), bearerPrefix)
	if !found || key == "" {
		return "", notRunRefusal(outcome.ReasonUnknownKey, "the request has no bearer key")
	}
	digest := sha256.Sum256([]byte(key))
	workspace, found := configuration.WorkspaceByKeyDigest(hex.EncodeToString(digest[:]))
	if !found {
		return "", notRunRefusal(outcome.ReasonUnknownKey, "the bearer key belongs to no workspace")
	}
	return workspace, nil
}
