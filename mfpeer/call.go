package mfpeer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"mothferry"
	"mothferry/mfdocument"
	"mothferry/mfpeer/mfwire"
	"mothferry/mfplacement"
	"mothferry/mfsession"
	"mothferry/mfsnapshot"
)

// maxFrame bounds one message, in bytes. At about 1 KB a document it holds
// every document of the size the project designs for, many times over.
const maxFrame = 16 << 20

// ErrBadFrame reports a peer's message that could not be understood.
type ErrBadFrame struct {
	Peer   mothferry.DaemonID
	Detail string
}

// Error implements error.
func (e *ErrBadFrame) Error() string {
	return fmt.Sprintf("message of peer %q is malformed: %s", e.Peer, e.Detail)
}

// call sends one call over the session to a peer and reads the reply. A
// failure closes the session, so that it is dialled anew.
func (m *Mesh) call(ctx context.Context, peer mothferry.DaemonID, call *mfwire.Call) (*mfwire.Reply, error) {
	session, err := m.session(peer)
	if err != nil {
		return nil, err
	}
	reply, err := m.exchange(ctx, session, call)
	if err != nil {
		m.drop(peer, session)
		return nil, trace.Wrap(err, "call of peer %s", peer)
	}
	if failure := reply.GetFailure(); failure != nil {
		return nil, trace.Wrap(&ErrBadFrame{Peer: peer, Detail: failure.GetDetail()})
	}
	return reply, nil
}

func (m *Mesh) exchange(ctx context.Context, session *mfsession.Session, call *mfwire.Call) (*mfwire.Reply, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer stream.Close()
	// A deadline of the caller's shortens the bound but never lengthens it.
	deadline := time.Now().Add(m.Timeout)
	if own, ok := ctx.Deadline(); ok && own.Before(deadline) {
		deadline = own
	}
	if err := stream.SetDeadline(deadline); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := m.send(stream, call); err != nil {
		return nil, err
	}
	var reply mfwire.Reply
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	if err := options.UnmarshalFrom(bufio.NewReader(stream), &reply); err != nil {
		return nil, trace.Wrap(err)
	}
	return &reply, nil
}

func (m *Mesh) send(stream net.Conn, call *mfwire.Call) error {
	call.Daemon = string(m.Self)
	call.DataCentre = string(m.DataCentre)
	_, err := protodelim.MarshalTo(stream, call)
	return trace.Wrap(err)
}

// accept takes the connections of peers until the listener is closed.
func (m *Mesh) accept(ctx context.Context) {
	for {
		connection, err := m.Listener.Accept()
		if err != nil {
			return
		}
		session, err := mfsession.Server(m.Traffic.Wrap(connection), m.sessionConfig())
		if err != nil {
			_ = connection.Close()
			continue
		}
		m.mutex.Lock()
		m.incoming[session] = struct{}{}
		m.mutex.Unlock()
		go m.serveSession(ctx, session)
	}
}

func (m *Mesh) serveSession(ctx context.Context, session *mfsession.Session) {
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			break
		}
		go m.serveStream(ctx, stream)
	}
	_ = session.Close()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.incoming, session)
}

// serveStream answers one call. A stream that announces a spilled request is
// handed to the spill server, which then owns it.
func (m *Mesh) serveStream(ctx context.Context, stream *yamux.Stream) {
	_ = stream.SetDeadline(time.Now().Add(spillHandshakeTimeout))
	reader := bufio.NewReader(stream)
	var call mfwire.Call
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	if err := options.UnmarshalFrom(reader, &call); err != nil {
		m.Log.WithField("remote", stream.RemoteAddr()).WithError(err).Warn("Malformed message refused.")
		_ = stream.Close()
		return
	}
	if spill := call.GetSpill(); spill != nil {
		_ = stream.SetDeadline(time.Time{})
		m.spills.offer(ctx, &spillConnection{Stream: stream, reader: reader, hops: int(spill.GetHops())})
		return
	}
	defer stream.Close()
	reply := m.answer(&call)
	if _, err := protodelim.MarshalTo(stream, reply); err != nil {
		m.Log.WithField("peer", call.GetDaemon()).WithError(err).Debug("Reply could not be sent.")
	}
}

// answer works out the reply to one call. Only daemons that the settings name
// are answered.
func (m *Mesh) answer(call *mfwire.Call) *mfwire.Reply {
	from, ok := m.peer(mothferry.DaemonID(call.GetDaemon()))
	if !ok {
		return failure("daemon is not in the settings: " + call.GetDaemon())
	}
	switch k := call.GetKind().(type) {
	case *mfwire.Call_Status:
		m.recordStatus(from, k.Status)
		return &mfwire.Reply{Kind: &mfwire.Reply_Status{Status: m.statusFor(from)}}
	case *mfwire.Call_ChangesSince:
		return m.answerChanges(mothferry.Revision(k.ChangesSince.GetBase()))
	case *mfwire.Call_Changes:
		delta, err := decodeChanges(k.Changes)
		if err != nil {
			return failure(err.Error())
		}
		m.Node.HandleChanges(from, delta)
		return &mfwire.Reply{Kind: &mfwire.Reply_Status{Status: m.statusFor(from)}}
	case *mfwire.Call_PlacementOf:
		return m.answerPlacement(mothferry.PoolID(k.PlacementOf.GetPool()))
	case *mfwire.Call_Placement:
		record, err := mfplacement.Decode(k.Placement.GetRecord())
		if err != nil {
			return failure(err.Error())
		}
		m.Node.HandlePlacement(from, record)
		return ack()
	default:
		return failure("call has no kind that is known here")
	}
}

func (m *Mesh) answerChanges(base mothferry.Revision) *mfwire.Reply {
	changes, err := encodeChanges(m.Node.Since(base))
	if err != nil {
		return failure(err.Error())
	}
	return &mfwire.Reply{Kind: &mfwire.Reply_Changes{Changes: changes}}
}

func (m *Mesh) answerPlacement(pool mothferry.PoolID) *mfwire.Reply {
	record, ok := m.Node.Placement(pool)
	if !ok {
		return failure("no placement of pool " + string(pool))
	}
	data, err := record.Encode()
	if err != nil {
		return failure(err.Error())
	}
	return &mfwire.Reply{Kind: &mfwire.Reply_Placement{Placement: &mfwire.Placement{Record: data}}}
}

func (m *Mesh) peer(id mothferry.DaemonID) (Peer, bool) {
	for _, p := range m.Peers {
		if p.Daemon == id {
			return p, true
		}
	}
	return Peer{}, false
}

func ack() *mfwire.Reply {
	return &mfwire.Reply{Kind: &mfwire.Reply_Ack{Ack: &mfwire.Ack{}}}
}

func failure(detail string) *mfwire.Reply {
	return &mfwire.Reply{Kind: &mfwire.Reply_Failure{Failure: &mfwire.Failure{Detail: detail}}}
}

func encodeChanges(d mfsnapshot.Delta) (*mfwire.Changes, error) {
	out := &mfwire.Changes{Base: uint64(d.Base), Revision: uint64(d.Revision)}
	for _, r := range d.Records {
		data, err := r.Encode()
		if err != nil {
			return nil, err
		}
		out.Records = append(out.Records, data)
	}
	return out, nil
}

func decodeChanges(w *mfwire.Changes) (mfsnapshot.Delta, error) {
	delta := mfsnapshot.Delta{Base: mothferry.Revision(w.GetBase()), Revision: mothferry.Revision(w.GetRevision())}
	for _, data := range w.GetRecords() {
		record, err := mfdocument.DecodeRecord(data)
		if err != nil {
			return mfsnapshot.Delta{}, err
		}
		delta.Records = append(delta.Records, record)
	}
	return delta, nil
}
