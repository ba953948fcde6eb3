package rcrpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

type testParams struct {
	Text  string
	Extra int
}

type testResult struct{ Text string }

var (
	echo        = Method[testParams, testResult]{Name: "Echo", Timeout: 5 * time.Second}
	failing     = Method[testParams, testResult]{Name: "Fail", Timeout: 5 * time.Second}
	stalling    = Method[testParams, testResult]{Name: "Stall", Timeout: time.Second}
	fetchObject = ChunkMethod("Blob", 5*time.Second)

	keysOld      = Keys{Current: bytes.Repeat([]byte{1}, 32)}
	keysNew      = Keys{Current: bytes.Repeat([]byte{2}, 32)}
	keysRotating = Keys{Current: keysNew.Current, Old: keysOld.Current}
)

func newHandlers(object *[]byte) *Handlers {
	h := NewHandlers()
	Handle(h, echo, func(_ context.Context, from Identity, q testParams) (testResult, error) {
		return testResult{Text: string(from.Instance) + ":" + q.Text + strings.Repeat(q.Text, q.Extra)}, nil
	})
	Handle(h, failing, func(context.Context, Identity, testParams) (testResult, error) {
		return testResult{}, &RemoteError{Code: CodeNotFound, Message: "no such thing"}
	})
	Handle(h, stalling, func(ctx context.Context, _ Identity, _ testParams) (testResult, error) {
		<-ctx.Done()
		return testResult{}, ctx.Err()
	})
	Handle(h, fetchObject, func(_ context.Context, _ Identity, q ChunkRequest) (Chunk, error) { return NewObject(*object).Chunk(q) })
	return h
}

// startServer starts a server on a loopback port and returns its address.
func startServer(t *testing.T, keys Keys, object *[]byte) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	s := NewServer(listener, Config{Identity: Identity{Instance: "server"}, Keys: FixedKeys(keys), Handlers: newHandlers(object)})
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func newClient(t *testing.T, keys Keys) *Client {
	c := NewClient(Config{Identity: Identity{Instance: "client"}, Keys: FixedKeys(keys)})
	t.Cleanup(c.Close)
	return c
}

// Guards against results and errors that lose their type in transit, and against
// a failed call that closes the connection.
func TestCall(t *testing.T) {
	var object []byte
	to := startServer(t, keysOld, &object)
	c := newClient(t, keysOld)
	var remote *RemoteError
	for range 2 {
		result, err := Call(t.Context(), c, to, echo, testParams{Text: "hi"})
		require.NoError(t, err)
		require.Equal(t, "client:hi", result.Text)
		_, err = Call(t.Context(), c, to, failing, testParams{})
		require.ErrorAs(t, err, &remote)
		require.EqualValues(t, CodeNotFound, remote.Code)
		_, err = Call(t.Context(), c, to, Method[testParams, testResult]{Name: "None", Timeout: time.Second}, testParams{})
		require.ErrorAs(t, err, &remote)
		var size *FrameSizeError
		_, err = Call(t.Context(), c, to, echo, testParams{Text: strings.Repeat("x", MaxMessageBytes)})
		require.ErrorAs(t, err, &size)
		// The parameters fit into a message, but the result does not.
		_, err = Call(t.Context(), c, to, echo, testParams{Text: strings.Repeat("x", MaxMessageBytes/2), Extra: 1})
		require.ErrorAs(t, err, &remote)
		// Fields that only a newer peer knows are ignored.
		newer := Method[struct{ Text, Unknown string }, testResult]{Name: echo.Name, Timeout: time.Second}
		_, err = Call(t.Context(), c, to, newer, struct{ Text, Unknown string }{"a", "b"})
		require.NoError(t, err)
	}
	c.Close()
	_, err := Call(t.Context(), c, to, echo, testParams{})
	require.ErrorIs(t, err, net.ErrClosed)
}

// Guards against accepting peers without a shared key, and against a key rotation
// that disconnects instances.
func TestKeys(t *testing.T) {
	for _, tt := range []struct {
		name           string
		server, client Keys
		ok             bool
	}{
		{"same", keysOld, keysOld, true},
		{"other", keysOld, keysNew, false},
		{"dialer rotated first", keysOld, keysRotating, true},
		{"listener rotated first", keysRotating, keysOld, true},
		{"both rotate", keysRotating, keysRotating, true},
		{"old key gone", keysNew, keysRotating, true},
		{"no key", keysOld, Keys{}, false},
	} {
		var object []byte
		_, err := Call(t.Context(), newClient(t, tt.client), startServer(t, tt.server, &object), echo, testParams{})
		require.Equal(t, tt.ok, err == nil, "%s: %v", tt.name, err)
	}
}

// Guards against accepting a peer that reflects the received proof or that has no
// protocol version in common.
func TestHandshakeRefusesImpostors(t *testing.T) {
	run := func(impostor func(conn net.Conn)) error {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			impostor(theirs)
		}()
		defer ours.Close()
		_, err := handshake(ours, Identity{Instance: "i"}, keysOld, true, 5*time.Second)
		return err
	}
	// The peer sends back the hello and the proof that it received.
	err := run(func(conn net.Conn) {
		for range 2 {
			raw, err := readFrame(conn, maxHandshakeBytes)
			if err != nil {
				return
			}
			frame := binary.BigEndian.AppendUint32(nil, uint32(len(raw)))
			conn.Write(append(frame, raw...))
		}
	})
	require.ErrorIs(t, err, ErrUnauthenticated)
	err = run(func(conn net.Conn) {
		readFrame(conn, maxHandshakeBytes)
		writeMessage(conn, hello{Protocol: ProtocolVersion + 2, MinProtocol: ProtocolVersion + 1, Nonce: make([]byte, nonceBytes)})
	})
	var version *VersionError
	require.ErrorAs(t, err, &version)
	// The peer has a newer, compatible protocol version but not the key.
	err = run(func(conn net.Conn) {
		readFrame(conn, maxHandshakeBytes)
		writeMessage(conn, hello{Protocol: ProtocolVersion + 2, MinProtocol: ProtocolVersion, Nonce: make([]byte, nonceBytes)})
		readFrame(conn, maxHandshakeBytes)
		writeMessage(conn, proof{Sums: [][]byte{{}, nil, make([]byte, 32)}})
	})
	require.ErrorIs(t, err, ErrUnauthenticated)
}

// Guards against fetched objects that are truncated, corrupted or combined from
// two versions.
func TestFetch(t *testing.T) {
	object := new([]byte)
	to := startServer(t, keysOld, object)
	c := newClient(t, keysOld)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, 5 * chunkBytes}).Draw(t, "size")
		*object = bytes.Repeat([]byte{byte(rapid.IntRange(0, 255).Draw(t, "byte"))}, size)
		got, err := Fetch(t.Context(), c, to, fetchObject, "x", 4*chunkBytes)
		if size > 4*chunkBytes {
			var tooLarge *FrameSizeError
			require.ErrorAs(t, err, &tooLarge)
			return
		}
		require.NoError(t, err)
		require.True(t, bytes.Equal(*object, got))
	})
	changingCaller := callerFunc(func(_ context.Context, _ netip.AddrPort, _ string, q, a any) error {
		request := q.(ChunkRequest)
		request.Sum = ""
		part, err := NewObject(bytes.Repeat([]byte{byte(request.Offset / chunkBytes)}, 3*chunkBytes)).Chunk(request)
		*a.(*Chunk) = part
		return err
	})
	_, err := Fetch(t.Context(), changingCaller, to, fetchObject, "x", 4*chunkBytes)
	require.ErrorIs(t, err, ErrObjectChanged)
}

type callerFunc func(ctx context.Context, to netip.AddrPort, method string, params, result any) error

func (f callerFunc) Call(ctx context.Context, to netip.AddrPort, method string, q, a any) error {
	return f(ctx, to, method, q, a)
}

// pipeDialer returns a Dial function that passes the other end of an in-memory
// pipe to serve, or fails if serve is nil. It counts its calls in dials.
func pipeDialer(serve func(conn net.Conn), dials *int) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(context.Context, netip.AddrPort) (net.Conn, error) {
		*dials++
		if serve == nil {
			return nil, errors.New("connection refused")
		}
		ours, theirs := net.Pipe()
		go serve(theirs)
		return ours, nil
	}
}

// Guards against using an unresponsive connection forever: calls time out on it,
// although a new connection would work.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		c := NewClient(Config{Keys: FixedKeys(keysOld), Dial: pipeDialer(func(conn net.Conn) {
			defer conn.Close()
			if _, err := handshake(conn, Identity{}, keysOld, false, time.Second); err == nil {
				io.Copy(io.Discard, conn)
			}
		}, &dials)})
		defer c.Close()
		for i := range 3 {
			begin := time.Now()
			_, err := Call(t.Context(), c, netip.AddrPort{}, stalling, testParams{})
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.Equal(t, stalling.Timeout, time.Since(begin))
			require.Equal(t, i+1, dials)
		}
		// A timeout that is shorter than minUnresponsiveWait keeps the connection.
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), minUnresponsiveWait/2)
			_, err := Call(ctx, c, netip.AddrPort{}, stalling, testParams{})
			require.ErrorIs(t, err, context.DeadlineExceeded)
			cancel()
		}
		require.Equal(t, 4, dials)
	})
}

// Guards against too frequent connection attempts to an instance that is down,
// and against waiting too long after it has recovered.
func TestReconnectBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		c := NewClient(Config{Keys: FixedKeys(keysOld), Dial: pipeDialer(nil, &dials)})
		defer c.Close()
		for range 600 {
			_, err := Call(t.Context(), c, netip.AddrPort{}, echo, testParams{})
			require.Error(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		// Without backoff there would be 600 attempts; about 18 are expected.
		require.Less(t, dials, 60)
		require.Greater(t, dials, 5)
		c.cfg.Dial = pipeDialer(func(conn net.Conn) {
			s := NewServer(nil, Config{Keys: FixedKeys(keysOld), Handlers: newHandlers(nil)})
			s.slots <- struct{}{}
			s.serve(t.Context(), conn)
		}, &dials)
		time.Sleep(defaultMaxBackoff)
		_, err := Call(t.Context(), c, netip.AddrPort{}, echo, testParams{})
		require.NoError(t, err)
	})
}

// Guards against frames that make the decoder allocate too much, hang or panic.
func FuzzDecode(f *testing.F) {
	frame, err := Encode(hello{Protocol: 1, Nonce: make([]byte, nonceBytes)})
	require.NoError(f, err)
	f.Add(frame)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 5, '{'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var h hello
		err := Decode(bytes.NewReader(data), maxHandshakeBytes, &h)
		if len(data) < headerBytes {
			require.Error(t, err)
			return
		}
		size := binary.BigEndian.Uint32(data)
		if size == 0 || size > maxHandshakeBytes {
			var tooLarge *FrameSizeError
			require.ErrorAs(t, err, &tooLarge)
			return
		}
		if int(size) > len(data)-headerBytes {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	})
}
