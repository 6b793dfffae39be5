package mfemulate

import (
	"fmt"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// machine is what a worker runs on.
type machine struct {
	id    mothferry.MachineID
	pool  mothferry.ServiceID
	rack  mothferry.RackID
	state mothferry.MachineState
	// life is its worker, listed the life that the list of workers shows.
	life   mothferry.WorkerID
	listed mothferry.WorkerID
	// former is the id of the life before.
	former mothferry.WorkerID
	has    mothferry.Resources
}

// AddMachines adds machines to a pool, four to a rack, each with a worker.
func (w *World) AddMachines(pool mothferry.ServiceID, count int, has mothferry.Resources) {
	for i := range count {
		m := &machine{
			id: mothferry.MachineID(fmt.Sprintf("m-%s-%02d", pool, i)), pool: pool, has: has,
			rack: mothferry.RackID(fmt.Sprintf("r-%s-%d", pool, i/4)),
		}
		w.machines = append(w.machines, m)
		w.live(m)
	}
}

// live starts a worker on a machine.
func (w *World) live(m *machine) {
	w.lives++
	id := mothferry.WorkerID(fmt.Sprintf("w-%04d", w.lives))
	if m.former != "" && w.chance(w.Faults.SameID) {
		id = m.former
	}
	m.life, m.former, m.state = id, id, mothferry.MachineUp
	k := &worker{
		world: w, machine: m, began: w.now, speed: 1 - 0.02*w.Random.Float64(), pace: 1,
		running: map[mothferry.TaskName]*run{}, highest: map[mothferry.TaskName]mothferry.RunNumber{},
		listing: mfsched.Worker{
			At: mothferry.WorkerAddress{Worker: id, Address: string(id)}, StartedAt: mothferry.IncarnationStart(w.now.UnixMilli()), Service: m.pool, Rack: m.rack, Capacity: m.has,
		},
	}
	w.workers[id] = k
	w.after(listLag, func() {
		if k.over {
			return
		}
		m.listed = id
		w.tell(mfsched.WorkerListed{Worker: k.listing})
	})
}

func (w *World) tell(e mfsched.Event) {
	o := w.owner
	o.do(func() { o.step(e) })
}

// end ends a life: all that it ran is gone.
func (w *World) end(m *machine) {
	k := w.workers[m.life]
	for _, name := range k.names() {
		w.leave(k, name)
	}
	k.over = true
	k.running = map[mothferry.TaskName]*run{}
	k.breakLooks()
	w.after(listLag, func() {
		if w.workers[k.listing.At.Worker] == k {
			w.tell(mfsched.WorkerUnlisted{Worker: k.listing.At.Worker})
		}
	})
}

// Crash ends a machine's worker; another life begins a while later.
func (w *World) Crash(index int, down time.Duration) {
	m := w.machines[index%len(w.machines)]
	if m.state == mothferry.MachineUp {
		w.crash(m, down)
	}
}

func (w *World) crash(m *machine, down time.Duration) {
	for name := range w.workers[m.life].running {
		w.jobs[name.Job].crashes[name]++
	}
	w.end(m)
	m.state, m.life = mothferry.MachineDown, ""
	w.after(down, func() { w.live(m) })
}

// Silence cuts a machine's worker off for a while; it runs on.
func (w *World) Silence(index int, d time.Duration) {
	k, there := w.workers[w.machines[index%len(w.machines)].life]
	if !there {
		return
	}
	k.silent, k.silentUntil = true, w.now.Add(d)
	w.after(d, func() { k.silent = false })
}

const (
	// handOver is how long after a takeover machines are left alone, callWithin
	// how long after the last stored commit they may be changed, as at the
	// real owner.
	handOver   = 3300 * time.Millisecond
	callWithin = time.Second
)

// duties lists machines and does what is planned, if machines may move.
func (o *owner) duties() {
	w := o.world
	o.do(func() {
		var machines []mothferry.Machine
		for _, m := range w.machines {
			machines = append(machines, mothferry.Machine{Machine: m.id, Pool: m.pool, State: m.state, Capacity: m.has, Worker: m.life})
		}
		for _, e := range o.lives.Ended(machines, o.state.Loads(), w.now) {
			e.ListedAt = w.now
			o.step(e)
		}
		if len(w.hosts) > 0 {
			o.step(mfsched.FleetCapacityReported{Cores: coresOf(machines)})
		}
		if !w.Moves && len(w.waves) == 0 || w.now.Sub(o.taken) < handOver || w.now.Sub(o.confirmed) > callWithin {
			return
		}
		calls := o.duty.Plan(mfduty.Fleet{Machines: machines, Loads: o.state.Loads(), Demands: o.state.Demands(w.now), Standby: w.Standby}, w.now)
		o.step(mfsched.WorkersToEvacuate{Workers: o.duty.Evacuating(), MaintenanceDue: o.duty.AwaitingMaintenance(machines)})
		for _, c := range calls {
			answer := w.moveMachine(c)
			o.duty.RecordAnswer(c, answer, w.now)
			if w.Watch != nil {
				w.Watch(w.Now(), mfsched.Decision{Message: "machine is asked for", Fields: map[string]any{"machine": c.Machine, "pool": c.Pool, "answer": answer}})
			}
		}
	})
	if !o.dead {
		w.after(dutyEvery, o.duties)
	}
}

// coresOf returns how many cores machines have that are not down.
func coresOf(machines []mothferry.Machine) float64 {
	sum := 0.0
	for _, m := range machines {
		if m.State != mothferry.MachineDown {
			sum += float64(m.Capacity.Cores) / 1000
		}
	}
	return sum
}

func (w *World) moveMachine(c mfduty.Call) mfduty.Answer {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.id == c.Machine })
	m := w.machines[i]
	if m.state != mothferry.MachineUp {
		return mfduty.AnswerRefused
	}
	k := w.workers[m.life]
	for _, name := range k.names() {
		w.endByOrder(k, name, "move")
	}
	w.end(m)
	m.life = ""
	if c.Kind == mfduty.KindMaintenance {
		w.Figures.Upkeeps++
		w.waves[c.Wave].done = append(w.waves[c.Wave].done, m.id)
		m.state = mothferry.MachineMaintenance
		w.after(upkeepTakes, func() { w.live(m) })
		return mfduty.AnswerDone
	}
	w.Figures.Moves++
	m.state, m.pool = mothferry.MachineMoving, c.Pool
	w.after(moveTakes, func() { w.live(m) })
	return mfduty.AnswerDone
}

// wave is upkeep that is asked for, and on which machines it was done.
type wave struct {
	asked mfsched.Wave
	begun time.Time
	done  []mothferry.MachineID
}

// Upkeep asks for the upkeep of some machines within a time, so many of them at once.
func (w *World) Upkeep(indexes []int, within time.Duration, atOnce int) {
	id := mothferry.WaveID(len(w.waves) + 1)
	v := &wave{asked: mfsched.Wave{Wave: id, Within: within, MaxDown: atOnce}, begun: w.now}
	for _, i := range indexes {
		v.asked.Machines = append(v.asked.Machines, w.machines[i%len(w.machines)].id)
	}
	w.waves[id] = v
	w.owner.do(func() { w.owner.duty.AddWave(v.asked, w.now) })
}

// askedUpkeep takes in the waves that are known at a takeover.
func (o *owner) askedUpkeep() {
	for id, v := range o.world.waves {
		o.duty.RestoreWave(id, v.begun, v.done)
		o.duty.AddWave(v.asked, o.world.now)
	}
}

// Submit hands a job in.
func (w *World) Submit(s mfjob.Submission) mothferry.JobID {
	id := mothferry.JobID(fmt.Sprintf("%016x", len(w.order)+1))
	s.Accepted = w.now
	w.order = append(w.order, id)
	c := &caller{
		id: id, submission: s, state: mfjob.StateQueued, done: map[mothferry.TaskName]bool{}, doneAt: map[mothferry.TaskName]time.Time{},
		crashes: map[mothferry.TaskName]int{}, failures: map[mothferry.TaskName]int{}, left: map[mothferry.TaskName]departure{},
	}
	if w.chance(w.Faults.CrashJob) {
		w.Figures.Crashing++
		step := w.Random.IntN(len(s.Steps))
		c.crashing = &mothferry.TaskName{Job: id, Step: step, Index: w.Random.IntN(s.Steps[step].Count)}
	}
	w.jobs[id] = c
	w.drawTimes(c)
	w.after(inboxDelay, func() { w.tell(mfsched.JobFound{Job: id, Submission: s}) })
	return id
}

// inboxDelay is how long an accepted job takes to its owner.
const inboxDelay = 20 * time.Millisecond

// Cancel cancels a job.
func (w *World) Cancel(id mothferry.JobID) {
	w.jobs[id].cancelled = w.now
	w.after(inboxDelay, func() { w.tell(mfsched.CancelRequested{Job: id}) })
}

// Unfinished counts accepted jobs without an end that should have one.
func (w *World) Unfinished() int {
	count := 0
	for _, c := range w.jobs {
		if !c.submission.Lasts() && !c.state.Final() {
			count++
		}
	}
	return count
}

// Describe tells of each job without an end what the store holds of it.
func (w *World) Describe() []string {
	var out []string
	for _, id := range w.order {
		c := w.jobs[id]
		if !c.submission.Lasts() && !c.state.Final() {
			out = append(out, fmt.Sprintf("job %s, cancelled %v: %+v", id, !c.cancelled.IsZero(), w.committed[id]))
		}
	}
	return out
}
