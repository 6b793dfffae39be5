package mfemulate_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Seeds of fault histories that violated an invariant before the fault named with each was
// mended.
func TestRegressionSeeds(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		seed  uint64
		cause string
	}{
		{0x9664, "two simulated owners moved the same machines: the simulation did not require a recent commit before a move"},
		{0x82d, "a worker executed a start late, after its job's cancel, with the stop lost: the checker attributed it to the owner"},
		{0xf3a7823530, "a start was executed late, after an earlier run of the task turned out done"},
	} {
		w := history(k.seed)
		assert.Equal(t, len(w.Violations), 0, "%v (regression: %s)", w.Violations, k.cause)
		assert.Equal(t, w.Unfinished(), 0, k.cause)
	}
}

// Seeds of histories with crashing tasks that violated an invariant.
func TestRegressionSeedsWithCrashingTasks(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		seed  uint64
		cause string
	}{
		{0x0, "no crash was attributed to the tasks on the worker"},
		{0x2200, "a new owner knew that incarnations had ended but not that they had crashed, and did not count them"},
		{0x6e1d03c0c9d3, "a worker whose machine a previous owner had moved was taken as crashed"},
		{0xb5e7ec, "a possible crash was counted, but not compared with the limit"},
		{0xd, "a run had completed without the owner knowing, and the later crash of its worker was attributed to it"},
		{0x12f48c3495b, "the same, with runs that had been on a worker for long"},
		{0x18114f3a, "a lasting task crashed its workers before its starts were answered, and its restarts were not limited"},
	} {
		w := crashHistory(k.seed)
		assert.Equal(t, len(w.Violations), 0, "%v (regression: %s)", w.Violations, k.cause)
		assert.Equal(t, w.Unfinished(), 0, k.cause)
	}
}

// A task must not be started a third time after its third crash because one of its runs failed
// between unresolved crashes.
func TestFailureBetweenUnresolvedCrashesAddsNoStart(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{0x6c0d8, 0x2660} {
		w := crashHistory(seed)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0)
	}
}

// Seeds of histories with client accounts that violated an invariant.
func TestRegressionSeedsWithAccounts(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		seed  uint64
		cause string
	}{
		{0x50f1c, "the checker took the limits of a newer change for those of an older one"},
		{0x3, "limits stayed in force under which the backlog cannot finish"},
		{0x29, "the simulated owner adopted an older config after a newer one"},
		{0x244845, "a new owner did not count the stopping runs of a job whose cancel was stored"},
		{0x1c5e0aa0ca, "the checker applied a limit that was lowered after a late order was sent to that order"},
		{0xf4e9b, "the same"},
		{0x2d, "starts decided before a limit was lowered were ordered again after it"},
	} {
		w := accountHistory(k.seed, rand.New(rand.NewPCG(k.seed, 3)))
		assert.Equal(t, len(w.Violations), 0, "%v (regression: %s)", w.Violations, k.cause)
		assert.Equal(t, w.Unfinished(), 0, k.cause)
	}
}

// A seed of a history with reused worker ids that violated an invariant.
func TestRegressionSeedsWithReusedWorkerIDs(t *testing.T) {
	t.Parallel()
	w := sameIDHistory(0x203)
	assert.Equal(t, len(w.Violations), 0, "%v (regression: a list entry ended an incarnation whose successor under the same id had received orders meant for it)", w.Violations)
	assert.Equal(t, w.Unfinished(), 0)
}

// Seeds of histories with many takeovers that violated an invariant.
func TestRegressionSeedsWithManyTakeovers(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{0x4c93400c2a1b6f48, 0xa41c3f, 0x10cd45e9} {
		w := takeoverHistory(seed)
		assert.Assert(t, w.Stats.EmptyLogs > 1, "the log was never empty after the first takeover")
		assert.Equal(t, len(w.Violations), 0, "%v (regression: after the log had been empty, log rows counted as older than the jobs' own rows that they followed)", w.Violations)
		assert.Equal(t, w.Unfinished(), 0)
	}
}

// Seeds of histories with maintenance that violate an invariant if nothing keeps lasting tasks
// from being stopped.
func TestRegressionSeedsWithMaintenance(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{0x7e, 0xa41c3f, 0x2} {
		w := maintenanceHistory(seed)
		assert.Assert(t, w.Stats.Maintenances > 0)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0)
	}
}

// A stop must not end a lasting task while as many others of its step as may be are
// unavailable.
func TestMaintenanceStopsNoTaskWhileOthersAreUnavailable(t *testing.T) {
	t.Parallel()
	w := maintenanceHistory(0xf216)
	assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	assert.Equal(t, w.Unfinished(), 0)
}

// Guards against a task that runs twice because a late list of machines, which shows the end of a
// worker's former incarnation, ends the one that has started since under the same id.
func TestLateListEndsNoLaterIncarnation(t *testing.T) {
	t.Parallel()
	checkLateHistory(t, 33, []string{"crash", "reuse", "list"}, nil)
}

// Guards against a task that runs twice because the tasks of an ended incarnation start elsewhere at
// once: the next one under the same id carries out the start orders that were still on their way.
func TestOrdersForEndedIncarnationStartNothingTwice(t *testing.T) {
	t.Parallel()
	checkLateHistory(t, 3, []string{"crash", "reuse", "send"}, nil)
	checkLateHistory(t, 15, []string{"crash", "reuse", "hold"}, nil)
}

// Guards against tasks that run twice because their worker can't be reached, or stands still for two
// seconds, and is missing from lists of machines: it is alive, and its lease has not expired.
func TestUnreachableWorkerMissingFromListsKeepsItsTasks(t *testing.T) {
	t.Parallel()
	checkLateHistory(t, 12, []string{"hide", "cut"}, nil)
	checkLateHistory(t, 28, []string{"hide", "pause"}, nil)
}

// Guards against a task that runs twice because a list of machines that is older than the one before
// ends the worker that has started in between.
func TestOldListEndsNoLiveWorker(t *testing.T) {
	t.Parallel()
	checkLateHistory(t, 1, []string{"oldlist", "crash"}, nil)
}
