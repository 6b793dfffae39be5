package mflog_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry/mflog"
)

// blockedWriter is an output that takes nothing until it is released.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	text    strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(p)
}

// Symptom guarded against: leases lapse because whoever logs waits for a log
// collector that stands still.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := mflog.NewBoundedWriter(out)
	done := make(chan struct{})
	const lines = 5000
	go func() {
		defer close(done)
		for range lines {
			_, _ = b.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("writing waits for the output")
	}
	assert.Assert(t, b.Dropped.Load() > 0)
	close(out.release)
	for range 100 {
		out.mutex.Lock()
		told := strings.Contains(out.text.String(), "log lines were dropped")
		out.mutex.Unlock()
		if told {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("dropped lines are not told")
}

// Guarded against: a daemon that stops as planned ends with a panic.
// Events: the last answers to orders arrive, and are logged, while the log is closed.
// Cause: closing the queue of lines makes a later write panic.
func TestWriteAfterCloseDoesNotPanic(t *testing.T) {
	b := mflog.NewBoundedWriter(io.Discard)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				if _, err := b.Write([]byte("line\n")); err != nil {
					t.Error(err)
				}
			}
		}
	}()
	b.Close()
	b.Close()
	time.Sleep(10 * time.Millisecond)
	close(stop)
	<-done
}
