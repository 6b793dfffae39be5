package mfjob

import (
	"math"
	"time"
)

// MaxOpenOccurrences is how many occurrences of a job may be open, begun and not done, at the same
// time. With MaxTasks it keeps the progress of a long schedule within one row.
const MaxOpenOccurrences = 256

// TasksPerOccurrence returns the number of tasks of all steps.
func (s Submission) TasksPerOccurrence() int {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	return tasks
}

// LongSchedule reports whether a job has more than MaxTasks tasks in all its occurrences. Progress
// of such a job lists only the open occurrences.
func (s Submission) LongSchedule() bool {
	return s.Occurrences() > MaxTasks/max(1, s.TasksPerOccurrence())
}

// DueOccurrences returns how many occurrences are due at a time.
func (s Submission) DueOccurrences(now time.Time) int {
	if s.Repeat <= 0 {
		return 1
	}
	elapsed := now.Sub(s.First)
	switch {
	case elapsed < 0:
		return 0
	case s.Interval <= 0 || int64(elapsed/s.Interval) >= int64(s.Repeat):
		return s.Repeat
	default:
		return int(elapsed/s.Interval) + 1
	}
}

// ScheduledAt returns when an occurrence is due; zero for a job without a schedule. Due times
// beyond what a duration holds after the first one all count as the same.
func (s Submission) ScheduledAt(occurrence int) time.Time {
	switch {
	case s.Repeat <= 0:
		return time.Time{}
	case s.Interval > 0 && int64(occurrence) > math.MaxInt64/int64(s.Interval):
		return s.First.Add(math.MaxInt64)
	default:
		return s.First.Add(time.Duration(occurrence) * s.Interval)
	}
}

// MayOpen reports whether a job that has so many open occurrences may begin another one. One may
// always be open.
func (s Submission) MayOpen(open int) bool {
	return open == 0 || open < MaxOpenOccurrences && (open+1)*s.TasksPerOccurrence() <= MaxTasks
}
