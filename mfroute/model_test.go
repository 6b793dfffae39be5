package mfroute

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
)

// The model: entry hosts that do not see each other's requests share runners
// of 8 slots. Service times are log-normal with a mean of 50 ms; a refusal
// costs a round trip. Time is simulated, so a run is exact and repeatable.
const (
	modelHosts     = 3
	modelSlots     = 8
	modelMean      = 50 * time.Millisecond
	modelSigma     = 0.8
	modelRoundTrip = 500 * time.Microsecond
	modelDeadline  = 500 * time.Millisecond
	modelGossip    = 250 * time.Millisecond
	modelDuration  = 30 * time.Second
	modelWarmup    = 4 * time.Second
	// modelRetryDelay is how long the policies without shares wait before they send
	// a refused request to another runner.
	modelRetryDelay = 5 * time.Millisecond
)

// event is something that happens at a time of the model.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any) {
	k, _ := x.(event)
	*e = append(*e, k)
}

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// model is one run. It is also the clock of the balancers under test.
type model struct {
	scenario    scenario
	now         time.Duration
	queue       events
	seq         int
	random      *rand.Rand
	inService   []int
	hosts       []dispatcher
	result      modelResult
	latencies   []time.Duration
	perCustomer map[mothferry.CustomerID][2]int
}

// scenario is what a run is exposed to.
type scenario struct {
	load    float64
	runners int
	// split is each entry host's part of the arrivals.
	split [modelHosts]float64
	// rotateEvery moves the parts on to the next entry host every so often.
	rotateEvery time.Duration
	// slow, dead and liar are the numbers of runners that take ten times as
	// long, refuse connections, or refuse every request as busy.
	slow, dead, alwaysBusy int
	// noisy sends this many times the requests of each of the nine others.
	noisy float64
}

// modelResult is what a run showed.
type modelResult struct {
	goodput       float64
	p50           time.Duration
	p99           time.Duration
	refused       float64
	overrun       int
	quietAnswered float64
}

// dispatcher is one entry host's policy.
type dispatcher interface {
	arrive(r *modelRequest)
	// finished tells that a request's attempt at a runner ended.
	finished(r *modelRequest, runner int, result Result)
	gossip()
}

// modelRequest is one request of the model.
type modelRequest struct {
	arrived  time.Duration
	customer mothferry.CustomerID
	host     dispatcher
	lease    *Lease
	tries    int
}

// Now implements mothferry.Clock.
func (m *model) Now() time.Time { return time.Unix(0, 0).Add(m.now) }

// After implements mothferry.Clock; balancers never call it.
func (m *model) After(time.Duration) <-chan time.Time { return nil }

func (m *model) schedule(d time.Duration, act func()) {
	m.seq++
	heap.Push(&m.queue, event{at: m.now + d, seq: m.seq, action: act})
}

// simulate plays a scenario with a policy for each entry host.
func simulate(s scenario, policy func(m *model, self int) dispatcher) modelResult {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(7, 11)), inService: make([]int, s.runners), perCustomer: map[mothferry.CustomerID][2]int{}}
	for i := range modelHosts {
		m.hosts = append(m.hosts, policy(m, i))
	}
	capacity := float64(s.runners*modelSlots) / modelMean.Seconds()
	m.scheduleArrival(s.load * capacity)
	m.scheduleGossip()
	for len(m.queue) > 0 && m.now < modelDuration {
		e, _ := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.action()
	}
	return m.summary(capacity)
}

func (m *model) scheduleArrival(rate float64) {
	m.schedule(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		m.scheduleArrival(rate)
		host, part := 0, m.random.Float64()
		for host < modelHosts-1 && part > m.scenario.split[host] {
			part -= m.scenario.split[host]
			host++
		}
		if m.scenario.rotateEvery > 0 {
			host = (host + int(m.now/m.scenario.rotateEvery)) % modelHosts
		}
		r := &modelRequest{arrived: m.now, host: m.hosts[host], customer: m.customer()}
		m.countRequest(r, 0)
		r.host.arrive(r)
	})
}

func (m *model) customer() mothferry.CustomerID {
	noisy := max(m.scenario.noisy, 1)
	if n := m.random.Float64() * (9 + noisy); n < 9 {
		return mothferry.CustomerID(fmt.Sprint("quiet-", int(n)))
	}
	return "noisy"
}

// countRequest adds to a customer's requests (0) or answers in time (1).
func (m *model) countRequest(r *modelRequest, what int) {
	if m.now > modelWarmup {
		counts := m.perCustomer[r.customer]
		counts[what]++
		m.perCustomer[r.customer] = counts
	}
}

func (m *model) scheduleGossip() {
	m.schedule(modelGossip, func() {
		for _, h := range m.hosts {
			h.gossip()
		}
		m.scheduleGossip()
	})
}

// dispatch sends a request to a runner; the host hears of its end.
func (m *model) dispatch(r *modelRequest, runner int) {
	s := m.scenario
	first := runner < s.dead
	m.schedule(modelRoundTrip/2, func() {
		switch {
		case first:
			m.schedule(modelRoundTrip/2, func() { r.host.finished(r, runner, ResultConnectFailed) })
		case m.inService[runner] >= modelSlots || runner < s.dead+s.alwaysBusy:
			m.refuse(r, runner)
		default:
			m.serve(r, runner)
		}
	})
}

func (m *model) refuse(r *modelRequest, runner int) {
	if m.now > modelWarmup {
		m.result.refused++
	}
	m.schedule(modelRoundTrip/2, func() { r.host.finished(r, runner, ResultBusy) })
}

func (m *model) serve(r *modelRequest, runner int) {
	m.inService[runner]++
	mean := math.Log(modelMean.Seconds()) - modelSigma*modelSigma/2
	service := time.Duration(math.Exp(mean+modelSigma*m.random.NormFloat64()) * float64(time.Second))
	if runner < m.scenario.dead+m.scenario.alwaysBusy+m.scenario.slow {
		service *= 10
	}
	m.schedule(service, func() {
		m.inService[runner]--
		m.schedule(modelRoundTrip/2, func() {
			if took := m.now - r.arrived; m.now > modelWarmup && took <= modelDeadline {
				m.result.goodput++
				m.latencies = append(m.latencies, took)
				m.countRequest(r, 1)
			}
			r.host.finished(r, runner, ResultAnswered)
		})
	})
}

func (m *model) summary(capacity float64) modelResult {
	r := m.result
	all, others := 0, [2]int{}
	for c, counts := range m.perCustomer {
		all += counts[0]
		if c != "noisy" {
			others[0], others[1] = others[0]+counts[0], others[1]+counts[1]
		}
	}
	r.refused /= float64(all)
	r.quietAnswered = float64(others[1]) / float64(others[0])
	r.goodput /= capacity * min(m.scenario.load, 1) * (modelDuration - modelWarmup).Seconds()
	sort.Slice(m.latencies, func(i, j int) bool { return m.latencies[i] < m.latencies[j] })
	if n := len(m.latencies); n > 0 {
		r.p50, r.p99 = m.latencies[n/2], m.latencies[n*99/100]
	}
	return r
}

var (
	evenSplit   = [modelHosts]float64{1. / 3, 1. / 3, 1. / 3}
	unevenSplit = [modelHosts]float64{0.6, 0.3, 0.1}
)

var modelPolicies = []struct {
	name   string
	policy func() func(m *model, self int) dispatcher
}{
	{"random, no limits", func() func(*model, int) dispatcher { return simplePolicy(0, 0, pickRandom) }},
	{"round robin, no limits", func() func(*model, int) dispatcher { return simplePolicy(0, 0, pickRoundRobin) }},
	{"two choices, own counts", func() func(*model, int) dispatcher { return simplePolicy(0, 0, pickTwoOwnCounts) }},
	{"two choices, gossip", func() func(*model, int) dispatcher { return simplePolicy(0, 0, pickTwoAllCounts) }},
	{"two choices, own, queue 20", func() func(*model, int) dispatcher { return simplePolicy(27, 20, pickTwoOwnCounts) }},
	{"adaptive share", func() func(*model, int) dispatcher { return newBalancerPolicy(modelLimits(false)) }},
	{"adaptive share, borrowing", func() func(*model, int) dispatcher { return newBalancerPolicy(modelLimits(true)) }},
	{"one exact queue (limit)", centralPolicy},
}

func modelLimits(borrow bool) Limits {
	return Limits{Queue: 64, MaxWaitFraction: 0.12, MaxOverloadWaitFraction: 0.035, MaxEjectedFraction: 0.5, RetryRatio: 0.2, Borrow: borrow}
}

var showModel = flag.Bool("model", false, "print the comparison of routing policies")

// TestModelTable prints the comparison that docs/design/routing.md quotes.
func TestModelTable(t *testing.T) {
	if !*showModel {
		t.Skip("only prints; run with -model")
	}
	for _, s := range []struct {
		name string
		scenario
	}{
		{"30%", scenario{load: 0.3, runners: 10, split: evenSplit}},
		{"70%", scenario{load: 0.7, runners: 10, split: evenSplit}},
		{"95%", scenario{load: 0.95, runners: 10, split: evenSplit}},
		{"130%", scenario{load: 1.3, runners: 10, split: evenSplit}},
		{"95%, entry hosts 60/30/10", scenario{load: 0.95, runners: 10, split: unevenSplit}},
		{"130%, entry hosts 60/30/10", scenario{load: 1.3, runners: 10, split: unevenSplit}},
		{"70%, one slow", scenario{load: 0.7, runners: 10, split: evenSplit, slow: 1}},
		{"130%, one customer tenfold", scenario{load: 1.3, runners: 10, split: evenSplit, noisy: 10}},
		{"95%, 60/30/10 turning every 3 s", scenario{load: 0.95, runners: 10, split: unevenSplit, rotateEvery: 3 * time.Second}},
		{"70%, 60/30/10 turning every 3 s", scenario{load: 0.7, runners: 10, split: unevenSplit, rotateEvery: 3 * time.Second}},
		{"70%, all at one host, turning every 2 s", scenario{load: 0.7, runners: 10, split: [modelHosts]float64{1, 0, 0}, rotateEvery: 2 * time.Second}},
		{"95%, 3 runners", scenario{load: 0.95, runners: 3, split: evenSplit}},
		{"95%, 3 runners, 60/30/10", scenario{load: 0.95, runners: 3, split: unevenSplit}},
	} {
		fmt.Printf("\n%s\n%-28s %8s %8s %8s %9s %8s\n", s.name, "policy", "goodput", "p50 ms", "p99 ms", "refusals", "others")
		results := make([]modelResult, len(modelPolicies))
		var group sync.WaitGroup
		for i, p := range modelPolicies {
			group.Go(func() { results[i] = simulate(s.scenario, p.policy()) })
		}
		group.Wait()
		for i, p := range modelPolicies {
			r := results[i]
			fmt.Printf("%-28s %8.3f %8d %8d %9.2f %8.3f\n", p.name, r.goodput, r.p50.Milliseconds(), r.p99.Milliseconds(), r.refused, r.quietAnswered)
		}
	}
}

// TestModelMeetsObjectives keeps the chosen policy to the aims that it was chosen for.
func TestModelMeetsObjectives(t *testing.T) {
	own := func() func(*model, int) dispatcher { return newBalancerPolicy(modelLimits(true)) }
	high := scenario{load: 0.95, runners: 10, split: evenSplit}
	over := scenario{load: 1.3, runners: 10, split: evenSplit}
	skewed, noisy := high, over
	skewed.split, noisy.noisy = unevenSplit, 10
	var limit, atHigh, atSkewed, atOver, atNoisy, dead, liar modelResult
	var group sync.WaitGroup
	group.Go(func() { limit = simulate(high, centralPolicy()) })
	group.Go(func() { atHigh = simulate(high, own()) })
	group.Go(func() { atSkewed = simulate(skewed, own()) })
	group.Go(func() { atOver = simulate(over, own()) })
	group.Go(func() { atNoisy = simulate(noisy, own()) })
	group.Go(func() { dead = simulate(scenario{load: 0.7, runners: 10, split: evenSplit, dead: 1}, own()) })
	group.Go(func() { liar = simulate(scenario{load: 0.7, runners: 10, split: evenSplit, alwaysBusy: 1}, own()) })
	group.Wait()
	assert.Assert(t, atOver.goodput >= 0.97 && atOver.p99 <= modelDeadline/2, "130%%: %+v", atOver)
	assert.Assert(t, atHigh.p99 <= limit.p99*5/4 && atHigh.refused < 0.1, "95%%: %+v, limit %s", atHigh, limit.p99)
	assert.Assert(t, atSkewed.p99 <= limit.p99*5/4 && atSkewed.refused < 0.1, "60/30/10: %+v, limit %s", atSkewed, limit.p99)
	assert.Assert(t, atNoisy.quietAnswered >= 0.95, "quiet customers: %+v", atNoisy)
	assert.Assert(t, dead.goodput >= 0.98 && dead.p99 <= modelDeadline/2, "one dead: %+v", dead)
	assert.Assert(t, liar.goodput >= 0.98 && liar.p99 <= modelDeadline/2, "one refuses all: %+v", liar)
}
