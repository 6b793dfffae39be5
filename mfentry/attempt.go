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

// upstream is the target of one attempt: a runner, or a peer in another data centre.
type upstream struct {
	transport http.RoundTripper
	address   string
	// runner is the runner that the request is meant for; empty for a peer.
	runner mothferry.TaskID
	// peer is set if the upstream is a daemon, whose "not run" is trusted.
	peer bool
}

// failure is an attempt without an answer.
type failure struct {
	// notRun is set if the request provably did not run.
	notRun bool
	reason mothferry.Reason
	result mfroute.Result
	err    error
}

// attempt sends a request to one upstream and returns the response once its header has
// arrived, or the failure.
func (h *Handler) attempt(ctx context.Context, q *request, u upstream) (*http.Response, *failure) {
	var tracker connectionTracker
	outgoing := q.outgoing(tracker.trace(ctx), u)
	response, err := u.transport.RoundTrip(outgoing)
	if err != nil {
		return nil, classifyError(ctx, &tracker, err)
	}
	if refusal := refusalOf(response, u); refusal != nil {
		_ = response.Body.Close()
		return nil, refusal
	}
	return response, nil
}

// provesNotRun is the only predicate that permits a second attempt of a request that may not
// be repeated, and the end "not run". Either nothing of the request was sent, or the upstream
// itself reported that it did not run it.
func provesNotRun(nothingSent bool, refusal *failure) bool {
	return nothingSent || refusal != nil
}

// classifyError returns the failure for a transport's error.
func classifyError(ctx context.Context, tracker *connectionTracker, err error) *failure {
	picked, fresh := tracker.connections()
	f := &failure{notRun: provesNotRun(tracker.nothingSent(), nil), err: err, reason: mothferry.ReasonConnectionLost, result: mfroute.ResultLost}
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
		// The runner had closed a kept-alive connection. This is no evidence about its health,
		// as runners close idle connections.
		f.result = mfroute.ResultNeutral
	}
	return f
}

// connections reports whether a connection was picked, and whether the last one was opened for
// this request.
func (t *connectionTracker) connections() (picked, fresh bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.uses) > 0, t.fresh
}

// isOwnNetwork reports errors of this host's own network or file descriptors. They are no
// evidence about the runner: if they counted, one faulty network card would make a daemon
// eject every runner of its data centre.
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

// refusalOf returns a failure if the upstream reports that it did not run the request. A 503
// without that header is the application's own answer.
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
		// The intended runner is gone, as if no connection could be opened.
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

// outgoing returns the request as it is sent upstream. It prevents net/http's Transport from
// resending it on its own when a reused connection fails: GetBody stays nil, and the header
// fields that Transport takes as permission to repeat are set under keys that it does not look
// up (header names are case-insensitive on the wire). A request without a body whose method
// counts as safe, but which may not be repeated here, gets an opaque empty body.
func (q *request) outgoing(ctx context.Context, u upstream) *http.Request {
	header := q.header.Clone()
	hideHeader(header, mothferry.HeaderKey)
	hideHeader(header, "X-Idempotency-Key")
	header.Set(mothferry.HeaderRequestID, string(q.id))
	if deadline, ok := ctx.Deadline(); ok && u.peer {
		header.Set(mothferry.HeaderTimeout, time.Until(deadline).String())
	}
	if u.runner != "" {
		// The address may by now belong to another runner, of any service, whose answer would
		// be taken for the intended runner's. A runner refuses requests meant for another one.
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

// callerBody marks read errors as caused by the caller's body.
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

// safeMethod reports whether Transport repeats bodiless requests of a method on its own.
func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// hideHeader renames a header field to a spelling that Transport does not recognise.
func hideHeader(header http.Header, name string) {
	values, ok := header[name]
	if !ok {
		return
	}
	delete(header, name)
	header[strings.ToLower(name)] = values
}
