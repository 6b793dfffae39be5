package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfsched"
)

// Guards against machine lists that use up a slow link. On a link of 2 Mbit/s a list of 130
// machines, 26 kB, takes 0.1 s. Listed every 150 ms regardless of that, commits took 0.3 s
// instead of 0.02 s and leases expired.
func TestMachineListingLeavesLinkCapacity(t *testing.T) {
	assert.Equal(t, listInterval(10*time.Millisecond), machinePollInterval)
	assert.Equal(t, listInterval(104*time.Millisecond), 416*time.Millisecond)
	assert.Equal(t, listInterval(2*time.Second), 2500*time.Millisecond, "a list that is slow for other reasons is still requested")
}

// A new owner that does not know yet which machines a wave has must not store that none is
// done.
func TestUnrequestedWaveKeepsDoneMachines(t *testing.T) {
	previous := &session{machines: newMachineControl(nil)}
	done := []mothferry.MachineID{"m-2", "m-1"}
	previous.machines.planner.AddWave(mfsched.Wave{Wave: 7, Machines: done}, time.Unix(1, 0))
	previous.machines.planner.RestoreWave(7, time.Unix(1, 0), done)
	read := func(rows []mothferry.Write) (out []mothferry.Row) {
		for _, w := range rows {
			out = append(out, mothferry.Row{Key: w.Key, Value: w.Value})
		}
		return out
	}
	stored := read(previous.waveRows())
	assert.Equal(t, len(stored), 1)
	next := &session{machines: newMachineControl(nil)}
	assert.NilError(t, next.restoreWaves(stored))
	for _, row := range read(next.waveRows()) {
		_, w, err := decodeWaveRow(row)
		assert.NilError(t, err)
		assert.Equal(t, len(w.Done), 2)
	}
}

// A call rejected by the platform's rate limit must not count as one that may have been
// executed.
func TestRateLimitedCallIsThrottled(t *testing.T) {
	for _, c := range []struct {
		err  error
		want mfduty.Answer
	}{
		{nil, mfduty.AnswerDone},
		{&mothferry.ErrOrderRefused{}, mfduty.AnswerRefused},
		{&mothferry.ErrRejected{Status: 400}, mfduty.AnswerRejected},
		{&mothferry.ErrDeclined{Status: 429}, mfduty.AnswerThrottled},
		{&mothferry.ErrDeclined{Status: 503}, mfduty.AnswerUnknown},
		{&mothferry.ErrUnavailable{}, mfduty.AnswerUnknown},
	} {
		assert.Equal(t, answerOf(c.err), c.want, "%v", c.err)
	}
}
