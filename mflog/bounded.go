package mflog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriter passes lines on to a slower writer without ever making the caller
// wait. Lines that come while its room is full are dropped and counted; the
// count is written as a line of its own as soon as there is room.
//
// What it guards against: an output that does not take lines (a full pipe, a
// collector that stands still) would otherwise stop whoever logs, and with it
// leases, commits and callers.
type BoundedWriter struct {
	Output io.Writer
	lines  chan []byte
	// Dropped counts lines that were not written.
	Dropped atomic.Int64
	// closing is closed by Close. The queue itself stays open: whoever still logs
	// would panic.
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

const (
	// maxQueuedLines is the room for lines that wait: some two seconds of the
	// busiest owner, 1 MiB at the usual length.
	maxQueuedLines = 2048
	// closeTimeout bounds how long Close waits for the lines that are left.
	closeTimeout = 200 * time.Millisecond
)

// NewBoundedWriter returns a writer that passes lines on to output.
func NewBoundedWriter(output io.Writer) *BoundedWriter {
	b := &BoundedWriter{Output: output, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer for whole lines.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case b.lines <- kept:
	default:
		b.Dropped.Add(1)
	}
	return len(line), nil
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	told := int64(0)
	for {
		select {
		case line := <-b.lines:
			told = b.write(line, told)
		case <-b.closing:
			for range len(b.lines) {
				told = b.write(<-b.lines, told)
			}
			return
		}
	}
}

// write writes one line, and how many were dropped since that was told last. It
// returns how many have been told of.
func (b *BoundedWriter) write(line []byte, told int64) int64 {
	// A line that can't be written is lost: there is nowhere to say so.
	_, _ = b.Output.Write(line)
	dropped := b.Dropped.Load()
	if dropped == told || len(b.lines) > 0 {
		return told
	}
	fmt.Fprintf(b.Output, "{\"level\":\"warn\",\"message\":\"log lines were dropped\",\"fields\":{\"part\":\"log\",\"dropped\":%d}}\n", dropped-told)
	return dropped
}

// Close writes what is left, for a short while.
func (b *BoundedWriter) Close() {
	b.once.Do(func() { close(b.closing) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
