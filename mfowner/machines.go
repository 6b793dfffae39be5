package mfowner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfsched"
)

const (
	// machinePollInterval is how often machines are listed and calls planned. It is short
	// compared to the two seconds that maintenance or a move takes.
	machinePollInterval = 150 * time.Millisecond
	// listIntervalFactor times the duration of a list of machines is the interval to the start
	// of the next one, with a pause of at most maxListPause. A list has 0.2 kB per machine: for
	// 130 machines it takes 0.1 s on a link of 2 Mbit/s. Without the pause each commit and poll
	// took a third of a second, and leases expired.
	listIntervalFactor = 4
	maxListPause       = 500 * time.Millisecond
)

// listInterval returns the time from the start of one list of machines to the start of the
// next.
func listInterval(took time.Duration) time.Duration {
	return max(machinePollInterval, min(listIntervalFactor*took, took+maxListPause))
}

// machineControl is the state of a session's control of machines: moves and maintenance.
type machineControl struct {
	// callWindow is how long after the commit in flight was sent its calls may be sent.
	callWindow   time.Duration
	planner      *mfduty.State
	poolSizeLog  mfduty.PoolSizeLog
	incarnations mfduty.IncarnationTracker
	listing      bool
	standby      map[mothferry.ServiceID]bool
	// lastListed holds the machines of the last list.
	lastListed map[mothferry.MachineID]mothferry.Machine
	nextList   time.Time
	// maxCapacity is the maximum of each resource over all machines.
	maxCapacity mothferry.Resources
	// calledAt is when each machine was last called for, queued the calls not yet named by a
	// commit, committing those named by the commit in flight.
	calledAt           map[mothferry.MachineID]time.Time
	queued, committing []mfduty.Call
	// calledBy names the daemon that called for a machine if it is another one.
	calledBy map[mothferry.MachineID]mothferry.DaemonID
	// storedWaves holds the stored rows of waves.
	storedWaves map[mothferry.Key]string
	// reportedWaves is what was last reported of each wave: whether it is completed.
	reportedWaves map[mothferry.WaveID]bool
}

func newMachineControl(off mothferry.FeaturesOff) machineControl {
	planner := mfduty.New()
	planner.Off = off
	return machineControl{
		planner:       planner,
		calledAt:      map[mothferry.MachineID]time.Time{},
		storedWaves:   map[mothferry.Key]string{},
		reportedWaves: map[mothferry.WaveID]bool{},
	}
}

// pollMachines lists machines when the next list is due, and plans calls with the result.
func (s *session) pollMachines(now time.Time) {
	if now.Before(s.machines.nextList) || s.machines.listing {
		return
	}
	for _, w := range s.owner.Waves() {
		s.machines.planner.AddWave(w, now)
	}
	s.reportWaves()
	s.machines.listing = true
	go func() {
		machines, err := s.owner.Machines.List(s.ctx)
		s.runInLoop(func() {
			s.machines.nextList = now.Add(listInterval(s.owner.Clock.Now().Sub(now)))
			s.planMachineCalls(machines, now, err)
		})
	}()
}

func (s *session) planMachineCalls(machines []mothferry.Machine, requested time.Time, err error) {
	s.machines.listing = false
	if err != nil {
		s.owner.machinesEpisode.Failed(err, "failed to list machines")
		return
	}
	s.owner.machinesEpisode.Succeeded("listing of machines recovered")
	now := s.owner.Clock.Now()
	s.logMachineChanges(machines)
	s.machines.maxCapacity = maxCapacityOf(machines)
	s.step(mfsched.FleetCapacityReported{Cores: totalCores(machines)})
	loads := s.state.Loads()
	ended := s.machines.incarnations.Ended(machines, loads, requested)
	for _, e := range ended {
		e.ListedAt = requested
		s.step(e)
	}
	if !s.confirmedWithin(s.callWindow(), now) {
		return
	}
	if len(ended) > 0 {
		loads = s.state.Loads()
	}
	calls := s.machines.planner.Plan(mfduty.Fleet{
		Machines: machines, Loads: loads, Demands: s.state.Demands(now), Standby: s.machines.standby,
		Blocked: s.predecessor.blocked(now, s.owner.handoverDelay()),
	}, now)
	s.step(mfsched.WorkersToEvacuate{Workers: s.machines.planner.Evacuating(), MaintenanceDue: s.machines.planner.AwaitingMaintenance(machines)})
	s.reportPoolSizes(now)
	if len(calls) == 0 {
		return
	}
	// Calls are sent only after a commit that names them is stored.
	s.machines.queued = append(s.machines.queued, calls...)
	s.step(mfsched.CommitRequested{})
}

// reportPoolSizes reports and logs actual and intended pool sizes.
func (s *session) reportPoolSizes(now time.Time) {
	sizes := s.machines.planner.PoolSizes
	if s.owner.OnPoolSizes != nil {
		s.owner.OnPoolSizes(sizes)
	}
	for id, p := range s.machines.poolSizeLog.Changed(sizes, now) {
		s.owner.Log.WithFields(log.Fields{
			"service": id, "need_cores": p.Need.Cores, "need_memory": p.Need.Memory, "binding": p.Binding,
			"present": p.Present, "needed": p.Needed, "target": p.Target, "short": p.Shortfall(), "epoch": s.state.Epoch,
		}).Info("pool size changed")
	}
}

// totalCores returns the cores of all machines that are not down.
func totalCores(machines []mothferry.Machine) float64 {
	cores := 0.0
	for _, m := range machines {
		if m.State != mothferry.MachineDown {
			cores += float64(m.Capacity.Cores) / 1000
		}
	}
	return cores
}

// maxCapacityOf returns the maximum of each resource over all machines, including those that
// are down.
func maxCapacityOf(machines []mothferry.Machine) mothferry.Resources {
	var capacity mothferry.Resources
	for _, m := range machines {
		capacity.Cores = max(capacity.Cores, m.Capacity.Cores)
		capacity.Memory = max(capacity.Memory, m.Capacity.Memory)
		capacity.Accelerators = max(capacity.Accelerators, m.Capacity.Accelerators)
	}
	return capacity
}

// logMachineChanges logs machines whose state or worker has changed.
func (s *session) logMachineChanges(machines []mothferry.Machine) {
	listed := map[mothferry.MachineID]mothferry.Machine{}
	for _, m := range machines {
		listed[m.Machine] = m
		old, known := s.machines.lastListed[m.Machine]
		if s.machines.lastListed != nil && (!known || old.State != m.State || old.Worker != m.Worker) {
			s.owner.Log.WithFields(log.Fields{"machine": m.Machine, "pool": m.Pool, "state": m.State, "worker": m.Worker, "former_state": old.State, "former_worker": old.Worker}).Info("machine changed")
		}
	}
	for id := range s.machines.lastListed {
		if _, ok := listed[id]; !ok {
			s.owner.Log.WithField("machine", id).Info("machine no longer listed")
		}
	}
	s.machines.lastListed = listed
}

func (s *session) callMachine(c mfduty.Call) {
	fence := mothferry.MachineFence{Holder: s.owner.Daemon, Epoch: s.state.Epoch}
	var err error
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	if c.Kind == mfduty.KindMaintenance {
		err = s.owner.Machines.StartMaintenance(ctx, c.Machine, c.Wave, fence)
	} else {
		err = s.owner.Machines.Move(ctx, c.Machine, c.Pool, fence)
	}
	s.runInLoop(func() { s.machineCallDone(c, err) })
}

func (s *session) machineCallDone(c mfduty.Call, err error) {
	answer := answerOf(err)
	entry := s.owner.Log.WithFields(log.Fields{"machine": c.Machine, "kind": c.Kind, "wave": c.Wave, "pool": c.Pool, "answer": answer, "epoch": s.state.Epoch})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("machine is asked for")
	s.machines.planner.RecordAnswer(c, answer, s.owner.Clock.Now())
}

// answerOf classifies the error of a call.
func answerOf(err error) mfduty.Answer {
	var refused *mothferry.ErrOrderRefused
	var declined *mothferry.ErrDeclined
	var rejected *mothferry.ErrRejected
	switch {
	case err == nil:
		return mfduty.AnswerDone
	case errors.As(err, &rejected):
		return mfduty.AnswerRejected
	case errors.As(err, &refused):
		return mfduty.AnswerRefused
	case errors.As(err, &declined) && declined.Status == http.StatusTooManyRequests:
		return mfduty.AnswerThrottled
	default:
		return mfduty.AnswerUnknown
	}
}
