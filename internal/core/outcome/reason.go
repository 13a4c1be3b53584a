package outcome

// Reasons for refusals that are caused by the request itself.
const (
	ReasonMalformedRequest      Reason = "malformed-request"
	ReasonHeaderTooLarge        Reason = "header-too-large"
	ReasonBodyTooLarge          Reason = "body-too-large"
	ReasonSlowSender            Reason = "slow-sender" // the request did not arrive in time
	ReasonUnknownKey            Reason = "unknown-key" // the bearer key is missing or belongs to no workspace
	ReasonUnknownService        Reason = "unknown-service"
	ReasonUnknownClass          Reason = "unknown-class"
	ReasonUnknownPath           Reason = "unknown-path"
	ReasonInvalidDeadline       Reason = "invalid-deadline"
	ReasonInvalidRepeatable     Reason = "invalid-repeatable"
	ReasonInvalidIdempotencyKey Reason = "invalid-idempotency-key"
	ReasonIdempotencyKeyReused  Reason = "idempotency-key-reused"
)

// Reasons for refusals that are caused by the state of the fleet, of a connection
// or of an earlier attempt with the same idempotency key.
const (
	ReasonNotReady               Reason = "not-ready" // the daemon has no configuration yet
	ReasonStopping               Reason = "stopping"
	ReasonCutByStop              Reason = "cut-by-stop" // the daemon stopped before the call had ended
	ReasonTooManyConnections     Reason = "too-many-connections"
	ReasonDaemonOverloaded       Reason = "daemon-overloaded" // the daemon has more requests than processor time
	ReasonMemoryExhausted        Reason = "memory-exhausted"  // requests hold all the memory that the daemon has for them
	ReasonMemoryReclaimed        Reason = "memory-reclaimed"  // the request had to make room for one of another workspace
	ReasonQueueFull              Reason = "queue-full"
	ReasonDeadlineExceeded       Reason = "deadline-exceeded"
	ReasonCallerGone             Reason = "caller-gone"
	ReasonNoServer               Reason = "no-backend-server"
	ReasonServerUnreachable      Reason = "backend-server-unreachable"
	ReasonServerOverloaded       Reason = "backend-server-overloaded"
	ReasonServerLeaving          Reason = "backend-server-leaving"
	ReasonServerRestarted        Reason = "backend-server-restarted"  // the server may have another software version than listed
	ReasonServerLimited          Reason = "backend-server-limited"    // the servers take no more requests per second
	ReasonNoAllowedRegion        Reason = "no-allowed-region"         // the route and the workspace allow no known region
	ReasonRegionsUnavailable     Reason = "regions-unavailable"       // no server of the allowed regions takes calls
	ReasonServersEvacuated       Reason = "backend-servers-evacuated" // operators evacuated all failure domains of the servers
	ReasonServerFailed           Reason = "backend-server-failed"
	ReasonFairShareExceeded      Reason = "fair-share-exceeded" // the workspace uses more than its fair share
	ReasonConnectionBroken       Reason = "connection-broken"
	ReasonConnectionSilent       Reason = "connection-silent" // the connection to the backend server made no progress
	ReasonAnswerMismatch         Reason = "answer-mismatch"   // the answer carries the ID of another request
	ReasonAnswerTruncated        Reason = "answer-truncated"
	ReasonStreamNotContinued     Reason = "stream-not-continued" // the answer is no stream where one goes on
	ReasonAnswerNotHeld          Reason = "answer-not-held"      // the daemon has no memory for a part of the answer
	ReasonAnswerTooLarge         Reason = "answer-too-large"
	ReasonAnswerMalformed        Reason = "answer-malformed"
	ReasonAnswerWithoutEnd       Reason = "answer-without-end"      // a part of the answer is so large that it probably has no end
	ReasonIdempotencyUnavailable Reason = "idempotency-unavailable" // the idempotency key can't be recorded now
	ReasonIdempotencyInProgress  Reason = "idempotency-in-progress" // another attempt with the key is running
	ReasonOutcomeUnknown         Reason = "outcome-unknown"
	ReasonStreamOriginUnknown    Reason = "stream-origin-unknown"   // the software version that began the stream is unknown
	ReasonSoftwareVersionGone    Reason = "software-version-gone"   // no server of the version that began the stream is left
	ReasonPartQuarantined        Reason = "prompt-part-quarantined" // a part of the prompt ends the servers that run it
	ReasonCallQuarantined        Reason = "call-quarantined"        // the call ends the servers that run it
	ReasonInternal               Reason = "internal"
)
