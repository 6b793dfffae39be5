package mfentry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mothferry"
	"mothferry/mfroute"
)

// upstreamResponse is an upstream's answer: whole in memory, or held up to the buffer's
// size with the rest still to come.
type upstreamResponse struct {
	status   int
	header   http.Header
	buffered []byte
	rest     io.ReadCloser
	trailer  http.Header
	// release gives the runner's slot back with the result. It is called once.
	release func(mfroute.Result)
	peer    bool
}

// complete reports whether the answer's end has been seen.
func (a *upstreamResponse) complete() bool { return a.rest == nil }

// receive reads an answer up to the buffer's size. Most answers fit: they are
// known to be whole before their first byte goes to the caller, so that a cut
// one can still become a clean end.
func (h *Handler) receive(ctx context.Context, q *request, response *http.Response) (*upstreamResponse, *failure) {
	if unframed(q.method, response) {
		_ = response.Body.Close()
		return nil, &failure{reason: mothferry.ReasonUnframed, result: mfroute.ResultAnswered, err: errors.New("the answer has neither a length nor chunks, so its end cannot be known")}
	}
	a := &upstreamResponse{status: response.StatusCode, header: response.Header}
	limit := int64(h.BufferBytes)
	if response.ContentLength > limit {
		limit = 0
	}
	held, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		_ = response.Body.Close()
		return nil, readFailure(ctx, err)
	}
	a.buffered = held
	if int64(len(held)) > limit {
		a.rest = response.Body
		return a, nil
	}
	_ = response.Body.Close()
	a.trailer = response.Trailer
	return a, nil
}

// readFailure turns a failure to read an answer's body into a failure.
func readFailure(ctx context.Context, err error) *failure {
	f := &failure{reason: mothferry.ReasonTruncated, result: mfroute.ResultLost, err: err}
	if ctx.Err() != nil {
		f.result = mfroute.ResultNeutral
		f.reason = mothferry.ReasonCallerGone
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.reason = mothferry.ReasonDeadline
		}
	}
	return f
}

// unframed reports an answer whose body ends where the connection ends. A cut
// connection would pass a part of it off as the whole.
func unframed(method string, r *http.Response) bool {
	bodiless := method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
	return !bodiless && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// copyBuffers are the buffers that streamed answers pass through.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// send passes an answer on to the caller and settles it. An answer that turns
// out cut after its first bytes were passed on ends the caller's connection:
// the caller then sees a failed transfer, never a short answer as if it were
// whole.
func (h *Handler) send(ctx context.Context, w http.ResponseWriter, q *request, a *upstreamResponse, began time.Time) {
	header := w.Header()
	for name, values := range forwarded(a.header) {
		if name != mothferry.HeaderRefused && name != mothferry.HeaderLeaving {
			header[name] = values
		}
	}
	if !a.peer || header.Get(mothferry.HeaderEnd) == "" {
		header.Set(mothferry.HeaderEnd, string(mothferry.EndAnswered))
		header.Del(mothferry.HeaderReason)
	}
	header.Set(mothferry.HeaderRequestID, string(q.id))
	if a.complete() {
		a.release(mfroute.ResultAnswered)
		h.sendBuffered(w, q, a)
		h.Observer.Ended(q.service, mothferry.End(header.Get(mothferry.HeaderEnd)), mothferry.Reason(header.Get(mothferry.HeaderReason)), h.Clock.Now().Sub(began))
		return
	}
	w.WriteHeader(a.status)
	err := h.stream(w, a)
	if err == nil {
		a.release(mfroute.ResultAnswered)
		h.Observer.Ended(q.service, mothferry.EndAnswered, "", h.Clock.Now().Sub(began))
		return
	}
	f := readFailure(ctx, err)
	if errors.Is(err, errCallerWrite) {
		f.result, f.reason = mfroute.ResultNeutral, mothferry.ReasonCallerGone
	}
	a.release(f.result)
	h.Observer.Ended(q.service, mothferry.EndUnknown, f.reason, h.Clock.Now().Sub(began))
	h.Log.WithField("request", q.id).WithField("service", q.service).WithError(err).Warn("Answer was cut; caller's connection is closed.")
	panic(http.ErrAbortHandler)
}

func (h *Handler) sendBuffered(w http.ResponseWriter, q *request, a *upstreamResponse) {
	header := w.Header()
	if q.method != http.MethodHead && a.status != http.StatusNotModified && a.status != http.StatusNoContent && len(a.trailer) == 0 {
		header.Set("Content-Length", strconv.Itoa(len(a.buffered)))
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.buffered)
	for name, values := range a.trailer {
		header[http.TrailerPrefix+name] = values
	}
}

// errCallerWrite marks a failure to write to the caller.
var errCallerWrite = errors.New("caller does not take the answer")

func (h *Handler) stream(w http.ResponseWriter, a *upstreamResponse) error {
	defer a.rest.Close()
	controller := http.NewResponseController(w)
	if _, err := w.Write(a.buffered); err != nil {
		return errCallerWrite
	}
	buffer, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := a.rest.Read(*buffer)
		if n > 0 {
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return errCallerWrite
			}
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
