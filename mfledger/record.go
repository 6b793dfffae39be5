// Package mfledger ensures that a request with an idempotency key runs at most once, on
// whichever daemon its repeats arrive: the key is claimed in the platform's table before the
// request is sent, and the end is recorded afterwards.
package mfledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
)

// Key identifies a keyed request. The same key of another customer or service identifies
// another request.
type Key struct {
	Customer mothferry.CustomerID
	Service  mothferry.ServiceID
	Key      string
}

// row returns the key of the request's row. The caller's key is hashed because it may be long
// or contain any byte.
func (k Key) row() mothferry.Key {
	sum := sha256.Sum256([]byte(k.Key))
	return mothferry.Key("ledger/" + string(k.Service) + "/" + url.PathEscape(string(k.Customer)) + "/" + hex.EncodeToString(sum[:]))
}

// Digest identifies the content of a request.
type Digest string

// DigestOf returns the digest of a request's method, path with query, and body.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{method, path} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Digest(hex.EncodeToString(h.Sum(nil)))
}

// state is the progress of a keyed request.
type state string

const (
	stateRunning  state = "running"
	stateAnswered state = "answered"
	// stateTooLarge means that the request was answered and the answer is too large to keep.
	stateTooLarge state = "answered_too_large"
	stateUnknown  state = "unknown"
)

// Answer is a recorded answer.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// record is the row of a keyed request.
type record struct {
	State  state           `json:"state"`
	Digest Digest          `json:"digest"`
	Token  mothferry.Token `json:"token"`
	// Until is the time at which a running request has ended, whatever its outcome.
	Until  time.Time `json:"until"`
	Answer *Answer   `json:"answer,omitempty"`
}

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, trace.Wrap(err)
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of the ledger", Detail: err.Error()})
	}
	return r, nil
}
