package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: on hosts with links of 2 Mbit/s commits took 0.3 s instead of 0.02, and
// leases lapsed before there was any traffic.
// Events: the list of 130 machines, 26 kB, takes 0.1 s over such a link and is asked for
// again at once.
// Cause: machines were listed each 150 ms, whatever that took.
func TestListingLeavesMostOfTheLink(t *testing.T) {
	assert.Equal(t, listGap(10*time.Millisecond), dutyEvery)
	assert.Equal(t, listGap(104*time.Millisecond), 416*time.Millisecond)
	assert.Equal(t, listGap(2*time.Second), 2500*time.Millisecond, "a list that is slow for other reasons is still asked for")
}
