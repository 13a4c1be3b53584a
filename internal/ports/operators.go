package ports

import (
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/fieldcheck"
)

// The header fields of the operator API.
const (
	// HeaderApplyID carries the ID of an attempt to change the configuration.
	HeaderApplyID = "Hawthornstream-Apply-ID"
	// HeaderIfMatch carries the number of the revision that a change is based on,
	// in quotes; "0" for none.
	HeaderIfMatch = "If-Match"
)

// OperatorReason is a stable, machine-readable cause of a failed operator
// request.
type OperatorReason string

// The reasons of failed operator requests.
const (
	OperatorReasonUnknownKey      OperatorReason = "unknown-key"
	OperatorReasonUnknownPath     OperatorReason = "unknown-path"
	OperatorReasonMalformed       OperatorReason = "malformed-request"
	OperatorReasonTooLarge        OperatorReason = "too-large"
	OperatorReasonNoBase          OperatorReason = "base-revision-required"
	OperatorReasonNoApplyID       OperatorReason = "apply-id-required"
	OperatorReasonApplyIDReused   OperatorReason = "apply-id-reused"
	OperatorReasonInvalid         OperatorReason = "invalid-document"
	OperatorReasonConflict        OperatorReason = "revision-conflict"
	OperatorReasonUnavailable     OperatorReason = "platform-unavailable"
	OperatorReasonUnknownOutcome  OperatorReason = "outcome-unknown"
	OperatorReasonNoConfiguration OperatorReason = "no-configuration"
	OperatorReasonUnknownRevision OperatorReason = "unknown-revision"
	OperatorReasonUnknownRequest  OperatorReason = "unknown-request"
	OperatorReasonUnknownStop     OperatorReason = "unknown-stop"
	OperatorReasonCorruptChain    OperatorReason = "corrupt-chain"
	OperatorReasonNotReady        OperatorReason = "not-ready"
	OperatorReasonInternal        OperatorReason = "internal"
)

// OperatorProblem is the application/problem+json answer to a failed operator
// request.
type OperatorProblem struct {
	Type   string         `json:"type"`
	Title  string         `json:"title"`
	Status int            `json:"status"`
	Reason OperatorReason `json:"reason"`
	Detail string         `json:"detail"`
	// Faults are the faults of an invalid document.
	Faults []fieldcheck.Fault `json:"faults,omitempty"`
	// Conflict is set if the edit was not based on the current revision.
	Conflict *configuration.ConflictError `json:"conflict,omitempty"`
	// NotReady lists the failed readiness checks.
	NotReady []FailedCheck `json:"notReady,omitempty"`
}

// FailedCheck is the name of a readiness check that failed and the reason.
type FailedCheck struct {
	Check  string `json:"check"`
	Reason string `json:"reason"`
}

// DaemonStatus is what one daemon reports to operators about itself and about the
// fleet as it sees it.
type DaemonStatus struct {
	VM          VM          `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Ready       bool        `json:"ready"`
	// NotReady lists the failed readiness checks.
	NotReady []FailedCheck `json:"notReady,omitempty"`
	// Revision is the configuration revision in force; zero for none.
	Revision configuration.RevisionNumber `json:"revision"`
	Digest   string                       `json:"digest,omitempty"`
	// Daemons are the daemons considered alive, this one included.
	Daemons []VM `json:"daemons"`
	// Shards are the shards of every service with their owners as this daemon sees
	// them.
	Shards []ShardOwner `json:"shards"`
	// Services is the sharing of each service as this daemon sees it.
	Services []ServiceStatus `json:"services"`
	// Evacuations are the evacuated failure domains.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
	// Handover is nil if the daemon hands no connections over.
	Handover *HandoverStatus `json:"handover,omitempty"`
}

// ShardOwner names the daemon that grants the slots of a shard.
type ShardOwner struct {
	Shard   ShardID     `json:"shard"`
	Service ServiceName `json:"service"`
	Owner   DaemonID    `json:"owner"`
	// Servers counts the shard's backend servers.
	Servers int `json:"servers"`
}

// RevisionHistory is the answer to a request for the latest revisions.
type RevisionHistory struct {
	// Revisions are the latest accepted revisions, newest first.
	Revisions []configuration.RevisionSummary `json:"revisions"`
}

// DocumentDifference is the answer to a request to compare a document with a
// revision.
type DocumentDifference struct {
	// Base is the revision that the document was compared with.
	Base    configuration.RevisionNumber `json:"base"`
	Changes []configuration.Change       `json:"changes"`
}

// StopList lists the planned stops of one configuration revision.
type StopList struct {
	Revision configuration.RevisionNumber `json:"revision"`
	Stops    []configuration.PlannedStop  `json:"stops"`
}
