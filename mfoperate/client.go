package mfoperate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfplacement"
	"mothferry/mfyaml"
)

// ErrRefused reports a call that a daemon refused for a reason that has no
// type of its own.
type ErrRefused struct {
	Kind   string
	Detail string
}

// Error implements error.
func (e *ErrRefused) Error() string { return e.Kind + ": " + e.Detail }

// ErrUnreachable reports a daemon whose operators' interface did not reply.
type ErrUnreachable struct {
	URL string
	Err error
}

// Error implements error.
func (e *ErrUnreachable) Error() string {
	return fmt.Sprintf("no reply from %s: %v; give a daemon's operators' address with --operator or MOTHFERRY_OPERATOR", e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnreachable) Unwrap() error { return e.Err }

// Client calls a daemon's operators' interface.
type Client struct {
	// URL is the base address, such as http://127.0.0.1:7302.
	URL  string
	HTTP *http.Client
}

// Status returns the daemon's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.callJSON(ctx, http.MethodGet, "/v1/status", &s)
	return s, err
}

// Placements returns the placements of the daemon's data centre.
func (c *Client) Placements(ctx context.Context) ([]mfplacement.Record, error) {
	var records []mfplacement.Record
	err := c.callJSON(ctx, http.MethodGet, "/v1/placements", &records)
	return records, err
}

// Document returns a document's YAML and its revision.
func (c *Client) Document(ctx context.Context, service mothferry.ServiceID) (string, mothferry.Revision, error) {
	data, header, err := c.send(ctx, http.MethodGet, "/v1/documents/"+url.PathEscape(string(service)), "")
	if err != nil {
		return "", 0, err
	}
	revision, err := strconv.ParseUint(header.Get(headerRevision), 10, 64)
	if err != nil {
		return "", 0, trace.Wrap(&ErrRefused{Kind: kindInternal, Detail: "reply has no revision"})
	}
	return string(data), mothferry.Revision(revision), nil
}

// Apply changes a document that was read at revision base, and returns the
// revision accepted. The same token may be given again after a lost reply.
func (c *Client) Apply(ctx context.Context, service mothferry.ServiceID, text string, base mothferry.Revision, author string, token mothferry.Token) (mothferry.Revision, error) {
	query := url.Values{}
	query.Set(paramBase, strconv.FormatUint(uint64(base), 10))
	query.Set(paramAuthor, author)
	query.Set(paramToken, string(token))
	data, _, err := c.send(ctx, http.MethodPut, "/v1/documents/"+url.PathEscape(string(service))+"?"+query.Encode(), text)
	if err != nil {
		return 0, err
	}
	var reply changeReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return 0, trace.Wrap(&ErrRefused{Kind: kindInternal, Detail: err.Error()})
	}
	return reply.Revision, nil
}

func (c *Client) callJSON(ctx context.Context, method, path string, into any) error {
	data, _, err := c.send(ctx, method, path, "")
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return trace.Wrap(&ErrRefused{Kind: kindInternal, Detail: err.Error()})
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path, body string) ([]byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, nil, trace.Wrap(&ErrUnreachable{URL: c.URL, Err: err})
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, trace.Wrap(&ErrUnreachable{URL: c.URL, Err: err})
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, nil, trace.Wrap(decodeFailure(path, data))
	}
	return data, response.Header, nil
}

// decodeFailure turns the body of a failed call back into a typed error.
func decodeFailure(path string, data []byte) error {
	var body failureReply
	if err := json.Unmarshal(data, &body); err != nil {
		return &ErrRefused{Kind: kindInternal, Detail: string(data)}
	}
	switch {
	case body.Kind == kindConflict:
		return &mothferry.ErrDocumentConflict{
			Service: mothferry.ServiceID(body.Service), Edited: body.Edited, Current: body.Current,
			Author: body.Author, Time: body.Time, Difference: body.Difference,
		}
	case len(body.Problems) > 0:
		invalid := &mfyaml.ErrInvalid{}
		for _, p := range body.Problems {
			invalid.Problems = append(invalid.Problems, mfyaml.Problem{File: path, Line: p.Line, Field: p.Field, Want: p.Want})
		}
		return invalid
	default:
		return &ErrRefused{Kind: body.Kind, Detail: body.Detail}
	}
}
