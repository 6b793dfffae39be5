package mfemulate_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Seeds that once failed.
func TestRegressionSeeds(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		seed  uint64
		cause string
	}{
		{0x9664, "two owners of the model moved machines to and fro: the model lacked the owner's guard on its last commit"},
		{0x82d, "a worker carried a start out late, after its job's cancel, with the stop lost: the checker counted it against the owner"},
		{0xf3a7823530, "a start was carried out late, after an earlier run of the task had turned out done"},
	} {
		w := history(k.seed)
		assert.Equal(t, len(w.Violations), 0, "%v (once: %s)", w.Violations, k.cause)
		assert.Equal(t, w.Unfinished(), 0, k.cause)
	}
}

// Seeds of histories with tasks that end their workers that once failed.
func TestRegressionSeedsWithCrashingTasks(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		seed  uint64
		cause string
	}{
		{0x0, "no crash was counted against what ran there"},
		{0x2200, "a successor knew lives to be over without knowing that they had crashed, and did not count them at all"},
		{0x6e1d03c0c9d3, "a worker that a former owner had moved was taken as crashed"},
		{0xb5e7ec, "an end that may have been a crash was counted, and not compared with the bound"},
		{0xd, "a run had done its work unheard of, and its worker crashed later: counted as a crash under it"},
		{0x12f48c3495b, "the same, with runs that a worker had borne for long"},
		{0x18114f3a, "a lasting task ended its workers before its starts were answered: no bound at all"},
	} {
		w := crashHistory(k.seed)
		assert.Equal(t, len(w.Violations), 0, "%v (once: %s)", w.Violations, k.cause)
		assert.Equal(t, w.Unfinished(), 0, k.cause)
	}
}

// A task must not be started three times after its third crash because one of its runs failed between unsure crashes.
func TestFailureBetweenUnresolvedCrashesAddsNoStart(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{0x6c0d8, 0x2660} {
		w := crashHistory(seed)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0)
	}
}

// Seeds of histories with client accounts that once failed.
func TestRegressionSeedsWithAccounts(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		seed  uint64
		cause string
	}{
		{0x50f1c, "the checker took the limits of a newer change for those of an older one"},
		{0x3, "limits stayed under which the backlog can't end"},
		{0x29, "the model's owner adopted an older config after a newer one"},
		{0x244845, "a successor did not count runs that were ending of a job whose cancel was stored"},
		{0x1c5e0aa0ca, "the checker took a limit that was lowered after an order for the one of that order, which came late"},
		{0xf4e9b, "the same"},
		{0x2d, "starts decided before a limit was lowered were ordered again after it"},
	} {
		w := accountHistory(k.seed, rand.New(rand.NewPCG(k.seed, 3)))
		assert.Equal(t, len(w.Violations), 0, "%v (once: %s)", w.Violations, k.cause)
		assert.Equal(t, w.Unfinished(), 0, k.cause)
	}
}

// Seeds of histories with lives under one id that once failed.
func TestRegressionSeedsWithReusedWorkerIDs(t *testing.T) {
	t.Parallel()
	w := sameIDHistory(0x203)
	assert.Equal(t, len(w.Violations), 0, "%v (once: an entry ended a life whose successor had taken orders meant for it)", w.Violations)
	assert.Equal(t, w.Unfinished(), 0)
}

// Seeds of histories with many takeovers that once failed.
func TestRegressionSeedsWithManyTakeovers(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{0x4c93400c2a1b6f48, 0xa41c3f, 0x10cd45e9} {
		w := takeoverHistory(seed)
		assert.Assert(t, w.Stats.EmptyLogs > 1, "the log was never empty after the first takeover")
		assert.Equal(t, len(w.Violations), 0, "%v (once: rows of the log counted as older than own rows that they followed, after the log was empty)", w.Violations)
		assert.Equal(t, w.Unfinished(), 0)
	}
}

// Seeds of histories with upkeep that failed while nothing kept lasting tasks from being stopped.
func TestRegressionSeedsWithMaintenance(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{0x7e, 0xa41c3f, 0x2} {
		w := maintenanceHistory(seed)
		assert.Assert(t, w.Stats.Maintenances > 0)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0)
	}
}

// A stop must not end a lasting task while as many others of its step are away as may be.
func TestMaintenanceStopsNoTaskWhileOthersAreUnavailable(t *testing.T) {
	t.Parallel()
	w := maintenanceHistory(0xf216)
	assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	assert.Equal(t, w.Unfinished(), 0)
}
