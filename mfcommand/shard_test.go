package mfcommand

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfowner"
	"mothferry/mfrecord"
)

func TestPrintShard(t *testing.T) {
	status := mfowner.Status{
		Version: 9, Head: mfrecord.Head{
			Holder: "h-1", Epoch: 3, PendingKnown: true, Pending: map[mothferry.QueueID]int{"b": 2, "a": 1},
			EstimatedWaits: map[mothferry.ServiceID]time.Duration{"s": 1500 * time.Millisecond},
		},
		Waves: []mfowner.WaveStatus{{Wave: 4, Done: []mothferry.MachineID{"m-1"}}},
	}
	var out bytes.Buffer
	assert.NilError(t, printShard(&Environment{Out: &out}, outputText, status))
	for _, want := range []string{"h-1", "a 1, b 2", "s 1500", "wave 4", "1 machines done"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s: %s", want, out.String())
	}
	out.Reset()
	assert.NilError(t, printShard(&Environment{Out: &out}, outputJSON, mfowner.Status{}))
	assert.Assert(t, strings.Contains(out.String(), `"version":0`), out.String())
	out.Reset()
	assert.NilError(t, printShard(&Environment{Out: &out}, outputText, mfowner.Status{Version: 1}))
	assert.Assert(t, strings.Contains(out.String(), "gave it up") && strings.Contains(out.String(), "not counted yet"), out.String())
}
