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
	// dutyEvery is how often machines are listed and duties planned: fast beside
	// the two seconds that an upkeep or a move takes.
	dutyEvery = 150 * time.Millisecond
	// listShare times what listing machines took is the shortest time between two lists,
	// but listPause more than it took at the most. A list has 0.2 kB a machine: on a
	// link of 2 Mbit/s that of 130 machines takes 0.1 s, and one list after the other
	// left a third of a second for each commit and look, so that leases lapsed.
	listShare = 4
	listPause = 500 * time.Millisecond
)

// listGap is the time from the beginning of one list of machines to that of the next.
func listGap(took time.Duration) time.Duration {
	return max(dutyEvery, min(listShare*took, took+listPause))
}

// duties is what a session does with machines.
type duties struct {
	// window is how long after the commit under way was sent its calls may go out.
	window  time.Duration
	state   *mfduty.State
	rooms   mfduty.PoolSizeLog
	lives   mfduty.IncarnationTracker
	listing bool
	standby map[mothferry.ServiceID]bool
	// seen holds the machines as they were listed last.
	seen map[mothferry.MachineID]mothferry.Machine
	next time.Time
	// largest is the most of each resource that any machine has.
	largest mothferry.Resources
	// called holds when machines were asked for, waiting the calls that no commit
	// names yet, releasing those that the commit under way names.
	called             map[mothferry.MachineID]time.Time
	waiting, releasing []mfduty.Call
	// calledBy tells of machines that another host asked for, which.
	calledBy map[mothferry.MachineID]mothferry.DaemonID
	// stored is what the store holds of each wave.
	stored map[mothferry.WaveID]string
	// told is what the operator was told of each wave.
	told map[mothferry.WaveID]bool
}

func newDuties(off mothferry.FeaturesOff) duties {
	state := mfduty.New()
	state.Off = off
	return duties{
		state:  state,
		called: map[mothferry.MachineID]time.Time{},
		stored: map[mothferry.WaveID]string{},
		told:   map[mothferry.WaveID]bool{},
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
		s.duties.state.RestoreWave(id, w.Begun, w.Done)
		s.duties.stored[id] = string(r.Value)
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
	for id, w := range s.duties.state.Waves {
		stored := storedWave{Format: waveFormat, Begun: w.StartedAt, Done: slices.Sorted(maps.Keys(w.Done))}
		value, err := json.Marshal(stored)
		if err != nil {
			s.owner.Log.WithError(err).WithField("wave", id).Error("wave can't be stored")
			continue
		}
		if s.duties.stored[id] == string(value) {
			continue
		}
		s.duties.stored[id] = string(value)
		rows = append(rows, mothferry.Write{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: waveKey(id), Value: value})
	}
	return rows
}

// doDuties lists machines when it is time to, and plans once the list is there.
func (s *session) doDuties(now time.Time) {
	if now.Before(s.duties.next) || s.duties.listing {
		return
	}
	for _, w := range s.owner.Waves() {
		s.duties.state.AddWave(w, now)
	}
	s.tellWaves()
	s.duties.listing = true
	go func() {
		machines, err := s.owner.Machines.List(s.ctx)
		s.act(func() {
			s.duties.next = now.Add(listGap(s.owner.Clock.Now().Sub(now)))
			s.planDuties(machines, now, err)
		})
	}()
}

func (s *session) planDuties(machines []mothferry.Machine, asked time.Time, err error) {
	s.duties.listing = false
	if err != nil {
		s.owner.machinesEpisode.Failed(err, "machines can't be listed")
		return
	}
	s.owner.machinesEpisode.Succeeded("machines can be listed again")
	now := s.owner.Clock.Now()
	s.noteMachines(machines)
	s.duties.largest = largestOf(machines)
	s.step(mfsched.FleetSized{Cores: coresOf(machines)})
	for _, e := range s.duties.lives.Ended(machines, s.state.Loads(), now) {
		e.Asked = asked
		s.step(e)
	}
	if !s.confirmedWithin(s.callWindow(), now) {
		return
	}
	calls := s.duties.state.Plan(mfduty.Fleet{
		Machines: machines, Loads: s.state.Loads(), Demands: s.state.Demands(now), Standby: s.duties.standby,
		Blocked: s.former.blocked(now, s.owner.handOver()),
	}, now)
	s.step(mfsched.WorkersLeaving{Workers: s.duties.state.Evacuating(), Due: s.duties.state.AwaitingMaintenance(machines)})
	s.tellRooms(now)
	if len(calls) == 0 {
		return
	}
	// The calls go out once a commit has stored that they may.
	s.duties.waiting = append(s.duties.waiting, calls...)
	s.step(mfsched.CommitWanted{})
}

// tellRooms tells how large pools are and should be.
func (s *session) tellRooms(now time.Time) {
	rooms := s.duties.state.PoolSizes
	if s.owner.Sized != nil {
		s.owner.Sized(rooms)
	}
	for id, r := range s.duties.rooms.Changed(rooms, now) {
		s.owner.Log.WithFields(log.Fields{
			"service": id, "need_cores": r.Need.Cores, "need_memory": r.Need.Memory, "binding": r.Binding,
			"present": r.Present, "needed": r.Needed, "target": r.Target, "short": r.Shortfall(), "epoch": s.state.Epoch,
		}).Info("pool is sized")
	}
}

// coresOf returns the cores of all machines that are not down.
func coresOf(machines []mothferry.Machine) float64 {
	cores := 0.0
	for _, m := range machines {
		if m.State != mothferry.MachineDown {
			cores += float64(m.Capacity.Cores) / 1000
		}
	}
	return cores
}

// largestOf returns the most of each resource that any machine has, down or not.
func largestOf(machines []mothferry.Machine) mothferry.Resources {
	var most mothferry.Resources
	for _, m := range machines {
		most.Cores = max(most.Cores, m.Capacity.Cores)
		most.Memory = max(most.Memory, m.Capacity.Memory)
		most.Accelerators = max(most.Accelerators, m.Capacity.Accelerators)
	}
	return most
}

// noteMachines logs machines whose state has changed.
func (s *session) noteMachines(machines []mothferry.Machine) {
	seen := map[mothferry.MachineID]mothferry.Machine{}
	for _, m := range machines {
		seen[m.Machine] = m
		old, known := s.duties.seen[m.Machine]
		if s.duties.seen != nil && (!known || old.State != m.State || old.Worker != m.Worker) {
			s.owner.Log.WithFields(log.Fields{"machine": m.Machine, "pool": m.Pool, "state": m.State, "worker": m.Worker, "former_state": old.State, "former_worker": old.Worker}).Info("machine has changed")
		}
	}
	for id := range s.duties.seen {
		if _, there := seen[id]; !there {
			s.owner.Log.WithField("machine", id).Info("machine is no longer listed")
		}
	}
	s.duties.seen = seen
}

func (s *session) callMachine(c mfduty.Call) {
	fence := mothferry.MachineFence{Holder: s.owner.Daemon, Epoch: s.state.Epoch}
	var err error
	ctx, cancel := context.WithTimeout(s.ctx, callTakes)
	defer cancel()
	if c.Kind == mfduty.KindMaintenance {
		err = s.owner.Machines.Upkeep(ctx, c.Machine, c.Wave, fence)
	} else {
		err = s.owner.Machines.Move(ctx, c.Machine, c.Pool, fence)
	}
	s.act(func() { s.machineAnswered(c, err) })
}

func (s *session) machineAnswered(c mfduty.Call, err error) {
	answer := answerOf(err)
	entry := s.owner.Log.WithFields(log.Fields{"machine": c.Machine, "kind": c.Kind, "wave": c.Wave, "pool": c.Pool, "answer": answer, "epoch": s.state.Epoch})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("machine is asked for")
	s.duties.state.RecordAnswer(c, answer, s.owner.Clock.Now())
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

// tellWaves tells the operator how far waves are: running once one is seen,
// completed once that is stored.
func (s *session) tellWaves() {
	for id, w := range s.duties.state.Waves {
		if told, ok := s.duties.told[id]; ok && told == w.Completed {
			continue
		}
		s.duties.told[id] = w.Completed
		completed := w.Completed
		go func() {
			err := s.owner.TellWave(s.ctx, id, completed)
			entry := s.owner.Log.WithFields(log.Fields{"wave": id, "completed": completed})
			if err == nil {
				entry.Info("operator is told of a wave")
				return
			}
			entry.WithError(err).Warn("operator can't be told of a wave")
			s.act(func() { delete(s.duties.told, id) })
		}()
	}
}
