package mfentry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"mothferry"
	"mothferry/mfadmit"
	"mothferry/mfdocument"
	"mothferry/mfpeer"
)

// request is one caller's request as the entry understood it.
type request struct {
	id       mothferry.RequestID
	service  mothferry.ServiceID
	document mfdocument.Document
	customer mothferry.CustomerID
	key      string
	priority mfadmit.Priority
	deadline time.Time
	// repeatable tells that the document lets the request run more than once.
	repeatable bool
	hops       int

	method string
	host   string
	target *url.URL
	header http.Header
	// body is the whole body if it was small enough to hold, else nil; then
	// stream carries it and can be sent once only.
	body   []byte
	stream *onceBody
	length int64
}

// buffered reports whether the whole body is in memory.
func (q *request) buffered() bool { return q.stream == nil }

// hopByHop are the header fields that concern one connection only (RFC 9110,
// section 7.6.1), and the daemon's own.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", mothferry.HeaderTimeout, headerClass,
}

// headerClass lets a caller send a request of an urgent service as batch work.
const headerClass = "Mothferry-Class"

// parse reads what a request says of itself. Its error is an ErrNotRun.
func (h *Handler) parse(r *http.Request) (*request, error) {
	service, rest, err := splitTarget(r.URL)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	record, ok := h.Store.Current().Document(service)
	if !ok {
		return nil, &mothferry.ErrNotRun{Reason: mothferry.ReasonUnknownService, Err: &mothferry.ErrNotFound{Kind: "service", Name: string(service)}}
	}
	if isUpgrade(r) {
		return nil, &mothferry.ErrNotRun{Reason: mothferry.ReasonUpgrade}
	}
	q := &request{
		id:         mothferry.RequestID(r.Header.Get(mothferry.HeaderRequestID)),
		service:    service,
		document:   record.Document,
		customer:   mothferry.CustomerID(r.Header.Get(mothferry.HeaderCustomer)),
		key:        r.Header.Get(mothferry.HeaderKey),
		repeatable: record.Document.MayRepeat(r.Method, rest.Path),
		hops:       mfpeer.Hops(r.Context()),
		method:     r.Method,
		host:       r.Host,
		target:     rest,
		length:     r.ContentLength,
	}
	if q.id == "" {
		q.id = mothferry.RequestID(h.NewToken())
	}
	if q.key != "" && q.customer == "" {
		return nil, badRequest("a request with " + mothferry.HeaderKey + " must name its customer in " + mothferry.HeaderCustomer)
	}
	if err := q.parseClass(r); err != nil {
		return nil, err
	}
	if err := q.parseDeadline(r, h.Clock.Now()); err != nil {
		return nil, err
	}
	q.header = forwarded(r.Header)
	return q, h.readBody(q, r)
}

func badRequest(detail string) error {
	return &mothferry.ErrNotRun{Reason: mothferry.ReasonBadRequest, Err: errors.New(detail)}
}

func (q *request) parseClass(r *http.Request) error {
	if q.document.Class == mfdocument.ClassBatch {
		q.priority = mfadmit.PriorityBatch
	}
	switch mfdocument.Class(r.Header.Get(headerClass)) {
	case "", mfdocument.ClassUrgent:
	case mfdocument.ClassBatch:
		q.priority = mfadmit.PriorityBatch
	default:
		return badRequest(headerClass + " must be urgent or batch")
	}
	return nil
}

func (q *request) parseDeadline(r *http.Request, now time.Time) error {
	limit := q.document.Requests.Deadline
	if own := r.Header.Get(mothferry.HeaderTimeout); own != "" {
		timeout, err := time.ParseDuration(own)
		if err != nil || timeout <= 0 {
			return badRequest(mothferry.HeaderTimeout + " must be a duration above 0 such as 500ms")
		}
		limit = min(limit, timeout)
	}
	q.deadline = now.Add(limit)
	return nil
}

// splitTarget parts "/service/rest" into the service and the runner's own path.
func splitTarget(u *url.URL) (mothferry.ServiceID, *url.URL, error) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	target := &url.URL{RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
	escaped := "/" + rest
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return "", nil, err
	}
	target.Path, target.RawPath = path, escaped
	return mothferry.ServiceID(name), target, nil
}

func isUpgrade(r *http.Request) bool {
	return r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect
}

// forwarded returns the header fields that go on to the runner.
func forwarded(from http.Header) http.Header {
	out := make(http.Header, len(from))
	for name, values := range from {
		out[name] = values
	}
	for _, field := range from["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// readBody takes a body into memory if it fits into the buffer. A keyed
// request's body must fit, since its digest is needed before it is sent.
func (h *Handler) readBody(q *request, r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		q.length = 0
		return nil
	}
	if q.length > int64(h.MaxBodyBytes) {
		return tooLarge("body is larger than limits.body_bytes")
	}
	held, err := io.ReadAll(io.LimitReader(r.Body, int64(h.BufferBytes)+1))
	if err != nil {
		return &mothferry.ErrNotRun{Reason: mothferry.ReasonBodyUnreadable, Err: err}
	}
	if len(held) <= int(h.BufferBytes) {
		q.body, q.length = held, int64(len(held))
		return nil
	}
	if q.key != "" {
		return tooLarge("body of a request with " + mothferry.HeaderKey + " is larger than limits.buffer_bytes")
	}
	rest := http.MaxBytesReader(nil, r.Body, int64(h.MaxBodyBytes)-int64(len(held)))
	q.stream = &onceBody{reader: io.MultiReader(bytes.NewReader(held), rest)}
	return nil
}

func tooLarge(detail string) error {
	return &mothferry.ErrNotRun{Reason: mothferry.ReasonTooLarge, Err: errors.New(detail)}
}

// onceBody hides what it reads from, so that net/http cannot rewind it and
// send a request a second time by itself.
type onceBody struct {
	reader io.Reader
	used   bool
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	b.used = true
	return b.reader.Read(p)
}

// Close implements io.Closer. The caller's body is closed by its server.
func (b *onceBody) Close() error { return nil }
