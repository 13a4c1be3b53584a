package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// OperatorName and OperatorKey are the credentials of the operator in the daemons'
// settings.
const (
	OperatorName = "operator"
	OperatorKey  = "operator-key"
)

// CallerKey returns the bearer key of the callers of a workspace.
func CallerKey(workspace ports.WorkspaceID) string {
	return "key-" + string(workspace)
}

// KeyDigest returns the hexadecimal SHA-256 digest by which the configuration and
// the settings identify a key.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// document returns the configuration document that the options describe.
func (o *Options) document() configuration.Document {
	document := configuration.Document{
		Services:   make(map[ports.ServiceName]configuration.Service),
		Classes:    o.Classes,
		Workspaces: make(map[ports.WorkspaceID]configuration.Workspace),
	}
	for _, engineService := range o.Engines {
		document.Services[engineService.Name] = configuration.Service{
			Kind:         configuration.ServiceKindEngine,
			DefaultClass: engineService.DefaultClass,
			MaxInFlight:  engineService.MaxInFlight,
		}
	}
	for _, plainService := range o.Services {
		document.Services[plainService.Name] = configuration.Service{
			Kind:         configuration.ServiceKindPlain,
			DefaultClass: plainService.DefaultClass,
			MaxInFlight:  plainService.MaxInFlight,
		}
	}
	for _, workspace := range o.Workspaces {
		document.Workspaces[workspace.Name] = configuration.Workspace{
			ShareTarget: workspace.ShareTarget,
			KeyDigests:  []string{KeyDigest(CallerKey(workspace.Name))},
		}
	}
	if o.AdjustDocument != nil {
		o.AdjustDocument(&document)
	}
	return document
}

// encodeFirstRevision returns the content of the configuration object with the
// document as its first revision.
func encodeFirstRevision(document configuration.Document) ([]byte, error) {
	edit := configuration.Edit{ApplyID: "fleet", Author: OperatorName, Document: document}
	chain, err := configuration.Chain{}.Append(edit, time.Now())
	if err != nil {
		return nil, err
	}
	return chain.Encode()
}
