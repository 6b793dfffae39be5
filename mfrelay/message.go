package mfrelay

import (
	"errors"
	"time"

	"mothferry"
	"mothferry/mfrelay/mfwire"
)

// answer is how an order ended at its worker.
type answer struct {
	// report is a look's; of other orders it has the worker's clock alone.
	report mothferry.PollReport
	err    error
}

func encodeStart(at mothferry.WorkerAddress, o mothferry.StartOrder) *mfwire.Order {
	return &mfwire.Order{Worker: string(at.Worker), Address: at.Address, Epoch: uint64(o.Epoch), Kind: &mfwire.Order_Start{Start: &mfwire.Start{
		Task: encodeTask(o.Task), Run: int64(o.Run), Spec: o.Spec, UntilNs: int64(o.Until), Checkpoint: string(o.Checkpoint), Ticket: o.Ticket,
	}}}
}

func encodeStop(at mothferry.WorkerAddress, task mothferry.TaskName, run mothferry.RunNumber, epoch mothferry.Epoch) *mfwire.Order {
	return &mfwire.Order{Worker: string(at.Worker), Address: at.Address, Epoch: uint64(epoch), Kind: &mfwire.Order_Stop{Stop: &mfwire.Stop{Task: encodeTask(task), Run: int64(run)}}}
}

func encodePace(at mothferry.WorkerAddress, task mothferry.TaskName, run mothferry.RunNumber, percent int, epoch mothferry.Epoch) *mfwire.Order {
	return &mfwire.Order{Worker: string(at.Worker), Address: at.Address, Epoch: uint64(epoch), Kind: &mfwire.Order_Pace{Pace: &mfwire.Pace{Task: encodeTask(task), Run: int64(run), Percent: int64(percent)}}}
}

func encodeLook(at mothferry.WorkerAddress, o mothferry.PollOrder) *mfwire.Order {
	return &mfwire.Order{Worker: string(at.Worker), Address: at.Address, Epoch: uint64(o.Epoch), Kind: &mfwire.Order_Look{Look: &mfwire.Look{
		UntilNs: int64(o.Until), Noted: int64(o.LastEndSeen), WaitNs: int64(o.Wait),
	}}}
}

func addressOf(o *mfwire.Order) mothferry.WorkerAddress {
	return mothferry.WorkerAddress{Worker: mothferry.WorkerID(o.GetWorker()), Address: o.GetAddress()}
}

func decodeStart(o *mfwire.Order, s *mfwire.Start) mothferry.StartOrder {
	return mothferry.StartOrder{
		Task: decodeTask(s.GetTask()), Run: mothferry.RunNumber(s.GetRun()), Spec: s.GetSpec(), Until: mothferry.WorkerClock(s.GetUntilNs()),
		Epoch: mothferry.Epoch(o.GetEpoch()), Checkpoint: mothferry.Checkpoint(s.GetCheckpoint()), Ticket: s.GetTicket(),
	}
}

func decodeLook(o *mfwire.Order, l *mfwire.Look) mothferry.PollOrder {
	return mothferry.PollOrder{
		Epoch: mothferry.Epoch(o.GetEpoch()), Until: mothferry.WorkerClock(l.GetUntilNs()),
		LastEndSeen: mothferry.EndNumber(l.GetNoted()), Wait: time.Duration(l.GetWaitNs()),
	}
}

func encodeTask(n mothferry.TaskName) *mfwire.Task {
	return &mfwire.Task{Job: string(n.Job), Occurrence: int64(n.Occurrence), Step: int64(n.Step), Index: int64(n.Index)}
}

func decodeTask(t *mfwire.Task) mothferry.TaskName {
	return mothferry.TaskName{Job: mothferry.JobID(t.GetJob()), Occurrence: int(t.GetOccurrence()), Step: int(t.GetStep()), Index: int(t.GetIndex())}
}

// encodeOutcome turns how an order ended into its message.
func encodeOutcome(number uint64, clock mothferry.WorkerClock, err error) *mfwire.Outcome {
	o := &mfwire.Outcome{Number: number, ClockNs: int64(clock)}
	var refused *mothferry.ErrOrderRefused
	var other *mothferry.ErrIncarnationEnded
	switch {
	case err == nil:
		o.Ending = mfwire.Ending_ENDING_DONE
	case errors.As(err, &refused):
		o.Ending, o.Refusal, o.ClockNs = mfwire.Ending_ENDING_REFUSED, string(refused.Refusal), int64(refused.Clock)
	case errors.As(err, &other):
		o.Ending = mfwire.Ending_ENDING_OTHER_LIFE
	}
	return o
}

// decodeOutcome reads an outcome. An ending that a newer program may add counts as unknown.
func decodeOutcome(worker mothferry.WorkerID, o *mfwire.Outcome) answer {
	clock := mothferry.WorkerClock(o.GetClockNs())
	switch o.GetEnding() {
	case mfwire.Ending_ENDING_DONE:
		return answer{report: decodeReport(clock, o.GetReport())}
	case mfwire.Ending_ENDING_REFUSED:
		return answer{err: &mothferry.ErrOrderRefused{Refusal: mothferry.OrderRefusal(o.GetRefusal()), Clock: clock}}
	case mfwire.Ending_ENDING_OTHER_LIFE:
		return answer{err: &mothferry.ErrIncarnationEnded{Worker: worker}}
	default:
		return answer{err: &mothferry.ErrUnavailable{Operation: "order of a relay"}}
	}
}

func encodeReport(r mothferry.PollReport) *mfwire.Report {
	out := &mfwire.Report{BornMs: int64(r.StartedAt)}
	for _, t := range r.Running {
		out.Running = append(out.Running, &mfwire.Running{
			Task: encodeTask(t.Task), Run: int64(t.Run), Checkpoint: string(t.Checkpoint), Percent: int64(t.Percent), TailNs: int64(t.TailLatency),
		})
	}
	for _, e := range r.Ended {
		out.Ended = append(out.Ended, &mfwire.Ended{
			Number: int64(e.Number), Task: encodeTask(e.Task), Run: int64(e.Run), Cause: string(e.Cause), Checkpoint: string(e.Checkpoint),
		})
	}
	return out
}

func decodeReport(clock mothferry.WorkerClock, r *mfwire.Report) mothferry.PollReport {
	out := mothferry.PollReport{Clock: clock, StartedAt: mothferry.IncarnationStart(r.GetBornMs())}
	for _, t := range r.GetRunning() {
		out.Running = append(out.Running, mothferry.RunningTask{
			Task: decodeTask(t.GetTask()), Run: mothferry.RunNumber(t.GetRun()), Checkpoint: mothferry.Checkpoint(t.GetCheckpoint()),
			Percent: int(t.GetPercent()), TailLatency: time.Duration(t.GetTailNs()),
		})
	}
	for _, e := range r.GetEnded() {
		out.Ended = append(out.Ended, mothferry.EndedTask{
			Number: mothferry.EndNumber(e.GetNumber()), Task: decodeTask(e.GetTask()), Run: mothferry.RunNumber(e.GetRun()),
			Cause: mothferry.EndCause(e.GetCause()), Checkpoint: mothferry.Checkpoint(e.GetCheckpoint()),
		})
	}
	return out
}
