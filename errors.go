package mothferry

import (
	"fmt"
	"strings"
	"time"
)

// ErrUnavailable reports that the platform did not reply. A requested change
// may or may not have been applied.
type ErrUnavailable struct {
	Operation string
	Err       error
}

// Error implements error.
func (e *ErrUnavailable) Error() string {
	return fmt.Sprintf("platform did not reply to %s: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Err }

// ErrBadReply reports a malformed reply of the platform.
type ErrBadReply struct {
	Operation string
	Detail    string
}

// Error implements error.
func (e *ErrBadReply) Error() string {
	return fmt.Sprintf("platform's reply to %s is malformed: %s", e.Operation, e.Detail)
}

// ErrReplyTooLarge reports a reply of the platform that is longer than this host reads: the same
// call would have it again. It is the cause of an ErrUnavailable, as the call was executed.
type ErrReplyTooLarge struct {
	Operation string
}

// Error implements error.
func (e *ErrReplyTooLarge) Error() string {
	return fmt.Sprintf("platform's reply to %s is too large", e.Operation)
}

// ErrConflict reports that checks of a transaction did not hold. Rows
// holds the current rows; a row with version 0 is absent.
type ErrConflict struct {
	Rows []Row
}

// Error implements error.
func (e *ErrConflict) Error() string {
	var keys []string
	for _, r := range e.Rows {
		keys = append(keys, fmt.Sprintf("%s is at version %d", r.Key, r.Version))
	}
	return "transaction conflict: " + strings.Join(keys, ", ")
}

// ErrNotFound reports that a named object does not exist.
type ErrNotFound struct {
	Kind string
	Name string
}

// Error implements error.
func (e *ErrNotFound) Error() string {
	return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name)
}

// ErrFenced reports that an operation was rejected because a later epoch holds the shard.
type ErrFenced struct {
	Fence  Fence
	Latest Epoch
}

// Error implements error.
func (e *ErrFenced) Error() string {
	return fmt.Sprintf("epoch %d of shard %s is fenced off by epoch %d", e.Fence.Epoch, e.Fence.Shard, e.Latest)
}

// ErrDocumentConflict reports that a document has changed since the revision that an edit
// was based on.
type ErrDocumentConflict struct {
	Service ServiceID
	// Edited is the revision that the change was based on.
	Edited Revision
	// Current is the revision in the table, written by Author at Time.
	Current    Revision
	Author     string
	Time       time.Time
	Difference string
}

// Error implements error.
func (e *ErrDocumentConflict) Error() string {
	return fmt.Sprintf("service %s was changed by %s at %s: it is at revision %d, the edit was based on %d",
		e.Service, e.Author, e.Time.UTC().Format(time.RFC3339), e.Current, e.Edited)
}

// ErrNotRun reports that a request failed before any upstream ran it.
type ErrNotRun struct {
	Reason Reason
	// RetryAfter is the delay after which the caller may retry; zero if none is given.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *ErrNotRun) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("not run (%s)", e.Reason)
	}
	return fmt.Sprintf("not run (%s): %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *ErrNotRun) Unwrap() error { return e.Err }

// ErrOutcomeUnknown reports that an upstream may have run a request whose response did not arrive.
type ErrOutcomeUnknown struct {
	Reason Reason
	Err    error
}

// Error implements error.
func (e *ErrOutcomeUnknown) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("outcome unknown (%s)", e.Reason)
	}
	return fmt.Sprintf("outcome unknown (%s): %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *ErrOutcomeUnknown) Unwrap() error { return e.Err }

// ErrDeclined reports that the platform rejected a call without applying it.
type ErrDeclined struct {
	Operation string
	// Status is the HTTP status of the refusal.
	Status int
}

// Error implements error.
func (e *ErrDeclined) Error() string {
	return fmt.Sprintf("platform declined %s with status %d; nothing was done", e.Operation, e.Status)
}

// ErrRejected reports that the platform rejected a call as invalid without applying it. It would
// reject the same call again.
type ErrRejected struct {
	Operation string
	// Status is the HTTP status of the rejection.
	Status int
}

// Error implements error.
func (e *ErrRejected) Error() string {
	return fmt.Sprintf("platform rejected %s with status %d as invalid", e.Operation, e.Status)
}

// ErrHistoryGone reports that the store no longer keeps the changes after a
// version: the rows have to be read again.
type ErrHistoryGone struct {
	Table TableID
	After Version
}

// Error implements error.
func (e *ErrHistoryGone) Error() string {
	return fmt.Sprintf("changes of table %s after version %d are no longer kept", e.Table, e.After)
}

// OrderRefusal is a worker's reason for not executing an order.
type OrderRefusal string

// Refusals of orders.
const (
	// RefusalEpoch: the worker has seen a higher epoch.
	RefusalEpoch OrderRefusal = "epoch"
	// RefusalRun: that run, or a later one, was stopped or has ended at the worker.
	RefusalRun OrderRefusal = "run"
	// RefusalLate: the order's lease end has passed.
	RefusalLate OrderRefusal = "late"
	// RefusalCapacity: the task doesn't fit into the worker's free capacity.
	RefusalCapacity OrderRefusal = "room"
	// RefusalTicket: the ticket is missing or no longer valid.
	RefusalTicket OrderRefusal = "ticket"
	// RefusalUnhealthy: the worker temporarily accepts no orders.
	RefusalUnhealthy OrderRefusal = "unhealthy"
	// RefusalMalformed: the worker can't parse the order.
	RefusalMalformed OrderRefusal = "malformed"
	// RefusalMachineBusy: the machine is not up, or is leaving.
	RefusalMachineBusy OrderRefusal = "machine_busy"
	// RefusalWave: the machine is not due for maintenance in that wave.
	RefusalWave OrderRefusal = "wave"
)

// ErrOrderRefused reports that a worker did not execute an order.
type ErrOrderRefused struct {
	Refusal OrderRefusal
	// Clock is the worker's clock; zero if the refusal does not carry it.
	Clock WorkerClock
}

// Error implements error.
func (e *ErrOrderRefused) Error() string { return "order refused: " + string(e.Refusal) }

// ErrIncarnationEnded reports that another incarnation of a worker answers at the
// address: the addressed one has ended, with all its runs.
type ErrIncarnationEnded struct {
	Worker WorkerID
}

// Error implements error.
func (e *ErrIncarnationEnded) Error() string {
	return fmt.Sprintf("incarnation of worker %s has ended: another one answers at its address", e.Worker)
}
