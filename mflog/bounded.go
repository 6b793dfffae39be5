package mflog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriter queues lines for a slower writer and never blocks the caller. Lines
// that arrive while the queue is full are dropped and counted; the count is written
// as a line of its own as soon as the queue is empty.
//
// Without it, an output that accepts no lines (a full pipe, a stalled collector)
// would block the goroutines that log, and with them leases, commits and callers.
type BoundedWriter struct {
	Output io.Writer
	lines  chan []byte
	// queuedBytes is the size of the lines in the queue.
	queuedBytes atomic.Int64
	// Dropped counts the lines that were dropped.
	Dropped atomic.Int64
	// closing is closed by Close. The queue itself stays open, since a later write to a
	// closed channel would panic.
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

const (
	// maxQueuedLines is the capacity of the queue: about two seconds of the busiest owner's
	// lines, or 1 MiB at their usual length.
	maxQueuedLines = 2048
	// maxQueuedBytes bounds the size of the lines in the queue, which may repeat what callers sent.
	maxQueuedBytes = 4 << 20
	// maxWriteBytes is the size from which on a write takes no further line.
	maxWriteBytes = 32 << 10
	// closeTimeout bounds how long Close waits for the queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// NewBoundedWriter returns a writer that queues lines for output.
func NewBoundedWriter(output io.Writer) *BoundedWriter {
	b := &BoundedWriter{Output: output, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer for whole lines.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if b.queuedBytes.Add(size) > maxQueuedBytes {
		b.drop(size)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop(size)
	}
	return len(line), nil
}

// drop counts a line of a size that is not queued.
func (b *BoundedWriter) drop(size int64) {
	b.queuedBytes.Add(-size)
	b.Dropped.Add(1)
}

// taken returns a line that was taken from the queue.
func (b *BoundedWriter) taken(line []byte) []byte {
	b.queuedBytes.Add(-int64(len(line)))
	return line
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	reported := int64(0)
	for {
		select {
		case line := <-b.lines:
			reported = b.write(b.withQueued(b.taken(line)), reported)
		case <-b.closing:
			for range len(b.lines) {
				reported = b.write(b.taken(<-b.lines), reported)
			}
			return
		}
	}
}

// withQueued returns a line with those that follow it in the queue, up to maxWriteBytes, so that a
// busy daemon makes few writes.
func (b *BoundedWriter) withQueued(line []byte) []byte {
	for range len(b.lines) {
		if len(line) >= maxWriteBytes {
			break
		}
		line = append(line, b.taken(<-b.lines)...)
	}
	return line
}

// write writes lines and, if the queue is empty, the number of lines dropped since
// the last report. It returns the number of dropped lines reported so far.
func (b *BoundedWriter) write(line []byte, reported int64) int64 {
	// A line that can't be written is lost: there is no other output to report it to.
	_, _ = b.Output.Write(line)
	dropped := b.Dropped.Load()
	if dropped == reported || len(b.lines) > 0 {
		return reported
	}
	fmt.Fprintf(b.Output, "{\"level\":\"warn\",\"message\":\"log lines were dropped\",\"fields\":{\"part\":\"log\",\"dropped\":%d}}\n", dropped-reported)
	return dropped
}

// Close writes the queued lines, for at most closeTimeout.
func (b *BoundedWriter) Close() {
	b.once.Do(func() { close(b.closing) })
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
