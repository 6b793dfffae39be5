package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Symptom guarded against: orders go to an address that no worker of the fleet has.
// Events: an entry names a service that the config does not have.
// What holds: it is not called until the config has that service.
func TestWorkerOfUnknownServiceIsNotPolled(t *testing.T) {
	s := newScript(t)
	queues := map[mothferry.QueueID]mfsched.Queue{queue: {Service: service, MaxAttempts: 2, Stretch: 1.6}}
	s.step(mfsched.ConfigChanged{Queues: queues, Services: map[mothferry.ServiceID]bool{service: true}})
	s.step(mfsched.JobsLoaded{})
	foreign := worker("x-1")
	foreign.Service = "no-such-service"
	s.step(mfsched.WorkerListed{Worker: foreign})
	s.listWorker("w-1")
	s.advance(3 * time.Second)
	looks := takeCommands[mfsched.Poll](s)
	assert.Assert(t, len(looks) > 0)
	for _, l := range looks {
		assert.Equal(t, l.At.Worker, mothferry.WorkerID("w-1"))
	}
	s.step(mfsched.ConfigChanged{Queues: queues, Services: map[mothferry.ServiceID]bool{service: true, "no-such-service": true}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Poll](s)), 1)
}
