package mfforward

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfforward/mfwire"
	"mothferry/mfintake"
	"mothferry/mfrecord"
)

// Bounds of what one host passes on.
const (
	// maxCalls bounds the calls that are passed on at a time, eachCalls those to one
	// peer, which has callers of its own.
	maxCalls        = 96
	maxCallsPerPeer = 32
	// maxSubmissionsBytes bounds the jobs in them.
	maxSubmissionsBytes = 8 << 20
	maxSubmissionBytes  = maxFrame / 2
	// maxPeersAsked is how many peers are asked for one call.
	maxPeersAsked = 4
	// lookupTimeout bounds a look-up at one peer, so that another can be asked; hand-ins and
	// cancels go to one peer and wait as long as their caller, up to writeWithin.
	lookupTimeout = 600 * time.Millisecond
	writeTimeout  = 2 * time.Second
	// probeInterval is how often a host that is turned away looks for a peer without a call.
	probeInterval = 150 * time.Millisecond
	// maxLogLinesPerSecond bounds the lines a second about calls; the next line tells how many
	// were left out.
	maxLogLinesPerSecond = 50
)

// Client passes calls on to peers. The exported fields are set before use.
type Client struct {
	Daemon     mothferry.DaemonID
	DataCentre mothferry.DataCentre
	Health     *Health
	Clock      mothferry.Clock
	Log        *log.Entry
	// OnForwarded counts calls by their kind and outcome; it may be nil.
	OnForwarded func(kind Kind, outcome mfintake.Outcome)

	mutex sync.Mutex
	peers *Peers
	links map[mothferry.DaemonID]*link
	calls int
	bytes int
	ctx   context.Context
	// logged counts the lines since a time, leftOut those that were not written.
	logged      int
	loggedSince time.Time
	suppressed  int
}

// SetHosts replaces the hosts that are known.
func (c *Client) SetHosts(hosts []mfrecord.Host) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ensurePeers().Set(hosts)
}

// ensurePeers returns the peers; the mutex is held.
func (c *Client) ensurePeers() *Peers {
	if c.peers == nil {
		c.peers = NewPeers(c.Daemon, c.DataCentre)
		c.links = map[mothferry.DaemonID]*link{}
	}
	return c.peers
}

// Run lets calls be passed on until ctx ends. While the store turns this host away it
// keeps a link to a peer, so that it is known whether calls can be served.
func (c *Client) Run(ctx context.Context) error {
	c.mutex.Lock()
	c.ctx = ctx
	c.mutex.Unlock()
	for mfclock.Sleep(ctx, c.Clock, probeInterval) {
		if now := c.Clock.Now(); c.Health.Unavailable(now) && !c.Ready() {
			if l, done, ok := c.nextLink(nil); ok {
				c.probe(l)
				done()
			}
		}
	}
	return ctx.Err()
}

// probe asks a peer whether the store serves it.
func (c *Client) probe(l *link) {
	<-l.ready
	if l.dialErr == nil {
		// A peer that does not answer is lost at the link's next beat.
		_, _, _ = l.exchange(&mfwire.Call{}, heartbeatTimeout)
	}
}

// Ready reports whether there is a peer that said lately that the store serves it.
func (c *Client) Ready() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, l := range c.links {
		if l.servedRecently(c.Clock.Now()) {
			return true
		}
	}
	return false
}

// nextLink returns a link to the peer to ask next, and what ends its use; false if there is none.
func (c *Client) nextLink(asked []mothferry.DaemonID) (l *link, done func(), ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ctx == nil || c.ctx.Err() != nil {
		return nil, nil, false
	}
	full := func(d mothferry.DaemonID) bool { return c.links[d] != nil && c.links[d].calls() >= maxCallsPerPeer }
	h, ok := c.ensurePeers().Choose(asked, full, c.Clock.Now())
	if !ok {
		return nil, nil, false
	}
	if l = c.links[h.Daemon]; l != nil {
		return l, l.begin(), true
	}
	l = &link{host: h, clock: c.Clock, ready: make(chan struct{}), lastUsed: c.Clock.Now()}
	l.onStatus = func(serving bool) { c.recordStatus(l, serving) }
	l.retire = func() bool { return c.retire(l) }
	c.links[h.Daemon] = l
	done = l.begin()
	go c.runLink(c.ctx, l)
	return l, done, true
}

// retire takes a link away if it is idle.
func (c *Client) retire(l *link) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !l.idle() {
		return false
	}
	delete(c.links, l.host.Daemon)
	return true
}

// runLink runs a link until it ends.
func (c *Client) runLink(ctx context.Context, l *link) {
	err := l.run(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.links[l.host.Daemon] == l {
		delete(c.links, l.host.Daemon)
	}
	if err != nil && ctx.Err() == nil {
		c.peers.RecordLoss(l.host.Daemon, c.Clock.Now())
		c.Log.WithError(err).WithField("peer", l.host.Daemon).WithField("calls", l.calls()).Warn("peer is lost")
	}
}

func (c *Client) recordStatus(l *link, serving bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers.RecordStatus(l.host.Daemon, serving, c.Clock.Now())
}

// Forward has a peer carry a call out, within the deadline of ctx.
func (c *Client) Forward(ctx context.Context, call Call) Answer {
	began := c.Clock.Now()
	peer, answer := c.forward(ctx, call)
	if call.Kind == kindCount {
		return answer
	}
	if c.OnForwarded != nil {
		c.OnForwarded(call.Kind, reportedOutcome(answer.Outcome))
	}
	leftOut, ok := c.allowLog()
	if !ok {
		return answer
	}
	c.Log.WithFields(log.Fields{
		"job": call.Job, "kind": call.Kind, "peer": peer, "outcome": reportedOutcome(answer.Outcome), "took_ms": c.Clock.Now().Sub(began).Milliseconds(),
		"left_out": leftOut,
	}).Info("call is passed on to a peer")
	return answer
}

// allowLog reports whether a line about a call may be written, and how many were not.
func (c *Client) allowLog() (leftOut int, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now := c.Clock.Now(); now.Sub(c.loggedSince) >= time.Second {
		c.loggedSince, c.logged = now, 0
	}
	if c.logged >= maxLogLinesPerSecond {
		c.suppressed++
		return 0, false
	}
	c.logged++
	leftOut, c.suppressed = c.suppressed, 0
	return leftOut, true
}

// forward returns the last peer that was asked too.
func (c *Client) forward(ctx context.Context, call Call) (mothferry.DaemonID, Answer) {
	message, err := encodeCall(call, 0)
	if err != nil {
		c.Log.WithError(err).WithField("job", call.Job).Error("call can't be passed on")
		return "", Answer{Outcome: OutcomeNoPeer}
	}
	size := len(message.GetSubmission())
	if !c.beginCall(size) {
		return "", Answer{Outcome: OutcomeLimit}
	}
	defer c.endCall(size)
	answer := Answer{Outcome: OutcomeNoPeer}
	var asked []mothferry.DaemonID
	var peer mothferry.DaemonID
	for len(asked) < maxPeersAsked {
		within := c.callTimeout(ctx, call.Kind)
		if within <= 0 {
			break
		}
		l, done, ok := c.nextLink(asked)
		if !ok {
			break
		}
		peer = l.host.Daemon
		asked = append(asked, peer)
		message.WithinMs = within.Milliseconds()
		<-l.ready
		if l.dialErr != nil {
			done()
			continue
		}
		reply, sent, err := l.exchange(message, within)
		done()
		switch {
		case err != nil && !sent:
			continue
		case err != nil:
			answer = Answer{Outcome: mfintake.OutcomeUnknown}
		default:
			answer = decodeReply(reply)
		}
		if !retryElsewhere(call.Kind, answer) {
			break
		}
	}
	return peer, answer
}

func (c *Client) callTimeout(ctx context.Context, k Kind) time.Duration {
	most := writeTimeout
	if k.readOnly() {
		most = lookupTimeout
	}
	if deadline, ok := ctx.Deadline(); ok {
		return min(most, time.Until(deadline))
	}
	return most
}

func (c *Client) beginCall(size int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.calls >= maxCalls || c.bytes+size > maxSubmissionsBytes || size > maxSubmissionBytes {
		return false
	}
	c.calls++
	c.bytes += size
	return true
}

func (c *Client) endCall(size int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls--
	c.bytes -= size
}
