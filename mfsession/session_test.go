package mfsession_test

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"

	"mothferry/mfsession"
)

// readDelay is how long a read takes to return after its connection has ended.
const readDelay = 300 * time.Millisecond

var errBroken = errors.New("the connection is broken")

// slowConnection is a connection whose reads return late once it has ended.
type slowConnection struct {
	net.Conn

	broken atomic.Bool
}

func (c *slowConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		time.Sleep(readDelay)
	}
	return n, err
}

func (c *slowConnection) Write(data []byte) (int, error) {
	if c.broken.Load() {
		return 0, errBroken
	}
	return c.Conn.Write(data)
}

// newBlockedRead returns a session with a blocked read of a stream, its connection, the other
// side, and a channel that is closed when the read has ended.
func newBlockedRead(t *testing.T) (*mfsession.Session, *slowConnection, *mfsession.Session, <-chan struct{}) {
	t.Helper()
	near, far := net.Pipe()
	slow := &slowConnection{Conn: near}
	config := yamux.DefaultConfig()
	config.LogOutput, config.EnableKeepAlive = io.Discard, false
	client, err := mfsession.Client(slow, config)
	assert.NilError(t, err)
	server, err := mfsession.Server(far, config)
	assert.NilError(t, err)
	stream, err := client.OpenStream()
	assert.NilError(t, err)
	_, err = stream.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = server.AcceptStream()
	assert.NilError(t, err)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = stream.Read(make([]byte, 1))
	}()
	time.Sleep(50 * time.Millisecond)
	return client, slow, server, read
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A blocked read must not use a core until its session has ended.
func TestSessionEndUsesNoCPU(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, s *mfsession.Session, c *slowConnection, other *mfsession.Session){
		"by our own close": func(t *testing.T, s *mfsession.Session, _ *slowConnection, _ *mfsession.Session) {
			assert.NilError(t, s.Close())
		},
		"by the other side": func(t *testing.T, _ *mfsession.Session, _ *slowConnection, other *mfsession.Session) {
			assert.NilError(t, other.Close())
		},
		"by a write error": func(_ *testing.T, s *mfsession.Session, c *slowConnection, _ *mfsession.Session) {
			c.broken.Store(true)
			_, _ = s.Ping()
		},
	} {
		t.Run(name, func(t *testing.T) {
			session, connection, other, read := newBlockedRead(t)
			before := cpuTime(t)
			end(t, session, connection, other)
			<-read
			used := cpuTime(t) - before
			assert.Assert(t, used < readDelay/3, "%v of processor time", used)
			assert.NilError(t, session.Close())
			assert.NilError(t, other.Close())
			assert.Assert(t, session.IsClosed())
		})
	}
}

// Closing a session concurrently and from both sides must not wait forever.
func TestConcurrentClose(t *testing.T) {
	for range 5 {
		session, connection, other, read := newBlockedRead(t)
		connection.broken.Store(true)
		closed := make(chan struct{}, 4)
		for _, s := range []*mfsession.Session{session, session, other, other} {
			go func() {
				_, _ = s.Ping()
				_ = s.Close()
				closed <- struct{}{}
			}()
		}
		for range 4 {
			<-closed
		}
		<-read
	}
}

// Sessions started outside this package would use a core as they end.
func TestOnlyThisPackageCreatesSessions(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || filepath.Dir(path) == "../mfsession" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, name := range []string{"yamux.Client", "yamux.Server"} {
			source, selector, _ := strings.Cut(name, ".")
			assert.Check(t, !hasSelector(file, source, selector), "%s starts a session by %s", path, name)
		}
		return nil
	})
	assert.NilError(t, err)
}

// hasSelector reports whether a file refers to a name of a package.
func hasSelector(file *ast.File, source, name string) bool {
	found := false
	ast.Inspect(file, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok && s.Sel.Name == name {
			if x, ok := s.X.(*ast.Ident); ok && x.Name == source {
				found = true
			}
		}
		return true
	})
	return found
}

// countingConnection counts the writes of a connection.
type countingConnection struct {
	net.Conn

	writes atomic.Int64
}

func (c *countingConnection) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

// Guards against two writes, and two packets, for each message.
func TestMessageIsOneWrite(t *testing.T) {
	near, far := net.Pipe()
	counting := &countingConnection{Conn: near}
	config := yamux.DefaultConfig()
	config.LogOutput, config.EnableKeepAlive = io.Discard, false
	client, err := mfsession.Client(counting, config)
	assert.NilError(t, err)
	server, err := mfsession.Server(far, config)
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	out, err := client.OpenStream()
	assert.NilError(t, err)
	in, err := server.AcceptStream()
	assert.NilError(t, err)
	before := counting.writes.Load()
	const messages = 20
	message, received := []byte("twelve bytes"), make([]byte, 12)
	for range messages {
		_, err := out.Write(message)
		assert.NilError(t, err)
		_, err = io.ReadFull(in, received)
		assert.NilError(t, err)
		assert.DeepEqual(t, received, message)
	}
	assert.Equal(t, counting.writes.Load()-before, int64(messages))
}
