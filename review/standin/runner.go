package main

import (
	"crypto/sha512"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of runners, as in the settings that the daemons get.
const (
	holdMax            = 6000 * time.Millisecond
	stopTakes          = 100 * time.Millisecond
	checkpointInterval = 2 * time.Second
	restoreTakes       = 250 * time.Millisecond
	gangWait           = 3000 * time.Millisecond
	heartbeat          = 1500 * time.Millisecond
	maxEndsListed      = 500
	runnerTick         = 10 * time.Millisecond
	// spreadSteps is how many different durations the tasks of a step have.
	spreadSteps = 100
)

type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// taskPlan is what a task of a job does on a runner.
type taskPlan struct {
	need     capacity
	duration time.Duration
	// spread is how much longer than the first tasks of a step its last ones work.
	spread time.Duration
	// fails reports whether a run of the task fails at its end.
	fails           func(index, run int) bool
	checkpoint      bool
	checkpointBytes int
	// gang is the number of members of a gang; zero for none.
	gang int
}

// plans holds what the tasks of each step of each job do.
type plans struct {
	mutex sync.Mutex
	jobs  map[string][]taskPlan
	// saved holds how much work each checkpoint stands for.
	saved map[string]time.Duration
}

func (p *plans) of(task string) (taskPlan, bool) {
	job, _, step, _ := splitTask(task)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	steps, ok := p.jobs[job]
	if !ok || step >= len(steps) {
		return taskPlan{}, false
	}
	return steps[step], true
}

func splitTask(task string) (job string, occurrence, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0, 0, 0
	}
	fmt.Sscan(parts[1], &occurrence)
	fmt.Sscan(parts[2], &step)
	fmt.Sscan(parts[3], &index)
	return parts[0], occurrence, step, index
}

// run is one run of a task.
type run struct {
	task     string
	number   int
	plan     taskPlan
	start    time.Time
	worked   time.Duration
	restored time.Duration
	last     time.Time
	saved    string
	stopAt   time.Time
}

// work returns how long the task works.
func (r *run) work() time.Duration {
	_, _, _, index := splitTask(r.task)
	return r.plan.duration + r.plan.spread*time.Duration(index%spreadSteps)/spreadSteps
}

func (r *run) percent() int { return min(100, int(100*r.worked/r.work())) }

type end struct {
	number int
	task   string
	run    int
	how    string
	saved  string
}

// runner is one life of a machine.
type runner struct {
	id       string
	address  string
	pool     string
	zone     string
	labels   []string
	capacity capacity
	fleet    *fleet
	born     time.Time
	server   *http.Server

	mutex   sync.Mutex
	dead    bool
	fence   uint64
	until   time.Duration
	running map[string]*run
	highest map[string]int
	ends    []end
	lastEnd int
	wake    chan struct{}
}

func (f *fleet) startRunner(id, address, pool, zone string, labels []string, room capacity) (*runner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, address: address, pool: pool, zone: zone, labels: labels, capacity: room, fleet: f, born: time.Now(),
		running: map[string]*run{}, highest: map[string]int{}, wake: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	go r.beat()
	go r.work()
	return r, nil
}

// beat writes the runner's entry until it has ended.
func (r *runner) beat() {
	for sequence := 1; ; sequence++ {
		r.mutex.Lock()
		dead := r.dead
		r.mutex.Unlock()
		if dead {
			return
		}
		r.fleet.store.write("servers", r.id, map[string]any{
			"service": r.pool, "addr": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": r.capacity, "labels": r.labels, "clock_ms": r.clock().Milliseconds(), "sequence": sequence,
		})
		time.Sleep(heartbeat)
	}
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

// crash ends the runner without a word. Its entry is removed after three heartbeats.
func (r *runner) crash() {
	r.mutex.Lock()
	r.dead = true
	for _, t := range r.running {
		r.fleet.record.line("run lost with its runner: task %s run %d on %s", t.task, t.number, r.id)
	}
	r.running = map[string]*run{}
	r.mutex.Unlock()
	_ = r.server.Close()
	time.AfterFunc(3*heartbeat, func() { r.fleet.store.remove("servers", r.id) })
}

// leave ends the runner for a move or an upkeep; its entry is removed at once.
func (r *runner) leave() {
	r.crash()
	r.fleet.store.remove("servers", r.id)
}

func (r *runner) load() (runs int, used capacity) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.running), r.used()
}

// used returns what runs take; the mutex is held.
func (r *runner) used() capacity {
	var sum capacity
	for _, t := range r.running {
		sum.CPU, sum.MemMB, sum.GPU = sum.CPU+t.plan.need.CPU, sum.MemMB+t.plan.need.MemMB, sum.GPU+t.plan.need.GPU
	}
	return sum
}

func (c capacity) holds(used, need capacity) bool {
	return used.CPU+need.CPU <= c.CPU && used.MemMB+need.MemMB <= c.MemMB && used.GPU+need.GPU <= c.GPU
}

// work lets the tasks work until the runner has ended.
func (r *runner) work() {
	for {
		time.Sleep(runnerTick)
		r.mutex.Lock()
		if r.dead {
			r.mutex.Unlock()
			return
		}
		now := time.Now()
		lapsed := r.clock() >= r.until
		for _, t := range r.running {
			r.advance(t, now, lapsed)
		}
		r.mutex.Unlock()
	}
}

// advance lets a run work until now; the mutex is held.
func (r *runner) advance(t *run, now time.Time, lapsed bool) {
	switch {
	case lapsed:
		r.end(t, "lapsed")
		return
	case !t.stopAt.IsZero() && now.After(t.stopAt):
		r.save(t)
		r.end(t, "stopped")
		return
	case !t.stopAt.IsZero():
		return
	}
	if t.plan.gang > 0 {
		switch r.fleet.gangs.state(t, now) {
		case gangWaits:
			t.last = now
			return
		case gangAlone:
			r.end(t, "alone")
			return
		case gangBroken:
			r.end(t, "broken")
			return
		}
	}
	if now.Sub(t.start) < t.restored {
		t.last = now
		return
	}
	before := t.worked / checkpointInterval
	t.worked += now.Sub(t.last)
	t.last = now
	if t.worked/checkpointInterval > before {
		r.save(t)
	}
	if t.worked < t.work() {
		return
	}
	_, _, _, index := splitTask(t.task)
	if t.plan.fails != nil && t.plan.fails(index, t.number) {
		r.end(t, "failed")
		return
	}
	r.end(t, "done")
}

// save takes a checkpoint; the mutex is held.
func (r *runner) save(t *run) {
	if !t.plan.checkpoint {
		return
	}
	sum := sha512.Sum512([]byte(t.task + "/" + t.worked.String()))
	text := hex.EncodeToString(sum[:])
	text = strings.Repeat(text, t.plan.checkpointBytes/len(text)+1)
	t.saved = text[:t.plan.checkpointBytes]
	p := r.fleet.plans
	p.mutex.Lock()
	p.saved[t.task+"/"+t.saved] = t.worked
	p.mutex.Unlock()
}

// end lists the end of a run; the mutex is held.
func (r *runner) end(t *run, how string) {
	delete(r.running, t.task)
	r.highest[t.task] = max(r.highest[t.task], t.number)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, t.task, t.number, how, t.saved})
	close(r.wake)
	r.wake = make(chan struct{})
	if t.plan.gang > 0 {
		r.fleet.gangs.ended(t, how)
	}
	r.fleet.ended(t.task, t.number, how, r.id)
}

type order struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	UntilMs        int64  `json:"until_ms"`
	Fence          uint64 `json:"fence"`
	CheckpointData string `json:"checkpoint_data"`
	LastSeen       int    `json:"last_seen"`
	WaitMs         int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("X-Mothferry-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	if o.Fence < r.fence {
		r.mutex.Unlock()
		r.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.fence = o.Fence
	r.mutex.Unlock()
	switch q.URL.Path {
	case "/run-start":
		r.startRun(w, o)
	case "/run-stop":
		r.stopRun(w, o)
	case "/hold":
		r.hold(w, q, o)
	case "/pace":
		r.reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the lease of everything on the runner; the mutex is held.
func (r *runner) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, r.clock()+holdMax)
	r.until = max(r.until, until)
}

func (r *runner) startRun(w http.ResponseWriter, o order) {
	plan, known := r.fleet.plans.of(o.Task)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	present := r.running[o.Task]
	reason := ""
	switch {
	case time.Duration(o.UntilMs)*time.Millisecond <= r.clock():
		reason = "late"
	case present != nil && present.number == o.Run:
	case o.Run <= r.highest[o.Task] || present != nil:
		reason = "old"
	case !known:
		w.WriteHeader(http.StatusBadRequest)
		return
	case !r.capacity.holds(r.used(), plan.need):
		reason = "room"
	}
	if reason != "late" {
		r.extend(o.UntilMs)
	}
	if reason != "" {
		r.fleet.record.line("start rejected, %s: task %s run %d on %s", reason, o.Task, o.Run, r.id)
		r.replyLocked(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	if present == nil {
		now := time.Now()
		t := &run{task: o.Task, number: o.Run, plan: plan, start: now, last: now, saved: o.CheckpointData}
		if o.CheckpointData != "" {
			p := r.fleet.plans
			p.mutex.Lock()
			t.worked, t.restored = p.saved[o.Task+"/"+o.CheckpointData], restoreTakes
			p.mutex.Unlock()
		}
		r.running[o.Task] = t
		if plan.gang > 0 {
			r.fleet.gangs.joined(t)
		}
		r.fleet.started(o.Task, o.Run, r.id)
	}
	r.replyLocked(w, http.StatusOK, map[string]any{})
}

func (r *runner) stopRun(w http.ResponseWriter, o order) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if t := r.running[o.Task]; t != nil && t.number <= o.Run && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(stopTakes)
	}
	r.fleet.record.line("stop: task %s run %d on %s", o.Task, o.Run, r.id)
	r.replyLocked(w, http.StatusOK, map[string]any{})
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, o order) {
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	r.mutex.Lock()
	if o.UntilMs > 0 {
		r.extend(o.UntilMs)
	}
	for len(r.ends) > 0 && r.ends[0].number <= o.LastSeen {
		r.ends = r.ends[1:]
	}
	for len(r.ends) == 0 {
		wake := r.wake
		r.mutex.Unlock()
		select {
		case <-wake:
		case <-q.Context().Done():
			return
		case <-timeout:
			r.mutex.Lock()
			r.report(w)
			r.mutex.Unlock()
			return
		}
		r.mutex.Lock()
	}
	r.report(w)
	r.mutex.Unlock()
}

// report writes both lists; the mutex is held.
func (r *runner) report(w http.ResponseWriter) {
	running, ended := [][]any{}, [][]any{}
	for _, t := range r.running {
		running = append(running, []any{t.task, t.number, t.saved, t.percent(), t.plan.need.CPU})
	}
	for _, e := range r.ends[:min(len(r.ends), maxEndsListed)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	r.replyLocked(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

func (r *runner) reply(w http.ResponseWriter, status int, body map[string]any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replyLocked(w, status, body)
}

// replyLocked adds the clock to an answer; the mutex is held.
func (r *runner) replyLocked(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = r.clock().Milliseconds()
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
