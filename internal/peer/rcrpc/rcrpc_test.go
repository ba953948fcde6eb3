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

type question struct {
	Text  string
	Extra int
}

type answer struct{ Text string }

var (
	echo  = Method[question, answer]{Name: "Echo", Timeout: 5 * time.Second}
	fail  = Method[question, answer]{Name: "Fail", Timeout: 5 * time.Second}
	stall = Method[question, answer]{Name: "Stall", Timeout: time.Second}
	blob  = ChunkMethod("Blob", 5*time.Second)

	keyA = Keys{Current: bytes.Repeat([]byte{1}, 32)}
	keyB = Keys{Current: bytes.Repeat([]byte{2}, 32)}
	keyC = Keys{Current: keyB.Current, Old: keyA.Current}
)

func handlers(object *[]byte) *Handlers {
	h := NewHandlers()
	Handle(h, echo, func(_ context.Context, from Identity, q question) (answer, error) {
		return answer{Text: string(from.Instance) + ":" + q.Text + strings.Repeat(q.Text, q.Extra)}, nil
	})
	Handle(h, fail, func(context.Context, Identity, question) (answer, error) {
		return answer{}, &RemoteError{Code: CodeNotFound, Message: "no such thing"}
	})
	Handle(h, stall, func(ctx context.Context, _ Identity, _ question) (answer, error) {
		<-ctx.Done()
		return answer{}, ctx.Err()
	})
	Handle(h, blob, func(_ context.Context, _ Identity, q ChunkRequest) (Chunk, error) { return NewObject(*object).Chunk(q) })
	return h
}

// start runs a server on loopback and returns its address.
func start(t *testing.T, keys Keys, object *[]byte) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	s := NewServer(listener, Config{Identity: Identity{Instance: "server"}, Keys: keys, Handlers: handlers(object)})
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func client(t *testing.T, keys Keys) *Client {
	c := NewClient(Config{Identity: Identity{Instance: "client"}, Keys: keys})
	t.Cleanup(c.Close)
	return c
}

// Guards against lost types of answers and errors, and against a connection that one bad call ends.
func TestCall(t *testing.T) {
	var object []byte
	to := start(t, keyA, &object)
	c := client(t, keyA)
	var remote *RemoteError
	for range 2 {
		a, err := Call(t.Context(), c, to, echo, question{Text: "hi"})
		require.NoError(t, err)
		require.Equal(t, "client:hi", a.Text)
		_, err = Call(t.Context(), c, to, fail, question{})
		require.ErrorAs(t, err, &remote)
		require.EqualValues(t, CodeNotFound, remote.Code)
		_, err = Call(t.Context(), c, to, Method[question, answer]{Name: "None", Timeout: time.Second}, question{})
		require.ErrorAs(t, err, &remote)
		var size *FrameSizeError
		_, err = Call(t.Context(), c, to, echo, question{Text: strings.Repeat("x", MaxMessageBytes)})
		require.ErrorAs(t, err, &size)
		// The question fits, and the answer does not.
		_, err = Call(t.Context(), c, to, echo, question{Text: strings.Repeat("x", MaxMessageBytes/2), Extra: 1})
		require.ErrorAs(t, err, &remote)
		// A newer peer's fields are ignored.
		newer := Method[struct{ Text, Unknown string }, answer]{Name: echo.Name, Timeout: time.Second}
		_, err = Call(t.Context(), c, to, newer, struct{ Text, Unknown string }{"a", "b"})
		require.NoError(t, err)
	}
	c.Close()
	_, err := Call(t.Context(), c, to, echo, question{})
	require.ErrorIs(t, err, net.ErrClosed)
}

// Guards against strangers that get in and against a key rotation that cuts instances off.
func TestKeys(t *testing.T) {
	for _, tt := range []struct {
		name           string
		server, client Keys
		ok             bool
	}{
		{"same", keyA, keyA, true},
		{"other", keyA, keyB, false},
		{"dialer rotated first", keyA, keyC, true},
		{"listener rotated first", keyC, keyA, true},
		{"both rotate", keyC, keyC, true},
		{"old key gone", keyB, keyC, true},
		{"no key", keyA, Keys{}, false},
	} {
		var object []byte
		_, err := Call(t.Context(), client(t, tt.client), start(t, tt.server, &object), echo, question{})
		require.Equal(t, tt.ok, err == nil, "%s: %v", tt.name, err)
	}
}

// Guards against a peer that returns our own proof, and one without a common protocol version.
func TestHandshakeRefusesImpostors(t *testing.T) {
	run := func(impostor func(conn net.Conn)) error {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			impostor(theirs)
		}()
		defer ours.Close()
		_, err := handshake(ours, Identity{Instance: "i"}, keyA, true, 5*time.Second)
		return err
	}
	// Mirrors the hello and the proof.
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
	// A newer version that still speaks ours, without the key.
	err = run(func(conn net.Conn) {
		readFrame(conn, maxHandshakeBytes)
		writeMessage(conn, hello{Protocol: ProtocolVersion + 2, MinProtocol: ProtocolVersion, Nonce: make([]byte, nonceBytes)})
		readFrame(conn, maxHandshakeBytes)
		writeMessage(conn, proof{Sums: [][]byte{{}, nil, make([]byte, 32)}})
	})
	require.ErrorIs(t, err, ErrUnauthenticated)
}

// Guards against objects that arrive cut, mixed or corrupted.
func TestFetch(t *testing.T) {
	object := new([]byte)
	to := start(t, keyA, object)
	c := client(t, keyA)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, 5 * chunkBytes}).Draw(t, "size")
		*object = bytes.Repeat([]byte{byte(rapid.IntRange(0, 255).Draw(t, "byte"))}, size)
		got, err := Fetch(t.Context(), c, to, blob, "x", 4*chunkBytes)
		if size > 4*chunkBytes {
			var tooLarge *FrameSizeError
			require.ErrorAs(t, err, &tooLarge)
			return
		}
		require.NoError(t, err)
		require.True(t, bytes.Equal(*object, got))
	})
	changing := callerFunc(func(_ context.Context, _ netip.AddrPort, _ string, q, a any) error {
		request := q.(ChunkRequest)
		request.Sum = ""
		part, err := NewObject(bytes.Repeat([]byte{byte(request.Offset / chunkBytes)}, 3*chunkBytes)).Chunk(request)
		*a.(*Chunk) = part
		return err
	})
	_, err := Fetch(t.Context(), changing, to, blob, "x", 4*chunkBytes)
	require.ErrorIs(t, err, ErrObjectChanged)
}

type callerFunc func(ctx context.Context, to netip.AddrPort, method string, question, answer any) error

func (f callerFunc) Call(ctx context.Context, to netip.AddrPort, method string, q, a any) error {
	return f(ctx, to, method, q, a)
}

// pipeDialer connects to a server's side of a pipe in the test's bubble.
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

// Guards against a connection that went silent and is used for ever.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		c := NewClient(Config{Keys: keyA, Dial: pipeDialer(func(conn net.Conn) {
			defer conn.Close()
			if _, err := handshake(conn, Identity{}, keyA, false, time.Second); err == nil {
				io.Copy(io.Discard, conn)
			}
		}, &dials)})
		defer c.Close()
		for i := range 3 {
			begin := time.Now()
			_, err := Call(t.Context(), c, netip.AddrPort{}, stall, question{})
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.Equal(t, stall.Timeout, time.Since(begin))
			require.Equal(t, i+1, dials)
		}
		// A caller in a hurry proves nothing about the connection.
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), silentAfter/2)
			_, err := Call(ctx, c, netip.AddrPort{}, stall, question{})
			require.ErrorIs(t, err, context.DeadlineExceeded)
			cancel()
		}
		require.Equal(t, 4, dials)
	})
}

// Guards against a storm of attempts to reach a dead instance, and against waiting too long after it is back.
func TestReconnectBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		c := NewClient(Config{Keys: keyA, Dial: pipeDialer(nil, &dials)})
		defer c.Close()
		for range 600 {
			_, err := Call(t.Context(), c, netip.AddrPort{}, echo, question{})
			require.Error(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		// Without backoff there would be 600; the expected number is about 18.
		require.Less(t, dials, 60)
		require.Greater(t, dials, 5)
		c.cfg.Dial = pipeDialer(func(conn net.Conn) {
			s := NewServer(nil, Config{Keys: keyA, Handlers: handlers(nil)})
			s.slots <- struct{}{}
			s.serve(t.Context(), conn)
		}, &dials)
		time.Sleep(defaultMaxBackoff)
		_, err := Call(t.Context(), c, netip.AddrPort{}, echo, question{})
		require.NoError(t, err)
	})
}

// Guards against frames that make an instance allocate, hang or panic.
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
