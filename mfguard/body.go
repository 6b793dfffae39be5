package mfguard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"mothferry"
)

// ErrBodyTooLarge reports a body that is larger than the limit.
type ErrBodyTooLarge struct{ Limit mothferry.Bytes }

// Error implements error.
func (e *ErrBodyTooLarge) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", e.Limit)
}

// ErrNoRoom reports that the budget has no room for what a request needs.
type ErrNoRoom struct{ Size mothferry.Bytes }

// Error implements error.
func (e *ErrNoRoom) Error() string { return fmt.Sprintf("no room for %d bytes", e.Size) }

// firstRead is how much of a body is read at first, before its buffer grows with what arrives.
const firstRead = 4 * mothferry.Kibibyte

// ReadBody reads a request's body of at most limit bytes. The body has to arrive before the end of
// ctx. The buffer is reserved in the server's budget until the request ends; a request of a server
// without one has no budget.
//
// It fails with ErrBodyTooLarge, with ErrNoRoom, or as the connection does.
func ReadBody(ctx context.Context, r *http.Request, limit mothferry.Bytes) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, &ErrBodyTooLarge{limit}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	if deadline, ok := ctx.Deadline(); ok && c != nil {
		c.bodyDeadline = deadline
	}
	// One byte more than the limit shows that a body without a length is too large.
	size := limit + 1
	if r.ContentLength > 0 {
		size = mothferry.Bytes(r.ContentLength)
	}
	data, err := readWithin(ctx, r.Body, size)
	switch {
	case err != nil:
		return nil, err
	case mothferry.Bytes(len(data)) > limit:
		return nil, &ErrBodyTooLarge{limit}
	}
	if c != nil && c.bodyLeft == unknownLength {
		c.server.pool.bodyEnded(c)
	}
	return data, nil
}

// readWithin reads up to size bytes, into a buffer that grows with what arrives.
func readWithin(ctx context.Context, body io.Reader, size mothferry.Bytes) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			capacity := min(size, max(firstRead, 2*mothferry.Bytes(cap(data))))
			if capacity == mothferry.Bytes(len(data)) {
				return data, nil
			}
			if err := Reserve(ctx, capacity); err != nil {
				return nil, err
			}
			held := mothferry.Bytes(cap(data))
			data = append(make([]byte, 0, capacity), data...)
			release(ctx, held)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Reserve reserves memory for a request, until it ends, in the budget of the server that ctx is
// from; without a server it does nothing. It fails with ErrNoRoom.
func Reserve(ctx context.Context, size mothferry.Bytes) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c.server.pool.reserve(c, size) {
		return nil
	}
	return &ErrNoRoom{size}
}

func release(ctx context.Context, size mothferry.Bytes) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && size > 0 {
		c.server.pool.release(c, size)
	}
}
