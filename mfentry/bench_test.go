package mfentry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"mothferry"
	"mothferry/mfroute"
)

// BenchmarkHandler measures one request through the handler to an upstream
// that costs next to nothing, without the caller's side of HTTP.
func BenchmarkHandler(b *testing.B) {
	address := startScripted(b, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) == 2 {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			}
		}
	})
	h, _, _ := newEntry(b, address)
	h.Router = unlimited{address}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, "/s/safe/x", nil)
			r.Header.Set("Mothferry-Customer", "c")
			h.ServeHTTP(w, r.WithContext(context.Background()))
			if w.Code != http.StatusOK {
				b.Errorf("status %d: %s", w.Code, w.Body)
				return
			}
		}
	})
}

// unlimited is a Router with one runner that is never full.
type unlimited struct{ address string }

func (u unlimited) Acquire(context.Context, mothferry.ServiceID, mfroute.Request) (*mfroute.Lease, error) {
	return &mfroute.Lease{Task: "t", Address: u.address, Connections: 64}, nil
}

func (unlimited) Release(mothferry.ServiceID, *mfroute.Lease, mfroute.Result) {}
