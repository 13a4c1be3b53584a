package callerhttp

import (
	"net/http"

	"hawthornstream/internal/core/outcome"
)

// statusByReason maps the reason of a refusal to the HTTP status of the answer.
var statusByReason = map[outcome.Reason]int{
	outcome.ReasonMalformedRequest:       http.StatusBadRequest,
	outcome.ReasonHeaderTooLarge:         http.StatusRequestHeaderFieldsTooLarge,
	outcome.ReasonBodyTooLarge:           http.StatusRequestEntityTooLarge,
	outcome.ReasonSlowSender:             http.StatusRequestTimeout,
	outcome.ReasonUnknownKey:             http.StatusUnauthorized,
	outcome.ReasonUnknownService:         http.StatusNotFound,
	outcome.ReasonUnknownClass:           http.StatusBadRequest,
	outcome.ReasonUnknownPath:            http.StatusNotFound,
	outcome.ReasonInvalidDeadline:        http.StatusBadRequest,
	outcome.ReasonInvalidRepeatable:      http.StatusBadRequest,
	outcome.ReasonInvalidIdempotencyKey:  http.StatusBadRequest,
	outcome.ReasonIdempotencyKeyReused:   http.StatusUnprocessableEntity,
	outcome.ReasonNotReady:               http.StatusServiceUnavailable,
	outcome.ReasonStopping:               http.StatusServiceUnavailable,
	outcome.ReasonCutByStop:              http.StatusGatewayTimeout,
	outcome.ReasonTooManyConnections:     http.StatusServiceUnavailable,
	outcome.ReasonDaemonOverloaded:       http.StatusServiceUnavailable,
	outcome.ReasonMemoryExhausted:        http.StatusServiceUnavailable,
	outcome.ReasonMemoryReclaimed:        http.StatusServiceUnavailable,
	outcome.ReasonQueueFull:              http.StatusTooManyRequests,
	outcome.ReasonDeadlineExceeded:       http.StatusGatewayTimeout,
	outcome.ReasonNoServer:               http.StatusServiceUnavailable,
	outcome.ReasonServerUnreachable:      http.StatusBadGateway,
	outcome.ReasonServerOverloaded:       http.StatusServiceUnavailable,
	outcome.ReasonServerLeaving:          http.StatusServiceUnavailable,
	outcome.ReasonServerRestarted:        http.StatusServiceUnavailable,
	outcome.ReasonServerLimited:          http.StatusServiceUnavailable,
	outcome.ReasonServersEvacuated:       http.StatusServiceUnavailable,
	outcome.ReasonServerFailed:           http.StatusBadGateway,
	outcome.ReasonFairShareExceeded:      http.StatusTooManyRequests,
	outcome.ReasonConnectionBroken:       http.StatusBadGateway,
	outcome.ReasonConnectionSilent:       http.StatusGatewayTimeout,
	outcome.ReasonAnswerMismatch:         http.StatusBadGateway,
	outcome.ReasonAnswerTruncated:        http.StatusBadGateway,
	outcome.ReasonStreamNotContinued:     http.StatusBadGateway,
	outcome.ReasonAnswerNotHeld:          http.StatusBadGateway,
	outcome.ReasonAnswerTooLarge:         http.StatusBadGateway,
	outcome.ReasonAnswerMalformed:        http.StatusBadGateway,
	outcome.ReasonAnswerWithoutEnd:       http.StatusBadGateway,
	outcome.ReasonIdempotencyUnavailable: http.StatusServiceUnavailable,
	outcome.ReasonIdempotencyInProgress:  http.StatusConflict,
	outcome.ReasonOutcomeUnknown:         http.StatusConflict,
	outcome.ReasonPartQuarantined:        http.StatusServiceUnavailable,
	outcome.ReasonCallQuarantined:        http.StatusServiceUnavailable,
	outcome.ReasonInternal:               http.StatusInternalServerError,
}

// httpStatus returns the HTTP status of a refusal with the reason.
func httpStatus(reason outcome.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}
