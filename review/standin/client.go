package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Times of clients.
const (
	clientBudget  = 3000 * time.Millisecond
	clientRetries = 4
)

// job is a job as its client knows it.
type job struct {
	id    string
	route *route
	steps []stepSpec
	// repeat is the job's repeat_count, interval the time between two occurrences.
	repeat   int64
	interval time.Duration
	// unjudged is set if the rule isn't checked for the job.
	unjudged bool
	// accepted is when its first 2xx answer came; zero if there was none.
	accepted time.Time
	answers  []string
	// states holds the states shown, in order, without repetitions.
	states []string
}

// stepSpec is a step of a job and what its tasks do.
type stepSpec struct {
	count int
	// perRunner is the step's max_per_server.
	perRunner  int
	cpu        int
	memMB      int
	estimate   time.Duration
	duration   time.Duration
	spread     time.Duration
	after      []int
	checkpoint bool
	// checkpointBytes is the length of the checkpoints that runners hand out.
	checkpointBytes int
	gang            bool
	fails           func(index, run int) bool
}

// route is a queue as the operator configured it.
type route struct {
	name    string
	host    string
	prefix  string
	service string
	// attempts is the queue's max_attempts.
	attempts int
}

func (j *job) taskNames() []string {
	var names []string
	for n, s := range j.steps {
		for i := range s.count {
			names = append(names, fmt.Sprintf("%s.0.%d.%d", j.id, n, i))
		}
	}
	return names
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (j *job) body() []byte {
	var steps []map[string]any
	for _, s := range j.steps {
		step := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": s.memMB, "est_ms": s.estimate.Milliseconds()}
		if len(s.after) > 0 {
			step["after"] = s.after
		}
		if s.perRunner > 0 {
			step["max_per_server"] = s.perRunner
		}
		if s.checkpoint {
			step["checkpoint"] = true
		}
		if s.gang {
			step["gang"] = true
		}
		steps = append(steps, step)
	}
	body := map[string]any{"spec": "job " + j.id, "steps": steps}
	if j.repeat > 0 {
		body["repeat_count"], body["first_ms"], body["interval_ms"] = j.repeat, time.Now().UnixMilli(), j.interval.Milliseconds()
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// clients sends requests to the daemons and keeps the jobs.
type clients struct {
	record  *record
	fleet   *fleet
	daemons []*daemon
	http    *http.Client

	mutex sync.Mutex
	jobs  []*job
}

func newClients(r *record, f *fleet, daemons []*daemon) *clients {
	return &clients{record: r, fleet: f, daemons: daemons, http: &http.Client{Timeout: clientBudget}}
}

// request sends one request to one daemon; status 0 stands for no answer.
func (c *clients) request(d *daemon, method string, r *route, rest string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+d.front+r.prefix+rest, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = r.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Mothferry-Deadline-Ms", strconv.FormatInt(clientBudget.Milliseconds(), 10))
	answer, err := c.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// submit hands a job in, and again if it has no answer or was turned away.
func (c *clients) submit(r *route, steps ...stepSpec) *job {
	return c.submitJob(&job{id: newJobID(), route: r, steps: steps})
}

func (c *clients) submitJob(j *job) *job {
	r, steps := j.route, j.steps
	var todo []taskPlan
	for _, s := range steps {
		plan := taskPlan{
			need: capacity{CPU: s.cpu, MemMB: s.memMB}, duration: s.duration, spread: s.spread, fails: s.fails, checkpoint: s.checkpoint, checkpointBytes: s.checkpointBytes,
		}
		if s.gang {
			plan.gang = s.count
		}
		todo = append(todo, plan)
	}
	c.fleet.plans.mutex.Lock()
	c.fleet.plans.jobs[j.id] = todo
	c.fleet.plans.mutex.Unlock()
	c.mutex.Lock()
	c.jobs = append(c.jobs, j)
	c.mutex.Unlock()
	first := rand.IntN(len(c.daemons))
	for try := range clientRetries + 1 {
		status, _ := c.request(c.daemons[(first+try)%len(c.daemons)], http.MethodPost, r, j.id, j.body())
		c.record.line("POST %s to %s: %d", j.id, r.name, status)
		j.answers = append(j.answers, strconv.Itoa(status))
		if status == http.StatusOK {
			c.mutex.Lock()
			j.accepted = time.Now()
			c.mutex.Unlock()
			return j
		}
		time.Sleep(300 * time.Millisecond)
	}
	return j
}

// accepted returns the accepted jobs.
func (c *clients) acceptedJobs() []*job {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var out []*job
	for _, j := range c.jobs {
		if !j.accepted.IsZero() {
			out = append(out, j)
		}
	}
	return out
}

// state asks for a job's state at any daemon, with retries; an empty state stands for no answer
// and "410" for one that is not known.
func (c *clients) state(j *job) string {
	first := rand.IntN(len(c.daemons))
	for try := range clientRetries + 1 {
		status, text := c.request(c.daemons[(first+try)%len(c.daemons)], http.MethodGet, j.route, j.id, nil)
		var body struct {
			State string `json:"state"`
		}
		shown := ""
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil:
			shown = body.State
		case status == http.StatusGone:
			shown = "410"
		}
		if shown != "" {
			c.mutex.Lock()
			if len(j.states) == 0 || j.states[len(j.states)-1] != shown {
				j.states = append(j.states, shown)
				c.record.line("GET %s: %s", j.id, shown)
			}
			c.mutex.Unlock()
			return shown
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.record.line("GET %s: no answer", j.id)
	return ""
}

// pending asks one daemon for the number of a queue's jobs that have not begun; -1 stands for no
// answer.
func (c *clients) pending(d *daemon, r *route) int {
	status, text := c.request(d, http.MethodGet, r, "", nil)
	var body struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return -1
	}
	return body.Pending
}
