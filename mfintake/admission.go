package mfintake

import (
	"context"
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfqueue"
	"mothferry/mfrecord"
)

// Admission judges whether a job should be taken in now.
type Admission interface {
	// Refuse reports whether the job is turned away, and when it may come back.
	Refuse(ctx context.Context, id mothferry.JobID, queue mfqueue.Queue, job mfjob.Submission) (time.Duration, bool)
}

// Pending returns how many accepted jobs of a queue have not begun, as the
// shard's owner last told it.
func (i *Intake) Pending(queue mothferry.QueueID) (int, bool) {
	var board *mfrecord.Head
	if i.Board != nil {
		board = i.Board()
	}
	if board == nil {
		return 0, false
	}
	return board.Pending[queue], true
}
