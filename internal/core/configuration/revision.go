package configuration

import "time"

// RevisionNumber counts the accepted documents. The first is 1.
type RevisionNumber uint64

// Revision is one accepted document.
type Revision struct {
	Number RevisionNumber `json:"number"`
	// ApplyID identifies the attempt that wrote the revision.
	ApplyID string `json:"applyID"`
	// Author is the operator's name.
	Author string `json:"author,omitempty"`
	// AcceptedAt is the writer's time.
	AcceptedAt time.Time `json:"acceptedAt"`
	// Digest is the SHA-256 digest of the document's canonical JSON.
	Digest string `json:"digest"`
	// Document is the document as written, without defaults.
	Document Document `json:"document"`

	workspaces map[string]WorkspaceID
	routes     map[string][]*MatchedRoute
}

// NewRevision returns a checked revision with its digest and key index. It
// fails with *InvalidDocumentError.
func NewRevision(number RevisionNumber, applyID, author string, at time.Time, document Document) (*Revision, error) {
	if err := Validate(document); err != nil {
		return nil, err
	}
	document = normalised(document)
	revision := &Revision{
		Number:     number,
		ApplyID:    applyID,
		Author:     author,
		AcceptedAt: at.UTC(),
		Digest:     Digest(document),
		Document:   document,
	}
	revision.workspaces = indexKeys(document)
	revision.routes = indexRoutes(document)
	return revision, nil
}

// WorkspaceByKeyDigest returns the workspace that a key digest belongs to. It
// works on revisions made by NewRevision.
func (r *Revision) WorkspaceByKeyDigest(digest string) (WorkspaceID, bool) {
	id, found := r.workspaces[digest]
	return id, found
}

func indexKeys(document Document) map[string]WorkspaceID {
	index := map[string]WorkspaceID{}
	for id, workspace := range document.Workspaces {
		for _, digest := range workspace.KeyDigests {
			index[digest] = id
		}
	}
	return index
}
