package mfemulate_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Seeds that once failed.
func TestKeptSeeds(t *testing.T) {
	for _, k := range []struct {
		seed  uint64
		cause string
	}{
		{0x9664, "two owners of the model moved machines to and fro: the model lacked the owner's guard on its last commit"},
		{0x82d, "a worker carried a start out late, after its job's cancel, with the stop lost: the checker counted it against the owner"},
		{0xf3a7823530, "a start was carried out late, after an earlier run of the task had turned out done"},
	} {
		w := history(k.seed)
		assert.Equal(t, len(w.Broken), 0, "%v (once: %s)", w.Broken, k.cause)
		assert.Equal(t, w.Unfinished(), 0, k.cause)
	}
}
