package mfowner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjournal"
	"mothferry/mfsched"
)

// Guards against commits that the store refuses for the rows of waves, after which nothing would be
// stored any more: many waves at once, and waves of many machines.
func TestWaveRowsFitTransactions(t *testing.T) {
	for _, c := range []struct{ waves, machines, nameLength int }{{300, 1, 10}, {100, 400, 12}, {3, 9000, 12}, {2, 1500, 200}} {
		s := &session{machines: newMachineControl(nil)}
		want := map[mothferry.WaveID]int{}
		for i := range c.waves {
			var done []mothferry.MachineID
			for m := range c.machines {
				done = append(done, mothferry.MachineID(fmt.Sprintf("%0*d", c.nameLength, m)))
			}
			id := mothferry.WaveID(i)
			s.machines.planner.AddWave(mfsched.Wave{Wave: id, Machines: done}, time.Unix(1, 0))
			s.machines.planner.RestoreWave(id, time.Unix(1, 0), done)
			want[id] = c.machines
		}
		var stored []mothferry.Row
		for commits := 0; ; commits++ {
			rows := s.waveRows()
			if len(rows) == 0 {
				break
			}
			size := 0
			for _, w := range rows {
				assert.Assert(t, len(w.Value) <= int(mfjournal.DefaultMaxRow), "%v: %d bytes", c, len(w.Value))
				size += len(w.Value)
				stored = append(stored, mothferry.Row{Key: w.Key, Value: w.Value})
			}
			assert.Assert(t, len(rows) <= 98-mfjournal.MaxRows, "%v: %d rows", c, len(rows))
			assert.Assert(t, size <= 80<<10, "%v: %d bytes", c, size)
			assert.Assert(t, commits < 10_000)
		}
		next := &session{machines: newMachineControl(nil)}
		assert.NilError(t, next.restoreWaves(stored))
		for id, machines := range want {
			assert.Equal(t, len(next.machines.planner.Waves[id].Done), machines, "%v, wave %d", c, id)
		}
		assert.Equal(t, len(next.waveRows()), 0)
	}
}

// Guards against an older program that can't read the row of a usual wave.
func TestSmallWaveHasOneRow(t *testing.T) {
	s := &session{machines: newMachineControl(nil)}
	s.machines.planner.AddWave(mfsched.Wave{Wave: 7}, time.Unix(1, 0).UTC())
	s.machines.planner.RestoreWave(7, time.Unix(1, 0).UTC(), []mothferry.MachineID{"m-2", "m-1"})
	rows := s.waveRows()
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, mothferry.Key("wave/7"))
	assert.Equal(t, string(rows[0].Value), `{"format":1,"begun":"1970-01-01T00:00:01Z","done":["m-1","m-2"]}`)
	assert.Assert(t, !slices.ContainsFunc(rows, func(w mothferry.Write) bool { return strings.Count(string(w.Key), "/") > 1 }))
}
