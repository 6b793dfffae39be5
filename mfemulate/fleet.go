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
	// worker is its worker, listed the life that the list of workers shows.
	worker       mothferry.WorkerID
	listedWorker mothferry.WorkerID
	// previousWorker is the id of the life before.
	previousWorker mothferry.WorkerID
	capacity       mothferry.Resources
}

// AddMachines adds machines to a pool, four to a rack, each with a worker.
func (w *World) AddMachines(pool mothferry.ServiceID, count int, has mothferry.Resources) {
	for i := range count {
		m := &machine{
			id: mothferry.MachineID(fmt.Sprintf("m-%s-%02d", pool, i)), pool: pool, capacity: has,
			rack: mothferry.RackID(fmt.Sprintf("r-%s-%d", pool, i/4)),
		}
		w.machines = append(w.machines, m)
		w.startWorker(m)
	}
}

// startWorker starts a worker on a machine.
func (w *World) startWorker(m *machine) {
	w.workersStarted++
	id := mothferry.WorkerID(fmt.Sprintf("w-%04d", w.workersStarted))
	if m.previousWorker != "" && w.chance(w.Faults.ReuseID) {
		id = m.previousWorker
	}
	m.worker, m.previousWorker, m.state = id, id, mothferry.MachineUp
	k := &worker{
		world: w, machine: m, startedAt: w.now, clockRate: 1 - 0.02*w.Random.Float64(), pace: 1,
		running: map[mothferry.TaskName]*run{}, highestRuns: map[mothferry.TaskName]mothferry.RunNumber{},
		listing: mfsched.Worker{
			At: mothferry.WorkerAddress{Worker: id, Address: string(id)}, StartedAt: mothferry.IncarnationStart(w.now.UnixMilli()), Service: m.pool, Rack: m.rack, Capacity: m.capacity,
		},
	}
	w.workers[id] = k
	w.after(listLag, func() {
		if k.ended {
			return
		}
		m.listedWorker = id
		w.notifyOwner(mfsched.WorkerListed{Worker: k.listing})
	})
}

func (w *World) notifyOwner(e mfsched.Event) {
	o := w.owner
	o.do(func() { o.step(e) })
}

// endWorker ends a life: all that it ran is gone.
func (w *World) endWorker(m *machine) {
	k := w.workers[m.worker]
	for _, name := range k.runningTasks() {
		w.recordLastServing(k, name)
	}
	k.ended = true
	k.running = map[mothferry.TaskName]*run{}
	k.breakPolls()
	w.after(listLag, func() {
		if w.workers[k.listing.At.Worker] == k {
			w.notifyOwner(mfsched.WorkerUnlisted{Worker: k.listing.At.Worker})
		}
	})
}

// CrashWorker ends a machine's worker; another life begins a while later.
func (w *World) CrashWorker(index int, down time.Duration) {
	m := w.machines[index%len(w.machines)]
	if m.state == mothferry.MachineUp {
		w.crashMachine(m, down)
	}
}

func (w *World) crashMachine(m *machine, down time.Duration) {
	for name := range w.workers[m.worker].running {
		w.jobs[name.Job].crashes[name]++
	}
	w.endWorker(m)
	m.state, m.worker = mothferry.MachineDown, ""
	w.after(down, func() { w.startWorker(m) })
}

// PartitionWorker cuts a machine's worker off for a while; it runs on.
func (w *World) PartitionWorker(index int, d time.Duration) {
	k, there := w.workers[w.machines[index%len(w.machines)].worker]
	if !there {
		return
	}
	k.unreachable, k.unreachableUntil = true, w.now.Add(d)
	w.after(d, func() { k.unreachable = false })
}

const (
	// takeoverHold is how long after a takeover machines are left alone, callWithin
	// how long after the last stored commit they may be changed, as at the
	// real owner.
	takeoverHold = 3300 * time.Millisecond
	maxCommitAge = time.Second
)

// controlMachines lists machines and does what is planned, if machines may move.
func (o *owner) controlMachines() {
	w := o.world
	o.do(func() {
		var machines []mothferry.Machine
		for _, m := range w.machines {
			machines = append(machines, mothferry.Machine{Machine: m.id, Pool: m.pool, State: m.state, Capacity: m.capacity, Worker: m.worker})
		}
		for _, e := range o.incarnations.Ended(machines, o.state.Loads(), w.now) {
			e.ListedAt = w.now
			o.step(e)
		}
		if len(w.hosts) > 0 {
			o.step(mfsched.FleetCapacityReported{Cores: coresOf(machines)})
		}
		if !w.Moves && len(w.waves) == 0 || w.now.Sub(o.takenOverAt) < takeoverHold || w.now.Sub(o.lastCommitAt) > maxCommitAge {
			return
		}
		calls := o.machineControl.Plan(mfduty.Fleet{Machines: machines, Loads: o.state.Loads(), Demands: o.state.Demands(w.now), Standby: w.Standby}, w.now)
		o.step(mfsched.WorkersToEvacuate{Workers: o.machineControl.Evacuating(), MaintenanceDue: o.machineControl.AwaitingMaintenance(machines)})
		for _, c := range calls {
			answer := w.moveMachine(c)
			o.machineControl.RecordAnswer(c, answer, w.now)
			if w.OnDecision != nil {
				w.OnDecision(w.Now(), mfsched.Decision{Message: "machine is asked for", Fields: map[string]any{"machine": c.Machine, "pool": c.Pool, "answer": answer}})
			}
		}
	})
	if !o.dead {
		w.after(controlInterval, o.controlMachines)
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
	k := w.workers[m.worker]
	for _, name := range k.runningTasks() {
		w.endByOrder(k, name, "move")
	}
	w.endWorker(m)
	m.worker = ""
	if c.Kind == mfduty.KindMaintenance {
		w.Stats.Maintenances++
		w.waves[c.Wave].done = append(w.waves[c.Wave].done, m.id)
		m.state = mothferry.MachineMaintenance
		w.after(maintenanceTime, func() { w.startWorker(m) })
		return mfduty.AnswerDone
	}
	w.Stats.Moves++
	m.state, m.pool = mothferry.MachineMoving, c.Pool
	w.after(moveTime, func() { w.startWorker(m) })
	return mfduty.AnswerDone
}

// wave is upkeep that is asked for, and on which machines it was done.
type wave struct {
	request     mfsched.Wave
	requestedAt time.Time
	done        []mothferry.MachineID
}

// RequestMaintenance asks for the upkeep of some machines within a time, so many of them at once.
func (w *World) RequestMaintenance(indexes []int, within time.Duration, atOnce int) {
	id := mothferry.WaveID(len(w.waves) + 1)
	v := &wave{request: mfsched.Wave{Wave: id, Within: within, MaxDown: atOnce}, requestedAt: w.now}
	for _, i := range indexes {
		v.request.Machines = append(v.request.Machines, w.machines[i%len(w.machines)].id)
	}
	w.waves[id] = v
	w.owner.do(func() { w.owner.machineControl.AddWave(v.request, w.now) })
}

// restoreWaves takes in the waves that are known at a takeover.
func (o *owner) restoreWaves() {
	for id, v := range o.world.waves {
		o.machineControl.RestoreWave(id, v.requestedAt, v.done)
		o.machineControl.AddWave(v.request, o.world.now)
	}
}

// Submit hands a job in.
func (w *World) Submit(s mfjob.Submission) mothferry.JobID {
	id := mothferry.JobID(fmt.Sprintf("%016x", len(w.jobOrder)+1))
	s.Accepted = w.now
	w.jobOrder = append(w.jobOrder, id)
	c := &jobRecord{
		id: id, submission: s, state: mfjob.StateQueued, done: map[mothferry.TaskName]bool{}, doneAt: map[mothferry.TaskName]time.Time{},
		crashes: map[mothferry.TaskName]int{}, failures: map[mothferry.TaskName]int{}, lastServing: map[mothferry.TaskName]lastServing{},
	}
	if w.chance(w.Faults.CrashJob) {
		w.Stats.CrashingJobs++
		step := w.Random.IntN(len(s.Steps))
		c.crashingTask = &mothferry.TaskName{Job: id, Step: step, Index: w.Random.IntN(s.Steps[step].Count)}
	}
	w.jobs[id] = c
	w.drawTaskDurations(c)
	w.after(inboxDelay, func() { w.notifyOwner(mfsched.JobFound{Job: id, Submission: s}) })
	return id
}

// inboxDelay is how long an accepted job takes to its owner.
const inboxDelay = 20 * time.Millisecond

// Cancel cancels a job.
func (w *World) Cancel(id mothferry.JobID) {
	w.jobs[id].cancelled = w.now
	w.after(inboxDelay, func() { w.notifyOwner(mfsched.CancelRequested{Job: id}) })
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

// DescribeUnfinished tells of each job without an end what the store holds of it.
func (w *World) DescribeUnfinished() []string {
	var out []string
	for _, id := range w.jobOrder {
		c := w.jobs[id]
		if !c.submission.Lasts() && !c.state.Final() {
			out = append(out, fmt.Sprintf("job %s, cancelled %v: %+v", id, !c.cancelled.IsZero(), w.committed[id]))
		}
	}
	return out
}
