package mothferry

// End is the final state of a request, as reported to its caller.
type End string

// The ends of a request.
const (
	// EndAnswered means that the caller got the complete answer of its upstream.
	EndAnswered End = "answered"
	// EndNotRun means that no upstream ran any part of the request.
	EndNotRun End = "not_run"
	// EndUnknown means that an upstream may have run the request.
	EndUnknown End = "unknown"
)

// Header names of the callers' and the upstreams' HTTP interface.
const (
	HeaderEnd       = "Mothferry-End"
	HeaderReason    = "Mothferry-Reason"
	HeaderCustomer  = "Mothferry-Customer"
	HeaderRequestID = "Mothferry-Request-Id"
	HeaderTimeout   = "Mothferry-Timeout"
	// HeaderRunner names the runner that a request is addressed to, and on an
	// answer the one that gave it.
	HeaderRunner   = "Mothferry-Runner"
	HeaderReplayed = "Mothferry-Replayed"
	// HeaderRefused is set by an upstream that did not run the request. Its
	// value is a Refusal. Without it, a 503 is the application's own answer.
	HeaderRefused = "Mothferry-Refused"
	// HeaderLeaving is set by an upstream on its answers once it is stopping.
	HeaderLeaving = "Mothferry-Leaving"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// Refusal is an upstream's reason for not running a request.
type Refusal string

// The refusals of an upstream.
const (
	RefusalBusy    Refusal = "busy"
	RefusalLeaving Refusal = "leaving"
	// RefusalOtherRunner: the request is addressed to another runner, whose
	// address this one has now.
	RefusalOtherRunner Refusal = "other_runner"
)

// Reason says why a request ended as not run or unknown.
type Reason string

// Reasons for an end other than answered.
const (
	ReasonUnknownService Reason = "unknown_service"
	ReasonBadRequest     Reason = "bad_request"
	ReasonUpgrade        Reason = "upgrade_unsupported"
	ReasonTooLarge       Reason = "too_large"
	ReasonNoRunner       Reason = "no_runner"
	ReasonOverload       Reason = "overload"
	ReasonCustomerLimit  Reason = "customer_limit"
	ReasonDeadline       Reason = "deadline"
	ReasonStopping       Reason = "stopping"
	ReasonLedgerDown     Reason = "ledger_unavailable"
	ReasonKeyMismatch    Reason = "key_mismatch"
	ReasonStillRunning   Reason = "still_running"
	ReasonOutcomeUnknown Reason = "outcome_unknown"
	ReasonConnect        Reason = "connect_failed"
	ReasonConnectionLost Reason = "connection_lost"
	ReasonTruncated      Reason = "answer_truncated"
	ReasonUnframed       Reason = "answer_unframed"
	ReasonAnswerTooLarge Reason = "answer_too_large"
	ReasonCallerGone     Reason = "caller_gone"
	ReasonRefused        Reason = "refused"
	ReasonBodyUnreadable Reason = "body_unreadable"
	ReasonStaleView      Reason = "stale_view"
)
