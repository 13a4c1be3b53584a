package outcome

// The reasons of refusals that the request itself causes.
const (
	ReasonMalformedRequest      Reason = "malformed-request"
	ReasonHeaderTooLarge        Reason = "header-too-large"
	ReasonBodyTooLarge          Reason = "body-too-large"
	ReasonSlowSender            Reason = "slow-sender"
	ReasonUnknownKey            Reason = "unknown-key"
	ReasonUnknownService        Reason = "unknown-service"
	ReasonUnknownClass          Reason = "unknown-class"
	ReasonUnknownPath           Reason = "unknown-path"
	ReasonInvalidDeadline       Reason = "invalid-deadline"
	ReasonInvalidRepeatable     Reason = "invalid-repeatable"
	ReasonInvalidIdempotencyKey Reason = "invalid-idempotency-key"
	ReasonIdempotencyKeyReused  Reason = "idempotency-key-reused"
)

// The reasons of refusals that the state of the fleet causes.
const (
	ReasonNotReady               Reason = "not-ready"
	ReasonStopping               Reason = "stopping"
	ReasonTooManyConnections     Reason = "too-many-connections"
	ReasonDaemonOverloaded       Reason = "daemon-overloaded"
	ReasonQueueFull              Reason = "queue-full"
	ReasonDeadlineExceeded       Reason = "deadline-exceeded"
	ReasonCallerGone             Reason = "caller-gone"
	ReasonNoServer               Reason = "no-backend-server"
	ReasonServerUnreachable      Reason = "backend-server-unreachable"
	ReasonServerOverloaded       Reason = "backend-server-overloaded"
	ReasonServerLeaving          Reason = "backend-server-leaving"
	ReasonServerFailed           Reason = "backend-server-failed"
	ReasonFairShareExceeded      Reason = "fair-share-exceeded"
	ReasonConnectionBroken       Reason = "connection-broken"
	ReasonConnectionSilent       Reason = "connection-silent"
	ReasonAnswerMismatch         Reason = "answer-mismatch"
	ReasonAnswerTruncated        Reason = "answer-truncated"
	ReasonAnswerTooLarge         Reason = "answer-too-large"
	ReasonIdempotencyUnavailable Reason = "idempotency-unavailable"
	ReasonIdempotencyInProgress  Reason = "idempotency-in-progress"
	ReasonOutcomeUnknown         Reason = "outcome-unknown"
	ReasonInternal               Reason = "internal"
)
