package mfreport

import "cmp"

// Counts are jobs that were handed in, by outcome, and jobs that ended, by end.
type Counts struct {
	Submitted    int64 `json:"asked"`
	Accepted     int64 `json:"accepted"`
	RefusedShare int64 `json:"refused_share"`
	RefusedLimit int64 `json:"refused_limit"`
	RefusedQueue int64 `json:"refused_queue"`
	RefusedStore int64 `json:"refused_store"`
	Unknown      int64 `json:"unknown"`
	// Other counts outcomes that this version does not know.
	Other     int64 `json:"other"`
	OnTime    int64 `json:"in_time"`
	Late      int64 `json:"late"`
	TooLate   int64 `json:"too_late"`
	Failed    int64 `json:"failed"`
	Cancelled int64 `json:"cancelled"`
	// OtherEnds counts ends that this version does not know.
	OtherEnds int64 `json:"other_ends"`
}

// Refused returns how many were refused, for any reason.
func (c *Counts) Refused() int64 {
	return c.RefusedShare + c.RefusedLimit + c.RefusedQueue + c.RefusedStore
}

func (c *Counts) add(o Counts) {
	c.Submitted += o.Submitted
	c.Accepted += o.Accepted
	c.RefusedShare += o.RefusedShare
	c.RefusedLimit += o.RefusedLimit
	c.RefusedQueue += o.RefusedQueue
	c.RefusedStore += o.RefusedStore
	c.Unknown += o.Unknown
	c.Other += o.Other
	c.OnTime += o.OnTime
	c.Late += o.Late
	c.TooLate += o.TooLate
	c.Failed += o.Failed
	c.Cancelled += o.Cancelled
	c.OtherEnds += o.OtherEnds
}

func (c *Counts) countOutcome(outcome string, n int64) {
	c.Submitted += n
	switch outcome {
	case "accepted":
		c.Accepted += n
	case "refused_share":
		c.RefusedShare += n
	case "refused_limit":
		c.RefusedLimit += n
	case "refused_queue":
		c.RefusedQueue += n
	case "refused_store":
		c.RefusedStore += n
	case "unknown":
		c.Unknown += n
	default:
		c.Other += n
	}
}

func (c *Counts) countEnd(end string, n int64) {
	switch end {
	case "in_time":
		c.OnTime += n
	case "late":
		c.Late += n
	case "too_late":
		c.TooLate += n
	case "failed":
		c.Failed += n
	case "cancelled":
		c.Cancelled += n
	default:
		c.OtherEnds += n
	}
}

// compareCounts puts the most refused first, then the most asked.
func compareCounts(a, b Counts) int {
	return cmp.Or(cmp.Compare(b.Refused(), a.Refused()), cmp.Compare(b.Submitted, a.Submitted))
}
