package main

import (
	"fmt"
	"math"
	"time"
)

// Machines and jobs as those of the deployments' sheets.
var (
	usualRoom = capacity{CPU: 16000, MemMB: 32768}
	largeRoom = capacity{CPU: 32000, MemMB: 65536}
	smallStep = stepSpec{count: 3, cpu: 500, memMB: 256, estimate: 600 * time.Millisecond, duration: 600 * time.Millisecond}
)

// trafficFor hands small jobs in for a time, one each pause.
func (w *world) trafficFor(d, pause time.Duration, r *route) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(pause) {
		go w.clients.submit(r, smallStep)
	}
}

var quotes = &route{name: "r-quotes", host: "pule25.example", prefix: "/puxa400/", service: "quoting", attempts: 3}

// A large job of which the tasks save their work comes beside small ones.

const (
	// largeTasks is below the number up to which the project accepts a job, 1000.
	largeTasks = 900
	// largePerRunner is the job's max_per_server: its tasks spread over all runners.
	largePerRunner = 300
	// largeCheckpoint is the length of the checkpoints that runners hand out.
	largeCheckpoint = 256
)

func buildLargeJob(w *world) error {
	w.configure([]string{"quoting"}, quotes)
	return w.addMachines(3, "quoting", "a", largeRoom)
}

func playLargeJob(w *world) []string {
	w.trafficFor(5*time.Second, 300*time.Millisecond, quotes)
	if w.trouble {
		w.record.say("a job of %d tasks is handed in", largeTasks)
		go w.clients.submit(quotes, stepSpec{
			count: largeTasks, perRunner: largePerRunner, cpu: 30, memMB: 32, estimate: 30 * time.Second, duration: 6 * time.Second, spread: 60 * time.Second,
			checkpoint: true, checkpointBytes: largeCheckpoint,
		})
	}
	w.trafficFor(25*time.Second, 300*time.Millisecond, quotes)
	return w.checkLost()
}

// The racks of a service lose power one after the other.

func buildRacks(w *world) error {
	w.configure([]string{"quoting"}, quotes)
	return w.addMachines(8, "quoting", "a", usualRoom)
}

func playRacks(w *world) []string {
	var jobs []*job
	for range 12 {
		jobs = append(jobs, w.clients.submit(quotes, stepSpec{count: 6, cpu: 1500, memMB: 1024, estimate: 6 * time.Second, duration: 6 * time.Second}))
	}
	for i := range 4 {
		time.Sleep(5 * time.Second)
		if w.trouble {
			rack := fmt.Sprintf("r1-%d", i%2)
			w.record.say("all runners of rack %s crash for 4 s", rack)
			w.fleet.crash(4*time.Second, func(m *machine) bool { return m.rack == rack })
		}
	}
	return w.checkShown(jobs, 40*time.Second)
}

// The operator gives a route another name; host, prefix and service stay.

func buildRename(w *world) error {
	w.configure([]string{"quoting"}, quotes)
	return w.addMachines(8, "quoting", "a", usualRoom)
}

func playRename(w *world) []string {
	firstFails := func(index, run int) bool { return index == 0 && run == 1 }
	var jobs []*job
	for range 8 {
		jobs = append(jobs, w.clients.submit(quotes, stepSpec{count: 4, cpu: 500, memMB: 256, estimate: 5 * time.Second, duration: 5 * time.Second, fails: firstFails}))
	}
	time.Sleep(time.Second)
	if w.trouble {
		renamed := *quotes
		renamed.name = "r-quotes-2"
		w.configure([]string{"quoting"}, &renamed)
	}
	return w.checkShown(jobs, 30*time.Second)
}

// Two services run on machines of different kinds, and one of them gets much work for a time.

var proofs = &route{name: "r-proofs", host: "jepu9.example", prefix: "/cufi501/", service: "lacquer", attempts: 3}

func buildPools(w *world) error {
	w.fleet.kinds = map[string]string{"quoting": "a", "lacquer": "b"}
	w.configure([]string{"quoting", "lacquer"}, quotes, proofs)
	if err := w.addMachines(6, "quoting", "a", usualRoom); err != nil {
		return err
	}
	return w.addMachines(6, "lacquer", "b", usualRoom)
}

func playPools(w *world) []string {
	w.trafficFor(5*time.Second, 300*time.Millisecond, quotes)
	if w.trouble {
		w.record.say("many jobs for quoting come at once")
		for range 40 {
			go w.clients.submit(quotes, stepSpec{count: 8, cpu: 2000, memMB: 512, estimate: 2 * time.Second, duration: 2 * time.Second})
		}
	}
	w.trafficFor(15*time.Second, 300*time.Millisecond, quotes)
	w.record.say("three jobs for lacquer, each takes most of a machine")
	for range 2 {
		go w.clients.submit(proofs, stepSpec{count: 1, cpu: 15000, memMB: 1024, estimate: 30 * time.Second, duration: 40 * time.Second})
	}
	time.Sleep(time.Second)
	go w.clients.submit(proofs, stepSpec{count: 1, cpu: 15000, memMB: 1024, estimate: 30 * time.Second, duration: 30 * time.Second})
	time.Sleep(time.Second)
	return w.checkLost()
}

// Many gangs come at once, more than there is room for. Some of the members of the next one fit.

const (
	// visibleTime is visible_ms and the two seconds that a count may be old.
	visibleTime = 5 * time.Second
	gangJobs    = 7
)

func buildPending(w *world) error {
	w.configure([]string{"quoting"}, quotes)
	return w.addMachines(5, "quoting", "a", usualRoom)
}

func playPending(w *world) []string {
	gang := stepSpec{count: 4, cpu: 12000, memMB: 1024, estimate: 20 * time.Second, duration: 25 * time.Second, gang: true}
	count := 1
	if w.trouble {
		count = gangJobs
	}
	var jobs []*job
	for range count {
		jobs = append(jobs, w.clients.submit(quotes, gang))
	}
	var broken []string
	for range 12 {
		time.Sleep(time.Second)
		waiting := 0
		for _, j := range jobs {
			if _, _, starts, _, _ := w.fleet.jobRuns(j); starts == 0 && !j.accepted.IsZero() && time.Since(j.accepted) > visibleTime {
				waiting++
			}
		}
		for _, d := range w.daemons {
			pending := w.clients.pending(d, quotes)
			w.record.line("%s: pending %d, %d jobs wait for longer", d.name, pending, waiting)
			if pending >= 0 && 2*pending < waiting {
				broken = append(broken, fmt.Sprintf("MIXED: %s gives %d as pending while %d jobs that were accepted over %s before haven't begun", d.name, pending, waiting, visibleTime))
			}
		}
	}
	return broken
}

// The operator asks for the upkeep of a hundred machines at once, with a wave for each.

const waveCount = 100

func buildWaves(w *world) error {
	w.configure([]string{"quoting"}, quotes)
	return w.addMachines(waveCount, "quoting", "a", usualRoom)
}

func playWaves(w *world) []string {
	w.trafficFor(4*time.Second, 300*time.Millisecond, quotes)
	if w.trouble {
		w.record.say("%d waves of one machine each", waveCount)
		for i, m := range w.fleet.list() {
			w.store.write("op", fmt.Sprintf("wave/%d", i+1), map[string]any{"wave": i + 1, "machines": []string{m.name}, "deadline_s": 60, "max_count": 1})
		}
	}
	w.trafficFor(15*time.Second, 300*time.Millisecond, quotes)
	return w.checkLost()
}

// A job is to be repeated without an end.

// endless is the largest repeat_count that a signed number of 64 bits holds.
const endless = math.MaxInt64

func buildRepeat(w *world) error {
	w.configure([]string{"quoting"}, quotes)
	return w.addMachines(8, "quoting", "a", usualRoom)
}

// repeatPause is the pause between two small jobs: one more job within three seconds is below
// the share of 0.05 that the site gives.
const repeatPause = 100 * time.Millisecond

func playRepeat(w *world) []string {
	w.trafficFor(5*time.Second, repeatPause, quotes)
	if w.trouble {
		w.record.say("a job of two tasks is handed in, each minute for %d times", int64(endless))
		go func() {
			j := w.clients.submitJob(&job{id: newJobID(), route: quotes, repeat: endless, interval: time.Minute, unjudged: true, steps: []stepSpec{
				{count: 2, cpu: 500, memMB: 256, estimate: 600 * time.Millisecond, duration: 600 * time.Millisecond},
			}})
			w.record.say("it was answered %v", j.answers)
		}()
	}
	w.trafficFor(20*time.Second, repeatPause, quotes)
	return w.checkLost()
}
