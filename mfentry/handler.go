// Package mfentry serves callers. Each request ends in exactly one way: with the complete
// answer of its own upstream, as "not run", or as "unknown".
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

// headerRetryAfterMillis carries the retry delay with a finer resolution than Retry-After.
const headerRetryAfterMillis = "Mothferry-Retry-After-Ms"

// Router assigns runners to requests.
type Router interface {
	Acquire(ctx context.Context, id mothferry.ServiceID, q mfroute.Request) (*mfroute.Lease, error)
	Release(id mothferry.ServiceID, l *mfroute.Lease, result mfroute.Result)
}

// Ledger tracks keyed requests.
type Ledger interface {
	Claim(ctx context.Context, key mfledger.Key, digest mfledger.Digest, until time.Time) (*mfledger.Claim, *mfledger.Answer, error)
	RecordAnswer(ctx context.Context, c *mfledger.Claim, a mfledger.Answer)
	RecordAnswerTooLarge(ctx context.Context, c *mfledger.Claim)
	RecordUnknown(ctx context.Context, c *mfledger.Claim)
	ReleaseClaim(ctx context.Context, c *mfledger.Claim)
}

// Observer is notified of the end of each request.
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
	// NewToken returns request ids.
	NewToken func() mothferry.Token
	// BufferBytes bounds the buffered part of a body or answer, MaxBodyBytes a whole body.
	BufferBytes  mothferry.Bytes
	MaxBodyBytes mothferry.Bytes
	// EntryHostCount is the number of daemons of this data centre.
	EntryHostCount int
	// PeerTimeout is how long after its last heartbeat a peer counts as live.
	PeerTimeout time.Duration
	// Confirmed returns when the placements in force were last compared with other daemons';
	// requests wait while that is longer ago than Notice.
	Confirmed func() time.Time
	Notice    time.Duration

	stopping atomic.Bool
	inFlight atomic.Int64
}

// BeginShutdown makes every further answer close its connection, so that callers with
// kept-alive connections move to other entry hosts.
func (h *Handler) BeginShutdown() { h.stopping.Store(true) }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	start := h.Clock.Now()
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, err := h.parse(r)
	if err != nil {
		drainBody(r)
		h.endWithoutAnswer(w, r, q, start, err)
		return
	}
	if !q.buffered() {
		// An upstream may answer before it has read the whole body. Without this, net/http's
		// server would discard the rest of the body as soon as the answer's first byte is
		// written, while the attempt still reads it.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.key != "" && q.hops == 0 {
		h.serveKeyed(ctx, w, r, q, start)
		return
	}
	a, err := h.dispatch(ctx, q)
	if err != nil {
		h.endWithoutAnswer(w, r, q, start, err)
		return
	}
	h.send(ctx, w, q, a, start)
}

// maxDrainBytes bounds how much of an unused body is read.
const maxDrainBytes = 256 << 10

// drainBody reads the rest of a refused request's body. Closing the connection while the
// caller still sends resets it, and the caller may then lose the answer with the reason. A
// caller that waits for 100 Continue sends nothing.
func drainBody(r *http.Request) {
	if r.Header.Get("Expect") == "" {
		_, _ = io.CopyN(io.Discard, r.Body, maxDrainBytes)
	}
}

// serveKeyed runs a request under the ledger's claim of its key. The request continues if the
// caller disconnects: its answer is recorded for a repeat.
func (h *Handler) serveKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, start time.Time) {
	key := mfledger.Key{Customer: q.customer, Service: q.service, Key: q.key}
	digest := mfledger.DigestOf(q.method, q.target.RequestURI(), q.body)
	claim, recorded, err := h.Ledger.Claim(ctx, key, digest, q.deadline)
	switch {
	case recorded != nil:
		h.replay(w, q, recorded, start)
		return
	case err != nil && (!q.repeatable || isMismatch(err)):
		h.endWithoutAnswer(w, r, q, start, h.claimError(err))
		return
	}
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	a, err := h.dispatch(detached, q)
	if claim == nil {
		h.endUnclaimed(detached, w, r, q, start, a, err)
		return
	}
	var notRun *mothferry.ErrNotRun
	switch {
	case err == nil:
		h.recordAnswer(detached, claim, a)
		h.send(detached, w, q, a, start)
		return
	case errors.As(err, &notRun):
		h.Ledger.ReleaseClaim(detached, claim)
	default:
		h.Ledger.RecordUnknown(detached, claim)
	}
	h.endWithoutAnswer(w, r, q, start, err)
}

// endUnclaimed ends a repeatable request that was sent without a claim because the ledger
// failed.
func (h *Handler) endUnclaimed(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, start time.Time, a *upstreamResponse, err error) {
	if err != nil {
		h.endWithoutAnswer(w, r, q, start, err)
		return
	}
	h.send(ctx, w, q, a, start)
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

// claimError returns the error that ends a request whose claim failed.
func (h *Handler) claimError(err error) error {
	var claimed *mfledger.ErrKeyClaimed
	if !errors.As(err, &claimed) {
		return &mothferry.ErrNotRun{Reason: mothferry.ReasonLedgerDown, RetryAfter: h.retryDelay(), Err: err}
	}
	if isMismatch(err) {
		return &mothferry.ErrNotRun{Reason: claimed.Reason, Err: err}
	}
	return &retryable{ErrOutcomeUnknown: &mothferry.ErrOutcomeUnknown{Reason: claimed.Reason, Err: err}, after: claimed.RetryAfter}
}

// isMismatch reports whether the key was used for a request with other content.
func isMismatch(err error) bool {
	var claimed *mfledger.ErrKeyClaimed
	return errors.As(err, &claimed) && claimed.Reason == mothferry.ReasonKeyMismatch
}

// retryable is an unknown outcome that will be known after a delay.
type retryable struct {
	*mothferry.ErrOutcomeUnknown
	after time.Duration
}

// Unwrap returns the underlying ErrOutcomeUnknown.
func (e *retryable) Unwrap() error { return e.ErrOutcomeUnknown }

// replay answers a repeated request with the recorded answer.
func (h *Handler) replay(w http.ResponseWriter, q *request, recorded *mfledger.Answer, start time.Time) {
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
	h.Observer.Ended(q.service, mothferry.EndAnswered, "", h.Clock.Now().Sub(start))
}

// problem is the body of an end other than answered.
type problem struct {
	End       mothferry.End       `json:"end"`
	Reason    mothferry.Reason    `json:"reason"`
	Detail    string              `json:"detail,omitempty"`
	RequestID mothferry.RequestID `json:"request_id,omitempty"`
	// RetryAfterMillis is the delay after which the caller may retry.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// endWithoutAnswer ends a request that got no answer.
func (h *Handler) endWithoutAnswer(w http.ResponseWriter, r *http.Request, q *request, start time.Time, err error) {
	p, after := describe(err)
	service := mothferry.ServiceID("")
	if q != nil {
		service = q.service
		p.RequestID = q.id
		w.Header().Set(mothferry.HeaderRequestID, string(q.id))
	}
	h.Observer.Ended(service, p.End, p.Reason, h.Clock.Now().Sub(start))
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
		// An error of another type is no evidence of whether the request ran.
		return problem{End: mothferry.EndUnknown, Reason: mothferry.ReasonOutcomeUnknown, Detail: err.Error()}, 0
	}
}
