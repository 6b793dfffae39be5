package main

import (
	"fmt"
	"time"
)

// Bounds of the rule LOST.
const (
	finishTime   = 14 * time.Second
	idleTime     = 3 * time.Second
	watchTime    = 8 * time.Second
	watchPause   = 100 * time.Millisecond
	halfOfCores  = 0.5
	timesTheNeed = 2
	// idleMargin is added to the rule's three seconds for the pause between two looks.
	idleMargin = 500 * time.Millisecond
)

// checkLost asks for all accepted jobs once the time after the end of the traffic has passed, and
// then watches those that are not over.
func (w *world) checkLost() []string {
	w.record.say("end of traffic")
	time.Sleep(finishTime)
	var broken []string
	var open []*job
	for _, j := range w.clients.acceptedJobs() {
		if j.unjudged {
			continue
		}
		switch state := w.clients.state(j); state {
		case "410", "":
			broken = append(broken, fmt.Sprintf("LOST: job %s is not known or gets no answer: %q", j.id, state))
		case "completed":
		default:
			open = append(open, j)
		}
	}
	w.record.say("%d jobs accepted, %d of them not shown as completed", len(w.clients.acceptedJobs()), len(open))
	idle := map[*job]time.Time{}
	lost := map[*job]bool{}
	for began := time.Now(); time.Since(began) < watchTime; time.Sleep(watchPause) {
		for _, j := range open {
			if !w.waitsForNothing(j) {
				delete(idle, j)
				continue
			}
			if idle[j].IsZero() {
				idle[j] = time.Now()
			}
			if time.Since(idle[j]) > idleTime+idleMargin && !lost[j] {
				lost[j] = true
				running, done, starts, _, since := w.fleet.jobRuns(j)
				fits, inUse := w.fleet.room(j.route.service, j.need())
				broken = append(broken, fmt.Sprintf(
					"LOST: job %s, accepted %.1f s ago, shown as %q: %d running, %d of %d tasks done, %d starts, nothing running for %.1f s; room for %d such tasks, %.0f%% of the cores in use",
					j.id, time.Since(j.accepted).Seconds(), w.clients.state(j), running, done, len(j.taskNames()), starts, time.Since(since).Seconds(), fits, 100*inUse))
			}
		}
	}
	return broken
}

// waitsForNothing reports whether a job has nothing running while the turn of a task has come,
// there is capacity for its waiting tasks twice over, and under half of the service's capacity is
// in use.
func (w *world) waitsForNothing(j *job) bool {
	running, done, _, _, _ := w.fleet.jobRuns(j)
	if running > 0 || done == len(j.taskNames()) {
		return false
	}
	fits, inUse := w.fleet.room(j.route.service, j.need())
	return fits >= timesTheNeed*w.waitingTasks(j) && inUse < halfOfCores
}

// need returns the need of the job's tasks.
func (j *job) need() capacity { return capacity{CPU: j.steps[0].cpu, MemMB: j.steps[0].memMB} }

// waitingTasks returns how many tasks of the first step that is not done are not done.
func (w *world) waitingTasks(j *job) int {
	w.fleet.mutex.Lock()
	defer w.fleet.mutex.Unlock()
	for n, s := range j.steps {
		waiting := 0
		for i := range s.count {
			if t := w.fleet.tasks[fmt.Sprintf("%s.0.%d.%d", j.id, n, i)]; t == nil || !t.done {
				waiting++
			}
		}
		if waiting > 0 {
			return waiting
		}
	}
	return 0
}

// checkShown asks for jobs until a time has passed, and returns which are shown as failed though
// no task of them has failed as often as its queue allows.
func (w *world) checkShown(jobs []*job, during time.Duration) []string {
	var broken []string
	bad := map[*job]bool{}
	for began := time.Now(); time.Since(began) < during; time.Sleep(300 * time.Millisecond) {
		over := 0
		for _, j := range jobs {
			if j.accepted.IsZero() {
				over++
				continue
			}
			if len(j.states) > 0 && final(j.states[len(j.states)-1]) {
				over++
				continue
			}
			state := w.clients.state(j)
			_, done, starts, failures, _ := w.fleet.jobRuns(j)
			if state == "failed" && failures < j.route.attempts && !bad[j] {
				bad[j] = true
				broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed: no task of it has ended failed more than %d times of %d (%d starts, %d of %d tasks done)",
					j.id, failures, j.route.attempts, starts, done, len(j.taskNames())))
			}
		}
		if over == len(jobs) {
			break
		}
	}
	return broken
}

func final(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}
