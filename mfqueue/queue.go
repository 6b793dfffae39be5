// Package mfqueue holds the config in force of a fleet that runs jobs: its queues, the
// requests that belong to each, and its services.
package mfqueue

import (
	"strings"
	"time"

	"mothferry"
	"mothferry/mfaccount"
	"mothferry/mfjob"
)

// Queue is one queue of jobs.
type Queue struct {
	ID mothferry.QueueID
	// Host and Prefix select the requests that belong to the queue.
	Host   string
	Prefix string
	// Service names the workers that run its jobs.
	Service mothferry.ServiceID
	// Priority 0 comes first.
	Priority    int
	MaxAttempts int
	// A job should be completed within Stretch times its critical path plus Latency.
	Stretch float64
	Latency time.Duration
	// Timeout is how long a request to the queue may take.
	Timeout time.Duration
	// Advised reports whether an adviser decides which workers may run a step, Advice how long it
	// takes; zero if that is not known.
	Advised bool
	Advice  AdviceTimes
	// Open reports whether calls to the queue need no key.
	Open bool
}

// AdviceTimes are the service times of a queue's adviser.
type AdviceTimes struct {
	// Decide is the time per call, Each the time per worker named.
	Decide, Each time.Duration
}

// Terms returns the terms on which the queue accepts jobs now.
func (q Queue) Terms() *mfjob.QueueTerms {
	return &mfjob.QueueTerms{
		Host: q.Host, Prefix: q.Prefix, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Stretch: q.Stretch, Latency: q.Latency, Advised: q.Advised,
	}
}

// Service is one pool of workers.
type Service struct {
	ID mothferry.ServiceID
	// Standby reports whether the pool's machines are off and cost nothing.
	Standby bool
	// EnforcesCapacity reports whether its workers refuse tasks that do not fit.
	EnforcesCapacity bool
}

// Limits bound requests.
type Limits struct {
	HeaderBytes   mothferry.Bytes
	BodyBytes     mothferry.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the config.
type Config struct {
	Version  mothferry.Version
	Queues   []Queue
	Services []Service
	Limits   Limits
	// Accounts are the client accounts; nil where there are none and calls need no keys.
	Accounts *mfaccount.Directory
}

// Match returns the queue of a request and the rest of its path after the queue's prefix. The
// longest prefix wins.
func (c *Config) Match(host, path string) (Queue, string, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	if best == nil {
		return Queue{}, "", false
	}
	return *best, path[len(best.Prefix):], true
}
