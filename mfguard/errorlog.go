package mfguard

import (
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"mothferry"
)

// maxErrorBytes bounds what is logged of a message of the HTTP server.
const maxErrorBytes = 4 << 10

// errorWriter logs the messages of the HTTP server, at most one in a logInterval: clients can cause
// some of them.
type errorWriter struct {
	log   *log.Entry
	clock mothferry.Clock

	mutex   sync.Mutex
	logged  time.Time
	omitted int
}

// Write implements io.Writer for whole messages.
func (e *errorWriter) Write(message []byte) (int, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	if !e.logged.IsZero() && now.Sub(e.logged) < logInterval {
		e.omitted++
		return len(message), nil
	}
	text := strings.ToValidUTF8(string(message[:min(len(message), maxErrorBytes)]), "")
	e.log.WithFields(log.Fields{"error": text, "omitted": e.omitted}).Error("HTTP server failed")
	e.logged, e.omitted = now, 0
	return len(message), nil
}
