package mflog

import "github.com/apex/log"

// FailureLog logs the repeated failures of one operation: the first as a warning, the
// first success after it as information, and the failures between at debug level. An
// operation that is retried several times a second would otherwise fill the log while
// the platform is unavailable.
type FailureLog struct {
	Log     *log.Entry
	failing bool
}

// Failed logs a failure.
func (e *FailureLog) Failed(err error, message string) {
	entry := e.Log.WithError(err)
	if e.failing {
		entry.Debug(message)
		return
	}
	e.failing = true
	entry.Warn(message)
}

// Succeeded logs the first success after a failure.
func (e *FailureLog) Succeeded(message string) {
	if e.failing {
		e.failing = false
		e.Log.Info(message)
	}
}
