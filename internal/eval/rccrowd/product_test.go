package rccrowd

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// productLimits are the limits of the product's own interface. An instance has 256 MB, which
// no setting changes; bodies have half of their largest usual size and the process a small
// number of descriptors, so that a small crowd shows a fault.
var productLimits = Limits{MemoryMB: 256, MaxFDs: 500, MaxBodyBytes: 4 << 20}

func startProduct(t *testing.T) *Process {
	path, err := program()
	require.NoError(t, err)
	p, err := StartProduct(path, t.TempDir(), productLimits)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// askProduct makes one ordinary request as ask does.
func askProduct(p *Process) bool {
	return askUntilAnswered(p, func(int) (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+p.FrontAddr+"/services/desk/look/ordinary", strings.NewReader(strings.Repeat("o", 55_000)))
		if err == nil {
			r.Header.Set("Authorization", "Bearer "+productKey)
		}
		return r, err
	})
}

// runAllProduct lets each crowd loose on an instance of its own with the product's interface.
func runAllProduct(t *testing.T, crowds []crowd) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) { c.runOn(t, startProduct(t), productLimits, askProduct) })
	}
}

// productHead leaves room for the lines that each request has within 64 KiB.
const productHead = 65_000

// TestProductCrowdsOfHeads guards against heads of many short or odd lines, and heads that
// never end, that use up the memory of the process.
func TestProductCrowdsOfHeads(t *testing.T) {
	short, odd := ShortLines(productHead), OddLines(productHead)
	endless := func(lines string) Client {
		return func(conn net.Conn, n int) {
			io.WriteString(conn, ProductHead("/look/", n))
			WriteRepeatedly(conn, lines, 4<<20)
		}
	}
	runAllProduct(t, []crowd{
		{name: "ShortLinesStopShort", size: 400, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductHead("/look/", n)+short)
		}},
		{name: "ShortLinesWhole", size: 400, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductHead("/look/", n)+short+"Content-Length: 10\r\n\r\n")
		}},
		{name: "OddLinesStopShort", size: 400, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductHead("/look/", n)+odd)
		}},
		{name: "EndlessShortLines", size: 200, client: endless(ShortLines(64 << 10))},
		{name: "EndlessLine", size: 200, client: endless(strings.Repeat("x", 64<<10))},
	})
}

// TestProductCrowdsOfBodies guards against bodies of a legal length, whole or piece by piece,
// that use up the memory of the process: most stop short of their end, others are followed by
// more bytes or consist of very many short elements.
func TestProductCrowdsOfBodies(t *testing.T) {
	body := strings.Repeat("b", productLimits.MaxBodyBytes)
	elements := func(start, element, end string) Client {
		request := ChatRequest(start + strings.Repeat(element+",", (1<<20)/(len(element)+1)) + element + end)
		return func(conn net.Conn, _ int) { io.WriteString(conn, request) }
	}
	runAllProduct(t, []crowd{
		{name: "Whole", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductBodyHead("/look/", n, len(body)))
			WriteRepeatedly(conn, body, len(body)-10)
		}},
		{name: "Pieces", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductBodyHead("/look/", n, len(body)))
			const pieces = 10
			for range pieces {
				WriteRepeatedly(conn, body, len(body)/pieces-1)
				time.Sleep(20 * time.Millisecond)
			}
		}},
		{name: "Announced", size: 400, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductBodyHead("/look/", n, len(body))+"b")
		}},
		{name: "Complete", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductBodyHead("/look/", n, len(body)))
			WriteRepeatedly(conn, body, len(body))
		}},
		{name: "MoreThanAnnounced", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductBodyHead("/pending/", n, 10))
			WriteRepeatedly(conn, body, len(body))
		}},
		{name: "ShortMessages", size: 60, client: elements(`{"model":"advice","messages":[`, `{}`, `]}`)},
		{name: "ShortParts", size: 60, client: elements(`{"model":"advice","messages":[{"content":[`, `0`, `]}]}`)},
	})
}

// TestProductCrowdsOfChunks guards against chunked bodies, in large chunks or of one byte each,
// and trailers that use up the memory of the process.
func TestProductCrowdsOfChunks(t *testing.T) {
	large := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("c", 64<<10))
	small := strings.Repeat("1\r\nc\r\n", 10_000)
	runAllProduct(t, []crowd{
		{name: "Large", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductChunkedHead(n))
			WriteRepeatedly(conn, large, 63*len(large)-10)
		}},
		{name: "OneByte", size: 150, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductChunkedHead(n))
			WriteRepeatedly(conn, small, 60*len(small)-5)
		}},
		{name: "Trailers", size: 200, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductChunkedHead(n)+"1\r\nc\r\n0\r\n")
			WriteRepeatedly(conn, ShortLines(productHead), 4<<20)
		}},
	})
}

// TestProductCrowdsOfSlowReaders guards against responses, as a whole or streamed, that wait
// for clients that read one byte a second and use up the memory of the process.
func TestProductCrowdsOfSlowReaders(t *testing.T) {
	slow := func(text func(n int) string) Client {
		return func(conn net.Conn, n int) {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // The client's kernel must not read for it.
			io.WriteString(conn, text(n))
		}
	}
	chat := ChatRequest(`{"model":"advice","stream":true,"messages":[{"role":"user","content":"a"}]}`)
	runAllProduct(t, []crowd{
		{name: "Large", size: 150, slow: true, client: slow(func(n int) string { return ProductBodyHead("/large/", n, 1) + "b" })},
		{name: "Streams", size: 200, slow: true, client: slow(func(int) string { return chat })},
	})
}

// TestProductCrowdsOnOtherListeners guards against the listeners for operators and other
// instances, where clients without a key may connect, using up memory or descriptors.
func TestProductCrowdsOnOtherListeners(t *testing.T) {
	operators, peers := func(p *Process) string { return p.OperatorAddr }, func(p *Process) string { return p.PeerAddr }
	lines := ShortLines(64 << 10)
	frame := func(size uint32) []byte { return binary.BigEndian.AppendUint32(nil, size) }
	runAllProduct(t, []crowd{
		{name: "OperatorHeads", addr: operators, size: 200, client: func(conn net.Conn, _ int) {
			io.WriteString(conn, "GET /status HTTP/1.1\r\nHost: a\r\n")
			WriteRepeatedly(conn, lines, 4<<20)
		}},
		{name: "OperatorBodies", addr: operators, size: 200, client: func(conn net.Conn, _ int) {
			io.WriteString(conn, "POST /config HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n")
			WriteRepeatedly(conn, lines, 4_000_000-10)
		}},
		{name: "PeerFrames", addr: peers, size: 400, client: func(conn net.Conn, n int) {
			sizes := []uint32{4 << 10, 64 << 10, 1<<32 - 1}
			conn.Write(frame(sizes[n%len(sizes)]))
			WriteRepeatedly(conn, `{"Protocol":1,`+strings.Repeat(" ", 4<<10), 4<<10-10)
		}},
		{name: "PeerConnections", addr: peers, size: 700, client: func(net.Conn, int) {}},
		{name: "OperatorConnections", addr: operators, size: 700, client: func(net.Conn, int) {}},
	})
}

// TestProductCrowdsOfConnections guards against connections without a request, or with one
// that has hardly begun, that use up the descriptors of the process.
func TestProductCrowdsOfConnections(t *testing.T) {
	runAllProduct(t, []crowd{
		{name: "Unused", size: 700, client: func(net.Conn, int) {}},
		{name: "Stalled", size: 700, client: func(conn net.Conn, n int) {
			io.WriteString(conn, ProductBodyHead("/look/", n, 10)+"b")
		}},
	})
}

// TestProductSingleRequestsInCalm guards against limits that a single request inside the limits
// of the configuration meets.
func TestProductSingleRequestsInCalm(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	p := startProduct(t)
	body := strings.Repeat("b", productLimits.MaxBodyBytes)
	message := `{"role":"user","content":"` + strings.Repeat("a", 40) + `"},`
	for name, send := range map[string]Client{
		"ShortLines": func(conn net.Conn, n int) {
			io.WriteString(conn, ProductHead("/look/", n)+ShortLines(30_000)+"Content-Length: 0\r\n\r\n")
		},
		"LargestBody":   func(conn net.Conn, n int) { io.WriteString(conn, ProductBodyHead("/look/", n, len(body))+body) },
		"LargeResponse": func(conn net.Conn, n int) { io.WriteString(conn, ProductBodyHead("/large/", n, 0)) },
		"SlowUpload": func(conn net.Conn, n int) {
			io.WriteString(conn, ProductBodyHead("/look/", n, len(body)))
			const pieces = 64 // Divides the length of the body.
			for range pieces {
				WriteRepeatedly(conn, body, len(body)/pieces)
				time.Sleep(50 * time.Millisecond)
			}
		},
		"SmallChunks": func(conn net.Conn, n int) {
			io.WriteString(conn, ProductChunkedHead(n)+strings.Repeat("1\r\nc\r\n", 55_000)+"0\r\n\r\n")
		},
		"LongChat": func(conn net.Conn, _ int) {
			messages := strings.Repeat(message, productLimits.MaxBodyBytes/len(message)-2)
			io.WriteString(conn, ChatRequest(`{"model":"advice","max_tokens":5,"messages":[`+strings.TrimSuffix(messages, ",")+`]}`))
		},
	} {
		t.Run(name, func(t *testing.T) { requireAnswer(t, p.FrontAddr, func(conn net.Conn) { send(conn, len(name)) }) })
	}
}
