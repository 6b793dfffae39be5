package mfowner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfrecord"
)

// storedWave is the row of a wave in progress.
type storedWave struct {
	Format int                   `json:"format"`
	Begun  time.Time             `json:"begun"`
	Done   []mothferry.MachineID `json:"done"`
}

// waveFormat is the version of storedWave.
const waveFormat = 1

// waveKey returns the key of a row of a wave: wave/ID for the first one, wave/ID/PART for further
// ones, which only waves of many machines have.
func waveKey(id mothferry.WaveID, part int) mothferry.Key {
	key := prefixWave + strconv.Itoa(int(id))
	if part > 0 {
		key += wavePartSeparator + strconv.Itoa(part)
	}
	return mothferry.Key(key)
}

const (
	prefixWave        = "wave/"
	wavePartSeparator = "/"
	// maxWaveRowBytes limits the names in a row of a wave; the store takes up to 65,536 bytes.
	maxWaveRowBytes = 48 << 10
	// maxWaveRows is the largest number of rows of waves in one commit, maxWaveBytes the size from
	// which on it takes no further one.
	maxWaveRows  = 8
	maxWaveBytes = 32 << 10
)

// restoreWaves restores the waves from the rows stored by previous owners.
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
		s.machines.storedWaves[r.Key] = string(r.Value)
	}
	return nil
}

func isWaveRow(r mothferry.Row) bool { return strings.HasPrefix(string(r.Key), prefixWave) }

// decodeWaveRow decodes the row of a wave. It fails with errNewerWave if the format is newer.
func decodeWaveRow(r mothferry.Row) (mothferry.WaveID, storedWave, error) {
	var w storedWave
	name, _, _ := strings.Cut(strings.TrimPrefix(string(r.Key), prefixWave), wavePartSeparator)
	id, err := strconv.Atoi(name)
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

// errNewerWave reports a wave row in an unsupported, newer format.
type errNewerWave struct{ format int }

// Error implements error.
func (e *errNewerWave) Error() string {
	return fmt.Sprintf("decode wave row: format %d is newer than the supported format %d", e.format, waveFormat)
}

// waveRows returns rows of waves that changed since they were last written, as many as one commit
// takes. The others follow with the next commits.
func (s *session) waveRows() []mothferry.Write {
	var rows []mothferry.Write
	size := 0
	for _, id := range slices.Sorted(maps.Keys(s.machines.planner.Waves)) {
		w := s.machines.planner.Waves[id]
		for part, done := range doneParts(w.Done) {
			if len(rows) >= maxWaveRows || size >= maxWaveBytes {
				return rows
			}
			value, err := json.Marshal(storedWave{Format: waveFormat, Begun: w.StartedAt, Done: done})
			if err != nil {
				s.owner.Log.WithError(err).WithField("wave", id).Error("failed to encode wave")
				continue
			}
			key := waveKey(id, part)
			if s.machines.storedWaves[key] == string(value) {
				continue
			}
			s.machines.storedWaves[key] = string(value)
			size += len(value)
			rows = append(rows, mothferry.Write{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: key, Value: value})
		}
	}
	return rows
}

// doneParts divides the machines that are done into the parts of a wave's rows.
func doneParts(done map[mothferry.MachineID]bool) [][]mothferry.MachineID {
	parts, size := [][]mothferry.MachineID{nil}, 0
	for _, id := range slices.Sorted(maps.Keys(done)) {
		if size += mfjob.TextSize(string(id)) + len(`"",`); size > maxWaveRowBytes {
			parts, size = append(parts, nil), 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], id)
	}
	return parts
}

// reportWaves reports waves to the operator: as running when first seen, and again when
// completed.
func (s *session) reportWaves() {
	for id, w := range s.machines.planner.Waves {
		if reported, ok := s.machines.reportedWaves[id]; ok && reported == w.Completed {
			continue
		}
		s.machines.reportedWaves[id] = w.Completed
		completed := w.Completed
		go func() {
			err := s.owner.ReportWave(s.ctx, id, completed)
			entry := s.owner.Log.WithFields(log.Fields{"wave": id, "completed": completed})
			if err == nil {
				entry.Info("wave reported to the operator")
				return
			}
			entry.WithError(err).Warn("failed to report wave to the operator")
			s.runInLoop(func() { delete(s.machines.reportedWaves, id) })
		}()
	}
}
