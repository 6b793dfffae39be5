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
	modelHosts    = 3
	modelSlots    = 8
	modelMean     = 50 * time.Millisecond
	modelSigma    = 0.8
	modelTrip     = 500 * time.Microsecond
	modelDeadline = 500 * time.Millisecond
	modelGossip   = 250 * time.Millisecond
	modelSpan     = 30 * time.Second
	modelWarm     = 4 * time.Second
	// modelPause is how long the policies without shares wait before they send
	// a refused request to another runner.
	modelPause = 5 * time.Millisecond
)

// event is something that happens at a time of the model.
type event struct {
	at   time.Duration
	rank int
	act  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].rank < e[j].rank
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
	scenario scenario
	now      time.Duration
	queue    events
	rank     int
	random   *rand.Rand
	busy     []int
	hosts    []dispatcher
	result   modelResult
	took     []time.Duration
	perUser  map[mothferry.CustomerID][2]int
}

// scenario is what a run is exposed to.
type scenario struct {
	load    float64
	runners int
	// split is each entry host's part of the arrivals.
	split [modelHosts]float64
	// turns moves the parts on to the next entry host every so often.
	turns time.Duration
	// slow, dead and liar are the numbers of runners that take ten times as
	// long, refuse connections, or refuse every request as busy.
	slow, dead, liar int
	// noisy sends this many times the requests of each of the nine others.
	noisy float64
}

// modelResult is what a run showed.
type modelResult struct {
	goodput float64
	p50     time.Duration
	p99     time.Duration
	refused float64
	overrun int
	others  float64
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

func (m *model) at(d time.Duration, act func()) {
	m.rank++
	heap.Push(&m.queue, event{at: m.now + d, rank: m.rank, act: act})
}

// run plays a scenario with a policy for each entry host.
func run(s scenario, policy func(m *model, self int) dispatcher) modelResult {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(7, 11)), busy: make([]int, s.runners), perUser: map[mothferry.CustomerID][2]int{}}
	for i := range modelHosts {
		m.hosts = append(m.hosts, policy(m, i))
	}
	capacity := float64(s.runners*modelSlots) / modelMean.Seconds()
	m.arrivals(s.load * capacity)
	m.gossips()
	for len(m.queue) > 0 && m.now < modelSpan {
		e, _ := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.act()
	}
	return m.summary(capacity)
}

func (m *model) arrivals(rate float64) {
	m.at(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		m.arrivals(rate)
		host, part := 0, m.random.Float64()
		for host < modelHosts-1 && part > m.scenario.split[host] {
			part -= m.scenario.split[host]
			host++
		}
		if m.scenario.turns > 0 {
			host = (host + int(m.now/m.scenario.turns)) % modelHosts
		}
		r := &modelRequest{arrived: m.now, host: m.hosts[host], customer: m.customer()}
		m.count(r, 0)
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

// count adds to a customer's requests (0) or answers in time (1).
func (m *model) count(r *modelRequest, what int) {
	if m.now > modelWarm {
		counts := m.perUser[r.customer]
		counts[what]++
		m.perUser[r.customer] = counts
	}
}

func (m *model) gossips() {
	m.at(modelGossip, func() {
		for _, h := range m.hosts {
			h.gossip()
		}
		m.gossips()
	})
}

// dispatch sends a request to a runner; the host hears of its end.
func (m *model) dispatch(r *modelRequest, runner int) {
	s := m.scenario
	first := runner < s.dead
	m.at(modelTrip/2, func() {
		switch {
		case first:
			m.at(modelTrip/2, func() { r.host.finished(r, runner, ResultConnectFailed) })
		case m.busy[runner] >= modelSlots || runner < s.dead+s.liar:
			m.refuse(r, runner)
		default:
			m.work(r, runner)
		}
	})
}

func (m *model) refuse(r *modelRequest, runner int) {
	if m.now > modelWarm {
		m.result.refused++
	}
	m.at(modelTrip/2, func() { r.host.finished(r, runner, ResultBusy) })
}

func (m *model) work(r *modelRequest, runner int) {
	m.busy[runner]++
	mean := math.Log(modelMean.Seconds()) - modelSigma*modelSigma/2
	service := time.Duration(math.Exp(mean+modelSigma*m.random.NormFloat64()) * float64(time.Second))
	if runner < m.scenario.dead+m.scenario.liar+m.scenario.slow {
		service *= 10
	}
	m.at(service, func() {
		m.busy[runner]--
		m.at(modelTrip/2, func() {
			if took := m.now - r.arrived; m.now > modelWarm && took <= modelDeadline {
				m.result.goodput++
				m.took = append(m.took, took)
				m.count(r, 1)
			}
			r.host.finished(r, runner, ResultAnswered)
		})
	})
}

func (m *model) summary(capacity float64) modelResult {
	r := m.result
	all, others := 0, [2]int{}
	for c, counts := range m.perUser {
		all += counts[0]
		if c != "noisy" {
			others[0], others[1] = others[0]+counts[0], others[1]+counts[1]
		}
	}
	r.refused /= float64(all)
	r.others = float64(others[1]) / float64(others[0])
	r.goodput /= capacity * min(m.scenario.load, 1) * (modelSpan - modelWarm).Seconds()
	sort.Slice(m.took, func(i, j int) bool { return m.took[i] < m.took[j] })
	if n := len(m.took); n > 0 {
		r.p50, r.p99 = m.took[n/2], m.took[n*99/100]
	}
	return r
}

var (
	even   = [modelHosts]float64{1. / 3, 1. / 3, 1. / 3}
	uneven = [modelHosts]float64{0.6, 0.3, 0.1}
)

var modelPolicies = []struct {
	name   string
	policy func() func(m *model, self int) dispatcher
}{
	{"random, no limits", func() func(*model, int) dispatcher { return simplePolicy(0, 0, pickRandom) }},
	{"round robin, no limits", func() func(*model, int) dispatcher { return simplePolicy(0, 0, pickRoundRobin) }},
	{"two choices, own counts", func() func(*model, int) dispatcher { return simplePolicy(0, 0, pickTwoOwn) }},
	{"two choices, gossip", func() func(*model, int) dispatcher { return simplePolicy(0, 0, pickTwoGossip) }},
	{"two choices, own, queue 20", func() func(*model, int) dispatcher { return simplePolicy(27, 20, pickTwoOwn) }},
	{"adaptive share", func() func(*model, int) dispatcher { return balancer(modelLimits(false)) }},
	{"adaptive share, borrowing", func() func(*model, int) dispatcher { return balancer(modelLimits(true)) }},
	{"one exact queue (limit)", centralPolicy},
}

func modelLimits(borrow bool) Limits {
	return Limits{Queue: 64, WaitShare: 0.12, OverloadShare: 0.035, EjectShare: 0.5, RetryRatio: 0.2, Borrow: borrow}
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
		{"30%", scenario{load: 0.3, runners: 10, split: even}},
		{"70%", scenario{load: 0.7, runners: 10, split: even}},
		{"95%", scenario{load: 0.95, runners: 10, split: even}},
		{"130%", scenario{load: 1.3, runners: 10, split: even}},
		{"95%, entry hosts 60/30/10", scenario{load: 0.95, runners: 10, split: uneven}},
		{"130%, entry hosts 60/30/10", scenario{load: 1.3, runners: 10, split: uneven}},
		{"70%, one slow", scenario{load: 0.7, runners: 10, split: even, slow: 1}},
		{"130%, one customer tenfold", scenario{load: 1.3, runners: 10, split: even, noisy: 10}},
		{"95%, 60/30/10 turning every 3 s", scenario{load: 0.95, runners: 10, split: uneven, turns: 3 * time.Second}},
		{"70%, 60/30/10 turning every 3 s", scenario{load: 0.7, runners: 10, split: uneven, turns: 3 * time.Second}},
		{"70%, all at one host, turning every 2 s", scenario{load: 0.7, runners: 10, split: [modelHosts]float64{1, 0, 0}, turns: 2 * time.Second}},
		{"95%, 3 runners", scenario{load: 0.95, runners: 3, split: even}},
		{"95%, 3 runners, 60/30/10", scenario{load: 0.95, runners: 3, split: uneven}},
	} {
		fmt.Printf("\n%s\n%-28s %8s %8s %8s %9s %8s\n", s.name, "policy", "goodput", "p50 ms", "p99 ms", "refusals", "others")
		results := make([]modelResult, len(modelPolicies))
		var group sync.WaitGroup
		for i, p := range modelPolicies {
			group.Go(func() { results[i] = run(s.scenario, p.policy()) })
		}
		group.Wait()
		for i, p := range modelPolicies {
			r := results[i]
			fmt.Printf("%-28s %8.3f %8d %8d %9.2f %8.3f\n", p.name, r.goodput, r.p50.Milliseconds(), r.p99.Milliseconds(), r.refused, r.others)
		}
	}
}

// TestModelHolds keeps the chosen policy to the aims that it was chosen for.
func TestModelHolds(t *testing.T) {
	own := func() func(*model, int) dispatcher { return balancer(modelLimits(true)) }
	high := scenario{load: 0.95, runners: 10, split: even}
	over := scenario{load: 1.3, runners: 10, split: even}
	skewed, noisy := high, over
	skewed.split, noisy.noisy = uneven, 10
	var limit, atHigh, atSkewed, atOver, atNoisy, dead, liar modelResult
	var group sync.WaitGroup
	group.Go(func() { limit = run(high, centralPolicy()) })
	group.Go(func() { atHigh = run(high, own()) })
	group.Go(func() { atSkewed = run(skewed, own()) })
	group.Go(func() { atOver = run(over, own()) })
	group.Go(func() { atNoisy = run(noisy, own()) })
	group.Go(func() { dead = run(scenario{load: 0.7, runners: 10, split: even, dead: 1}, own()) })
	group.Go(func() { liar = run(scenario{load: 0.7, runners: 10, split: even, liar: 1}, own()) })
	group.Wait()
	assert.Assert(t, atOver.goodput >= 0.97 && atOver.p99 <= modelDeadline/2, "130%%: %+v", atOver)
	assert.Assert(t, atHigh.p99 <= limit.p99*5/4 && atHigh.refused < 0.1, "95%%: %+v, limit %s", atHigh, limit.p99)
	assert.Assert(t, atSkewed.p99 <= limit.p99*5/4 && atSkewed.refused < 0.1, "60/30/10: %+v, limit %s", atSkewed, limit.p99)
	assert.Assert(t, atNoisy.others >= 0.95, "quiet customers: %+v", atNoisy)
	assert.Assert(t, dead.goodput >= 0.98 && dead.p99 <= modelDeadline/2, "one dead: %+v", dead)
	assert.Assert(t, liar.goodput >= 0.98 && liar.p99 <= modelDeadline/2, "one refuses all: %+v", liar)
}
