package mfforward

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfforward/mfwire"
	"mothferry/mfintake"
	"mothferry/mfrecord"
)

// releaseTimeout bounds the release of a shard via a peer; its owner goes on meanwhile.
const releaseTimeout = 500 * time.Millisecond

// Release has a peer store that the shard has no owner, on behalf of the owner whose head has
// the given version. It reports whether that is confirmed: otherwise it may still be stored,
// and the owner finds out by its next commit.
func (c *Client) Release(ctx context.Context, head mfrecord.Head, version mothferry.Version) bool {
	data, err := head.Encode()
	if err != nil {
		c.Log.WithError(err).Error("encode head for shard release failed")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	l, done, ok := c.nextLink(nil)
	if !ok {
		return false
	}
	defer done()
	<-l.ready
	if l.dialErr != nil {
		return false
	}
	answer := Answer{Outcome: mfintake.OutcomeUnknown}
	deadline, _ := ctx.Deadline()
	reply, _, err := l.exchange(&mfwire.Call{Kind: mfwire.Kind_KIND_RELEASE, Head: data, Version: uint64(version)}, time.Until(deadline))
	if err == nil {
		answer = decodeReply(reply)
	}
	c.Log.WithFields(log.Fields{"epoch": head.Epoch, "version": version, "peer": l.host.Daemon, "outcome": answer.Outcome}).Info("shard release requested via a peer")
	return answer.Outcome == mfintake.OutcomeDone
}

// release stores that the shard has no owner, provided that the head is still the one that its
// owner knew: a late request must not release the shard of another owner.
func (s *Server) release(ctx context.Context, message *mfwire.Call) mfintake.Outcome {
	head, err := mfrecord.DecodeHead(message.GetHead())
	if err != nil || head.Holder != "" || message.GetVersion() == 0 {
		s.Log.WithError(err).Error("malformed shard release from another host")
		return mfintake.OutcomeNotRun
	}
	if !s.serving() {
		return outcomeUnserved
	}
	_, err = s.Store.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Version: mothferry.Version(message.GetVersion())}},
		Writes: []mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Value: message.GetHead()}},
	})
	var conflict *mothferry.ErrConflict
	var declined *mothferry.ErrDeclined
	var rejected *mothferry.ErrRejected
	switch {
	case err == nil:
		return mfintake.OutcomeDone
	case errors.As(err, &conflict), errors.As(err, &declined), errors.As(err, &rejected):
		return mfintake.OutcomeNotRun
	default:
		return mfintake.OutcomeUnknown
	}
}
