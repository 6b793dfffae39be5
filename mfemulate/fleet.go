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

// machine is a machine that runs one worker.
type machine struct {
	id    mothferry.MachineID
	pool  mothferry.ServiceID
	rack  mothferry.RackID
	state mothferry.MachineState
	// worker is the current incarnation, empty while there is none; listedWorker is the one
	// that the list of workers shows.
	worker       mothferry.WorkerID
	listedWorker mothferry.WorkerID
	// previousWorker is the id of the previous incarnation.
	previousWorker mothferry.WorkerID
	capacity       mothferry.Resources
	// hidden is how lists of machines misrepresent it; zero if they don't.
	hidden Hidden
}

// AddMachines adds machines with a worker each to a pool, four to a rack.
func (w *World) AddMachines(pool mothferry.ServiceID, count int, capacity mothferry.Resources) {
	for i := range count {
		m := &machine{
			id: mothferry.MachineID(fmt.Sprintf("m-%s-%02d", pool, i)), pool: pool, capacity: capacity,
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

// endWorker ends a worker's incarnation with all its runs.
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

// CrashWorker crashes a machine's worker; another incarnation starts after down.
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

// PartitionWorker makes a machine's worker unreachable for d; its runs continue.
func (w *World) PartitionWorker(index int, d time.Duration) {
	k, found := w.workers[w.machines[index%len(w.machines)].worker]
	if !found {
		return
	}
	k.unreachable, k.unreachableUntil = true, w.now.Add(d)
	w.after(d, func() { k.unreachable = false })
}

const (
	// As at the real owner, machines are left alone for takeoverHold after a takeover, and are
	// changed only while the last stored commit is no older than maxCommitAge.
	takeoverHold = 3300 * time.Millisecond
	maxCommitAge = time.Second
)

// controlMachines lists the machines and carries out the planned operations, if machines may
// move.
func (o *owner) controlMachines() {
	w := o.world
	if w.Late.enabled() {
		requested, machines := w.now, w.drawList()
		w.after(w.delay(w.Late.List, w.Late.ListBy), func() {
			o.doFrom(&o.deferredLists, func() { o.applyMachines(machines, requested) })
			o.nextControl()
		})
		return
	}
	o.do(func() { o.applyMachines(w.machineList(), w.now) })
	o.nextControl()
}

// nextControl schedules the next list of machines.
func (o *owner) nextControl() {
	if !o.dead {
		o.world.after(controlInterval, o.controlMachines)
	}
}

// applyMachines applies a list of machines that was requested at some time.
func (o *owner) applyMachines(machines []mothferry.Machine, requested time.Time) {
	w := o.world
	for _, e := range o.incarnations.Ended(machines, o.state.Loads(), w.now) {
		e.ListedAt = requested
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
}

// coresOf returns the cores of all machines that are not down.
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

// wave is a requested maintenance wave and the machines that it has completed.
type wave struct {
	request     mfsched.Wave
	requestedAt time.Time
	done        []mothferry.MachineID
}

// RequestMaintenance requests maintenance of some machines within a time, at most maxDown in
// parallel.
func (w *World) RequestMaintenance(indexes []int, within time.Duration, maxDown int) {
	id := mothferry.WaveID(len(w.waves) + 1)
	v := &wave{request: mfsched.Wave{Wave: id, Within: within, MaxDown: maxDown}, requestedAt: w.now}
	for _, i := range indexes {
		v.request.Machines = append(v.request.Machines, w.machines[i%len(w.machines)].id)
	}
	w.waves[id] = v
	w.owner.do(func() { w.owner.machineControl.AddWave(v.request, w.now) })
}

// restoreWaves gives a new owner the waves that were requested before it took over.
func (o *owner) restoreWaves() {
	for id, v := range o.world.waves {
		o.machineControl.RestoreWave(id, v.requestedAt, v.done)
		o.machineControl.AddWave(v.request, o.world.now)
	}
}

// Submit stores a job as accepted and passes it to the owner.
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

// inboxDelay is the time from a job's acceptance until the owner receives it.
const inboxDelay = 20 * time.Millisecond

// Cancel cancels a job.
func (w *World) Cancel(id mothferry.JobID) {
	w.jobs[id].cancelled = w.now
	w.after(inboxDelay, func() { w.notifyOwner(mfsched.CancelRequested{Job: id}) })
}

// Unfinished counts the accepted jobs that should have ended and have not.
func (w *World) Unfinished() int {
	count := 0
	for _, c := range w.jobs {
		if !c.submission.Lasts() && !c.state.Final() {
			count++
		}
	}
	return count
}

// DescribeUnfinished returns the stored progress of each job that Unfinished counts.
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
