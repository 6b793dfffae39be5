package mflog

import "github.com/apex/log"

// FailureLog logs a failure that goes on as one: its first occurrence as a
// warning, its end as information, and what is between for debugging only. A
// part that tries again several times a second would otherwise fill the log
// for as long as the platform is out.
type FailureLog struct {
	Log     *log.Entry
	failing bool
}

// Failed notes a failure.
func (e *FailureLog) Failed(err error, message string) {
	entry := e.Log.WithError(err)
	if e.failing {
		entry.Debug(message)
		return
	}
	e.failing = true
	entry.Warn(message)
}

// Succeeded notes that what failed works again.
func (e *FailureLog) Succeeded(message string) {
	if e.failing {
		e.failing = false
		e.Log.Info(message)
	}
}
