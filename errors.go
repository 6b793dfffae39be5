package mothferry

import (
	"fmt"
	"strings"
	"time"
)

// ErrUnavailable reports that the platform did not reply. A change asked for
// may or may not have been made.
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

// ErrBadReply reports a reply of the platform that could not be understood.
type ErrBadReply struct {
	Operation string
	Detail    string
}

// Error implements error.
func (e *ErrBadReply) Error() string {
	return fmt.Sprintf("platform's reply to %s is malformed: %s", e.Operation, e.Detail)
}

// ErrConflict reports that checks of a transaction did not hold. It carries
// the rows as they are; a row with version 0 is absent.
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

// ErrNotFound reports that a named thing does not exist.
type ErrNotFound struct {
	Kind string
	Name string
}

// Error implements error.
func (e *ErrNotFound) Error() string {
	return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name)
}

// ErrFenced reports that an act was refused because a later epoch holds the shard.
type ErrFenced struct {
	Fence  Fence
	Latest Epoch
}

// Error implements error.
func (e *ErrFenced) Error() string {
	return fmt.Sprintf("epoch %d of shard %s is fenced off by epoch %d", e.Fence.Epoch, e.Fence.Shard, e.Latest)
}

// ErrDocumentConflict reports that somebody else changed a document first.
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

// ErrNotRun reports that a request was given up before any upstream ran it.
type ErrNotRun struct {
	Reason Reason
	// RetryAfter is when the caller may come back; zero if it need not.
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

// ErrOutcomeUnknown reports that an upstream may have run a request whose answer did not arrive.
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
