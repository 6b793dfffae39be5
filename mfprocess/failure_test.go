package mfprocess

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfdaemon"
	"mothferry/mfexample"
	"mothferry/mfplacement"
	"mothferry/mfstandin"
)

// recordedCall is one call and what its caller saw, as the history holds it.
type recordedCall struct {
	call   call
	result result
}

// history gathers what callers did.
type history struct {
	mutex sync.Mutex
	calls []recordedCall
}

func (h *history) add(c call, r result) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.calls = append(h.calls, recordedCall{c, r})
}

// check compares the callers' history with the runners' journal, and returns how
// many calls were answered.
func (h *history) check(t *testing.T, runs []mfstandin.Run) int {
	t.Helper()
	byID, byKey := map[mothferry.RequestID]int{}, map[string]int{}
	for _, r := range runs {
		byID[r.Request]++
		if r.Key != "" {
			byKey[r.Key]++
		}
	}
	ends, answers := map[mothferry.End]int{}, map[string]string{}
	for _, s := range h.calls {
		ends[s.result.end]++
		ran := byID[s.call.id]
		assert.Check(t, ran <= 1, "%s ran %d times", s.call.id, ran)
		if s.result.err != nil {
			continue
		}
		switch s.result.end {
		case mothferry.EndNotRun:
			assert.Check(t, ran == 0, "%s was told not_run (%s) and ran", s.call.id, s.result.reason)
			assert.Check(t, s.result.retry != "", "%s was not told when to come back", s.call.id)
		case mothferry.EndAnswered:
			if s.call.key == "" {
				assert.Check(t, ran == 1, "%s was answered and ran %d times", s.call.id, ran)
				checkOwnAnswer(t, s.call, s.result)
				continue
			}
			first, ok := answers[s.call.key]
			assert.Check(t, !ok || first == string(s.result.body), "two answers to key %s", s.call.key)
			answers[s.call.key] = string(s.result.body)
		}
	}
	for key, n := range byKey {
		assert.Check(t, n == 1, "key %s ran %d times", key, n)
	}
	for key := range answers {
		assert.Check(t, byKey[key] == 1, "key %s was answered and ran %d times", key, byKey[key])
	}
	t.Logf("%d calls, ends %v, %d keys ran, %d keys answered", len(h.calls), ends, len(byKey), len(answers))
	return ends[mothferry.EndAnswered]
}

// TestAtMostOnceUnderFailure lets callers send orders that may not be repeated,
// with and without keys and the same key at several daemons at once, while
// runners and daemons are killed and frozen, runners cut or drop answers after
// they ran the request, and the table is down, slow, or loses replies.
func TestAtMostOnceUnderFailure(t *testing.T) {
	d := startDeployment(t, 2, "timing: {unready: 100ms}\n")
	services := d.apply(t, "stoisk")
	var h history
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for w := range 12 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(w)))
			for i := 0; ctx.Err() == nil; i++ {
				c := call{
					method: http.MethodPost, service: services[random.IntN(len(services))], path: "/orders?work=3ms",
					customer: mothferry.CustomerID(fmt.Sprint("customer-", w%4)), timeout: time.Second,
					id: mothferry.RequestID(fmt.Sprintf("order-%d-%d", w, i)), body: "order",
				}
				if w%2 == 0 {
					h.add(c, d.send(t.Context(), d.processes[random.IntN(len(d.processes))], c))
					continue
				}
				c.key = fmt.Sprintf("key-%d-%d", w, i)
				d.sendRepeatedly(t.Context(), &h, c, random)
			}
		})
	}
	d.injectFaults(t, services)
	stop()
	callers.Wait()
	answered := h.check(t, getStandin[[]mfstandin.Run](t, d, "journal"))
	assert.Check(t, answered > len(h.calls)/4, "too few answers for the test to mean anything")
}

// sendRepeatedly sends a keyed call at two daemons at once and then until it has an
// answer, a few times.
func (d *deployment) sendRepeatedly(ctx context.Context, h *history, c call, random *rand.Rand) {
	var group sync.WaitGroup
	for n := range 2 {
		p := d.processes[random.IntN(len(d.processes))]
		k := c
		k.id = mothferry.RequestID(fmt.Sprintf("%s-%d", c.id, n))
		group.Go(func() { h.add(k, d.send(ctx, p, k)) })
	}
	group.Wait()
	for n := 2; n < 5; n++ {
		k := c
		k.id = mothferry.RequestID(fmt.Sprintf("%s-%d", c.id, n))
		r := d.send(ctx, d.processes[random.IntN(len(d.processes))], k)
		h.add(k, r)
		if r.end == mothferry.EndAnswered {
			return
		}
	}
}

// injectFaults brings about one fault after the other under the callers' load.
func (d *deployment) injectFaults(t *testing.T, services []mothferry.ServiceID) {
	t.Helper()
	pause := func() { time.Sleep(400 * time.Millisecond) }
	runner := func(service mothferry.ServiceID, f mfstandin.RunnerFaults) {
		for _, r := range getStandin[[]mfstandin.RunnerStatus](t, d, "runners") {
			if r.Service == service {
				d.setStandin(t, "runners/"+string(r.Runner), f)
				return
			}
		}
	}
	pause()
	runner(services[0], mfstandin.RunnerFaults{Dead: true})
	runner(services[1], mfstandin.RunnerFaults{DropAfterRun: true})
	runner(services[2], mfstandin.RunnerFaults{CutAfter: 40})
	runner(services[3], mfstandin.RunnerFaults{Work: 1500 * time.Millisecond})
	pause()
	killed, frozen := d.processes[0], d.processes[3]
	killed.kill(t)
	frozen.signal(t, syscall.SIGSTOP)
	d.setStandin(t, "faults", mfstandin.Faults{LoseReplies: 20})
	pause()
	pause()
	d.startDaemon(t, killed)
	pause()
	frozen.signal(t, syscall.SIGCONT)
	d.setStandin(t, "faults", mfstandin.Faults{Down: true})
	pause()
	d.setStandin(t, "faults", mfstandin.Faults{Delay: 50 * time.Millisecond, LoseReplies: 20})
	pause()
	d.setStandin(t, "faults", mfstandin.Faults{})
	pause()
}

// TestServesWhenPartitioned takes the platform away, then a data centre's runners, then the
// other data centres. What can be served is served; the rest is refused at
// once and told when to come back.
func TestServesWhenPartitioned(t *testing.T) {
	d := startDeployment(t, 2, "")
	d.apply(t, "stoisk")
	p := d.processes[0]
	d.setStandin(t, "faults", mfstandin.Faults{Down: true})
	plain := call{method: http.MethodPost, service: "stands", path: "/orders", customer: "c", id: "plain", body: "x"}
	r := d.send(t.Context(), p, plain)
	assert.Equal(t, r.end, mothferry.EndAnswered, "%s", r.body)
	checkOwnAnswer(t, plain, r)
	keyed := call{method: http.MethodPost, service: "stands", path: "/orders", customer: "c", id: "keyed", key: "k", body: "x"}
	r = d.send(t.Context(), p, keyed)
	assert.Equal(t, r.end, mothferry.EndNotRun, "%s", r.body)
	assert.Equal(t, r.reason, mothferry.ReasonLedgerDown)
	assert.Assert(t, r.retry != "")
	read := call{method: http.MethodGet, service: "stands", path: "/plan", customer: "c", id: "read", key: "k2"}
	r = d.send(t.Context(), p, read)
	assert.Equal(t, r.end, mothferry.EndAnswered, "%s", r.body)

	for _, k := range placedRunners(t, p, "stands") {
		d.setStandin(t, "runners/"+string(k.Task), mfstandin.RunnerFaults{Dead: true})
	}
	// Each attempt is a request of its own: one whose end is unknown, such as the
	// first over a connection to a runner that has just died, may have run, and
	// its caller may not send it again.
	h := &history{}
	attempt := func(name, path string) result {
		c := call{method: http.MethodPost, service: "stands", path: path, customer: "c", id: mothferry.RequestID(fmt.Sprint(name, len(h.calls))), body: "x"}
		r := d.send(t.Context(), p, c)
		h.add(c, r)
		t.Logf("%s ended as %s %s", c.id, r.end, r.reason)
		return r
	}
	eventually(t, "another data centre serves", func() bool {
		r = attempt("spilled-", "/orders?size=200000")
		return r.end == mothferry.EndAnswered
	})

	for _, o := range d.processes {
		if o.centre != p.centre {
			o.signal(t, syscall.SIGSTOP)
			t.Cleanup(func() { _ = o.command.Process.Signal(syscall.SIGCONT) })
		}
	}
	eventually(t, "refused at once", func() bool {
		r = attempt("refused-", "/orders")
		return r.end == mothferry.EndNotRun
	})
	assert.Assert(t, h.check(t, getStandin[[]mfstandin.Run](t, d, "journal")) > 0)
}

// TestLeavingRunnersGetNoNewRequests: a document asks for fewer runners, so some leave.
// They have slow requests in flight, which must end whole, while the host list
// lags, the platform goes out, a daemon is frozen through it all and resumes,
// and another one joins. After the bound no runner that leaves gets new work.
func TestLeavingRunnersGetNoNewRequests(t *testing.T) {
	const bound = 3 * time.Second
	d := startDeployment(t, 3, "")
	d.setStandin(t, "faults", mfstandin.Faults{ListLag: time.Hour})
	d.apply(t, "stoisk")
	joining, frozen := d.processes[1], d.processes[2]
	joining.kill(t)
	var slow sync.WaitGroup
	for i := range 12 {
		c := call{method: http.MethodPost, service: "payments", path: "/orders?work=4500ms", customer: mothferry.CustomerID(fmt.Sprint("c", i)), id: mothferry.RequestID(fmt.Sprint("slow-", i)), body: "x"}
		slow.Go(func() {
			r := d.send(t.Context(), d.processes[0], c)
			assert.Check(t, r.end == mothferry.EndAnswered, "cut off: %s %s %v", r.end, r.reason, r.err)
		})
	}
	eventually(t, "slow requests run", func() bool { return len(d.runCounts(t)) == 12 })
	frozen.signal(t, syscall.SIGSTOP)
	base := d.setRunnerCount(t, "stoisk", "payments", 3)
	leaving := map[mothferry.TaskID]bool{}
	eventually(t, "runners leave", func() bool {
		for _, k := range placedRunners(t, d.processes[0], "payments") {
			if k.State == mfplacement.StateLeaving || k.State == mfplacement.StateStopping {
				leaving[k.Task] = true
			}
		}
		return len(leaving) == 3
	})
	since := time.Now()
	d.setStandin(t, "faults", mfstandin.Faults{Down: true, ListLag: time.Hour})
	d.startDaemon(t, joining)
	time.Sleep(bound + 200*time.Millisecond)
	frozen.signal(t, syscall.SIGCONT)
	d.awaitRevision(t, base, []*process{joining})
	var group sync.WaitGroup
	for _, p := range d.processes[:3] {
		for w := range 4 {
			group.Go(func() {
				for i := range 25 {
					d.send(t.Context(), p, call{method: http.MethodPost, service: "payments", path: "/orders?work=2ms", customer: mothferry.CustomerID(fmt.Sprint("d", w)), id: mothferry.RequestID(fmt.Sprint("after-", p.name, "-", w, "-", i)), body: "x"})
				}
			})
		}
	}
	group.Wait()
	late, after := 0, 0
	for _, r := range getStandin[[]mfstandin.Run](t, d, "journal") {
		if r.Time.After(since.Add(bound)) {
			after++
			if leaving[r.Runner] {
				t.Logf("%s runs on %s, which leaves, %v after the bound", r.Request, r.Runner, r.Time.Sub(since.Add(bound)))
				late++
			}
		}
	}
	slow.Wait()
	assert.Assert(t, after > 100, "only %d requests ran after the bound", after)
	assert.Equal(t, late, 0, "new work at leaving runners after the bound")
}

// setRunnerCount changes the number of a service's runners and returns the revision
// that was edited.
func (d *deployment) setRunnerCount(t *testing.T, team string, service mothferry.ServiceID, runners int) mothferry.Revision {
	t.Helper()
	documents, err := mfexample.Documents(team)
	assert.NilError(t, err)
	for _, k := range documents {
		if k.Service != service {
			continue
		}
		k.Runners = runners
		_, base, err := d.processes[0].operator.Document(t.Context(), service)
		assert.NilError(t, err)
		_, err = d.processes[0].operator.Apply(t.Context(), service, k.Document.YAML(), base, "test", mfdaemon.NewToken())
		assert.NilError(t, err)
		return base
	}
	t.Fatalf("no document of %s", service)
	return 0
}

// TestRunnersStopOnlyWhenIdle: symptom, requests are cut off when a document asks for
// fewer runners. Sequence: the holder asks the workers to stop runners at once,
// while entry hosts still have requests there, and the workers are abrupt.
// Cause: a stop that does not wait for every entry host to be done.
func TestRunnersStopOnlyWhenIdle(t *testing.T) {
	d := startDeployment(t, 2, "")
	d.apply(t, "stoisk")
	d.setStandin(t, "faults", mfstandin.Faults{AbruptStop: true})
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for w := range 24 {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				c := call{method: http.MethodPost, service: "payments", path: "/orders?work=250ms", customer: mothferry.CustomerID(fmt.Sprint("c", w)), id: mothferry.RequestID(fmt.Sprint("r-", w, "-", i)), body: "x"}
				r := d.send(t.Context(), d.processes[w%6], c)
				assert.Check(t, r.end != mothferry.EndUnknown && r.err == nil, "%s was cut off: %s %v", c.id, r.reason, r.err)
			}
		})
	}
	eventually(t, "requests run", func() bool { return len(d.runCounts(t)) >= 48 })
	d.setRunnerCount(t, "stoisk", "payments", 3)
	eventually(t, "runners are gone", func() bool {
		count := 0
		for _, r := range getStandin[[]mfstandin.RunnerStatus](t, d, "runners") {
			if r.Service == "payments" {
				count++
			}
		}
		return count == 3
	})
	stop()
	group.Wait()
}

// TestRunnerCrashUnderLoad kills a runner under load: of the requests that may be
// repeated none is lost, of the others only those that it was working on.
func TestRunnerCrashUnderLoad(t *testing.T) {
	d := startDeployment(t, 2, "")
	d.apply(t, "kelani")
	ctx, stop := context.WithCancel(t.Context())
	var mutex sync.Mutex
	lost := map[string]int{}
	var group sync.WaitGroup
	for w := range 24 {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				c := call{method: []string{http.MethodGet, http.MethodPost}[w%2], service: "quoting", path: "/x?work=20ms", customer: mothferry.CustomerID(fmt.Sprint("c", w)), id: mothferry.RequestID(fmt.Sprint("r-", w, "-", i))}
				r := d.send(t.Context(), d.processes[w%6], c)
				if r.end != mothferry.EndAnswered {
					mutex.Lock()
					lost[c.method+" "+string(r.end)]++
					mutex.Unlock()
				}
			}
		})
	}
	eventually(t, "requests run", func() bool { return len(d.runCounts(t)) >= 100 })
	victim := placedRunners(t, d.processes[0], "quoting")[0]
	d.setStandin(t, "runners/"+string(victim.Task), mfstandin.RunnerFaults{Dead: true})
	time.Sleep(500 * time.Millisecond)
	stop()
	group.Wait()
	t.Logf("not answered: %v", lost)
	assert.Equal(t, lost["GET unknown"]+lost["GET not_run"], 0)
	assert.Equal(t, lost["POST not_run"], 0)
	assert.Assert(t, lost["POST unknown"] <= int(victim.Slots), "%v", lost)
}

// TestGracefulStopUnderLoad stops a daemon and shrinks a service while slow requests and
// kept-alive connections are in use: nothing in flight is cut off, and the
// runner is told to stop only when nothing is left there.
func TestGracefulStopUnderLoad(t *testing.T) {
	d := startDeployment(t, 2, "timing: {unready: 300ms}\n")
	d.apply(t, "kelani")
	leaving := d.processes[0]
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			client := &deployment{client: &http.Client{Timeout: waitTimeout}}
			for i := range 6 {
				c := call{method: http.MethodPost, service: "test-pressings", path: "/orders?work=300ms&size=100000", customer: mothferry.CustomerID(fmt.Sprint("c", w)), id: mothferry.RequestID(fmt.Sprint("r-", w, "-", i)), body: "x"}
				r := client.send(t.Context(), leaving, c)
				if r.err != nil {
					// Refused connections are the balancer's to avoid; a request
					// whose connection was open must have been answered.
					assert.Check(t, d.runCounts(t)[c.id] == 0, "%s was cut off: %v", c.id, r.err)
					return
				}
				assert.Check(t, r.end == mothferry.EndAnswered, "%s: %s %s", c.id, r.end, r.reason)
			}
		})
	}
	eventually(t, "requests run", func() bool { return len(d.runCounts(t)) >= 8 })
	leaving.signal(t, syscall.SIGTERM)
	group.Wait()
	<-leaving.exited
	assert.Equal(t, leaving.command.ProcessState.ExitCode(), 0)
}

// TestSecondSignalExitsImmediately: a second SIGTERM ends a daemon without waiting.
func TestSecondSignalExitsImmediately(t *testing.T) {
	d := startDeployment(t, 1, "")
	d.apply(t, "kelani")
	p := d.processes[0]
	done := make(chan result)
	go func() {
		done <- d.send(t.Context(), p, call{method: http.MethodPost, service: "back-office", path: "/export?work=20s", customer: "c", id: "long", body: "x"})
	}()
	eventually(t, "request runs", func() bool { return d.runCounts(t)["long"] == 1 })
	p.signal(t, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	p.signal(t, syscall.SIGTERM)
	<-p.exited
	assert.Assert(t, p.command.ProcessState.ExitCode() != 0)
	assert.Assert(t, (<-done).err != nil)
}
