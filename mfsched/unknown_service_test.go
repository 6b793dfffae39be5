package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Guards against orders to an address that belongs to no worker of the fleet: a worker whose
// entry names a service that the config lacks is not polled until the config has that service.
func TestWorkerOfUnknownServiceIsNotPolled(t *testing.T) {
	s := newScript(t)
	queues := map[mothferry.QueueID]mfsched.Queue{queue: {Service: service, MaxAttempts: 2, Stretch: 1.6}}
	s.step(mfsched.ConfigChanged{Queues: queues, Services: map[mothferry.ServiceID]bool{service: true}})
	s.step(mfsched.JobsLoaded{})
	unknown := worker("x-1")
	unknown.Service = "no-such-service"
	s.step(mfsched.WorkerListed{Worker: unknown})
	s.listWorker("w-1")
	s.advance(3 * time.Second)
	polls := takeCommands[mfsched.Poll](s)
	assert.Assert(t, len(polls) > 0)
	for _, p := range polls {
		assert.Equal(t, p.At.Worker, mothferry.WorkerID("w-1"))
	}
	s.step(mfsched.ConfigChanged{Queues: queues, Services: map[mothferry.ServiceID]bool{service: true, "no-such-service": true}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Poll](s)), 1)
}
