package configuration

import "time"

// RevisionNumber numbers the accepted documents in ascending order, from 1.
type RevisionNumber uint64

// Revision is an accepted document with its metadata.
type Revision struct {
	Number RevisionNumber `json:"number"`
	// ApplyID identifies the edit that wrote the revision.
	ApplyID string `json:"applyID"`
	// Author is the operator's name.
	Author string `json:"author,omitempty"`
	// AcceptedAt is the time of acceptance by the writer's clock.
	AcceptedAt time.Time `json:"acceptedAt"`
	// Digest is the SHA-256 digest of the document's canonical JSON.
	Digest string `json:"digest"`
	// Document is the document without defaults filled in.
	Document Document `json:"document"`

	workspacesByKeyDigest map[string]WorkspaceID
	routesByHost          map[string][]*MatchedRoute
}

// NewRevision validates the document and returns a revision with its digest and
// with the indexes for WorkspaceByKeyDigest and MatchRoute. It fails with
// *InvalidDocumentError.
func NewRevision(number RevisionNumber, applyID, author string, acceptedAt time.Time, document Document) (*Revision, error) {
	if err := Validate(document); err != nil {
		return nil, err
	}
	document = normalise(document)
	revision := &Revision{
		Number:     number,
		ApplyID:    applyID,
		Author:     author,
		AcceptedAt: acceptedAt.UTC(),
		Digest:     Digest(document),
		Document:   document,
	}
	revision.workspacesByKeyDigest = indexWorkspaces(document)
	revision.routesByHost = indexRoutes(document)
	return revision, nil
}

// WorkspaceByKeyDigest returns the workspace that a key digest belongs to, and
// false when there is none. The revision must come from NewRevision.
func (r *Revision) WorkspaceByKeyDigest(digest string) (WorkspaceID, bool) {
	id, found := r.workspacesByKeyDigest[digest]
	return id, found
}

// indexWorkspaces returns the workspaces by key digest.
func indexWorkspaces(document Document) map[string]WorkspaceID {
	index := map[string]WorkspaceID{}
	for id, workspace := range document.Workspaces {
		for _, digest := range workspace.KeyDigests {
			index[digest] = id
		}
	}
	return index
}
