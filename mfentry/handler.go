// Package mfentry serves callers: it brings each request to exactly one end,
// which is the whole answer of its own upstream, "not run", or "unknown".
package mfentry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfledger"
	"mothferry/mfroute"
	"mothferry/mfsnapshot"
)

// headerRetryAfterMillis gives the time to come back more finely than Retry-After can.
const headerRetryAfterMillis = "Mothferry-Retry-After-Ms"

// Router finds runners for requests.
type Router interface {
	Acquire(ctx context.Context, id mothferry.ServiceID, q mfroute.Request) (*mfroute.Lease, error)
	Release(id mothferry.ServiceID, l *mfroute.Lease, result mfroute.Result)
}

// Ledger guards keyed requests.
type Ledger interface {
	Claim(ctx context.Context, key mfledger.Key, digest mfledger.Digest, until time.Time) (*mfledger.Claim, *mfledger.Answer, error)
	RecordAnswer(ctx context.Context, c *mfledger.Claim, a mfledger.Answer)
	RecordAnswerTooLarge(ctx context.Context, c *mfledger.Claim)
	RecordUnknown(ctx context.Context, c *mfledger.Claim)
	ReleaseClaim(ctx context.Context, c *mfledger.Claim)
}

// Observer is told how each request ended.
type Observer interface {
	Ended(service mothferry.ServiceID, end mothferry.End, reason mothferry.Reason, took time.Duration)
}

// Handler is the callers' HTTP handler.
type Handler struct {
	DataCentre mothferry.DataCentre
	Store      *mfsnapshot.Store
	Router     Router
	Ledger     Ledger
	Mesh       Mesh
	Transports *Transports
	Clock      mothferry.Clock
	Random     mothferry.Random
	Observer   Observer
	Log        *log.Entry
	// NewToken makes request ids.
	NewToken func() mothferry.Token
	// BufferBytes bounds what is held of a body or answer, BodyBytes a whole body.
	BufferBytes  mothferry.Bytes
	MaxBodyBytes mothferry.Bytes
	// EntryHostCount is the number of daemons of this data centre.
	EntryHostCount int
	// PeerTimeout is how long ago a peer may have been heard to count as live.
	PeerTimeout time.Duration
	// Confirmed returns when the placements in force were last compared with
	// others'; requests wait while that is longer ago than Notice.
	Confirmed func() time.Time
	Notice    time.Duration

	stopping atomic.Bool
	inFlight atomic.Int64
}

// BeginShutdown makes every answer from now on close its connection, so that
// callers who keep connections alive move to other entry hosts by themselves.
func (h *Handler) BeginShutdown() { h.stopping.Store(true) }

// InFlight returns how many requests are in work.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	began := h.Clock.Now()
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, err := h.parse(r)
	if err != nil {
		drainBody(r)
		h.endWithoutAnswer(w, r, q, began, err)
		return
	}
	if !q.buffered() {
		// An upstream may answer before it has read the whole body. Without
		// this, net/http's server would take the rest of the body away from
		// the attempt as soon as the answer's first byte is written.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.key != "" && q.hops == 0 {
		h.serveKeyed(ctx, w, r, q, began)
		return
	}
	a, err := h.dispatch(ctx, q)
	if err != nil {
		h.endWithoutAnswer(w, r, q, began, err)
		return
	}
	h.send(ctx, w, q, a, began)
}

// maxDrainBytes bounds what is read of a body that nobody will use.
const maxDrainBytes = 256 << 10

// drainBody reads the rest of a refused request's body. Closing the connection
// while the caller still sends resets it, and the caller may then lose the
// answer that tells why. A caller that waits for 100 Continue sends nothing.
func drainBody(r *http.Request) {
	if r.Header.Get("Expect") == "" {
		_, _ = io.CopyN(io.Discard, r.Body, maxDrainBytes)
	}
}

// serveKeyed runs a request under the ledger's claim of its key. A caller who
// leaves does not end the run: the answer is recorded for its repeat.
func (h *Handler) serveKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, began time.Time) {
	key := mfledger.Key{Customer: q.customer, Service: q.service, Key: q.key}
	digest := mfledger.DigestOf(q.method, q.target.RequestURI(), q.body)
	claim, recorded, err := h.Ledger.Claim(ctx, key, digest, q.deadline)
	switch {
	case recorded != nil:
		h.replay(w, q, recorded, began)
		return
	case err != nil && (!q.repeatable || isMismatch(err)):
		h.endWithoutAnswer(w, r, q, began, h.claimError(err))
		return
	}
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	a, err := h.dispatch(detached, q)
	if claim == nil {
		h.endUnclaimed(detached, w, r, q, began, a, err)
		return
	}
	var notRun *mothferry.ErrNotRun
	switch {
	case err == nil:
		h.recordAnswer(detached, claim, a)
		h.send(detached, w, q, a, began)
		return
	case errors.As(err, &notRun):
		h.Ledger.ReleaseClaim(detached, claim)
	default:
		h.Ledger.RecordUnknown(detached, claim)
	}
	h.endWithoutAnswer(w, r, q, began, err)
}

// endUnclaimed ends a repeatable request that went on without the ledger.
func (h *Handler) endUnclaimed(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, began time.Time, a *upstreamResponse, err error) {
	if err != nil {
		h.endWithoutAnswer(w, r, q, began, err)
		return
	}
	h.send(ctx, w, q, a, began)
}

func (h *Handler) recordAnswer(ctx context.Context, claim *mfledger.Claim, a *upstreamResponse) {
	switch {
	case a.peer && a.header.Get(mothferry.HeaderEnd) == string(mothferry.EndUnknown):
		h.Ledger.RecordUnknown(ctx, claim)
	case !a.complete():
		h.Ledger.RecordAnswerTooLarge(ctx, claim)
	default:
		h.Ledger.RecordAnswer(ctx, claim, mfledger.Answer{Status: a.status, Header: forwarded(a.header), Body: a.buffered})
	}
}

// claimError turns a failed claim into the end of its request.
func (h *Handler) claimError(err error) error {
	var taken *mfledger.ErrKeyClaimed
	if !errors.As(err, &taken) {
		return &mothferry.ErrNotRun{Reason: mothferry.ReasonLedgerDown, RetryAfter: h.retryDelay(), Err: err}
	}
	if isMismatch(err) {
		return &mothferry.ErrNotRun{Reason: taken.Reason, Err: err}
	}
	return &retryable{ErrOutcomeUnknown: &mothferry.ErrOutcomeUnknown{Reason: taken.Reason, Err: err}, after: taken.RetryAfter}
}

// isMismatch reports a key that was used for a request with other content.
func isMismatch(err error) bool {
	var taken *mfledger.ErrKeyClaimed
	return errors.As(err, &taken) && taken.Reason == mothferry.ReasonKeyMismatch
}

// retryable is an unknown outcome that will be known later.
type retryable struct {
	*mothferry.ErrOutcomeUnknown
	after time.Duration
}

// Unwrap returns the outcome itself.
func (e *retryable) Unwrap() error { return e.ErrOutcomeUnknown }

// replay answers a repeat with the recorded answer.
func (h *Handler) replay(w http.ResponseWriter, q *request, recorded *mfledger.Answer, began time.Time) {
	header := w.Header()
	for name, values := range recorded.Header {
		header[name] = values
	}
	header.Set(mothferry.HeaderEnd, string(mothferry.EndAnswered))
	header.Set(mothferry.HeaderReplayed, "true")
	header.Set(mothferry.HeaderRequestID, string(q.id))
	header.Set("Content-Length", strconv.Itoa(len(recorded.Body)))
	w.WriteHeader(recorded.Status)
	_, _ = w.Write(recorded.Body)
	h.Observer.Ended(q.service, mothferry.EndAnswered, "", h.Clock.Now().Sub(began))
}

// problem is the body of an end other than answered.
type problem struct {
	End       mothferry.End       `json:"end"`
	Reason    mothferry.Reason    `json:"reason"`
	Detail    string              `json:"detail,omitempty"`
	RequestID mothferry.RequestID `json:"request_id,omitempty"`
	// RetryAfterMillis is when the caller may come back.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// endWithoutAnswer ends a request without an answer, at once.
func (h *Handler) endWithoutAnswer(w http.ResponseWriter, r *http.Request, q *request, began time.Time, err error) {
	p, after := describe(err)
	service := mothferry.ServiceID("")
	if q != nil {
		service = q.service
		p.RequestID = q.id
		w.Header().Set(mothferry.HeaderRequestID, string(q.id))
	}
	h.Observer.Ended(service, p.End, p.Reason, h.Clock.Now().Sub(began))
	if r.Context().Err() != nil && p.Reason == mothferry.ReasonCallerGone {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(mothferry.HeaderEnd, string(p.End))
	header.Set(mothferry.HeaderReason, string(p.Reason))
	if after > 0 {
		p.RetryAfterMillis = after.Milliseconds()
		header.Set("Retry-After", retrySeconds(after))
		header.Set(headerRetryAfterMillis, strconv.FormatInt(p.RetryAfterMillis, 10))
	}
	w.WriteHeader(statusOf(p.End, p.Reason))
	_ = json.NewEncoder(w).Encode(p)
}

func describe(err error) (problem, time.Duration) {
	var notRun *mothferry.ErrNotRun
	var unknown *mothferry.ErrOutcomeUnknown
	var later *retryable
	switch {
	case errors.As(err, &notRun):
		p := problem{End: mothferry.EndNotRun, Reason: notRun.Reason}
		if notRun.Err != nil {
			p.Detail = notRun.Err.Error()
		}
		return p, notRun.RetryAfter
	case errors.As(err, &later):
		return problem{End: mothferry.EndUnknown, Reason: later.Reason}, later.after
	case errors.As(err, &unknown):
		p := problem{End: mothferry.EndUnknown, Reason: unknown.Reason}
		if unknown.Err != nil {
			p.Detail = unknown.Err.Error()
		}
		return p, 0
	default:
		// An error without a type says nothing of the run.
		return problem{End: mothferry.EndUnknown, Reason: mothferry.ReasonOutcomeUnknown, Detail: err.Error()}, 0
	}
}
