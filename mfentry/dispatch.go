package mfentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfpeer"
	"mothferry/mfplacement"
	"mothferry/mfroute"
)

// maxAttempts bounds the attempts of one request, whatever the reasons.
const maxAttempts = 4

// confirmPollInterval is how often a request that waits for confirmed placements checks again.
const confirmPollInterval = 5 * time.Millisecond

// maxSpillAttempts bounds the peers that one request is forwarded to.
const maxSpillAttempts = 2

// attempts records the failed attempts of a request.
type attempts struct {
	// tried holds the runners that must not be tried again.
	tried map[mothferry.TaskID]bool
	last  *failure
	// mayHaveRun is the first failure after which the request may have run.
	mayHaveRun *failure
}

func (a *attempts) add(task mothferry.TaskID, f *failure) {
	a.last = f
	if a.mayHaveRun == nil && !f.notRun {
		a.mayHaveRun = f
	}
	if f.result != mfroute.ResultBusy {
		a.tried[task] = true
	}
}

// finalFailure returns the failure that ends the request; nil if there was no attempt. A
// failure after which the request may have run takes precedence over all later ones: a
// repeatable request that was cut off at one runner and refused by the next may not be
// reported as not run.
func (a *attempts) finalFailure() *failure {
	if a.mayHaveRun != nil {
		return a.mayHaveRun
	}
	return a.last
}

// dispatch obtains an answer for a request, or returns an ErrNotRun or ErrOutcomeUnknown.
func (h *Handler) dispatch(ctx context.Context, q *request) (*upstreamResponse, error) {
	previous := &attempts{tried: map[mothferry.TaskID]bool{}}
	for attempt := 0; attempt < maxAttempts; {
		h.waitConfirmed(ctx)
		lease, err := h.Router.Acquire(ctx, q.service, mfroute.Request{
			Customer: q.customer, Priority: q.priority, Exclude: previous.tried,
			Reattempt: attempt > 0, Retry: attempt > 0 && previous.last.reason != mothferry.ReasonRefused,
		})
		if err != nil {
			return h.withoutRunner(ctx, q, previous, err)
		}
		a, f := h.tryRunner(ctx, q, lease)
		if f == nil {
			return a, nil
		}
		if f.reason == mothferry.ReasonStaleView && mfclock.Sleep(ctx, h.Clock, confirmPollInterval) {
			// Nothing was sent.
			continue
		}
		attempt++
		previous.add(lease.Task, f)
		if ctx.Err() != nil || !q.mayTryAgain(f) {
			break
		}
	}
	return nil, h.endError(previous.finalFailure())
}

// mayTryAgain reports whether a request may be sent again: it provably did not run or is
// repeatable, and its body is still available.
func (q *request) mayTryAgain(f *failure) bool {
	if !q.buffered() && q.stream.used {
		return false
	}
	return f.notRun || q.repeatable
}

// tryRunner sends a request to one runner.
func (h *Handler) tryRunner(ctx context.Context, q *request, lease *mfroute.Lease) (*upstreamResponse, *failure) {
	if f := h.checkStale(q, lease.Task); f != nil {
		h.Router.Release(q.service, lease, f.result)
		return nil, f
	}
	u := upstream{transport: h.Transports.get(h.connectionLimit(lease)), address: lease.Address, runner: lease.Task}
	response, f := h.attempt(ctx, q, u)
	var a *upstreamResponse
	if f == nil {
		a, f = h.receive(ctx, q, response)
	}
	if f != nil {
		h.Router.Release(q.service, lease, f.result)
		h.Log.WithField("request", q.id).WithField("runner", lease.Task).WithField("reason", f.reason).
			WithField("not_run", f.notRun).Debug("attempt failed")
		return nil, f
	}
	leaving := a.header.Get(mothferry.HeaderLeaving) != ""
	a.release = func(result mfroute.Result) {
		if leaving && result == mfroute.ResultAnswered {
			result = mfroute.ResultLeaving
		}
		h.Router.Release(q.service, lease, result)
	}
	a.header.Set(mothferry.HeaderRunner, string(lease.Task))
	return a, nil
}

// checkStale returns a failure if the request, or the placements from which its runner was
// chosen, are too old for anything to be sent. This happens to a daemon that was paused: its
// caller was or will be told that the deadline passed, and the runner may have left in the
// meantime. The router applies newer placements shortly after they take effect.
func (h *Handler) checkStale(q *request, runner mothferry.TaskID) *failure {
	now := h.Clock.Now()
	switch {
	case !now.Before(q.deadline):
		return &failure{notRun: true, reason: mothferry.ReasonDeadline, result: mfroute.ResultNeutral}
	case now.Sub(h.Confirmed()) > h.Notice, !h.serving(q.service, runner):
		return &failure{notRun: true, reason: mothferry.ReasonStaleView, result: mfroute.ResultNeutral}
	}
	return nil
}

// waitConfirmed waits until the placements in force have been compared with other daemons'
// within Notice.
func (h *Handler) waitConfirmed(ctx context.Context) {
	for h.Clock.Now().Sub(h.Confirmed()) > h.Notice && mfclock.Sleep(ctx, h.Clock, confirmPollInterval) {
		continue
	}
}

// serving reports whether a runner may get new requests according to the placements in force.
func (h *Handler) serving(service mothferry.ServiceID, task mothferry.TaskID) bool {
	return slices.ContainsFunc(h.Store.Current().Runners[service], func(r mfplacement.Runner) bool {
		return r.Task == task && r.State == mfplacement.StateServing
	})
}

// connectionLimit returns this daemon's part of a runner's connection limit. All entry hosts
// count, including those that are down: a limit that followed the membership would be exceeded
// while one of them returns.
func (h *Handler) connectionLimit(lease *mfroute.Lease) int {
	return max(int(lease.Connections)/max(h.EntryHostCount, 1), 1)
}

// withoutRunner ends a request that got no runner in this data centre; another data centre may
// serve it. If there was an earlier failure and nothing replaces it, it is what the caller
// receives.
func (h *Handler) withoutRunner(ctx context.Context, q *request, previous *attempts, err error) (*upstreamResponse, error) {
	var refusal *mothferry.ErrNotRun
	noRunner := errors.As(err, &refusal) && refusal.Reason == mothferry.ReasonNoRunner
	if noRunner && q.hops == 0 && (previous.last == nil || q.mayTryAgain(previous.last)) {
		a, f := h.spill(ctx, q)
		if f == nil {
			return a, nil
		}
		if !f.notRun && previous.mayHaveRun == nil {
			return nil, h.endError(f)
		}
	}
	if final := previous.finalFailure(); final != nil {
		return nil, h.endError(final)
	}
	return nil, err
}

// spill forwards a request to daemons of other data centres that the service is placed in, one
// data centre after the other. Daemons don't publish which data centres have free runners:
// with most services idle and most data centres healthy, asking costs less than publishing.
func (h *Handler) spill(ctx context.Context, q *request) (*upstreamResponse, *failure) {
	last := &failure{notRun: true, reason: mothferry.ReasonNoRunner}
	for i, p := range h.spillPeers(q.document.Place.DataCentres) {
		if i >= maxSpillAttempts || ctx.Err() != nil || !q.buffered() && q.stream.used {
			break
		}
		a, f := h.spillTo(ctx, q, p)
		if f == nil {
			return a, nil
		}
		last = f
		if !f.notRun {
			break
		}
	}
	return nil, last
}

func (h *Handler) spillTo(ctx context.Context, q *request, p mothferry.DaemonID) (*upstreamResponse, *failure) {
	transport := newTransport(func(ctx context.Context, _, _ string) (net.Conn, error) {
		return h.Mesh.DialSpill(ctx, p, q.hops+1)
	})
	transport.DisableKeepAlives = true
	response, f := h.attempt(ctx, q, upstream{transport: transport, address: "peer", peer: true})
	if f != nil {
		return nil, f
	}
	a, f := h.receive(ctx, q, response)
	if f != nil {
		return nil, f
	}
	a.peer = true
	a.release = func(mfroute.Result) {}
	return a, nil
}

// spillPeers returns one live daemon of each other data centre, in random order.
func (h *Handler) spillPeers(centres []mothferry.DataCentre) []mothferry.DaemonID {
	live := map[mothferry.DataCentre][]mothferry.DaemonID{}
	for _, s := range h.Mesh.Live(h.PeerTimeout) {
		live[s.Peer.DataCentre] = append(live[s.Peer.DataCentre], s.Peer.Daemon)
	}
	var peers []mothferry.DaemonID
	for _, c := range centres {
		if daemons := live[c]; c != h.DataCentre && len(daemons) > 0 {
			peers = append(peers, daemons[h.Random.IntN(len(daemons))])
		}
	}
	for i := len(peers) - 1; i > 0; i-- {
		j := h.Random.IntN(i + 1)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers
}

// endError returns the error that ends a request after its final failure.
func (h *Handler) endError(f *failure) error {
	if f.notRun {
		return &mothferry.ErrNotRun{Reason: f.reason, RetryAfter: h.retryDelay(), Err: f.err}
	}
	return &mothferry.ErrOutcomeUnknown{Reason: f.reason, Err: f.err}
}

// retryDelay returns the delay to retry after a failure that is expected to be short, with
// jitter so that callers do not retry together.
func (h *Handler) retryDelay() time.Duration {
	return time.Duration((0.5 + h.Random.Float64()) * float64(time.Second))
}

// Mesh is the part of the peer mesh that the entry uses.
type Mesh interface {
	Live(bound time.Duration) []mfpeer.State
	DialSpill(ctx context.Context, peer mothferry.DaemonID, hops int) (net.Conn, error)
}

// statusOf returns the HTTP status of an end other than answered.
func statusOf(end mothferry.End, reason mothferry.Reason) int {
	switch reason {
	case mothferry.ReasonUnknownService:
		return http.StatusNotFound
	case mothferry.ReasonBadRequest, mothferry.ReasonBodyUnreadable:
		return http.StatusBadRequest
	case mothferry.ReasonUpgrade:
		return http.StatusNotImplemented
	case mothferry.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case mothferry.ReasonKeyMismatch:
		return http.StatusUnprocessableEntity
	case mothferry.ReasonCustomerLimit:
		return http.StatusTooManyRequests
	case mothferry.ReasonStillRunning, mothferry.ReasonOutcomeUnknown, mothferry.ReasonAnswerTooLarge:
		return http.StatusConflict
	}
	switch {
	case end == mothferry.EndNotRun:
		return http.StatusServiceUnavailable
	case reason == mothferry.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// retrySeconds formats a duration for Retry-After: whole seconds, rounded up.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
