package mfoperate

import (
	"context"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfhost"
)

// Query parameters of calls about hosts.
const (
	paramDataCentre = "data_centre"
	paramPool       = "pool"
	paramUndo       = "undo"
)

// dataCentreOf returns the data centre that a call is about: this daemon's own
// unless the call names another.
func (h *Handler) dataCentreOf(r *http.Request) mothferry.DataCentre {
	if own := r.URL.Query().Get(paramDataCentre); own != "" {
		return mothferry.DataCentre(own)
	}
	return h.DataCentre
}

func (h *Handler) listHosts(w http.ResponseWriter, r *http.Request) {
	records, err := h.Hosts.List(r.Context(), h.dataCentreOf(r))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, records)
}

func (h *Handler) moveHost(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	pool, author := query.Get(paramPool), query.Get(paramAuthor)
	if pool == "" || author == "" {
		writeError(w, trace.BadParameter("%s and %s must be given", paramPool, paramAuthor))
		return
	}
	record, err := h.Hosts.Move(r.Context(), h.dataCentreOf(r), mothferry.HostID(r.PathValue("host")), mothferry.PoolID(pool), author)
	h.replyHost(w, record, err)
}

func (h *Handler) drainHost(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	author := query.Get(paramAuthor)
	if author == "" {
		writeError(w, trace.BadParameter("%s must be given", paramAuthor))
		return
	}
	record, err := h.Hosts.Drain(r.Context(), h.dataCentreOf(r), mothferry.HostID(r.PathValue("host")), query.Get(paramUndo) == "true", author)
	h.replyHost(w, record, err)
}

func (h *Handler) replyHost(w http.ResponseWriter, record mfhost.Record, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	h.Log.WithField("host", record.Host).WithField("state", record.State).WithField("author", record.Author).Info("Host change is accepted.")
	writeJSON(w, http.StatusOK, record)
}

// Hosts returns the hosts of a data centre, the daemon's own if dc is empty.
func (c *Client) Hosts(ctx context.Context, dc mothferry.DataCentre) ([]mfhost.Record, error) {
	var records []mfhost.Record
	err := c.callJSON(ctx, http.MethodGet, "/v1/hosts?"+url.Values{paramDataCentre: {string(dc)}}.Encode(), &records)
	return records, err
}

// Move asks for a host to be emptied and moved to another pool.
func (c *Client) Move(ctx context.Context, dc mothferry.DataCentre, host mothferry.HostID, pool mothferry.PoolID, author string) (mfhost.Record, error) {
	return c.changeHost(ctx, host, "move", url.Values{paramDataCentre: {string(dc)}, paramPool: {string(pool)}, paramAuthor: {author}})
}

// Drain asks for a host to be emptied, or with undo to take runners again.
func (c *Client) Drain(ctx context.Context, dc mothferry.DataCentre, host mothferry.HostID, undo bool, author string) (mfhost.Record, error) {
	query := url.Values{paramDataCentre: {string(dc)}, paramAuthor: {author}}
	if undo {
		query.Set(paramUndo, "true")
	}
	return c.changeHost(ctx, host, "drain", query)
}

func (c *Client) changeHost(ctx context.Context, host mothferry.HostID, act string, query url.Values) (mfhost.Record, error) {
	var record mfhost.Record
	err := c.callJSON(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(string(host))+"/"+act+"?"+query.Encode(), &record)
	return record, err
}
