package mfsched

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfjob"
)

// copies returns copies of all fields that placement may change, without what they point to.
func copies(s *State) []any {
	out := []any{*s, len(s.planned), len(s.dirty), len(s.committing)}
	for _, w := range s.sortedWorkers {
		out = append(out, *w, len(w.tasks), len(w.orphans))
	}
	for _, j := range s.live {
		out = append(out, *j)
		for _, o := range j.occurrences {
			for _, p := range o.steps {
				out = append(out, *p)
				for _, t := range p.tasks {
					out = append(out, *t)
				}
			}
		}
	}
	for _, a := range s.accounts {
		out = append(out, *a)
	}
	for _, f := range s.flows {
		out = append(out, *f)
	}
	return out
}

// Guards against traces of a plan that is given up: whatever members of a gang found a worker, no field
// of the scheduler, its jobs, tasks, workers and accounts is changed.
func TestGangThatDoesNotFitLeavesNoTrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		s := New(DefaultLimits(), 1, now, now)
		s.Step(ConfigChanged{
			Queues:   map[mothferry.QueueID]Queue{"q": {Service: "s", MaxAttempts: 2, Stretch: 1.6, Latency: time.Second}},
			Accounts: map[mothferry.AccountID]Account{"a": {Weight: 1}},
		}, now)
		cores := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
			id := mothferry.WorkerID(fmt.Sprintf("w-%d", i))
			size := rapid.IntRange(1, 8).Draw(t, "cores")
			cores += size
			s.Step(WorkerListed{Worker: Worker{
				At: mothferry.WorkerAddress{Worker: id, Address: "10.0.0.1:1"}, Service: "s", Capacity: mothferry.Resources{Cores: mothferry.Millicores(size)},
			}}, now)
			s.workers[id].fenced = true
		}
		step := mfjob.Step{
			Count: cores + 1, Gang: true, Need: mothferry.Resources{Cores: 1}, Estimate: time.Second,
			PerWorker: rapid.IntRange(0, 3).Draw(t, "per worker"), SameRack: rapid.Bool().Draw(t, "same rack"),
		}
		s.Step(JobFound{Job: "j", Submission: mfjob.Submission{Queue: "q", Service: "s", Account: "a", Accepted: now, Steps: []mfjob.Step{step}}}, now)
		j := s.jobs["j"]
		p := j.occurrences[0].steps[0]
		for _, x := range p.tasks {
			x.run = mothferry.RunNumber(rapid.IntRange(0, 3).Draw(t, "run"))
			x.checkpoint = mothferry.Checkpoint(rapid.SampledFrom([]string{"", "c"}).Draw(t, "checkpoint"))
		}
		s.commands = nil
		before := copies(s)
		s.placeGang(&candidate{job: j}, p, s.placementCapacityOf("s", now), now)
		// Only the count for the log and the workers' places in a round may change.
		s.TakeEffort()
		for _, w := range s.workers {
			w.slot = 0
		}
		assert.Assert(t, reflect.DeepEqual(copies(s), before))
	})
}
