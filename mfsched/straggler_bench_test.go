package mfsched_test

import (
	"fmt"
	"testing"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

// BenchmarkTickWithSlowWorkers measures a tick with 3,000 full workers and 9,000 runs. Three of
// ten workers become slow, so that all their tasks are stragglers and none has free capacity
// elsewhere.
func BenchmarkTickWithSlowWorkers(b *testing.B) {
	for _, off := range []bool{true, false} {
		b.Run(fmt.Sprintf("off=%v", off), func(b *testing.B) { benchmarkTickWithSlowWorkers(b, off) })
	}
}

func benchmarkTickWithSlowWorkers(b *testing.B, off bool) {
	const workers, jobs, taskDuration, interval = 3000, 1000, 10 * time.Second, 100 * time.Millisecond
	s := &script{state: mfsched.New(limits(), 2, startTime, startTime.Add(limits().LeaseExpiryBound())), now: startTime}
	s.state.Off = mothferry.FeaturesOff{mothferry.FeatureStragglers: off}
	s.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{
		queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: taskDuration},
	}})
	runs, speed := map[mothferry.WorkerID][]*simRun{}, map[mothferry.WorkerID]float64{}
	for i := range workers {
		w := worker(mothferry.WorkerID(fmt.Sprintf("w-%d", i)))
		w.Capacity.Cores, speed[w.At.Worker] = 3400, 1
		s.step(mfsched.WorkerListed{Worker: w})
	}
	for i := range jobs {
		job := submission(s.now, 10)
		job.Steps[0].Estimate = taskDuration
		s.step(mfsched.JobFound{Job: jobID(fmt.Sprintf("j-%d", i)), Submission: job})
	}
	advance := func(d time.Duration) {
		for _, c := range takeCommands[mfsched.Start](s) {
			runs[c.At.Worker] = append(runs[c.At.Worker], &simRun{task: c.Order.Task, run: c.Order.Run})
			s.step(mfsched.StartAnswered{Worker: c.At.Worker, Sent: s.now, Task: c.Order.Task, Run: c.Order.Run, Result: mfsched.ResultDone})
		}
		for id, list := range runs {
			for _, r := range list {
				r.done = min(0.99, r.done+float64(d)/float64(taskDuration)*speed[id])
			}
		}
		for _, l := range takeCommands[mfsched.Poll](s) {
			report := mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}
			for _, r := range runs[l.At.Worker] {
				report.Running = append(report.Running, mothferry.RunningTask{Task: r.task, Run: r.run, Percent: int(100 * r.done)})
			}
			s.step(mfsched.PollAnswered{Worker: l.At.Worker, Number: l.Number, Sent: s.now, Report: report})
		}
		s.out = nil
		s.now = s.now.Add(d)
	}
	tick := func() {
		s.step(mfsched.Tick{})
		s.storeCommits()
	}
	for range 45 {
		tick()
		advance(interval / 5)
	}
	for i := range workers {
		if i%10 < 3 {
			speed[mothferry.WorkerID(fmt.Sprintf("w-%d", i))] = 0.1
		}
	}
	for range 50 {
		tick()
		advance(interval)
	}
	b.ReportMetric(float64(len(s.state.SlowWorkers())), "slow")
	for b.Loop() {
		s.step(mfsched.Tick{})
		b.StopTimer()
		s.storeCommits()
		advance(interval)
		b.StartTimer()
	}
	b.ReportMetric(float64(len(s.state.SlowWorkers())), "slow")
}
