package mffleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mffake"
	"mothferry/mffleet"
	"mothferry/mfrecord"
	"mothferry/mfstandin"
)

const forwardJob = `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":64,"est_ms":30}]}`

// group is some hosts of one store, each with a gate to it.
type group struct {
	rows    *mfstandin.Rows
	workers *mfstandin.TaskWorker
	hosts   []host
	gates   []*mfstandin.FaultyStore
}

// startGroup starts hosts that know of each other and have an owner. The last one owns
// the shard at first.
func startGroup(t *testing.T, n int) *group {
	t.Helper()
	g := &group{rows: &mfstandin.Rows{}, workers: &mfstandin.TaskWorker{Service: "s", TaskTime: 30 * time.Millisecond, Cores: 64000, Clock: mfclock.System{}}}
	g.hosts, g.gates = make([]host, n), make([]*mfstandin.FaultyStore, n)
	// Ports of addresses of their own are not taken by connections that go out meanwhile.
	subnet := mffake.ClaimSubnet(t)
	told := make([]mfrecord.Host, n)
	for i := range told {
		// As after a restart: their rows are there.
		told[i] = mfrecord.Host{Daemon: mothferry.DaemonID(fmt.Sprintf("h-%d", i)), DataCentre: "a", Address: fmt.Sprintf("%s.%d:7060", subnet, 10+i), Forward: fmt.Sprintf("%s.%d:7061", subnet, 10+i), Cores: 400}
		value, err := told[i].Encode()
		assert.NilError(t, err)
		_, err = g.rows.Commit(context.Background(), mothferry.Txn{Writes: []mothferry.Write{{Table: mfrecord.TableHosts, Key: mothferry.Key(told[i].Daemon), Value: value}}})
		assert.NilError(t, err)
	}
	for i := n - 1; i >= 0; i-- {
		g.gates[i] = &mfstandin.FaultyStore{Store: g.rows}
		g.hosts[i] = startHost(t, told[i].Daemon, g.gates[i], g.workers, func(s *mffleet.Settings) {
			s.Callers, s.Ready, s.Metrics = fmt.Sprintf("%s.%d:7100", subnet, 10+i), fmt.Sprintf("%s.%d:7101", subnet, 10+i), fmt.Sprintf("%s.%d:7070", subnet, 10+i)
			s.DataCentre, s.Relay, s.Forward = told[i].DataCentre, told[i].Address, told[i].Forward
			s.Off = mothferry.FeaturesOff{mothferry.FeatureForwarding: os.Getenv("MOTHFERRY_TEST_WITHOUT") == string(mothferry.FeatureForwarding)}
		})
		t.Cleanup(g.hosts[i].stop)
		if i == n-1 {
			eventually(t, "an owner", func() bool { return g.owner(t) == "h-"+fmt.Sprint(n-1) })
		}
	}
	for i := range g.hosts {
		eventually(t, "a ready host", func() bool { return g.isReady(i) })
	}
	// Each reads which hosts there are soon after its start.
	time.Sleep(1500 * time.Millisecond)
	return g
}

func (g *group) owner(t *testing.T) string {
	t.Helper()
	page, err := g.rows.Range(context.Background(), mothferry.RowRange{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, From: mfrecord.KeyHead, To: mfrecord.KeyHead + "\x00"})
	assert.NilError(t, err)
	if len(page.Rows) == 0 {
		return ""
	}
	head, err := mfrecord.DecodeHead(page.Rows[0].Value)
	assert.NilError(t, err)
	return string(head.Holder)
}

// releaseCount counts how often it was stored that the shard has no owner.
func (g *group) releaseCount(t *testing.T) int {
	t.Helper()
	page, err := g.rows.Follow(context.Background(), mfrecord.TableOwner, 0, 0)
	assert.NilError(t, err)
	count := 0
	for _, r := range page.Rows {
		if head, err := mfrecord.DecodeHead(r.Value); r.Key == mfrecord.KeyHead && err == nil && head.Holder == "" {
			count++
		}
	}
	return count
}

func (g *group) isReady(i int) bool {
	response, err := http.Get("http://" + g.hosts[i].ready + "/")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// metric returns the lines of a host's metrics that begin with a text.
func (g *group) metric(t *testing.T, i int, name string) string {
	t.Helper()
	response, err := http.Get("http://" + g.hosts[i].metrics + "/")
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var found []string
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, name) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return strings.Join(found, "\n")
}

// timedRequest makes a request and returns how long it took.
func (g *group) timedRequest(t *testing.T, i int, method string, id int) (code int, text string, took time.Duration) {
	t.Helper()
	body := ""
	if method == http.MethodPost {
		body = forwardJob
	}
	began := time.Now()
	code, text = request(t, g.hosts[i], method, fmt.Sprintf("/q/%016x", id), body)
	return code, text, time.Since(began)
}

// Symptom guarded against: a host that the store turns away refuses all its callers, though its neighbours are served.
func TestUnservedHostForwardsToPeer(t *testing.T) {
	for name, fault := range map[string]mfstandin.StoreFault{"busy": mfstandin.StoreBusy, "reset": mfstandin.StoreReset, "silent": mfstandin.StoreTimeout} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 3)
			g.gates[0].SetFault(fault)
			for i := range 20 {
				code, text, took := g.timedRequest(t, 0, http.MethodPost, i)
				assert.Equal(t, code, http.StatusOK, "hand-in %d: %s", i, text)
				assert.Assert(t, took < time.Second, "hand-in %d took %v", i, took)
				time.Sleep(50 * time.Millisecond)
			}
			for i := range 20 {
				code, text, took := g.timedRequest(t, 0, http.MethodGet, i)
				assert.Equal(t, code, http.StatusOK, "look-up %d: %s", i, text)
				assert.Assert(t, took < time.Second)
			}
			code, _, _ := g.timedRequest(t, 0, http.MethodDelete, 3)
			assert.Equal(t, code, http.StatusOK)
			code, _, _ = g.timedRequest(t, 0, http.MethodGet, 4711)
			assert.Equal(t, code, http.StatusGone)
			time.Sleep(2500 * time.Millisecond)
			code, count := request(t, g.hosts[0], http.MethodGet, "/q/", "")
			assert.Equal(t, code, http.StatusOK)
			assert.Equal(t, count, `{"pending":0}`)
			assert.Assert(t, g.isReady(0))
			assert.Equal(t, g.metric(t, 0, "mothferry_store_serving"), "mothferry_store_serving 0")
			assert.Assert(t, g.metric(t, 0, `mothferry_calls_forwarded_total{kind="accept",outcome="done"}`) != "")
			carried := g.metric(t, 1, `mothferry_calls_carried_total{kind="accept",outcome="done"}`) + g.metric(t, 2, `mothferry_calls_carried_total{kind="accept",outcome="done"}`)
			assert.Assert(t, carried != "")
			g.gates[0].SetFault(mfstandin.StoreOK)
			eventually(t, "service by the own store", func() bool {
				return g.metric(t, 0, "mothferry_store_serving") == "mothferry_store_serving 1"
			})
			assert.Equal(t, len(g.workers.StartedTwice()), 0, "%v", g.workers.StartedTwice())
		})
	}
}

// Symptom guarded against: with all hosts turned away calls are passed round, held to their end, or hosts stay ready.
func TestAllHostsUnservedRefuseImmediately(t *testing.T) {
	for name, fault := range map[string]mfstandin.StoreFault{"busy": mfstandin.StoreBusy, "silent": mfstandin.StoreTimeout} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 3)
			for _, gate := range g.gates {
				gate.SetFault(fault)
			}
			time.Sleep(2500 * time.Millisecond)
			for i := range 10 {
				code, _, took := g.timedRequest(t, 0, http.MethodPost, i)
				assert.Equal(t, code, http.StatusServiceUnavailable)
				assert.Assert(t, took < 400*time.Millisecond, "hand-in took %v", took)
				code, _, took = g.timedRequest(t, 0, http.MethodGet, i)
				assert.Equal(t, code, http.StatusServiceUnavailable)
				assert.Assert(t, took < 400*time.Millisecond, "look-up took %v", took)
			}
			assert.Assert(t, !g.isReady(0))
			for _, gate := range g.gates {
				gate.SetFault(mfstandin.StoreOK)
			}
			eventually(t, "acceptance", func() bool {
				code, _, _ := g.timedRequest(t, 0, http.MethodPost, 1)
				return code == http.StatusOK
			})
		})
	}
}

// Failure guarded against: a hand-in's answer is lost at the peer, then a refusal says that the job never runs, and it does.
func TestLostPeerReplyIsNotARefusal(t *testing.T) {
	g := startGroup(t, 2)
	g.gates[0].SetFault(mfstandin.StoreBusy)
	eventually(t, "a host that passes calls on", func() bool {
		code, _, _ := g.timedRequest(t, 0, http.MethodPost, 100)
		return code == http.StatusOK
	})
	g.gates[1].SetFault(mfstandin.StoreLate)
	code, _, _ := g.timedRequest(t, 0, http.MethodPost, 7)
	assert.Equal(t, code, http.StatusGatewayTimeout)
	g.gates[1].SetFault(mfstandin.StoreBusy)
	for range 5 {
		code, _, _ = g.timedRequest(t, 0, http.MethodPost, 7)
		assert.Equal(t, code, http.StatusGatewayTimeout)
	}
	code, _, _ = g.timedRequest(t, 0, http.MethodPost, 8)
	assert.Equal(t, code, http.StatusServiceUnavailable)
	for _, gate := range g.gates {
		gate.SetFault(mfstandin.StoreOK)
	}
	g.gates[1].ApplyLate(context.Background())
	eventually(t, "completion", func() bool {
		_, text, _ := g.timedRequest(t, 0, http.MethodGet, 7)
		return text == `{"state":"completed"}`
	})
	eventually(t, "absence", func() bool {
		code, _, _ := g.timedRequest(t, 0, http.MethodGet, 8)
		return code == http.StatusGone
	})
}

// Failure guarded against: a hand-in that goes two ways, by an own write that is made late and by a peer, runs twice.
func TestJobSubmittedTwoWaysRunsOnce(t *testing.T) {
	g := startGroup(t, 2)
	g.gates[0].SetFault(mfstandin.StoreLate)
	for i := range 5 {
		code, text, _ := g.timedRequest(t, 0, http.MethodPost, i)
		assert.Equal(t, code, http.StatusOK, "hand-in %d: %s", i, text)
	}
	for i := range 5 {
		eventually(t, "completion", func() bool {
			_, text, _ := g.timedRequest(t, 0, http.MethodGet, i)
			return text == `{"state":"completed"}`
		})
	}
	g.gates[0].SetFault(mfstandin.StoreOK)
	g.gates[0].ApplyLate(context.Background())
	time.Sleep(300 * time.Millisecond)
	for i := range 5 {
		_, text, _ := g.timedRequest(t, 1, http.MethodGet, i)
		assert.Equal(t, text, `{"state":"completed"}`)
	}
	assert.Equal(t, len(g.workers.StartedTwice()), 0, "%v", g.workers.StartedTwice())
}

// Failure guarded against: a peer's store goes silent with hand-ins in flight, and callers wait for longer than they said, or its other callers go under.
func TestFailedPeerIsReplaced(t *testing.T) {
	g := startGroup(t, 3)
	g.gates[0].SetFault(mfstandin.StoreBusy)
	eventually(t, "a host that passes calls on", func() bool {
		code, _, _ := g.timedRequest(t, 0, http.MethodPost, 100)
		return code == http.StatusOK
	})
	first := 1
	if g.metric(t, 2, `mothferry_calls_carried_total{kind="accept"`) != "" {
		first = 2
	}
	g.hosts[first].stop()
	for i := range 20 {
		code, _, took := g.timedRequest(t, 0, http.MethodPost, i)
		assert.Assert(t, took < 2*time.Second, "hand-in took %v", took)
		assert.Assert(t, code == http.StatusOK || code == http.StatusGatewayTimeout, "hand-in %d: %d", i, code)
		code, text, _ := g.timedRequest(t, 0, http.MethodGet, 100)
		assert.Equal(t, code, http.StatusOK, text)
		time.Sleep(100 * time.Millisecond)
	}
}

// Failure guarded against: an owner that the store turns away keeps its shard until its lease lapses, and nothing starts meanwhile.
func TestUnservedOwnerReleasesShard(t *testing.T) {
	for name, fault := range map[string]mfstandin.StoreFault{"busy": mfstandin.StoreBusy, "reset": mfstandin.StoreReset, "silent": mfstandin.StoreTimeout} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 3)
			const rounds = 5
			var worst, sum time.Duration
			for range rounds {
				owner := g.owner(t)
				i := int(owner[2] - '0')
				g.gates[i].SetFault(fault)
				began := time.Now()
				eventually(t, "another owner", func() bool { now := g.owner(t); return now != owner && now != "" })
				took := time.Since(began)
				worst, sum = max(worst, took), sum+took
				g.gates[i].SetFault(mfstandin.StoreOK)
				eventually(t, "a host that is served", func() bool { return g.metric(t, i, "mothferry_store_serving") == "mothferry_store_serving 1" })
				time.Sleep(time.Second)
				assert.Assert(t, g.owner(t) != owner, "the shard came back to %s", owner)
			}
			t.Logf("%s: mean %v, worst %v, given up %d times", name, sum/rounds, worst, g.releaseCount(t))
			assert.Assert(t, sum/rounds < time.Second, "the shard had another owner after %v", sum/rounds)
			// Silence takes nearly as long to notice as the lease, which may lapse first.
			least := rounds - 1
			if fault == mfstandin.StoreTimeout {
				least = 1
			}
			assert.Assert(t, g.releaseCount(t) >= least, "the shard was given up %d times", g.releaseCount(t))
		})
	}
}
