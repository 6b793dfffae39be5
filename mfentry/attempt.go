package mfentry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"mothferry"
	"mothferry/mfroute"
)

// upstream is where one attempt goes: a runner, or a peer's data centre.
type upstream struct {
	transport http.RoundTripper
	address   string
	// runner is the runner that the request is meant for; empty for a peer.
	runner mothferry.TaskID
	// peer tells that the upstream is a daemon, whose word "not run" counts.
	peer bool
}

// failure is an attempt that brought no answer.
type failure struct {
	// notRun is set if the request provably did not run.
	notRun bool
	reason mothferry.Reason
	result mfroute.Result
	err    error
}

// attempt sends a request to one upstream and returns its answer's header, or
// how it failed.
func (h *Handler) attempt(ctx context.Context, q *request, u upstream) (*http.Response, *failure) {
	var seen connectionTracker
	outgoing := q.outgoing(seen.trace(ctx), u)
	response, err := u.transport.RoundTrip(outgoing)
	if err != nil {
		return nil, classifyError(ctx, &seen, err)
	}
	if refusal := refusalOf(response, u); refusal != nil {
		_ = response.Body.Close()
		return nil, refusal
	}
	return response, nil
}

// provesNotRun is the one predicate that allows a request which may not be
// repeated to be sent a second time, and allows the end "not run". Either
// nothing of the request was sent, or the upstream itself said that it did
// not run it. (The first half follows "fix(proxy): fail over dead account
// proxy routes before upstream dispatch": only proven failures before
// dispatch allow a replay.)
func provesNotRun(nothingSent bool, refusal *failure) bool {
	return nothingSent || refusal != nil
}

// classifyError turns a transport's error into a failure.
func classifyError(ctx context.Context, seen *connectionTracker, err error) *failure {
	picked, fresh := seen.connections()
	f := &failure{notRun: provesNotRun(seen.nothingSent(), nil), err: err, reason: mothferry.ReasonConnectionLost, result: mfroute.ResultLost}
	switch {
	case ctx.Err() != nil:
		f.result = mfroute.ResultNeutral
		f.reason = mothferry.ReasonCallerGone
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.reason = mothferry.ReasonDeadline
		}
	case isBodyError(err):
		f.result, f.reason = mfroute.ResultNeutral, mothferry.ReasonBodyUnreadable
	case isOwnNetwork(err):
		f.result = mfroute.ResultNeutral
		if !picked {
			f.reason = mothferry.ReasonConnect
		}
	case !picked:
		f.result, f.reason = mfroute.ResultConnectFailed, mothferry.ReasonConnect
	case f.notRun && !fresh:
		// A kept-alive connection that the runner had closed: says nothing
		// of the runner's health, as runners close idle connections.
		f.result = mfroute.ResultNeutral
	}
	return f
}

// connections reports whether a connection was picked, and whether the last
// one was opened for this request.
func (e *connectionTracker) connections() (picked, fresh bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.uses) > 0, e.fresh
}

// isOwnNetwork reports errors of this host's own network or descriptors. They
// say nothing of the runner: counted against it, one bad network card would
// make a daemon eject every runner of its data centre.
func isOwnNetwork(err error) bool {
	for _, own := range []error{
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EADDRNOTAVAIL,
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
	} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// errBody marks a failure to read the caller's body.
type errBody struct{ cause error }

// Error implements error.
func (e *errBody) Error() string { return "caller's body: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *errBody) Unwrap() error { return e.cause }

func isBodyError(err error) bool {
	var body *errBody
	return errors.As(err, &body)
}

// refusalOf returns a failure if the upstream says that it did not run the
// request. A 503 without that word is the application's own answer.
func refusalOf(r *http.Response, u upstream) *failure {
	f := &failure{notRun: true, reason: mothferry.ReasonRefused, result: mfroute.ResultBusy}
	refusal := mothferry.Refusal("")
	if r.StatusCode == http.StatusServiceUnavailable {
		refusal = mothferry.Refusal(r.Header.Get(mothferry.HeaderRefused))
	}
	switch {
	case refusal == mothferry.RefusalLeaving:
		f.result = mfroute.ResultLeaving
	case refusal == mothferry.RefusalOtherRunner:
		// The runner that was meant is gone, as if no connection could be made.
		f.result = mfroute.ResultConnectFailed
	case refusal != "":
	case u.peer && mothferry.End(r.Header.Get(mothferry.HeaderEnd)) == mothferry.EndNotRun:
		f.reason = mothferry.Reason(r.Header.Get(mothferry.HeaderReason))
	default:
		return nil
	}
	f.notRun = provesNotRun(false, f)
	f.err = errors.New("refused: " + string(f.reason))
	return f
}

// outgoing builds the request as it is sent upstream. It closes each way in
// which net/http's Transport would send it twice by itself on a reused
// connection: GetBody stays nil, and the fields that Transport takes for a
// licence to repeat are given under keys it does not look up (header names
// are case-insensitive on the wire). A request without a body whose method
// counts as safe, yet may not be repeated here, gets an opaque empty body.
func (q *request) outgoing(ctx context.Context, u upstream) *http.Request {
	header := q.header.Clone()
	hideHeader(header, mothferry.HeaderKey)
	hideHeader(header, "X-Idempotency-Key")
	header.Set(mothferry.HeaderRequestID, string(q.id))
	if deadline, ok := ctx.Deadline(); ok && u.peer {
		header.Set(mothferry.HeaderTimeout, time.Until(deadline).String())
	}
	if u.runner != "" {
		// A runner's address may be another runner's by now, of any service, whose
		// answer would be taken for the caller's own: it has to refuse.
		header.Set(mothferry.HeaderRunner, string(u.runner))
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""}
	}
	out := &http.Request{
		Method: q.method,
		URL:    &url.URL{Scheme: "http", Host: u.address, Path: q.target.Path, RawPath: q.target.RawPath, RawQuery: q.target.RawQuery, ForceQuery: q.target.ForceQuery},
		Header: header,
		Host:   q.host,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if u.peer {
		out.URL.Path = "/" + string(q.service) + q.target.Path
		out.URL.RawPath = "/" + string(q.service) + q.target.EscapedPath()
	}
	switch {
	case q.stream != nil:
		out.Body, out.ContentLength = newCallerBody(q.stream), q.length
	case len(q.body) > 0:
		out.Body, out.ContentLength = newCallerBody(&onceBody{reader: bytes.NewReader(q.body)}), int64(len(q.body))
	case !q.repeatable && safeMethod(q.method):
		out.Body = &onceBody{reader: bytes.NewReader(nil)}
	}
	return out.WithContext(ctx)
}

// callerBody marks read errors as the caller's.
type callerBody struct{ *onceBody }

// Read implements io.Reader.
func (b callerBody) Read(p []byte) (int, error) {
	n, err := b.onceBody.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &errBody{cause: err}
	}
	return n, err
}

func newCallerBody(b *onceBody) callerBody { return callerBody{b} }

// safeMethod reports the methods whose bodiless requests Transport repeats by itself.
func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// hideHeader moves a field to a spelling that Transport does not recognise.
func hideHeader(header http.Header, name string) {
	values, ok := header[name]
	if !ok {
		return
	}
	delete(header, name)
	header[strings.ToLower(name)] = values
}
