package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"hawthornstream/internal/core/fieldcheck"
)

// InvalidDocumentError reports all faults of a document.
type InvalidDocumentError struct {
	Faults []fieldcheck.Fault
}

// Error implements error.
func (e *InvalidDocumentError) Error() string {
	return "invalid configuration: " + fieldcheck.Join(e.Faults)
}

// Parse decodes and validates the JSON of a document that an operator gives to a daemon.
// It fails with *InvalidDocumentError, which lists all faults.
func Parse(data []byte) (Document, error) {
	return parse(data, func(document Document) []fieldcheck.Fault {
		return fieldcheck.Merge(checkNames(document), findFaults(document))
	})
}

// ParseAccepted is Parse for a document that is already in force elsewhere. Its names may
// be any label, since the platform that accepted it has rules of its own.
func ParseAccepted(data []byte) (Document, error) {
	return parse(data, findFaults)
}

func parse(data []byte, check func(Document) []fieldcheck.Fault) (Document, error) {
	var document Document
	faults := fieldcheck.Decode(data, &document)
	faults = fieldcheck.Merge(faults, check(document))
	if len(faults) > 0 {
		return Document{}, &InvalidDocumentError{Faults: faults}
	}
	return normalise(document), nil
}

// Canonical returns the document's canonical JSON: fields in a fixed order, map
// keys sorted, no whitespace.
func Canonical(document Document) []byte {
	data, err := json.Marshal(normalise(document))
	if err != nil {
		// A validated document holds only strings, numbers, times and durations.
		panic(err)
	}
	return data
}

// Digest returns the SHA-256 digest of the document's canonical JSON in
// lower-case hexadecimal.
func Digest(document Document) string {
	sum := sha256.Sum256(Canonical(document))
	return hex.EncodeToString(sum[:])
}

// normalise returns a copy of the document in which absent services, classes,
// workspaces and key digests are empty and times are in UTC.
func normalise(document Document) Document {
	if document.Services == nil {
		document.Services = map[ServiceName]Service{}
	}
	if document.Classes == nil {
		document.Classes = map[ClassName]Class{}
	}
	workspaces := make(map[WorkspaceID]Workspace, len(document.Workspaces))
	for id, workspace := range document.Workspaces {
		if workspace.KeyDigests == nil {
			workspace.KeyDigests = []string{}
		}
		workspaces[id] = workspace
	}
	document.Workspaces = workspaces
	var stops []PlannedStop
	for _, stop := range document.PlannedStops {
		stop.NotBefore = stop.NotBefore.UTC()
		stops = append(stops, stop)
	}
	document.PlannedStops = stops
	return document
}
