package configuration

import (
	"encoding/json"
	"fmt"
	"time"
)

// ObjectName names the platform object that stores the chain.
const ObjectName = "hawthornstream/configuration"

const (
	// MaxChainBytes is the maximum size of the encoded chain.
	MaxChainBytes = 1 << 20
	// maxHistoryEntries is the maximum number of summaries in a chain.
	maxHistoryEntries = 64
	// maxHistoryPatchBytes is the maximum total size of a chain's undo patches.
	maxHistoryPatchBytes = 64 << 10
)

// RevisionSummary is the history entry of a revision.
type RevisionSummary struct {
	Number     RevisionNumber `json:"number"`
	ApplyID    string         `json:"applyID"`
	Author     string         `json:"author,omitempty"`
	AcceptedAt time.Time      `json:"acceptedAt"`
	Digest     string         `json:"digest"`
	// Undo is the JSON merge patch from this revision's document to the previous
	// one. It is absent for the oldest revision of the history.
	Undo json.RawMessage `json:"undo,omitempty"`
}

// Chain is the current revision with the recent history, as stored in the
// platform object.
type Chain struct {
	// History lists the latest revisions, including the current one, newest
	// first.
	History []RevisionSummary `json:"history"`
	// Current is nil before the first revision.
	Current *Revision `json:"current,omitempty"`
}

// ConflictError reports an edit whose base revision is not the current revision.
type ConflictError struct {
	// Base is the revision that the edit was made from.
	Base RevisionNumber `json:"base"`
	// Current is the current revision and Author its author.
	Current RevisionNumber `json:"current"`
	Author  string         `json:"author,omitempty"`
	// Oldest is the oldest revision of the history. An apply ID that the history
	// lacks was certainly not accepted only if Oldest is at most Base + 1:
	// otherwise the revision that it wrote may have left the history.
	Oldest RevisionNumber `json:"oldest"`
	// Difference lists the changes from the base document to the current one. It
	// is empty when the base document can't be restored any more.
	Difference []Change `json:"difference"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("based on revision %d, but revision %d by %q is current", e.Base, e.Current, e.Author)
}

// ChainTooLargeError reports a chain that exceeds a size limit.
type ChainTooLargeError struct {
	// Size and Limit are in bytes, of the JSON or of the compressed chain.
	Size  int `json:"size"`
	Limit int `json:"limit"`
}

// Error implements error.
func (e *ChainTooLargeError) Error() string {
	return fmt.Sprintf("configuration takes %d bytes, limit %d", e.Size, e.Limit)
}

// CorruptChainError reports that the platform object holds no valid chain.
type CorruptChainError struct {
	Cause string
}

// Error implements error.
func (e *CorruptChainError) Error() string {
	return "the configuration object holds no valid chain: " + e.Cause
}

// CurrentNumber returns the number of the current revision, or zero before the
// first one.
func (c Chain) CurrentNumber() RevisionNumber {
	if c.Current == nil {
		return 0
	}
	return c.Current.Number
}

// FindByApplyID returns the summary of the revision that an edit wrote, if the
// history lists it.
func (c Chain) FindByApplyID(applyID string) (RevisionSummary, bool) {
	for _, summary := range c.History {
		if summary.ApplyID == applyID {
			return summary, true
		}
	}
	return RevisionSummary{}, false
}

// Edit is a proposed new document.
type Edit struct {
	// Base is the revision that the document was made from, zero for none.
	Base RevisionNumber
	// ApplyID identifies the edit across retries.
	ApplyID  string
	Author   string
	Document Document
}

// Append returns a chain with the edit as its next revision, accepted at
// acceptedAt. It fails with *ConflictError, *InvalidDocumentError or
// *ChainTooLargeError.
func (c Chain) Append(edit Edit, acceptedAt time.Time) (Chain, error) {
	if edit.Base != c.CurrentNumber() {
		return Chain{}, c.newConflictError(edit.Base)
	}
	next, err := NewRevision(edit.Base+1, edit.ApplyID, edit.Author, acceptedAt, edit.Document)
	if err != nil {
		return Chain{}, err
	}
	summary := RevisionSummary{
		Number:     next.Number,
		ApplyID:    next.ApplyID,
		Author:     next.Author,
		AcceptedAt: next.AcceptedAt,
		Digest:     next.Digest,
	}
	if c.Current != nil {
		summary.Undo = CreatePatch(next.Document, c.Current.Document)
	}
	history := append([]RevisionSummary{summary}, c.History...)
	result := Chain{History: truncateHistory(history), Current: next}
	if _, err := result.Encode(); err != nil {
		return Chain{}, err
	}
	return result, nil
}

// truncateHistory drops the oldest summaries beyond the limits on entries and
// patch bytes, but keeps at least one. It also removes the undo patch of the
// oldest summary that is left, in place.
func truncateHistory(history []RevisionSummary) []RevisionSummary {
	patchBytes := 0
	for i, summary := range history {
		patchBytes += len(summary.Undo)
		if i > 0 && (i == maxHistoryEntries || patchBytes > maxHistoryPatchBytes) {
			history = history[:i]
			break
		}
	}
	history[len(history)-1].Undo = nil
	return history
}

// DocumentAt returns the document of a revision, restored by undo patches from
// the current one, and false when the history does not reach back to it. Number
// zero stands for the empty document before the first revision.
func (c Chain) DocumentAt(number RevisionNumber) (Document, bool) {
	if number == 0 {
		return Document{}, true
	}
	if c.Current == nil {
		return Document{}, false
	}
	document := c.Current.Document
	for _, summary := range c.History {
		if summary.Number == number {
			return document, true
		}
		if summary.Undo == nil {
			break
		}
		previous, err := ApplyPatch(document, summary.Undo)
		if err != nil {
			break
		}
		document = previous
	}
	return Document{}, false
}

func (c Chain) newConflictError(base RevisionNumber) *ConflictError {
	conflict := &ConflictError{Base: base, Current: c.CurrentNumber(), Difference: []Change{}}
	if len(c.History) > 0 {
		conflict.Oldest = c.History[len(c.History)-1].Number
		conflict.Author = c.History[0].Author
	}
	if baseDocument, found := c.DocumentAt(base); found && c.Current != nil {
		conflict.Difference = Diff(baseDocument, c.Current.Document)
	}
	return conflict
}

// NewChain returns a chain whose history lists only the given revision.
func NewChain(revision *Revision) Chain {
	summary := RevisionSummary{
		Number:     revision.Number,
		ApplyID:    revision.ApplyID,
		Author:     revision.Author,
		AcceptedAt: revision.AcceptedAt,
		Digest:     revision.Digest,
	}
	return Chain{History: []RevisionSummary{summary}, Current: revision}
}
