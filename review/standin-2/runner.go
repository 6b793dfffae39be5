//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = 6 * time.Second
	gangWait          = 3 * time.Second
	stopDuration      = 100 * time.Millisecond
	runnerCPU         = 16000
	runnerMemMB       = 32768
	maxEndsListed     = 500
)

// fleet is all machines with their runners. One mutex guards all of it.
type fleet struct {
	mutex    sync.Mutex
	store    *store
	record   *record
	jobs     map[string]*job
	machines []*machine
	gangs    map[string]*gang
	runners  int
	// starts, crashes and ends count what runners did.
	starts, crashes int
	ends            map[string]int
	// lastStart is when a runner last began a task of each job.
	lastStart map[string]time.Time
	// tickets holds the runner and the end of each ticket; nil where the queue has no advice.
	tickets map[string]ticket
}

// job is a job as the client sends it.
type job struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	MemMB       int64 `json:"mem_mb"`
	EstMs       int64 `json:"est_ms"`
	After       []int `json:"after,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
}

// machine is one machine. Its runner has a new id after each crash.
type machine struct {
	fleet   *fleet
	name    string
	rack    string
	service string
	address string
	state   string

	id         string
	bornAt     time.Time
	fence      uint64
	leaseUntil time.Time
	running    map[string]*run
	highest    map[string]int64
	ends       [][]any
	lastEnd    int64
	sequence   int
	wake       chan struct{}
}

// run is one run of a task.
type run struct {
	task    string
	number  int64
	step    step
	machine *machine
	began   time.Time
	// worksSince is when the run began to work; zero for a member that waits for its gang.
	worksSince time.Time
	stopping   bool
	ended      bool
}

// gang is the present members of one run of a gang.
type gang struct {
	members map[string]*run
	working bool
}

func newFleet(s *store, r *record) *fleet {
	return &fleet{store: s, record: r, jobs: map[string]*job{}, gangs: map[string]*gang{}, ends: map[string]int{}, lastStart: map[string]time.Time{}}
}

// addMachine adds a machine whose runner listens at an address.
func (f *fleet) addMachine(service, ip string, port, perRack int) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return err
	}
	n := len(f.machines)
	m := &machine{fleet: f, name: fmt.Sprintf("m-%03d", n), rack: fmt.Sprintf("r-%d", n/perRack), service: service, address: listener.Addr().String(), wake: make(chan struct{})}
	f.machines = append(f.machines, m)
	go func() { _ = (&http.Server{Handler: m}).Serve(listener) }()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m.boot()
	return nil
}

// boot starts a runner on a machine; the fleet is locked.
func (m *machine) boot() {
	m.fleet.runners++
	m.id, m.bornAt, m.state = fmt.Sprintf("i-%010x", uint64(m.fleet.runners)*0x9e3779b1&0xffffffffff), time.Now(), "up"
	m.fence, m.leaseUntil, m.lastEnd, m.ends, m.sequence = 0, time.Time{}, 0, nil, 0
	m.running, m.highest = map[string]*run{}, map[string]int64{}
	go m.heartbeat(m.id)
}

// heartbeat writes the entry of a runner until it has ended.
func (m *machine) heartbeat(id string) {
	for {
		m.fleet.mutex.Lock()
		if m.id != id {
			m.fleet.mutex.Unlock()
			// The entry of a crashed runner is removed after three intervals of silence.
			time.Sleep(2 * heartbeatInterval)
			m.fleet.store.put("servers", id, nil)
			return
		}
		m.sequence++
		entry := map[string]any{
			"service": m.service, "addr": m.address, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"sequence": m.sequence, "capacity": map[string]int{"cpu": runnerCPU, "mem_mb": runnerMemMB, "gpu": 0}, "labels": []string{"a", m.rack},
		}
		m.fleet.mutex.Unlock()
		m.fleet.store.put("servers", id, entry)
		time.Sleep(heartbeatInterval)
	}
}

// crash ends the runner of a machine; another one, with a new id, starts after down.
func (m *machine) crash(down time.Duration) {
	f := m.fleet
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crashes++
	lost := len(m.running)
	f.record.printf("runner %s on %s crashes with %d runs, and is back as another one after %.1f s", m.id, m.name, lost, down.Seconds())
	m.id, m.state = "", "down"
	runs := m.running
	m.running = map[string]*run{}
	m.wakeUp()
	for _, r := range runs {
		r.ended = true
		f.leaveGang(r)
	}
	time.AfterFunc(down, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		m.boot()
		f.record.printf("runner %s starts on %s", m.id, m.name)
	})
}

func (m *machine) wakeUp() {
	close(m.wake)
	m.wake = make(chan struct{})
}

func (m *machine) clockMs() int64 { return time.Since(m.bornAt).Milliseconds() + 100_000 }

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Ticket   string `json:"ticket"`
	UntilMs  int64  `json:"until_ms"`
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := m.fleet
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if m.id == "" {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Mothferry-Expect-Instance"); expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < m.fence {
		m.refuse(w, "fence")
		return
	}
	m.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		m.start(w, o)
	case "/run-stop":
		m.stop(o)
		m.answer(w, map[string]any{"clock_ms": m.clockMs()})
	case "/hold":
		m.extend(o.UntilMs)
		m.hold(w, r, o)
	default:
		m.answer(w, map[string]any{"clock_ms": m.clockMs()})
	}
}

func (m *machine) answer(w http.ResponseWriter, body any) { _ = json.NewEncoder(w).Encode(body) }

func (m *machine) refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	m.answer(w, map[string]any{"clock_ms": m.clockMs(), "reason": reason})
}

// extend extends the lease of everything that runs.
func (m *machine) extend(untilMs int64) {
	until := time.Now().Add(min(time.Duration(untilMs-m.clockMs())*time.Millisecond, maxLease))
	if !until.After(m.leaseUntil) {
		return
	}
	m.leaseUntil = until
	id := m.id
	time.AfterFunc(time.Until(until), func() {
		m.fleet.mutex.Lock()
		defer m.fleet.mutex.Unlock()
		if m.id != id || !m.leaseUntil.Equal(until) {
			return
		}
		for _, r := range m.running {
			m.end(r, "lapsed")
		}
	})
}

func (m *machine) start(w http.ResponseWriter, o order) {
	f := m.fleet
	if o.UntilMs <= m.clockMs() {
		m.refuse(w, "late")
		return
	}
	m.extend(o.UntilMs)
	if r, found := m.running[o.Task]; found && r.number == o.Run {
		m.answer(w, map[string]any{"clock_ms": m.clockMs()})
		return
	}
	if o.Run <= m.highest[o.Task] {
		m.refuse(w, "old")
		return
	}
	id, number, ok := f.stepOf(o.Task)
	if !ok {
		f.record.printf("start of %s, which no client sent", o.Task)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !f.ticketHolds(o, m) {
		m.refuse(w, "ticket")
		return
	}
	spec := f.jobs[id].Steps[number]
	cpu, mem := spec.CPU, spec.MemMB
	for _, r := range m.running {
		cpu, mem = cpu+r.step.CPU, mem+r.step.MemMB
	}
	if cpu > runnerCPU || mem > runnerMemMB {
		m.refuse(w, "room")
		return
	}
	r := &run{task: o.Task, number: o.Run, step: spec, machine: m, began: time.Now()}
	m.running[o.Task], m.highest[o.Task] = r, o.Run
	f.starts++
	f.record.note("runner %s on %s begins %s run %d", m.id, m.name, o.Task, o.Run)
	f.lastStart[id] = r.began
	if spec.Gang {
		f.joinGang(r)
	} else {
		f.work(r)
	}
	m.answer(w, map[string]any{"clock_ms": m.clockMs()})
}

// stepOf returns the job and the step of a task that a client sent.
func (f *fleet) stepOf(task string) (id string, number int, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, false
	}
	j, known := f.jobs[parts[0]]
	number, err := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	ok = known && err == nil && indexErr == nil && number < len(j.Steps) && index < j.Steps[number].Count
	return parts[0], number, ok
}

// work lets a run work until its task is done; the fleet is locked.
func (f *fleet) work(r *run) {
	r.worksSince = time.Now()
	if r.step.LongRunning {
		return
	}
	time.AfterFunc(time.Duration(r.step.EstMs)*time.Millisecond, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if !r.ended && !r.worksSince.IsZero() {
			r.machine.end(r, "done")
		}
	})
}

// stepName returns the name of a task's step, ID.K.STEP.
func stepName(task string) string { return task[:max(0, strings.LastIndex(task, "."))] }

func gangKey(r *run) string {
	return stepName(r.task) + fmt.Sprintf(" run %d", r.number)
}

// joinGang adds a member; once all are present the gang works. A member waits gangWait for the others.
func (f *fleet) joinGang(r *run) {
	key := gangKey(r)
	g := f.gangs[key]
	if g == nil {
		g = &gang{members: map[string]*run{}}
		f.gangs[key] = g
		f.record.printf("gang %s: first of %d members begins", key, r.step.Count)
	}
	g.members[r.task] = r
	if len(g.members) == r.step.Count {
		g.working = true
		f.record.printf("gang %s: all members are present", key)
		for _, member := range g.members {
			member.worksSince = time.Now()
		}
		time.AfterFunc(time.Duration(r.step.EstMs)*time.Millisecond, func() { f.gangDone(key, g) })
		return
	}
	time.AfterFunc(gangWait, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if !r.ended && !g.working {
			r.machine.end(r, "alone")
		}
	})
}

func (f *fleet) gangDone(key string, g *gang) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !g.working {
		return
	}
	g.working = false
	f.record.printf("gang %s: done", key)
	for _, member := range g.members {
		if !member.ended {
			member.machine.end(member, "done")
		}
	}
}

// leaveGang ends the other members of a gang at work when one has ended; the fleet is locked.
func (f *fleet) leaveGang(r *run) {
	g := f.gangs[gangKey(r)]
	if !r.step.Gang || g == nil {
		return
	}
	delete(g.members, r.task)
	if !g.working {
		return
	}
	g.working = false
	f.record.printf("gang %s: a member has ended, the others end as broken", gangKey(r))
	for _, member := range g.members {
		if !member.ended {
			member.machine.end(member, "broken")
		}
	}
}

// end ends a run and lists it; the fleet is locked.
func (m *machine) end(r *run, how string) {
	r.ended = true
	delete(m.running, r.task)
	m.lastEnd++
	m.fleet.ends[how]++
	m.fleet.record.note("runner %s on %s: %s run %d ends %s", m.id, m.name, r.task, r.number, how)
	m.ends = append(m.ends, []any{m.lastEnd, r.task, r.number, how, ""})
	m.wakeUp()
	if how != "done" && how != "broken" {
		m.fleet.leaveGang(r)
	}
}

func (m *machine) stop(o order) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	r, found := m.running[o.Task]
	if !found || r.number > o.Run || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopDuration, func() {
		m.fleet.mutex.Lock()
		defer m.fleet.mutex.Unlock()
		if !r.ended {
			m.end(r, "stopped")
		}
	})
}

// hold answers with both lists, at once or after the next end; the fleet is locked.
func (m *machine) hold(w http.ResponseWriter, r *http.Request, o order) {
	for len(m.ends) > 0 && m.ends[0][0].(int64) <= o.LastSeen {
		m.ends = m.ends[1:]
	}
	id, wake := m.id, m.wake
	if len(m.ends) == 0 && o.WaitMs > 0 {
		m.fleet.mutex.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.fleet.mutex.Lock()
		if m.id != id {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, u := range m.running {
		running = append(running, []any{u.task, u.number, "", u.percent(), u.step.CPU})
	}
	ends := m.ends[:min(len(m.ends), maxEndsListed)]
	if ends == nil {
		ends = [][]any{}
	}
	m.answer(w, map[string]any{"clock_ms": m.clockMs(), "running": running, "ended": ends})
}

// percent returns how much of its work a run has done; a task that lasts is at work at 100.
func (r *run) percent() int {
	switch {
	case r.worksSince.IsZero():
		return 0
	case r.step.LongRunning:
		return min(100, int(time.Since(r.worksSince)/(time.Duration(max(1, r.step.EstMs))*time.Millisecond/100)))
	default:
		return min(99, int(time.Since(r.worksSince).Milliseconds()*100/max(1, r.step.EstMs)))
	}
}

// runningOf returns how many tasks of a job run.
func (f *fleet) runningOf(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, m := range f.machines {
		for task := range m.running {
			if strings.HasPrefix(task, id+".") {
				count++
			}
		}
	}
	return count
}

// busiest returns the machine that runs the most tasks of a job.
func (f *fleet) busiest(id string) *machine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *machine
	most := 0
	for _, m := range f.machines {
		count := 0
		for task := range m.running {
			if strings.HasPrefix(task, id+".") {
				count++
			}
		}
		if count > most {
			best, most = m, count
		}
	}
	return best
}

// capacity returns the cores of all runners that are up and those in use, in thousandths.
func (f *fleet) capacity() (total, used int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, m := range f.machines {
		if m.state != "up" {
			continue
		}
		total += runnerCPU
		for _, r := range m.running {
			used += r.step.CPU
		}
	}
	return total, used
}

// serveMachines serves the platform's list of machines. No machine can be moved.
func (f *fleet) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := []map[string]any{}
	for _, m := range f.machines {
		list = append(list, map[string]any{
			"machine": m.name, "pool": m.service, "state": m.state, "zone": "z-a", "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": runnerCPU, "mem_mb": runnerMemMB, "gpu": 0}, "id": m.id,
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": list})
}
