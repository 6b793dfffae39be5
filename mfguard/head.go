package mfguard

import (
	"bytes"

	"mothferry"
)

// What a connection and a request hold besides what was received.
const (
	// idleBytes is held by a connection without a request: its buffers, its goroutine, and what the
	// kernel may hold received and unread.
	idleBytes = 16*mothferry.Kibibyte + receiveBuffer
	// requestBytes is held by a request in addition.
	requestBytes = 16 * mothferry.Kibibyte
	// trailerBytes is held by the trailers of a request, which follow a body without a length.
	trailerBytes = 160 * mothferry.Kibibyte
	// A head is held as received and as parsed, of which each line takes headerLineBytes in addition.
	headCopies      = 4
	headerLineBytes = 128 * mothferry.Bytes(1)
)

// headScanner finds the end of a request's head.
type headScanner struct {
	// size is how many bytes of the head were received, empty lines before it included.
	size mothferry.Bytes
	// started is set once a line is not empty; lineLength is the length of the last line so far.
	started    bool
	lineLength int
}

// scan reads further bytes. It returns how many of them belong to the head, how many lines these
// have, and whether the head has ended.
func (h *headScanner) scan(data []byte) (n, lines int, ended bool) {
	for n < len(data) {
		next := bytes.IndexByte(data[n:], '\n')
		if next < 0 {
			h.addToLine(data[n:])
			n = len(data)
			break
		}
		h.addToLine(data[n : n+next])
		n += next + 1
		lines++
		empty := h.lineLength == 0
		h.lineLength = 0
		if empty && h.started {
			ended = true
			break
		}
		h.started = h.started || !empty
	}
	h.size += mothferry.Bytes(n)
	return n, lines, ended
}

// addToLine adds bytes to the last line. A carriage return at its start leaves a line empty.
func (h *headScanner) addToLine(data []byte) {
	if h.lineLength == 0 && len(data) > 0 && data[0] == '\r' {
		data = data[1:]
	}
	h.lineLength += len(data)
}

// heldBytes returns what a part of a head takes once it is parsed.
func heldBytes(n, lines int) mothferry.Bytes {
	return headCopies*mothferry.Bytes(n) + headerLineBytes*mothferry.Bytes(lines)
}
