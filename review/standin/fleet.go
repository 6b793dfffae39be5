package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of machines, as in the settings that the daemons get.
const (
	moveTakes   = 1500 * time.Millisecond
	upkeepTakes = 2000 * time.Millisecond
)

// machine is a machine and the runner on it.
type machine struct {
	name     string
	pool     string
	kind     string
	rack     string
	zone     string
	state    string
	address  string
	capacity capacity
	lives    int
	// kept reports whether the machine had its upkeep.
	kept   bool
	runner *runner
}

// taskState is what the stand-ins have seen of a task.
type taskState struct {
	running  map[int]string
	starts   int
	done     bool
	failures int
	lastEnd  time.Time
	stopped  time.Time
}

// fleet holds the platform's machines and what ran on them.
type fleet struct {
	record *record
	store  *store
	plans  *plans
	gangs  *gangs
	// kinds holds the kind of machine of each pool; a pool without one takes any machine.
	kinds map[string]string

	mutex    sync.Mutex
	machines []*machine
	tasks    map[string]*taskState
	twice    []string
	calls    map[string]int
}

func newFleet(r *record, s *store) *fleet {
	return &fleet{
		record: r, store: s, plans: &plans{jobs: map[string][]taskPlan{}, saved: map[string]time.Duration{}}, gangs: &gangs{runs: map[string]*gang{}},
		kinds: map[string]string{}, tasks: map[string]*taskState{}, calls: map[string]int{},
	}
}

// add adds a machine and starts its runner.
func (f *fleet) add(m *machine) error {
	f.mutex.Lock()
	f.machines = append(f.machines, m)
	f.mutex.Unlock()
	return f.startLife(m)
}

// startLife starts a new runner on a machine.
func (f *fleet) startLife(m *machine) error {
	f.mutex.Lock()
	m.lives++
	id := fmt.Sprintf("i-%s%02d", m.name[2:], m.lives)
	f.mutex.Unlock()
	r, err := f.startRunner(id, m.address, m.pool, m.zone, []string{m.kind, m.rack}, m.capacity)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m.runner, m.state = r, "up"
	return nil
}

// crash crashes the runners of machines for a time.
func (f *fleet) crash(down time.Duration, which func(m *machine) bool) {
	for _, m := range f.list() {
		if !which(m) || m.runner == nil {
			continue
		}
		r := m.runner
		f.mutex.Lock()
		m.state, m.runner = "down", nil
		f.mutex.Unlock()
		f.record.line("runner %s on %s crashes", r.id, m.name)
		r.crash()
		f.forget(r.id)
		time.AfterFunc(down, func() { _ = f.startLife(m) })
	}
}

// forget removes the runs of a runner that has ended.
func (f *fleet) forget(runner string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, t := range f.tasks {
		for number, on := range t.running {
			if on == runner {
				delete(t.running, number)
				t.stopped = time.Now()
			}
		}
	}
}

func (f *fleet) list() []*machine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]*machine{}, f.machines...)
}

func (f *fleet) task(name string) *taskState {
	t, ok := f.tasks[name]
	if !ok {
		t = &taskState{running: map[int]string{}, stopped: time.Now()}
		f.tasks[name] = t
	}
	return t
}

// started records a start that a runner has begun.
func (f *fleet) started(task string, number int, runner string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	t := f.task(task)
	if len(t.running) > 0 {
		f.twice = append(f.twice, fmt.Sprintf("task %s run %d on %s beside %v", task, number, runner, t.running))
		f.record.line("TWICE: %s", f.twice[len(f.twice)-1])
	}
	t.running[number] = runner
	t.starts++
	f.record.line("start: task %s run %d on %s", task, number, runner)
}

// ended records an end that a runner lists.
func (f *fleet) ended(task string, number int, how, runner string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	t := f.task(task)
	delete(t.running, number)
	t.lastEnd, t.stopped = time.Now(), time.Now()
	switch how {
	case "done":
		t.done = true
	case "failed":
		t.failures++
	}
	f.record.line("end: task %s run %d on %s, %s", task, number, runner, how)
}

// jobRuns returns what is known of a job's tasks.
func (f *fleet) jobRuns(j *job) (running, done, starts, failures int, idleSince time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	idleSince = j.accepted
	for _, name := range j.taskNames() {
		t, known := f.tasks[name]
		if !known {
			continue
		}
		running, starts = running+len(t.running), starts+t.starts
		failures = max(failures, t.failures)
		if t.done {
			done++
		}
		if t.stopped.After(idleSince) {
			idleSince = t.stopped
		}
	}
	return running, done, starts, failures, idleSince
}

// room returns how many tasks of a need fit on the runners of a pool beside what runs there, and
// which part of the pool's cores is in use.
func (f *fleet) room(pool string, need capacity) (fits int, inUse float64) {
	used, all := 0, 0
	for _, m := range f.list() {
		if m.pool != pool || m.state != "up" || m.runner == nil {
			continue
		}
		_, taken := m.runner.load()
		used, all = used+taken.CPU, all+m.capacity.CPU
		for m.capacity.holds(taken, need) {
			fits++
			taken.CPU, taken.MemMB = taken.CPU+need.CPU, taken.MemMB+need.MemMB
		}
	}
	if all == 0 {
		return 0, 1
	}
	return fits, float64(used) / float64(all)
}

// ServeHTTP serves the platform's machine interface.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/machines":
		f.serveList(w)
	case "/machine-move":
		f.serveMove(w, r)
	case "/machine-upkeep":
		f.serveUpkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (f *fleet) serveList(w http.ResponseWriter) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	rows := []map[string]any{}
	for _, m := range f.machines {
		id := ""
		if m.runner != nil {
			id = m.runner.id
		}
		rows = append(rows, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack}, "capacity": m.capacity, "id": id,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func (f *fleet) serveMove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls[body.Machine]++
	var m *machine
	for _, k := range f.machines {
		if k.name == body.Machine {
			m = k
		}
	}
	answer := http.StatusOK
	switch {
	case m == nil, f.kinds[body.Pool] != "" && f.kinds[body.Pool] != m.kind:
		answer = http.StatusBadRequest
	case m.pool == body.Pool:
	case m.state != "up":
		answer = http.StatusConflict
	}
	if f.calls[body.Machine] <= 2 || f.calls[body.Machine]%20 == 0 {
		f.record.line("cloud: move of %s to %s by %s token %s, answered %d (call %d for it)", body.Machine, body.Pool,
			r.Header.Get("X-Mothferry-Duty-Holder"), r.Header.Get("X-Mothferry-Fence-Token"), answer, f.calls[body.Machine])
	}
	switch {
	case answer == http.StatusConflict:
		writeJSON(w, answer, map[string]any{"reason": "busy"})
		return
	case answer == http.StatusBadRequest || m.pool == body.Pool:
		writeJSON(w, answer, map[string]any{})
		return
	}
	m.pool = body.Pool
	f.takeDown(m, "moving", moveTakes)
	writeJSON(w, answer, map[string]any{})
}

// takeDown ends the runner of a machine and starts the next one after a time; the mutex is held.
func (f *fleet) takeDown(m *machine, state string, takes time.Duration) {
	old := m.runner
	m.state, m.runner = state, nil
	go func() {
		old.leave()
		f.forget(old.id)
	}()
	time.AfterFunc(takes, func() { _ = f.startLife(m) })
}

func (f *fleet) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, m := range f.machines {
		if m.name != body.Machine {
			continue
		}
		f.record.line("cloud: upkeep of %s in wave %d, state %s", m.name, body.Wave, m.state)
		switch {
		case m.kept:
			writeJSON(w, http.StatusOK, map[string]any{})
		case m.state != "up":
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		default:
			m.kept = true
			f.takeDown(m, "upkeep", upkeepTakes)
			writeJSON(w, http.StatusOK, map[string]any{})
		}
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
