package mfcommand

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLoadCommand(t *testing.T) {
	var reads atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "mothferry_owning 1\nmothferry_handed_in_total{queue=\"q\",account=\"a\",outcome=\"refused_share\"} %d\n", 7*reads.Add(1))
	}))
	defer server.Close()
	host := strings.TrimPrefix(server.URL, "http://")
	code, out, errs := run(t, "load", "--hosts", host+", 127.0.0.1:1,"+host, "accounts")
	assert.Equal(t, code, exitOK, errs)
	assert.Assert(t, strings.Contains(out, "hosts that answered: 1") && strings.Contains(out, "missing: 127.0.0.1:1"), out)
	assert.Assert(t, strings.Contains(out, "ACCOUNT") && !strings.Contains(out, "BINDING"), out)
	code, out, errs = run(t, "load", "--hosts", host, "--output", "json", "--over", "1ms")
	assert.Equal(t, code, exitOK, errs)
	assert.Assert(t, strings.Contains(out, `"asked":7,`), out)
	code, _, errs = run(t, "load", "--hosts", "127.0.0.1:1")
	assert.Equal(t, code, exitNoReply)
	assert.Assert(t, strings.Contains(errs, "127.0.0.1:1: "), errs)
	for _, arguments := range []string{"load", "load --hosts x nonsense", "load --hosts x --top 0", "load --hosts x --output xml", "load --hosts x --timeout 0s"} {
		code, _, errs = run(t, strings.Fields(arguments)...)
		assert.Equal(t, code, exitUsage, "%s: %s", arguments, errs)
	}
}
