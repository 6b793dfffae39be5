package mfemulate_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfemulate"
	"mothferry/mfjob"
)

var (
	lateSeeds = flag.Uint64("late.seeds", 4, "how many histories of each kind with late calls are played")
	lateFirst = flag.Uint64("late.first", 1, "the seed of the first history with late calls")
	lateKinds = flag.String("late.kinds", "", "the kinds of lateness and trouble that the histories have, separated by commas; empty draws them")
)

// usualLateness holds the kinds of lateness and trouble that histories with late calls draw from.
// Send: calls are sent late. Hold and answer: calls and answers wait on their way. Resend: polls are
// carried out twice. Worker: workers handle calls late. Commit: commits and their answers are late.
// List: lists of machines are answered late. Lost: calls and answers are lost. Stall: the owner's
// loop stands still. Relay: a relay holds all calls for a while. Takeover: owners end, freeze or
// lose the store. Crash: workers end, and others start on their machines. Cut: workers can't be
// reached. Unlist: workers lose their entry while they run. Handover: an owner that has lost the store
// goes on, and its successor can't reach a worker for a while. Moves: machines move between pools.
// Pause: workers stand still.
var usualLateness = []string{"send", "hold", "answer", "resend", "worker", "commit", "list", "lost", "stall", "relay", "takeover", "crash", "cut", "unlist", "handover", "moves", "pause"}

// Histories in which calls, answers, commits, lists and the owner are late, while orders overtake
// each other on several ways to a worker and owners change. No task may have two runs at the same
// time or start after it is done, and all jobs must end after that.
func TestHistoriesWithLateCalls(t *testing.T) {
	t.Parallel()
	checkLateHistories(t, usualLateness)
}

// The same if workers start again under their id.
func TestHistoriesWithLateCallsAndReusedWorkerIDs(t *testing.T) {
	t.Parallel()
	checkLateHistories(t, append([]string{"reuse"}, usualLateness...))
}

// The same if lists of machines lack a machine that is up, or show it without its worker.
func TestHistoriesWithLateCallsAndIncompleteLists(t *testing.T) {
	t.Parallel()
	checkLateHistories(t, append([]string{"hide"}, usualLateness...))
}

// The same if lists of machines may be older than those before them.
func TestHistoriesWithOldLists(t *testing.T) {
	t.Parallel()
	checkLateHistories(t, append([]string{"oldlist"}, usualLateness...))
}

// checkLateHistories plays histories that have the first of some kinds and draw from the others.
func checkLateHistories(t *testing.T, kinds []string) {
	t.Helper()
	for seed := *lateFirst; seed < *lateFirst+*lateSeeds; seed++ {
		if *lateKinds != "" {
			checkLateHistory(t, seed, strings.Split(*lateKinds, ","), nil)
			continue
		}
		checkLateHistory(t, seed, kinds[:1], kinds[1:])
	}
}

func checkLateHistory(t *testing.T, seed uint64, kinds, mayHave []string) {
	t.Helper()
	w := lateHistory(seed, kinds, mayHave)
	for _, v := range w.Twice {
		t.Errorf("seed %d: %s", seed, v)
	}
	assert.Check(t, len(w.Violations) == 0, "seed %d: %s", seed, strings.Join(w.Violations, "\n"))
	assert.Check(t, w.Unfinished() == 0, "seed %d: unfinished jobs: %v", seed, w.DescribeUnfinished())
}

// lateHistory plays the history of a seed. It has some kinds of lateness and trouble, and each of
// the kinds in mayHave with a chance of one half.
func lateHistory(seed uint64, kinds, mayHave []string) *mfemulate.World {
	const faultPeriod = 8 * time.Second
	r := rand.New(rand.NewPCG(seed, 17))
	has := func(kind string) bool {
		drawn := r.IntN(2) == 0
		return slices.Contains(kinds, kind) || drawn && slices.Contains(mayHave, kind)
	}
	late := mfemulate.DrawLateness(r, has)
	var faults mfemulate.Faults
	times := func(kind string, most int, f func(at time.Duration)) {
		n := 1 + r.IntN(most)
		drawn := has(kind)
		for range n {
			at := time.Second + time.Duration(r.Int64N(int64(faultPeriod)))
			if drawn {
				f(at)
			}
		}
	}
	if lose := r.Float64() * 0.1; has("lost") {
		faults.LoseAnswer, faults.LoseOrder = lose, lose/2
	}
	if has("reuse") {
		faults.ReuseID = 1
	}
	w := newWorld(seed, faults, false)
	w.Late = late
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	for range 45 {
		at, s := between(500*time.Millisecond, faultPeriod), drawTimedJob(r)
		again := between(300*time.Millisecond, 8*time.Second)
		w.At(at, func() {
			id := w.Submit(s)
			if len(s.Steps) == 1 {
				w.At(w.Now()+again, func() { w.Resubmit(id) })
			}
		})
	}
	w.At(500*time.Millisecond, func() { w.Submit(lastingJob("qa", "a")) })
	times("stall", 5, func(at time.Duration) {
		d := between(100*time.Millisecond, 5*time.Second)
		w.At(at, func() { w.StallOwner(d) })
	})
	times("relay", 4, func(at time.Duration) {
		n, d := 1+r.IntN(2), between(100*time.Millisecond, 5*time.Second)
		w.At(at, func() { w.StallRelay(n, d) })
	})
	times("takeover", 4, func(at time.Duration) {
		delay, frozen := between(300*time.Millisecond, 2*time.Second), between(500*time.Millisecond, 5*time.Second)
		loss := []func(){
			func() { w.KillOwner(delay) },
			func() { w.FreezeOwner(delay, frozen) },
			func() { w.PartitionOwner(delay) },
		}[r.IntN(3)]
		w.At(at, loss)
	})
	times("crash", 8, func(at time.Duration) {
		i, down := r.IntN(13), between(50*time.Millisecond, time.Second)
		w.At(at, func() { w.CrashWorker(i, down) })
	})
	times("cut", 4, func(at time.Duration) {
		i, d := r.IntN(13), between(100*time.Millisecond, 8*time.Second)
		w.At(at, func() { w.PartitionWorker(i, d) })
	})
	times("unlist", 6, func(at time.Duration) {
		i, d := r.IntN(13), between(50*time.Millisecond, 1500*time.Millisecond)
		w.At(at, func() { w.UnlistWorker(i, d) })
	})
	times("hide", 6, func(at time.Duration) {
		i, d, how := r.IntN(13), between(100*time.Millisecond, 2500*time.Millisecond), mfemulate.Hidden(1+r.IntN(2))
		w.At(at, func() { w.HideMachine(i, how, d) })
	})
	times("handover", 2, func(at time.Duration) {
		i, delay, d := r.IntN(5), between(300*time.Millisecond, 2*time.Second), between(5*time.Second, 12*time.Second)
		w.At(at, func() {
			w.CutFromSuccessors(i, d)
			w.PartitionOwner(delay)
		})
	})
	w.At(faultPeriod+3*time.Second, func() {
		w.Faults = mfemulate.Faults{ReuseID: faults.ReuseID}
		w.Late = mfemulate.Lateness{Claims: true}
	})
	w.Moves = has("moves")
	times("pause", 8, func(at time.Duration) {
		i, d := r.IntN(13), between(100*time.Millisecond, 3*time.Second)
		w.At(at, func() { w.PauseWorker(i, d) })
	})
	w.Run(faultPeriod + 25*time.Second)
	return w
}

// drawTimedJob draws a job whose tasks take 0.6 to 2 s.
func drawTimedJob(r *rand.Rand) mfjob.Submission {
	queue, service := mothferry.QueueID("qa"), mothferry.ServiceID("a")
	if r.IntN(2) == 0 {
		queue, service = "qb", "b"
	}
	s := drawJob(r, queue, service)
	for i := range s.Steps {
		s.Steps[i].Estimate = 600*time.Millisecond + time.Duration(r.Int64N(int64(1400*time.Millisecond)))
	}
	return s
}
