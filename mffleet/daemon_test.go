package mffleet_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mffleet"
	"mothferry/mflog"
	"mothferry/mfqueue"
	"mothferry/mfsched"
	"mothferry/mfstandin"
	"mothferry/platform"
)

// host is one daemon of the test.
type host struct {
	callers string
	ready   string
	metrics string
	stop    context.CancelFunc
	done    chan error
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func startHost(t *testing.T, name mothferry.DaemonID, rows mothferry.RowStore, w *mfstandin.TaskWorker, change ...func(s *mffleet.Settings)) host {
	t.Helper()
	config := &mfqueue.Config{Version: 1, Queues: []mfqueue.Queue{{
		ID: "q", Host: "jobs.example", Prefix: "/q/", Service: "s", MaxAttempts: 2, Stretch: 2, Latency: time.Second,
	}}}
	h := host{callers: freeAddress(t), ready: freeAddress(t), metrics: freeAddress(t), done: make(chan error, 1)}
	d := &mffleet.Daemon{
		Settings: mffleet.Settings{
			Daemon: name, Callers: h.callers, Ready: h.ready, Metrics: h.metrics,
			Grace: time.Second, Cores: 400, MachineHandoverDelay: time.Second, Limits: mfsched.DefaultLimits(),
		},
		Clock: mfclock.System{}, Random: mfclock.SystemRandom{},
		Logs: &mflog.Logs{Output: io.Discard, Format: mflog.FormatJSON},
	}
	for _, f := range change {
		f(&d.Settings)
	}
	h.callers, h.ready, h.metrics = d.Settings.Callers, d.Settings.Ready, d.Settings.Metrics
	d.Adapter = mffleet.Adapter{
		Store: rows, Workers: w, Listing: w, Machines: w,
		FollowOperator: func(ctx context.Context, news mffleet.OperatorCallbacks) error {
			news.OnConfig(config)
			<-ctx.Done()
			return ctx.Err()
		},
		ReportWave: func(context.Context, mothferry.WaveID, bool) error { return nil },
		CallersHandler: func(d *mffleet.Daemon) http.Handler {
			return &platform.Front{Intake: d.Intake, Router: d.Router, Config: d.Config, Clock: mfclock.System{}, Log: mflog.Discard(), Ended: d.ObserveRequest}
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.done <- d.Run(ctx) }()
	return h
}

func request(t *testing.T, h host, method, path, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+h.callers+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	r.Host = "jobs.example"
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var text bytes.Buffer
	_, _ = text.ReadFrom(response.Body)
	return response.StatusCode, text.String()
}

// eventually waits until f holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 600 {
		if f() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s never came about", what)
}

// Jobs end to end over two hosts: handed in at either, looked up at either, and
// completed although the owner is stopped while they run; nothing runs twice.
func TestJobsSurvivePlannedStop(t *testing.T) {
	rows := &mfstandin.Rows{}
	w := &mfstandin.TaskWorker{Service: "s", TaskTime: 30 * time.Millisecond, Cores: 64000, Clock: mfclock.System{}}
	first := startHost(t, "h-1", rows, w)
	eventually(t, "an owner", func() bool {
		code, _ := request(t, first, http.MethodGet, "/q/", "")
		return code == http.StatusOK
	})
	second := startHost(t, "h-2", rows, w)
	defer second.stop()
	const jobs = 20
	body := `{"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":64,"est_ms":30},{"count":2,"cpu":500,"mem_mb":64,"est_ms":30,"after":[0]}]}`
	for i := range jobs {
		h := first
		if i%2 == 1 {
			h = second
		}
		eventually(t, "acceptance", func() bool {
			code, _ := request(t, h, http.MethodPost, fmt.Sprintf("/q/%016x", i), body)
			return code == http.StatusOK
		})
		if i == jobs/2 {
			first.stop()
			first = second
		}
	}
	for i := range jobs {
		eventually(t, "completion", func() bool {
			_, text := request(t, second, http.MethodGet, fmt.Sprintf("/q/%016x", i), "")
			return text == `{"state":"completed"}`
		})
	}
	code, _ := request(t, second, http.MethodGet, "/q/00000000000000ff", "")
	assert.Equal(t, code, http.StatusGone)
	code, _ = request(t, second, http.MethodPost, "/q/00000000000000fe", `{"steps":[{"count":0}]}`)
	assert.Equal(t, code, http.StatusBadRequest)
	code, _ = request(t, second, http.MethodPost, "/other/00000000000000fe", body)
	assert.Equal(t, code, http.StatusNotFound)
	assert.Equal(t, len(w.StartedTwice()), 0, "%v", w.StartedTwice())
}
