package rccrowd

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Client writes to one connection what a client of a crowd sends. n is its number.
type Client func(conn net.Conn, n int)

// Crowd holds the open connections of a crowd.
type Crowd struct {
	wg    sync.WaitGroup
	mu    sync.Mutex
	conns []net.Conn
	open  bool
}

// writeTimeout ends a client whose bytes are not read; its connection stays open.
const writeTimeout = 2 * time.Second

// Send opens size connections to addr and lets client write on each of them. It returns when
// all have written what they have to or have failed. The connections stay open.
func Send(addr string, size int, client Client) *Crowd {
	c := &Crowd{open: true}
	var sent sync.WaitGroup
	for n := range size {
		sent.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return // The instance refuses the crowd.
			}
			if !c.add(conn) {
				return
			}
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // Fails only on a closed connection.
			client(conn, n)
		})
	}
	sent.Wait()
	return c
}

func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// ReadSlowly reads one byte a second from each connection until Close.
func (c *Crowd) ReadSlowly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		c.wg.Go(func() {
			var b [1]byte
			for {
				if _, err := conn.Read(b[:]); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.open = false
	for _, conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// RequestHead returns the request line and the headers that each request needs, without the
// empty line.
func RequestHead(path string, n int) string {
	return fmt.Sprintf("POST %s%d HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\nRadishcrank-Attempt-Id: c%d\r\n", path, n, n)
}

// ShortLines returns header lines of 6 bytes with different names, about size bytes in all.
func ShortLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteByte(letters[i%len(letters)])
		b.WriteByte(letters[i/len(letters)%len(letters)])
		b.WriteByte(letters[i/len(letters)/len(letters)%len(letters)])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// OddLines returns long names without values, empty values and folded lines.
func OddLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x-%d-%s:\r\nq%d:  \t \r\n \t\r\nz%d: a\r\n b\r\n", i, strings.Repeat("n", 40), i, i)
	}
	return b.String()
}

// WriteRepeatedly writes text until it has written size bytes or fails.
func WriteRepeatedly(conn net.Conn, text string, size int) {
	for size > 0 {
		n, err := io.WriteString(conn, text[:min(len(text), size)])
		if size -= n; err != nil {
			return
		}
	}
}

// BodyHead returns the head of a request with a body of a length.
func BodyHead(n, length int) string {
	return RequestHead("/look/", n) + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// ChunkedHead returns the head of a request with a chunked body.
func ChunkedHead(n int) string {
	return RequestHead("/look/", n) + "Transfer-Encoding: chunked\r\n\r\n"
}
