package mfowner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfrecord"
	"mothferry/mfsched"
)

const (
	// machinePollInterval is how often machines are listed and duties planned: fast beside
	// the two seconds that an upkeep or a move takes.
	machinePollInterval = 150 * time.Millisecond
	// listIntervalFactor times what listing machines took is the shortest time between two lists,
	// but listPause more than it took at the most. A list has 0.2 kB a machine: on a
	// link of 2 Mbit/s that of 130 machines takes 0.1 s, and one list after the other
	// left a third of a second for each commit and look, so that leases lapsed.
	listIntervalFactor = 4
	maxListPause       = 500 * time.Millisecond
)

// listInterval is the time from the beginning of one list of machines to that of the next.
func listInterval(took time.Duration) time.Duration {
	return max(machinePollInterval, min(listIntervalFactor*took, took+maxListPause))
}

// machineControl is what a session does with machines.
type machineControl struct {
	// callWindow is how long after the commit under way was sent its calls may go out.
	callWindow   time.Duration
	planner      *mfduty.State
	poolSizeLog  mfduty.PoolSizeLog
	incarnations mfduty.IncarnationTracker
	listing      bool
	standby      map[mothferry.ServiceID]bool
	// lastListed holds the machines as they were listed last.
	lastListed map[mothferry.MachineID]mothferry.Machine
	nextList   time.Time
	// maxCapacity is the most of each resource that any machine has.
	maxCapacity mothferry.Resources
	// calledAt holds when machines were asked for, waiting the calls that no commit
	// names yet, releasing those that the commit under way names.
	calledAt           map[mothferry.MachineID]time.Time
	queued, committing []mfduty.Call
	// calledBy tells of machines that another host asked for, which.
	calledBy map[mothferry.MachineID]mothferry.DaemonID
	// storedWaves is what the store holds of each wave.
	storedWaves map[mothferry.WaveID]string
	// reportedWaves is what the operator was told of each wave.
	reportedWaves map[mothferry.WaveID]bool
}

func newMachineControl(off mothferry.FeaturesOff) machineControl {
	state := mfduty.New()
	state.Off = off
	return machineControl{
		planner:       state,
		calledAt:      map[mothferry.MachineID]time.Time{},
		storedWaves:   map[mothferry.WaveID]string{},
		reportedWaves: map[mothferry.WaveID]bool{},
	}
}

// storedWave is the row of a wave under way.
type storedWave struct {
	Format int                   `json:"format"`
	Begun  time.Time             `json:"begun"`
	Done   []mothferry.MachineID `json:"done"`
}

// waveFormat is the version of storedWave.
const waveFormat = 1

func waveKey(id mothferry.WaveID) mothferry.Key {
	return mothferry.Key(prefixWave + strconv.Itoa(int(id)))
}

const prefixWave = "wave/"

// restoreWaves takes in what earlier owners did.
func (s *session) restoreWaves(rows []mothferry.Row) error {
	for _, r := range rows {
		if !isWaveRow(r) {
			continue
		}
		id, w, err := decodeWaveRow(r)
		if err != nil {
			return err
		}
		s.machines.planner.RestoreWave(id, w.Begun, w.Done)
		s.machines.storedWaves[id] = string(r.Value)
	}
	return nil
}

func isWaveRow(r mothferry.Row) bool { return strings.HasPrefix(string(r.Key), prefixWave) }

// decodeWaveRow reads the row of a wave; it fails with errNewerWave if a newer
// program wrote it.
func decodeWaveRow(r mothferry.Row) (mothferry.WaveID, storedWave, error) {
	var w storedWave
	id, err := strconv.Atoi(strings.TrimPrefix(string(r.Key), prefixWave))
	if err != nil {
		return 0, w, trace.Wrap(err)
	}
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return 0, w, trace.Wrap(err)
	}
	if w.Format > waveFormat {
		return 0, w, &errNewerWave{format: w.Format}
	}
	return mothferry.WaveID(id), w, nil
}

// errNewerWave reports a wave's row of a newer program.
type errNewerWave struct{ format int }

// Error implements error.
func (e *errNewerWave) Error() string {
	return fmt.Sprintf("a wave's row has format %d, this program reads up to %d", e.format, waveFormat)
}

// waveRows returns the rows of waves that changed since they were stored.
func (s *session) waveRows() []mothferry.Write {
	var rows []mothferry.Write
	for id, w := range s.machines.planner.Waves {
		stored := storedWave{Format: waveFormat, Begun: w.StartedAt, Done: slices.Sorted(maps.Keys(w.Done))}
		value, err := json.Marshal(stored)
		if err != nil {
			s.owner.Log.WithError(err).WithField("wave", id).Error("wave can't be stored")
			continue
		}
		if s.machines.storedWaves[id] == string(value) {
			continue
		}
		s.machines.storedWaves[id] = string(value)
		rows = append(rows, mothferry.Write{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: waveKey(id), Value: value})
	}
	return rows
}

// pollMachines lists machines when it is time to, and plans once the list is there.
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

func (s *session) planMachineCalls(machines []mothferry.Machine, asked time.Time, err error) {
	s.machines.listing = false
	if err != nil {
		s.owner.machinesEpisode.Failed(err, "machines can't be listed")
		return
	}
	s.owner.machinesEpisode.Succeeded("machines can be listed again")
	now := s.owner.Clock.Now()
	s.logMachineChanges(machines)
	s.machines.maxCapacity = maxCapacityOf(machines)
	s.step(mfsched.FleetCapacityReported{Cores: totalCores(machines)})
	for _, e := range s.machines.incarnations.Ended(machines, s.state.Loads(), now) {
		e.ListedAt = asked
		s.step(e)
	}
	if !s.confirmedWithin(s.callWindow(), now) {
		return
	}
	calls := s.machines.planner.Plan(mfduty.Fleet{
		Machines: machines, Loads: s.state.Loads(), Demands: s.state.Demands(now), Standby: s.machines.standby,
		Blocked: s.predecessor.blocked(now, s.owner.handoverDelay()),
	}, now)
	s.step(mfsched.WorkersToEvacuate{Workers: s.machines.planner.Evacuating(), MaintenanceDue: s.machines.planner.AwaitingMaintenance(machines)})
	s.reportPoolSizes(now)
	if len(calls) == 0 {
		return
	}
	// The calls go out once a commit has stored that they may.
	s.machines.queued = append(s.machines.queued, calls...)
	s.step(mfsched.CommitRequested{})
}

// reportPoolSizes tells how large pools are and should be.
func (s *session) reportPoolSizes(now time.Time) {
	rooms := s.machines.planner.PoolSizes
	if s.owner.OnPoolSizes != nil {
		s.owner.OnPoolSizes(rooms)
	}
	for id, r := range s.machines.poolSizeLog.Changed(rooms, now) {
		s.owner.Log.WithFields(log.Fields{
			"service": id, "need_cores": r.Need.Cores, "need_memory": r.Need.Memory, "binding": r.Binding,
			"present": r.Present, "needed": r.Needed, "target": r.Target, "short": r.Shortfall(), "epoch": s.state.Epoch,
		}).Info("pool is sized")
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

// maxCapacityOf returns the most of each resource that any machine has, down or not.
func maxCapacityOf(machines []mothferry.Machine) mothferry.Resources {
	var most mothferry.Resources
	for _, m := range machines {
		most.Cores = max(most.Cores, m.Capacity.Cores)
		most.Memory = max(most.Memory, m.Capacity.Memory)
		most.Accelerators = max(most.Accelerators, m.Capacity.Accelerators)
	}
	return most
}

// logMachineChanges logs machines whose state has changed.
func (s *session) logMachineChanges(machines []mothferry.Machine) {
	seen := map[mothferry.MachineID]mothferry.Machine{}
	for _, m := range machines {
		seen[m.Machine] = m
		old, known := s.machines.lastListed[m.Machine]
		if s.machines.lastListed != nil && (!known || old.State != m.State || old.Worker != m.Worker) {
			s.owner.Log.WithFields(log.Fields{"machine": m.Machine, "pool": m.Pool, "state": m.State, "worker": m.Worker, "former_state": old.State, "former_worker": old.Worker}).Info("machine has changed")
		}
	}
	for id := range s.machines.lastListed {
		if _, there := seen[id]; !there {
			s.owner.Log.WithField("machine", id).Info("machine is no longer listed")
		}
	}
	s.machines.lastListed = seen
}

func (s *session) callMachine(c mfduty.Call) {
	fence := mothferry.MachineFence{Holder: s.owner.Daemon, Epoch: s.state.Epoch}
	var err error
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	if c.Kind == mfduty.KindMaintenance {
		err = s.owner.Machines.Upkeep(ctx, c.Machine, c.Wave, fence)
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

// answerOf returns what the error of a call says about it.
func answerOf(err error) mfduty.Answer {
	var refused *mothferry.ErrOrderRefused
	var declined *mothferry.ErrDeclined
	switch {
	case err == nil:
		return mfduty.AnswerDone
	case errors.As(err, &refused):
		return mfduty.AnswerRefused
	case errors.As(err, &declined) && declined.Status == http.StatusTooManyRequests:
		return mfduty.AnswerThrottled
	default:
		return mfduty.AnswerUnknown
	}
}

// reportWaves tells the operator how far waves are: running once one is seen,
// completed once that is stored.
func (s *session) reportWaves() {
	for id, w := range s.machines.planner.Waves {
		if told, ok := s.machines.reportedWaves[id]; ok && told == w.Completed {
			continue
		}
		s.machines.reportedWaves[id] = w.Completed
		completed := w.Completed
		go func() {
			err := s.owner.ReportWave(s.ctx, id, completed)
			entry := s.owner.Log.WithFields(log.Fields{"wave": id, "completed": completed})
			if err == nil {
				entry.Info("operator is told of a wave")
				return
			}
			entry.WithError(err).Warn("operator can't be told of a wave")
			s.runInLoop(func() { delete(s.machines.reportedWaves, id) })
		}()
	}
}
