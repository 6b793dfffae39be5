package mfforward

import (
	"time"

	"mothferry"
	"mothferry/mfaccount"
	"mothferry/mfforward/mfwire"
	"mothferry/mfintake"
	"mothferry/mfjob"
)

var kindToWire = map[Kind]mfwire.Kind{
	KindAccept: mfwire.Kind_KIND_ACCEPT, KindState: mfwire.Kind_KIND_STATE, KindCancel: mfwire.Kind_KIND_CANCEL,
	kindCount: mfwire.Kind_KIND_COUNT,
}

var kindFromWire = map[mfwire.Kind]Kind{
	mfwire.Kind_KIND_ACCEPT: KindAccept, mfwire.Kind_KIND_STATE: KindState, mfwire.Kind_KIND_CANCEL: KindCancel,
	mfwire.Kind_KIND_COUNT: kindCount,
}

var outcomeToWire = map[mfintake.Outcome]mfwire.Outcome{
	mfintake.OutcomeDone: mfwire.Outcome_OUTCOME_DONE, mfintake.OutcomeNotRun: mfwire.Outcome_OUTCOME_NOT_RUN,
	mfintake.OutcomeNoJob: mfwire.Outcome_OUTCOME_NO_JOB, mfintake.OutcomeIDTaken: mfwire.Outcome_OUTCOME_TAKEN,
	OutcomeLimit: mfwire.Outcome_OUTCOME_LIMIT, OutcomeNoKey: mfwire.Outcome_OUTCOME_NO_KEY, outcomeUnserved: mfwire.Outcome_OUTCOME_AWAY,
}

// encodeCall returns the message of a call.
func encodeCall(c Call, within time.Duration) (*mfwire.Call, error) {
	m := &mfwire.Call{
		Kind: kindToWire[c.Kind], Job: string(c.Job), Account: string(c.Account), Unclear: c.Unresolved, WithinMs: within.Milliseconds(),
		Config: uint64(c.Config), Queue: string(c.Queue),
	}
	if c.Key != nil {
		m.Key = c.Key[:]
	}
	if c.Kind != KindAccept {
		return m, nil
	}
	data, err := mfjob.EncodeSubmission(c.Submission)
	m.Submission = data
	return m, err
}

// decodeCall reads a call that has a kind.
func decodeCall(m *mfwire.Call) (Call, error) {
	c := Call{
		Caller: Caller{Account: mothferry.AccountID(m.GetAccount()), Config: mothferry.Version(m.GetConfig())},
		Kind:   kindFromWire[m.GetKind()], Job: mothferry.JobID(m.GetJob()), Unresolved: m.GetUnclear(),
		Queue: mothferry.QueueID(m.GetQueue()),
	}
	if len(m.GetKey()) > 0 {
		c.Key = &mfaccount.Digest{}
		copy(c.Key[:], m.GetKey())
	}
	if c.Kind != KindAccept {
		return c, nil
	}
	s, err := mfjob.DecodeSubmission(m.GetSubmission())
	c.Submission = s
	return c, err
}

func encodeReply(a Answer, serving bool) *mfwire.Reply {
	return &mfwire.Reply{Outcome: outcomeToWire[a.Outcome], State: string(a.State), Count: int64(a.Count), AgainMs: a.RetryAfter.Milliseconds(), Serving: serving}
}

// decodeReply reads an answer. An outcome that this program does not know is unknown.
func decodeReply(m *mfwire.Reply) Answer {
	a := Answer{Outcome: mfintake.OutcomeUnknown, State: mfjob.State(m.GetState()), Count: int(m.GetCount()), RetryAfter: time.Duration(m.GetAgainMs()) * time.Millisecond}
	for outcome, wire := range outcomeToWire {
		if wire == m.GetOutcome() {
			a.Outcome = outcome
		}
	}
	return a
}
