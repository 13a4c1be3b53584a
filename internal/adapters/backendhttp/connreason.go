package backendhttp

// openReason says why a new connection was opened in place of a reuse.
type openReason string

const (
	// openReasonNoneIdle means that all connections to the server were in use.
	openReasonNoneIdle openReason = "none-idle"
	// openReasonIdleEnded means that the idle ones had been closed by the server or
	// had reached their idle timeout.
	openReasonIdleEnded openReason = "idle-ended"
	// openReasonIdleTooLong means that the idle ones exceeded Request.MaxIdleTime.
	openReasonIdleTooLong openReason = "idle-too-long"
	// openReasonRequired means that the request required a new connection, or that a
	// reused one had broken before the request was written.
	openReasonRequired openReason = "required"
)

// closeReason says why a connection was closed.
type closeReason string

const (
	// closeReasonAborted means that the exchange ended before its answer was whole:
	// the caller hung up, the deadline passed or the connection broke.
	closeReasonAborted closeReason = "aborted"
	// closeReasonSilent means that another connection to the server had gone silent.
	closeReasonSilent closeReason = "silent"
	// closeReasonByServer means that the server asked to close the connection, or
	// closed it, with the end of the answer.
	closeReasonByServer closeReason = "by-server"
	// closeReasonIdleEnded means that the idle connection had been closed by the
	// server or had reached its idle timeout.
	closeReasonIdleEnded closeReason = "idle-ended"
	// closeReasonIdleLimit means that enough connections to the server were idle.
	closeReasonIdleLimit closeReason = "idle-limit"
	// closeReasonReplaced means that the idle connection made room for a new one
	// within Request.MaxConnections.
	closeReasonReplaced closeReason = "replaced"
	// closeReasonNotConnected means that the connection could not be opened.
	closeReasonNotConnected closeReason = "not-connected"
	// closeReasonClientClosed means that the client was closed.
	closeReasonClientClosed closeReason = "client-closed"
)
