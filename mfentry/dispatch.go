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

// maxAttempts bounds how often one request is sent, whatever the reasons.
const maxAttempts = 4

// confirmPollInterval is how often a request that waits for the placements to be
// compared looks again.
const confirmPollInterval = 5 * time.Millisecond

// maxSpillAttempts bounds the peers that are asked to take over one request.
const maxSpillAttempts = 2

// attempts is what became of a request's tries so far.
type attempts struct {
	// tried are the runners that are not to be tried again.
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

// finalFailure returns the failure that ends the request; nil if nothing was tried. A
// try that may have run the request outweighs every later one: a request that
// may be repeated, was cut off at one runner and refused by the next, is not
// one that did not run.
func (a *attempts) finalFailure() *failure {
	if a.mayHaveRun != nil {
		return a.mayHaveRun
	}
	return a.last
}

// dispatch brings a request to an answer, or to an ErrNotRun or ErrOutcomeUnknown.
func (h *Handler) dispatch(ctx context.Context, q *request) (*upstreamResponse, error) {
	past := &attempts{tried: map[mothferry.TaskID]bool{}}
	for try := 0; try < maxAttempts; {
		h.waitConfirmed(ctx)
		lease, err := h.Router.Acquire(ctx, q.service, mfroute.Request{
			Customer: q.customer, Priority: q.priority, Exclude: past.tried,
			Reattempt: try > 0, Retry: try > 0 && past.last.reason != mothferry.ReasonRefused,
		})
		if err != nil {
			return h.withoutRunner(ctx, q, past, err)
		}
		a, f := h.tryRunner(ctx, q, lease)
		if f == nil {
			return a, nil
		}
		if f.reason == mothferry.ReasonStaleView && mfclock.Sleep(ctx, h.Clock, confirmPollInterval) {
			// Nothing was sent.
			continue
		}
		try++
		past.add(lease.Task, f)
		if ctx.Err() != nil || !q.mayTryAgain(f) {
			break
		}
	}
	return nil, h.endError(past.finalFailure())
}

// mayTryAgain reports whether a request may be sent once more: it provably
// did not run, or may run more than once; and its body is still there.
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
			WithField("not_run", f.notRun).Debug("Attempt failed.")
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

// checkStale returns a failure if the request or the placements that it was given
// a runner from are too old to send anything by. Both happen to a daemon that
// was paused: its caller was told of the deadline or will be, and the runner
// may have left meanwhile. The router takes newer placements in a moment after they
// are in force.
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

// waitConfirmed waits until the placements in force have been compared with
// others' lately enough.
func (h *Handler) waitConfirmed(ctx context.Context) {
	for h.Clock.Now().Sub(h.Confirmed()) > h.Notice && mfclock.Sleep(ctx, h.Clock, confirmPollInterval) {
		continue
	}
}

// serving reports whether a runner may get new requests by the placements in force.
func (h *Handler) serving(service mothferry.ServiceID, task mothferry.TaskID) bool {
	return slices.ContainsFunc(h.Store.Current().Runners[service], func(r mfplacement.Runner) bool {
		return r.Task == task && r.State == mfplacement.StateServing
	})
}

// connectionLimit returns this daemon's part of a runner's connections. All entry
// hosts count, also those that are down: a limit that followed the membership
// would be overrun while one of them returns.
func (h *Handler) connectionLimit(lease *mfroute.Lease) int {
	return max(int(lease.Connections)/max(h.EntryHostCount, 1), 1)
}

// withoutRunner ends a request for which no runner of this data centre was
// had: another data centre may serve it. If nothing replaces an earlier
// failure, that failure is what the caller is told.
func (h *Handler) withoutRunner(ctx context.Context, q *request, past *attempts, err error) (*upstreamResponse, error) {
	var refusal *mothferry.ErrNotRun
	noRunner := errors.As(err, &refusal) && refusal.Reason == mothferry.ReasonNoRunner
	if noRunner && q.hops == 0 && (past.last == nil || q.mayTryAgain(past.last)) {
		a, f := h.spill(ctx, q)
		if f == nil {
			return a, nil
		}
		if !f.notRun && past.mayHaveRun == nil {
			return nil, h.endError(f)
		}
	}
	if told := past.finalFailure(); told != nil {
		return nil, h.endError(told)
	}
	return nil, err
}

// spill passes a request to daemons of other data centres where the service
// has a place, one data centre after the other. Which of them have runners
// free is not told around: with most services idle and most data centres well,
// asking costs less than telling.
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
		if near := live[c]; c != h.DataCentre && len(near) > 0 {
			peers = append(peers, near[h.Random.IntN(len(near))])
		}
	}
	for i := len(peers) - 1; i > 0; i-- {
		j := h.Random.IntN(i + 1)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers
}

// endError turns the last failure of a request into the error that ends it.
func (h *Handler) endError(f *failure) error {
	if f.notRun {
		return &mothferry.ErrNotRun{Reason: f.reason, RetryAfter: h.retryDelay(), Err: f.err}
	}
	return &mothferry.ErrOutcomeUnknown{Reason: f.reason, Err: f.err}
}

// retryDelay returns when to come back after a failure that is expected to be
// short, spread so that callers do not return together.
func (h *Handler) retryDelay() time.Duration {
	return time.Duration((0.5 + h.Random.Float64()) * float64(time.Second))
}

// Mesh is what the entry needs of the peers.
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

// retrySeconds returns a duration as Retry-After writes it: whole seconds, rounded up.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
