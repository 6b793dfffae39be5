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

// releaseTimeout bounds the giving up of a shard by a peer; its owner goes on meanwhile.
const releaseTimeout = 500 * time.Millisecond

// Release has a peer store that the shard has no owner any more, for the owner whose
// head has a version. It reports whether that is surely stored: where it is not it may
// be yet, and the owner finds out by its next commit.
func (c *Client) Release(ctx context.Context, head mfrecord.Head, version mothferry.Version) bool {
	data, err := head.Encode()
	if err != nil {
		c.Log.WithError(err).Error("shard can't be given up by a peer")
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
	c.Log.WithFields(log.Fields{"epoch": head.Epoch, "version": version, "peer": l.host.Daemon, "outcome": answer.Outcome}).Info("shard is given up by a peer")
	return answer.Outcome == mfintake.OutcomeDone
}

// release stores that the shard has no owner. It takes effect only if the head is as
// its owner knew it, so that one that comes late gives up nobody else's shard.
func (s *Server) release(ctx context.Context, message *mfwire.Call) mfintake.Outcome {
	head, err := mfrecord.DecodeHead(message.GetHead())
	if err != nil || head.Holder != "" || message.GetVersion() == 0 {
		s.Log.WithError(err).Error("another host's giving up is malformed")
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
	switch {
	case err == nil:
		return mfintake.OutcomeDone
	case errors.As(err, &conflict), errors.As(err, &declined):
		return mfintake.OutcomeNotRun
	default:
		return mfintake.OutcomeUnknown
	}
}
