package mfentry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mffake"
	"mothferry/mfroute"
	"mothferry/mfstandin"
)

// TestNoSilentReplay: symptom, an order runs twice though it was sent once.
// Sequence: the runner takes the second request of a kept-alive connection,
// runs it and closes the connection without an answer. Cause: net/http's
// Transport takes requests without a body and a safe method, or with an
// Idempotency-Key, for replayable and sends them again on a new connection.
func TestNoSilentReplay(t *testing.T) {
	for _, k := range []struct {
		name, method, body string
		header             map[string]string
	}{
		{"body", "POST", "order", nil},
		{"body and key", "POST", "order", map[string]string{"Idempotency-Key": "k", "Mothferry-Customer": "c"}},
		{"no body and key", "POST", "", map[string]string{"Idempotency-Key": "k", "Mothferry-Customer": "c"}},
		{"other key", "POST", "", map[string]string{"X-Idempotency-Key": "k"}},
		{"GET that may not be repeated", "GET", "", nil},
		{"HEAD that may not be repeated", "HEAD", "", nil},
		{"OPTIONS", "OPTIONS", "", nil},
		{"TRACE", "TRACE", "", nil},
		{"DELETE", "DELETE", "", nil},
	} {
		t.Run(k.name, func(t *testing.T) {
			var ran atomic.Int64
			address := startScripted(t, func(c net.Conn) {
				reader := bufio.NewReader(c)
				if _, err := readRequest(reader); err != nil {
					return
				}
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				if _, err := readRequest(reader); err == nil {
					ran.Add(1)
				}
			})
			_, _, url := newEntry(t, address)
			_, _, err := do(t, "POST", url+"/s/warm", "", nil)
			assert.NilError(t, err)
			response, _, err := do(t, k.method, url+"/s/order", k.body, k.header)
			assert.NilError(t, err)
			assert.Equal(t, response.Header.Get(mothferry.HeaderEnd), string(mothferry.EndUnknown))
			assert.Equal(t, ran.Load(), int64(1))
		})
	}
}

// Symptom: a caller of one service got the answer of another service's runner.
// Events: a runner dies, its address goes to a runner of another service, and the
// daemon sends it a request before it has heard of either.
// Cause: a request did not say which runner it is meant for.
func TestReusedAddressIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	other := &mfstandin.Runner{Task: "another", Service: "other", Slots: 8, Connections: 64, Journal: &mfstandin.Journal{}, Listener: listener}
	other.Start()
	defer other.Stop(t.Context())
	_, router, url := newEntry(t, listener.Addr().String())
	response, _, err := do(t, "POST", url+"/s/order", "order", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(mothferry.HeaderEnd), string(mothferry.EndNotRun))
	assert.Equal(t, len(other.Journal.Runs()), 0)
	assert.DeepEqual(t, router.results, []mfroute.Result{mfroute.ResultConnectFailed})
}

// TestUpstreamFaults cuts the exchange at each of its phases.
func TestUpstreamFaults(t *testing.T) {
	closed := startScripted(t, func(c net.Conn) { _, _ = readRequest(bufio.NewReader(c)) })
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = refusing.Close()
	reply := func(text string) string {
		return startScripted(t, func(c net.Conn) {
			reader := bufio.NewReader(c)
			for {
				if _, err := readRequest(reader); err != nil {
					return
				}
				_, _ = c.Write([]byte(text))
				if strings.Contains(text, "200 OK") || strings.HasPrefix(text, "hello") {
					return
				}
			}
		})
	}
	busy := reply("HTTP/1.1 503 Busy\r\nMothferry-Refused: busy\r\nContent-Length: 0\r\n\r\n")
	leaving := reply("HTTP/1.1 503 Leaving\r\nMothferry-Refused: leaving\r\nContent-Length: 0\r\n\r\n")
	good := reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	for _, k := range []struct {
		name     string
		upstream []string
		method   string
		path     string
		status   int
		end      mothferry.End
		reason   mothferry.Reason
		result   mfroute.Result
	}{
		{"connect refused", []string{refusing.Addr().String()}, "POST", "/x", 503, mothferry.EndNotRun, mothferry.ReasonConnect, mfroute.ResultConnectFailed},
		{"connect refused, then another", []string{refusing.Addr().String(), good}, "POST", "/x", 200, mothferry.EndAnswered, "", mfroute.ResultConnectFailed},
		{"cut after the request", []string{closed, good}, "POST", "/x", 502, mothferry.EndUnknown, mothferry.ReasonConnectionLost, mfroute.ResultLost},
		{"cut, but may be repeated", []string{closed, good}, "GET", "/safe/x", 200, mothferry.EndAnswered, "", mfroute.ResultLost},
		{"may be repeated, cut, then connect refused", []string{closed, refusing.Addr().String()}, "GET", "/safe/x", 502, mothferry.EndUnknown, mothferry.ReasonConnectionLost, mfroute.ResultLost},
		{"may be repeated, cut, then busy everywhere", []string{closed, busy}, "GET", "/safe/x", 502, mothferry.EndUnknown, mothferry.ReasonConnectionLost, mfroute.ResultLost},
		{"may be repeated, cut, then no runner", []string{closed}, "GET", "/safe/x", 502, mothferry.EndUnknown, mothferry.ReasonConnectionLost, mfroute.ResultLost},
		{"busy", []string{busy, good}, "POST", "/x", 200, mothferry.EndAnswered, "", mfroute.ResultBusy},
		{"busy everywhere", []string{busy}, "POST", "/x", 503, mothferry.EndNotRun, mothferry.ReasonRefused, mfroute.ResultBusy},
		{"leaving", []string{leaving, good}, "POST", "/x", 200, mothferry.EndAnswered, "", mfroute.ResultLeaving},
		{"application's own 503", []string{reply("HTTP/1.1 503 Sorry\r\nContent-Length: 0\r\n\r\n"), good}, "POST", "/x", 503, mothferry.EndAnswered, "", mfroute.ResultAnswered},
		{"not HTTP", []string{reply("hello\r\n\r\n")}, "POST", "/x", 502, mothferry.EndUnknown, mothferry.ReasonConnectionLost, mfroute.ResultLost},
		{"body cut", []string{reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")}, "POST", "/x", 502, mothferry.EndUnknown, mothferry.ReasonTruncated, mfroute.ResultLost},
		{"chunks cut", []string{reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")}, "POST", "/x", 502, mothferry.EndUnknown, mothferry.ReasonTruncated, mfroute.ResultLost},
		{"no framing", []string{reply("HTTP/1.1 200 OK\r\n\r\nab")}, "POST", "/x", 502, mothferry.EndUnknown, mothferry.ReasonUnframed, mfroute.ResultAnswered},
		{"forged end", []string{reply("HTTP/1.1 200 OK\r\nMothferry-End: not_run\r\nContent-Length: 0\r\n\r\n")}, "POST", "/x", 200, mothferry.EndAnswered, "", mfroute.ResultAnswered},
		{"chunks with a trailer", []string{reply("HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nSum: 7\r\n\r\n")}, "POST", "/x", 200, mothferry.EndAnswered, "", mfroute.ResultAnswered},
		{"early hints", []string{reply("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")}, "POST", "/x", 200, mothferry.EndAnswered, "", mfroute.ResultAnswered},
	} {
		t.Run(k.name, func(t *testing.T) {
			_, router, url := newEntry(t, k.upstream...)
			response, _, err := do(t, k.method, url+"/s"+k.path, "body", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, k.status)
			assert.Equal(t, mothferry.End(response.Header.Get(mothferry.HeaderEnd)), k.end)
			assert.Equal(t, mothferry.Reason(response.Header.Get(mothferry.HeaderReason)), k.reason)
			assert.Equal(t, router.results[0], k.result)
			assert.Equal(t, router.acquired, 0, "slots were not given back")
			if k.end == mothferry.EndNotRun {
				assert.Assert(t, response.Header.Get("Retry-After") != "")
			}
		})
	}
}

// TestKeyMismatchIsAlwaysRefused: symptom, a key that was used for other content
// is ignored where the request may be repeated. Cause: taking every failed
// claim of such a request for a table that is out.
func TestKeyMismatchIsAlwaysRefused(t *testing.T) {
	good := startAnswering(t, func(mothferry.RequestID) {})
	_, _, url := newEntry(t, good)
	keyed := map[string]string{"Idempotency-Key": "k", "Mothferry-Customer": "c"}
	_, _, err := do(t, "GET", url+"/s/safe/x", "", keyed)
	assert.NilError(t, err)
	response, _, err := do(t, "GET", url+"/s/safe/other", "", keyed)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusUnprocessableEntity)
	assert.Equal(t, response.Header.Get(mothferry.HeaderEnd), string(mothferry.EndNotRun))
}

// TestInvalidRequestsAreRefused gives each unservable request its clear end, before any
// upstream sees it.
func TestInvalidRequestsAreRefused(t *testing.T) {
	address := startScripted(t, func(c net.Conn) {
		_, _ = readRequest(bufio.NewReader(c))
		t.Error("an upstream saw the request")
	})
	h, _, url := newEntry(t, address)
	h.MaxBodyBytes = 100 << 10
	for _, k := range []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		reason                   mothferry.Reason
	}{
		{"unknown service", "GET", "/other/x", "", nil, 404, mothferry.ReasonUnknownService},
		{"no service", "GET", "/", "", nil, 404, mothferry.ReasonUnknownService},
		{"upgrade", "GET", "/s/x", "", map[string]string{"Upgrade": "websocket", "Connection": "Upgrade"}, 501, mothferry.ReasonUpgrade},
		{"bad timeout", "GET", "/s/x", "", map[string]string{"Mothferry-Timeout": "soon"}, 400, mothferry.ReasonBadRequest},
		{"negative timeout", "GET", "/s/x", "", map[string]string{"Mothferry-Timeout": "-1s"}, 400, mothferry.ReasonBadRequest},
		{"bad class", "GET", "/s/x", "", map[string]string{"Mothferry-Class": "vip"}, 400, mothferry.ReasonBadRequest},
		{"key without customer", "POST", "/s/x", "", map[string]string{"Idempotency-Key": "k"}, 400, mothferry.ReasonBadRequest},
		{"body over the limit", "POST", "/s/x", strings.Repeat("x", 150<<10), nil, 413, mothferry.ReasonTooLarge},
		{"keyed body over the buffer", "POST", "/s/x", strings.Repeat("x", 65<<10), map[string]string{"Idempotency-Key": "k", "Mothferry-Customer": "c"}, 413, mothferry.ReasonTooLarge},
	} {
		t.Run(k.name, func(t *testing.T) {
			response, _, err := do(t, k.method, url+k.path, k.body, k.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, k.status)
			assert.Equal(t, mothferry.Reason(response.Header.Get(mothferry.HeaderReason)), k.reason)
			assert.Equal(t, mothferry.End(response.Header.Get(mothferry.HeaderEnd)), mothferry.EndNotRun)
		})
	}
	assert.Equal(t, h.InFlight(), int64(0))
}

// TestAnswerIsWholeOrAbsent cuts the raw bytes of an answer at any point, for
// answers of any size and framing, among concurrent requests. A caller must
// see its own whole answer, or no answer: never a part, never another's.
func TestAnswerIsWholeOrAbsent(t *testing.T) {
	type plan struct {
		size    int
		chunked bool
		cut     int
	}
	var plans sync.Map
	address := startScripted(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			stored, _ := plans.Load(id)
			p, _ := stored.(plan)
			raw := rawResponse(id, p.size, p.chunked)
			if p.cut < len(raw) {
				_, _ = c.Write(raw[:p.cut])
				return
			}
			_, _ = c.Write(raw)
		}
	})
	_, _, url := newEntry(t, address)
	count := 0
	mffake.Check(t, func(t *rapid.T) {
		var group sync.WaitGroup
		for range rapid.IntRange(1, 4).Draw(t, "concurrent") {
			count++
			id := mothferry.RequestID(fmt.Sprint("request-", count))
			p := plan{size: rapid.IntRange(0, 200_000).Draw(t, "size"), chunked: rapid.Bool().Draw(t, "chunked")}
			whole := len(rawResponse(id, p.size, p.chunked))
			p.cut = rapid.IntRange(0, 2*whole).Draw(t, "cut")
			plans.Store(id, p)
			group.Go(func() {
				response, body, err := send(url, id)
				switch {
				case err != nil:
					assert.Check(t, p.cut < whole, "failed though the answer was whole: %v", err)
				case response.Header.Get(mothferry.HeaderEnd) == string(mothferry.EndAnswered):
					assert.Check(t, bytes.Equal(body, content(id, p.size)), "not its own whole answer: %d of %d bytes", len(body), p.size)
					assert.Check(t, p.cut >= whole)
				default:
					assert.Check(t, p.cut < whole)
				}
			})
		}
		group.Wait()
	})
}

func send(url string, id mothferry.RequestID) (*http.Response, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, url+"/s/x", strings.NewReader("b"))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set(mothferry.HeaderRequestID, string(id))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func content(id mothferry.RequestID, size int) []byte {
	return bytes.Repeat([]byte(id), size/len(id)+1)[:size]
}

func rawResponse(id mothferry.RequestID, size int, chunked bool) []byte {
	var out bytes.Buffer
	body := content(id, size)
	if !chunked {
		fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body)
		return out.Bytes()
	}
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(len(body), 9000)
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	fmt.Fprintf(&out, "0\r\n\r\n")
	return out.Bytes()
}

// TestSealStopsLateWrites: symptom, a caller is told "not run" and the request
// runs all the same. Sequence: the transport picks a connection, the deadline
// passes, the verdict is that nothing was written, and only then the
// transport's write loop sends the request. Cause: the loop is another
// goroutine, and nothing but the seal ties it to the verdict.
func TestSealStopsLateWrites(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &connection{Conn: near}
	_, err := c.Write([]byte("an earlier request"))
	assert.NilError(t, err)
	var seen connectionTracker
	seen.picked(c, false)
	assert.Assert(t, seen.nothingSent())
	_, err = c.Write([]byte("late"))
	assert.ErrorIs(t, err, errSealed)

	late := &connection{Conn: near}
	seen.picked(late, false)
	_, err = late.Write([]byte("picked after the verdict"))
	assert.ErrorIs(t, err, errSealed)

	var sent connectionTracker
	used := &connection{Conn: far}
	sent.picked(used, false)
	_, _ = used.Write([]byte("x"))
	assert.Assert(t, !sent.nothingSent())
}

// TestNotRunRequestsDidNotRun gives requests deadlines that pass at any moment around
// connecting and sending, and compares "not run" with what the runner saw.
func TestNotRunRequestsDidNotRun(t *testing.T) {
	var seen sync.Map
	address := startAnswering(t, func(id mothferry.RequestID) { seen.Store(id, true) })
	_, _, url := newEntry(t, address)
	var notRun sync.Map
	var group sync.WaitGroup
	count := atomic.Int64{}
	for w := range 8 {
		group.Go(func() {
			for i := range 300 {
				id := fmt.Sprint("request-", w, "-", i)
				timeout := time.Duration(1+(i*37+w*11)%400) * time.Microsecond
				response, _, err := do(t, "POST", url+"/s/x", "b", map[string]string{mothferry.HeaderRequestID: id, mothferry.HeaderTimeout: timeout.String()})
				if err == nil && response.Header.Get(mothferry.HeaderEnd) == string(mothferry.EndNotRun) {
					notRun.Store(mothferry.RequestID(id), true)
					count.Add(1)
				}
			}
		})
	}
	group.Wait()
	notRun.Range(func(id, _ any) bool {
		_, ran := seen.Load(id)
		assert.Check(t, !ran, "%s ran in spite of not_run", id)
		return true
	})
	t.Logf("%d of 2400 requests ended as not run", count.Load())
}

// TestStreamedBodyIsSentOnce: a body too large to hold goes to one upstream
// only, and is refused once it is over the limit.
func TestStreamedBodyIsSentOnce(t *testing.T) {
	var bytesSeen atomic.Int64
	good := startScripted(t, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, q.Body)
		bytesSeen.Add(n)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	})
	closing := startScripted(t, func(c net.Conn) { _, _ = io.CopyN(io.Discard, c, 100_000) })
	body := strings.Repeat("x", 500_000)
	_, _, url := newEntry(t, good)
	response, _, err := do(t, "POST", url+"/s/x", body, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(mothferry.HeaderEnd), string(mothferry.EndAnswered))
	assert.Equal(t, bytesSeen.Load(), int64(len(body)))

	_, router, url := newEntry(t, closing, good)
	response, _, err = do(t, "GET", url+"/s/safe/x", body, nil)
	if err == nil {
		assert.Equal(t, response.Header.Get(mothferry.HeaderEnd), string(mothferry.EndUnknown))
	}
	assert.Equal(t, len(router.results), 1)
}
