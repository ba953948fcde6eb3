package rccrowd

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limits are lower than those of any machine, so that a small crowd shows a fault. The bounds
// of the tests are these limits: a process beyond MemoryMB is killed by its machine.
var limits = Limits{MemoryMB: 80, MaxFDs: 500, MaxBodyBytes: 1_000_000}

// program is built once, without the race detector, whose memory would be measured.
var program = sync.OnceValues(func() (string, error) {
	path := filepath.Join(buildDir, "radishcrankd")
	out, err := exec.Command("go", "build", "-o", path, "github.com/radishcrank/radishcrank/cmd/radishcrankd").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

func start(t *testing.T) *Process {
	path, err := program()
	require.NoError(t, err)
	p, err := Start(path, t.TempDir(), limits)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// ask makes one ordinary request and returns whether it was answered.
func ask(p *Process) bool {
	return askUntilAnswered(p, func(n int) (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+p.FrontAddr+"/look/ordinary", strings.NewReader(strings.Repeat("o", 55_000)))
		if err == nil {
			r.Host = "a.example"
			r.Header.Set("X-Api-Key", "k1")
			r.Header.Set("Radishcrank-Attempt-Id", fmt.Sprint("ordinary", n))
		}
		return r, err
	})
}

// askUntilAnswered sends a request of 55,000 bytes, again if it is refused or its connection is
// closed, as callers do, and returns whether it was answered.
func askUntilAnswered(p *Process, request func(n int) (*http.Request, error)) bool {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	const attempts = 40
	for n := range attempts {
		if !p.Alive() {
			return false
		}
		r, err := request(n)
		if err != nil {
			return false
		}
		if resp, err := client.Do(r); err == nil {
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK && string(body) == "read 55000 bytes" {
				return true
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// requireSound checks what must hold while a crowd is there, whatever the machine's speed.
func requireSound(t *testing.T, p *Process, limits Limits, ask func(*Process) bool) {
	t.Helper()
	p.Settle()
	answered := ask(p)
	require.True(t, p.Alive(), "the process ended: %v", p.cmd.ProcessState)
	u, err := p.Usage()
	require.NoError(t, err)
	t.Log(u)
	if got := u.ResidentBytes + u.SocketBytes; got > int64(limits.MemoryMB)<<20 {
		t.Errorf("memory %d MB exceeds %d MB: %v", got>>20, limits.MemoryMB, u)
	}
	if u.FDs > limits.MaxFDs {
		t.Errorf("%d descriptors exceed %d", u.FDs, limits.MaxFDs)
	}
	if !answered {
		t.Error("an ordinary request was not answered")
	}
}

// crowd is one kind of untrusted clients.
type crowd struct {
	name   string
	addr   func(p *Process) string // Nil means the clients' listener.
	size   int
	client Client
	slow   bool // They read one byte a second.
}

func (c crowd) run(t *testing.T) { c.runOn(t, start(t), limits, ask) }

func (c crowd) runOn(t *testing.T, p *Process, limits Limits, ask func(*Process) bool) {
	addr := p.FrontAddr
	if c.addr != nil {
		addr = c.addr(p)
	}
	clients := Send(addr, c.size, c.client)
	defer clients.Close()
	if c.slow {
		clients.ReadSlowly()
	}
	requireSound(t, p, limits, ask)
}

func runAll(t *testing.T, crowds []crowd) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, c := range crowds {
		t.Run(c.name, c.run)
	}
}

// legalHead leaves room for the lines that each request has within 16,384 bytes.
const legalHead = 16_000

// TestCrowdsOfHeads guards against heads of many short or odd lines, and heads that never
// end, that use up the memory of the process.
func TestCrowdsOfHeads(t *testing.T) {
	short, odd := ShortLines(legalHead), OddLines(legalHead)
	endless := func(lines string) Client {
		return func(conn net.Conn, n int) {
			io.WriteString(conn, RequestHead("/look/", n))
			WriteRepeatedly(conn, lines, 2<<20)
		}
	}
	runAll(t, []crowd{
		{name: "ShortLinesStopShort", size: 400, client: func(conn net.Conn, n int) {
			io.WriteString(conn, RequestHead("/look/", n)+short)
		}},
		{name: "ShortLinesWhole", size: 400, client: func(conn net.Conn, n int) {
			io.WriteString(conn, RequestHead("/look/", n)+short+"Content-Length: 10\r\n\r\n")
		}},
		{name: "OddLinesStopShort", size: 400, client: func(conn net.Conn, n int) {
			io.WriteString(conn, RequestHead("/look/", n)+odd)
		}},
		{name: "EndlessShortLines", size: 100, client: endless(ShortLines(64 << 10))},
		{name: "EndlessLine", size: 200, client: endless(strings.Repeat("x", 64<<10))},
	})
}

// TestCrowdsOfBodies guards against bodies of a legal length, whole or piece by piece, that
// stop short of their end and use up the memory of the process.
func TestCrowdsOfBodies(t *testing.T) {
	body := strings.Repeat("b", limits.MaxBodyBytes)
	runAll(t, []crowd{
		{name: "Whole", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, BodyHead(n, len(body)))
			WriteRepeatedly(conn, body, len(body)-10)
		}},
		{name: "Pieces", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, BodyHead(n, len(body)))
			const pieces = 10
			for range pieces {
				WriteRepeatedly(conn, body, len(body)/pieces-1)
				time.Sleep(20 * time.Millisecond)
			}
		}},
		{name: "Announced", size: 400, client: func(conn net.Conn, n int) {
			io.WriteString(conn, BodyHead(n, len(body))+"b")
		}},
		{name: "Complete", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, BodyHead(n, len(body)))
			WriteRepeatedly(conn, body, len(body))
		}},
	})
}

// TestCrowdsOfChunks guards against chunked bodies, in large chunks or of one byte each, and
// trailers that use up the memory of the process.
func TestCrowdsOfChunks(t *testing.T) {
	large := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("c", 64<<10))
	small := strings.Repeat("1\r\nc\r\n", 10_000)
	runAll(t, []crowd{
		{name: "Large", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ChunkedHead(n))
			WriteRepeatedly(conn, large, 15*len(large)-10)
		}},
		{name: "OneByte", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ChunkedHead(n))
			WriteRepeatedly(conn, small, 60*len(small)-5)
		}},
		{name: "Trailers", size: 200, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ChunkedHead(n)+"1\r\nc\r\n0\r\n")
			WriteRepeatedly(conn, ShortLines(legalHead), legalHead)
		}},
	})
}

// TestCrowdOfSlowReaders guards against responses that wait for clients that read one byte a
// second and use up the memory of the process.
func TestCrowdOfSlowReaders(t *testing.T) {
	runAll(t, []crowd{{name: "Large", size: 150, slow: true, client: func(conn net.Conn, n int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // The client's kernel must not read for it.
		io.WriteString(conn, RequestHead("/large/", n)+"Content-Length: 1\r\n\r\nb")
	}}})
}

// TestCrowdsOnOtherListeners guards against the listeners for readiness, metrics and other
// instances, where clients without a key may connect, using up memory or descriptors.
func TestCrowdsOnOtherListeners(t *testing.T) {
	lines := ShortLines(64 << 10)
	endless := func(conn net.Conn, _ int) {
		io.WriteString(conn, "GET /radishcrank/ready HTTP/1.1\r\nHost: a\r\n")
		WriteRepeatedly(conn, lines, 2<<20)
	}
	body := func(conn net.Conn, _ int) {
		io.WriteString(conn, "POST /radishcrank/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n")
		WriteRepeatedly(conn, lines, 1<<20)
	}
	runAll(t, []crowd{
		{name: "Readiness", addr: func(p *Process) string { return p.ReadyAddr }, size: 100, client: endless},
		{name: "ReadinessBodies", addr: func(p *Process) string { return p.ReadyAddr }, size: 200, client: body},
		{name: "Metrics", addr: func(p *Process) string { return p.MetricsAddr }, size: 100, client: endless},
		{name: "Peers", addr: func(p *Process) string { return p.PeerAddr }, size: 400, client: func(conn net.Conn, n int) {
			sizes := []uint32{4 << 10, 64 << 10, 1<<32 - 1}
			conn.Write(binary.BigEndian.AppendUint32(nil, sizes[n%len(sizes)]))
			WriteRepeatedly(conn, `{"Protocol":1,`+strings.Repeat(" ", 4<<10), 4<<10-10)
		}},
	})
}

// TestCrowdsOfConnections guards against connections without a request that use up the
// descriptors of the process.
func TestCrowdsOfConnections(t *testing.T) {
	runAll(t, []crowd{
		{name: "Front", size: 700, client: func(net.Conn, int) {}},
		{name: "Readiness", addr: func(p *Process) string { return p.ReadyAddr }, size: 700, client: func(net.Conn, int) {}},
		{name: "Metrics", addr: func(p *Process) string { return p.MetricsAddr }, size: 700, client: func(net.Conn, int) {}},
	})
}

// TestCrowdsOnSmallestMachine guards against bounds that hold only because a lowered limit of
// descriptors keeps the crowd small. With bodies of 200 KB, the kernel held 79 MB for 800
// connections.
func TestCrowdsOnSmallestMachine(t *testing.T) {
	lowered := limits
	defer func() { limits = lowered }()
	limits = Limits{MemoryMB: 112, MaxFDs: 3075, MaxBodyBytes: 4 << 20}
	body := strings.Repeat("b", limits.MaxBodyBytes)
	const medium = 200_000
	runAll(t, []crowd{
		{name: "MediumBodies", size: 1500, client: func(conn net.Conn, n int) {
			io.WriteString(conn, BodyHead(n, medium))
			WriteRepeatedly(conn, body, 60_000)
			time.Sleep(500 * time.Millisecond)
			WriteRepeatedly(conn, body, medium-60_000-10)
		}},
		{name: "LargestBodies", size: 300, client: func(conn net.Conn, n int) {
			io.WriteString(conn, BodyHead(n, len(body)))
			WriteRepeatedly(conn, body, len(body))
		}},
		{name: "SlowReaders", size: 1500, slow: true, client: func(conn net.Conn, n int) {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			io.WriteString(conn, RequestHead("/large/", n)+"Content-Length: 1\r\n\r\nb")
		}},
	})
}

// TestSingleRequestsInCalm guards against limits that a single request inside the limits of
// the pages meets: many short lines, a body of the largest size, and a slow but steady upload.
func TestSingleRequestsInCalm(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	p := start(t)
	body := strings.Repeat("b", limits.MaxBodyBytes)
	for name, send := range map[string]Client{
		"ShortLines": func(conn net.Conn, n int) {
			io.WriteString(conn, RequestHead("/look/", n)+ShortLines(legalHead)+"Content-Length: 0\r\n\r\n")
		},
		"LargestBody": func(conn net.Conn, n int) {
			io.WriteString(conn, BodyHead(n, len(body))+body)
		},
		"LargeResponse": func(conn net.Conn, n int) {
			io.WriteString(conn, RequestHead("/large/", n)+"Content-Length: 0\r\n\r\n")
		},
		"SlowUpload": func(conn net.Conn, n int) {
			io.WriteString(conn, BodyHead(n, len(body)))
			const pieces = 40 // Divides the length of the body.
			for range pieces {
				WriteRepeatedly(conn, body, len(body)/pieces)
				time.Sleep(75 * time.Millisecond)
			}
		},
		"SmallChunks": func(conn net.Conn, n int) {
			io.WriteString(conn, ChunkedHead(n)+strings.Repeat("1\r\nc\r\n", 55_000)+"0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) { requireAnswer(t, p.FrontAddr, func(conn net.Conn) { send(conn, len(name)) }) })
	}
}

// requireAnswer checks that a request is answered with 200.
func requireAnswer(t *testing.T, addr string, send func(conn net.Conn)) {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	send(conn)
	answer := make([]byte, len("HTTP/1.1 200 OK"))
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK", string(answer))
}
