package mfintake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry/mfintake"
)

// A job is refused only if it can't be of use even late, and is told to come
// back when it could be in time.
func TestJudge(t *testing.T) {
	const chain, aim = time.Second, 2 * time.Second
	for _, k := range []struct {
		wait     time.Duration
		hopeless bool
	}{{0, false}, {2 * time.Second, false}, {5 * time.Second, false}, {5100 * time.Millisecond, true}, {time.Minute, true}} {
		v := mfintake.Judge(k.wait, chain, aim)
		assert.Equal(t, v.Hopeless, k.hopeless, "wait %v", k.wait)
		if v.Hopeless {
			assert.Equal(t, v.Again, k.wait+chain-aim)
		}
	}
}
