package rcframing

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minUploadPoll and maxUploadPoll bound the time between two looks at a connection. Most
	// uploads have been acknowledged by the first one.
	minUploadPoll = time.Millisecond
	maxUploadPoll = 50 * time.Millisecond
)

// ConfirmEnd returns nil if the end of what was read from a connection was sent by the peer, and
// an error that wraps ErrBrokenOff if the peer reset the connection or may still do so. It is
// called at the end of an unframed body, when the whole request has been written or its writing
// has failed with writeErr.
//
// Reads tell a reset from an end only if nothing else has met the reset: a write that fails takes
// the socket's error, and a read returns io.EOF after it. The same holds for a peer that closes the
// connection while the request is on its way, which is reset when more of the request arrives. So
// ConfirmEnd waits until the peer has acknowledged the request, or until done is closed.
func ConfirmEnd(conn net.Conn, writeErr error, done <-chan struct{}) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: the request was not received: %w", ErrBrokenOff, err)
		}
	}()
	if writeErr != nil {
		return writeErr
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil // Only TCP connections are reset.
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	for wait := minUploadPoll; ; wait = min(2*wait, maxUploadPoll) {
		acknowledged, err := requestAcknowledged(raw)
		if acknowledged || err != nil {
			return err
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-done:
			timer.Stop()
			return errUnacknowledged
		}
	}
}

var errUnacknowledged = errors.New("part of it was not acknowledged in time")

// requestAcknowledged reports whether the peer has acknowledged all that was written to a
// connection. It returns an error if the connection was reset or closed before that.
func requestAcknowledged(raw syscall.RawConn) (acknowledged bool, err error) {
	var pending, sockErr int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) {
		// The bytes that a reset discards stay pending.
		if pending, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); pending > 0 && ioctlErr == nil {
			sockErr, ioctlErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		}
	})
	switch {
	case err != nil:
		return false, err
	case ioctlErr != nil || pending == 0:
		return true, nil // Sockets that do not count have met no reset that can be seen.
	case sockErr != 0:
		return false, syscall.Errno(sockErr)
	}
	return false, nil
}
