// Package rcrpc implements typed JSON-RPC 2.0 calls between instances over TCP.
// Messages are length-prefixed. Before the first call, both ends of a connection
// prove that they know a shared key. The proof covers only the handshake and not
// each message, so a network on which third parties can inject data into open
// connections needs TLS below this package.
package rcrpc

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// MaxMessageBytes bounds the size of a message, so that a slow or hostile peer
	// cannot occupy a significant part of an instance's 256 MB of memory.
	MaxMessageBytes = 64 << 10
	// headerBytes is the size of the big-endian message length that precedes each
	// message.
	headerBytes = 4
)

// FrameSizeError reports that a message is empty or exceeds the size limit.
type FrameSizeError struct {
	Size  int
	Limit int
}

// Error implements error.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("message of %d bytes, want 1 to %d", e.Size, e.Limit)
}

// Encode returns the frame that carries the JSON encoding of message.
func Encode(message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxMessageBytes {
		return nil, &FrameSizeError{Size: len(body), Limit: MaxMessageBytes}
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// Decode reads a frame with a body of at most limit bytes and decodes it into
// message. Unknown fields are ignored.
func Decode(r io.Reader, limit int, message any) error {
	body, err := readFrame(r, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, message)
}

func readFrame(r io.Reader, limit int) ([]byte, error) {
	size, err := readSize(r, limit)
	if err != nil {
		return nil, err
	}
	return readBody(r, size)
}

// readSize reads the size of the body that follows.
func readSize(r io.Reader, limit int) (int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || uint64(size) > uint64(limit) {
		return 0, &FrameSizeError{Size: int(size), Limit: limit}
	}
	return int(size), nil
}

func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		// The header announced a body, so the frame is truncated.
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return body, nil
}

// stream is the jsonrpc2.ObjectStream of an authenticated connection.
type stream struct {
	conn         net.Conn
	memory       Memory
	idleTimeout  time.Duration
	writeTimeout time.Duration
}

// WriteObject implements jsonrpc2.ObjectStream. jsonrpc2 serializes its calls.
func (s *stream) WriteObject(message any) error {
	frame, err := Encode(message)
	if err != nil {
		return err
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	_, err = s.conn.Write(frame)
	return err
}

// ReadObject implements jsonrpc2.ObjectStream. It fails, which closes the
// connection, if nothing arrives within the idle timeout, because an idle
// connection cannot be told from a dead one.
func (s *stream) ReadObject(message any) error {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.idleTimeout)); err != nil {
		return err
	}
	size, err := readSize(s.conn, MaxMessageBytes)
	if err != nil {
		return err
	}
	s.memory.Take(int64(size))
	defer s.memory.Return(int64(size))
	body, err := readBody(s.conn, size)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, message)
}

// Close implements io.Closer.
func (s *stream) Close() error { return s.conn.Close() }
