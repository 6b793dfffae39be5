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

// upstreamResponse is an upstream's answer: complete in memory, or buffered up to the buffer's
// size with the rest unread.
type upstreamResponse struct {
	status   int
	header   http.Header
	buffered []byte
	rest     io.ReadCloser
	trailer  http.Header
	// release frees the runner's slot with the result. It is called once.
	release func(mfroute.Result)
	peer    bool
}

// complete reports whether the whole answer is in memory.
func (a *upstreamResponse) complete() bool { return a.rest == nil }

// receive reads an answer up to the buffer's size. Most answers fit: they are known to be
// complete before their first byte is sent to the caller, so that a truncated one can still
// end with a proper error.
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
	buffered, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		_ = response.Body.Close()
		return nil, readFailure(ctx, err)
	}
	a.buffered = buffered
	if int64(len(buffered)) > limit {
		a.rest = response.Body
		return a, nil
	}
	_ = response.Body.Close()
	a.trailer = response.Trailer
	return a, nil
}

// readFailure returns the failure for an error while reading an answer's body.
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

// unframed reports whether the answer's body is delimited only by the end of the connection.
// If such a connection broke, a part of the body would look like the whole.
func unframed(method string, r *http.Response) bool {
	bodiless := method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
	return !bodiless && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// copyBuffers holds the buffers for streamed answers.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// send passes an answer to the caller and releases it. If the answer turns out truncated after
// its first bytes were sent, the caller's connection is aborted: the caller then sees a failed
// transfer, never a short answer that looks complete.
func (h *Handler) send(ctx context.Context, w http.ResponseWriter, q *request, a *upstreamResponse, start time.Time) {
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
		h.Observer.Ended(q.service, mothferry.End(header.Get(mothferry.HeaderEnd)), mothferry.Reason(header.Get(mothferry.HeaderReason)), h.Clock.Now().Sub(start))
		return
	}
	w.WriteHeader(a.status)
	err := h.stream(w, a)
	if err == nil {
		a.release(mfroute.ResultAnswered)
		h.Observer.Ended(q.service, mothferry.EndAnswered, "", h.Clock.Now().Sub(start))
		return
	}
	f := readFailure(ctx, err)
	if errors.Is(err, errCallerWrite) {
		f.result, f.reason = mfroute.ResultNeutral, mothferry.ReasonCallerGone
	}
	a.release(f.result)
	h.Observer.Ended(q.service, mothferry.EndUnknown, f.reason, h.Clock.Now().Sub(start))
	h.Log.WithField("request", q.id).WithField("service", q.service).WithError(err).Warn("answer truncated, caller's connection aborted")
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
var errCallerWrite = errors.New("write answer to caller failed")

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
