package mfstraggler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfspeed"
	"mothferry/mfstraggler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func speed(runs int, relative, fast, uncertainty float64) mfspeed.Speed {
	return mfspeed.Speed{Runs: runs, Jobs: min(runs, 2), Relative: relative, Fast: fast, Uncertainty: uncertainty}
}

func TestStatusNext(t *testing.T) {
	for _, c := range []struct {
		name  string
		speed mfspeed.Speed
		slow  bool
	}{
		{"a fifth of the speed", speed(4, 0.2, 0.25, 0.2), true},
		{"long tasks beside normal ones", speed(4, 0.2, 0.9, 0.2), false},
		{"one run is too little evidence", speed(1, 0.2, 0.2, 0.2), false},
		{"too uncertain", speed(2, 0.4, 0.45, 0.4), false},
		{"one job is too little evidence", mfspeed.Speed{Runs: 4, Jobs: 1, Relative: 0.2, Fast: 0.25, Uncertainty: 0.2}, false},
		{"one job that is normal elsewhere", mfspeed.Speed{Runs: 4, Jobs: 1, Conclusive: true, Relative: 0.2, Fast: 0.25, Uncertainty: 0.2}, true},
		{"nothing known", mfspeed.Speed{}, false},
	} {
		assert.Equal(t, mfstraggler.Status{}.Next(c.speed, false, start).Slow, c.slow, c.name)
	}
}

// Guards against a worker without work that counts as slow forever.
func TestSlowWorkerIsTriedAgain(t *testing.T) {
	s := mfstraggler.Status{}.Next(speed(4, 0.2, 0.25, 0.2), false, start)
	assert.Assert(t, s.Next(mfspeed.Speed{}, false, start.Add(4*time.Second)).Slow)
	assert.Assert(t, !s.Next(mfspeed.Speed{}, false, start.Add(6*time.Second)).Slow)
	assert.Assert(t, !s.Next(speed(4, 1, 1.1, 0.2), false, start.Add(time.Second)).Slow)
}

// Guards against a pool that counts as slow as a whole.
func TestSlowShareOfPoolIsLimited(t *testing.T) {
	var all []mfstraggler.Candidate
	for i := range 10 {
		all = append(all, mfstraggler.Candidate{Worker: mothferry.WorkerID(fmt.Sprint(i)), Speed: 1 - 0.05*float64(i)})
	}
	assert.Equal(t, len(mfstraggler.LimitSlow(all, 10)), 0)
	assert.Equal(t, len(mfstraggler.LimitSlow(all[:5], 10)), 0)
	assert.DeepEqual(t, mfstraggler.LimitSlow(all[:4], 10), all[:4])
}

func TestRestart(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name                                          string
		remaining, elsewhere, untilLate, untilTooLate time.Duration
		want                                          bool
	}{
		{"late here, on time elsewhere", 5 * s, 1 * s, 2 * s, 9 * s, true},
		{"on time where it is", 2 * s, 1 * s, 3 * s, 9 * s, false},
		{"late either way", 5 * s, 3 * s, 1 * s, 9 * s, false},
		{"too late here, late elsewhere", 12 * s, 3 * s, 1 * s, 9 * s, true},
		{"too late either way", 30 * s, 12 * s, 1 * s, 9 * s, false},
		{"little to gain", 1200 * time.Millisecond, 1 * s, 1 * s, 9 * s, false},
	} {
		task := mfstraggler.Straggler{Remaining: c.remaining, Elsewhere: c.elsewhere, UntilLate: c.untilLate, UntilTooLate: c.untilTooLate}
		assert.Equal(t, task.ShouldRestart(), c.want, c.name)
	}
}

// Guards against tasks that wait for normal workers for longer than a slow one takes.
func TestWaitForNormal(t *testing.T) {
	assert.Assert(t, mfstraggler.WaitForNormal(500*time.Millisecond, 300*time.Millisecond, 0.2))
	assert.Assert(t, !mfstraggler.WaitForNormal(100*time.Millisecond, 600*time.Millisecond, 0.2))
	assert.Assert(t, !mfstraggler.WaitForNormal(10*time.Second, 2*time.Second, 0.2))
	assert.Assert(t, !mfstraggler.WaitForNormal(time.Second, 0, 1))
}

// Guards against workers that are held at fault for tasks that hang on all of them.
func TestPoolWideHangsAreNotAttributed(t *testing.T) {
	assert.Assert(t, mfstraggler.Pool{Workers: 8, Hangs: 4}.WorkerAtFault(4, 2))
	assert.Assert(t, !mfstraggler.Pool{Workers: 8, Hangs: 32}.WorkerAtFault(4, 2))
	assert.Assert(t, !mfstraggler.Pool{Workers: 8, Hangs: 1}.WorkerAtFault(1, 2))
	assert.Assert(t, !mfstraggler.Pool{Workers: 8, Hangs: 4}.WorkerAtFault(4, 1))
}
