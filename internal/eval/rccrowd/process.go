// Package rccrowd starts one router instance as a process of its own, with lowered limits,
// and lets crowds of untrusted clients loose on its listeners. It measures what does not
// depend on the machine's speed: that the process lives, how much memory it had at most and
// how many descriptors it had open.
package rccrowd

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
	"github.com/radishcrank/radishcrank/platform"
)

// Limits are the limits of the instance under test.
type Limits struct {
	MemoryMB     int
	MaxFDs       int
	MaxBodyBytes int
}

const settingsTemplate = `
NodeName = "i0"
Ip = "%[1]s"
Zone = "z"
PortRange = [%[2]d, %[3]d]
[Listen]
Front = "%[1]s:%[4]d"
Ready = "%[1]s:%[5]d"
[Limits]
CpuShare = 0.4
MemoryMb = %[6]d
MaxFds = %[7]d
[Provider]
Address = "%[8]s"
`

const configTemplate = `{"Version":1,"Routes":[
 {"Name":"look","Hostname":"a.example","Prefix":"/look/","Kind":"idempotent","Service":"desk","TimeoutMs":10000,"TargetLatencyMs":2000,"MaxAttempts":2},
 {"Name":"large","Hostname":"a.example","Prefix":"/large/","Kind":"idempotent","Service":"desk","TimeoutMs":60000,"TargetLatencyMs":2000,"MaxAttempts":1}],
"Services":[{"Name":"desk"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%d,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t1","ApiKeys":["k1"]}]}`

// LargeResponseBytes is the size of the responses on the route /large/.
const LargeResponseBytes = 2 << 20

// Process is a running instance with a fake store and a fake upstream.
type Process struct {
	FrontAddr, ReadyAddr, PeerAddr, MetricsAddr string
	OperatorAddr                                string // Only of the product's own interface.

	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{} // Closed when the process has ended.
	closers  []func()
	stopPoll chan struct{}
	polled   sync.WaitGroup

	mu       sync.Mutex
	maxFDs   int
	maxQueue int64
}

// Start starts program with limits, keeps its files in dir, and waits until it is ready.
func Start(program, dir string, limits Limits) (p *Process, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "starting an instance")
		}
	}()
	p = &Process{exited: make(chan struct{}), stopPoll: make(chan struct{})}
	store := rcfakestore.New()
	storeServer := httptest.NewServer(store)
	upstream := httptest.NewServer(http.HandlerFunc(serveUpstream))
	p.closers = append(p.closers, upstream.Close, storeServer.Close)
	defer func() {
		if err != nil {
			p.Close()
		}
	}()
	store.PutBytes("op", "config", fmt.Appendf(nil, configTemplate, limits.MaxBodyBytes))
	store.Put("servers", "u0", map[string]any{
		"Service": "desk", "Address": upstream.Listener.Addr().String(), "Zone": "z", "State": "ready", "Slots": 64,
		"born": time.Now().UnixMilli(), "Version": "v1",
	})
	// The port for metrics is fixed, so each instance has an address of its own.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	ports, err := freePorts(ip, 4)
	if err != nil {
		return p, err
	}
	p.PeerAddr, p.FrontAddr = net.JoinHostPort(ip, strconv.Itoa(ports[0])), net.JoinHostPort(ip, strconv.Itoa(ports[1]))
	p.ReadyAddr, p.MetricsAddr = net.JoinHostPort(ip, strconv.Itoa(ports[2])), net.JoinHostPort(ip, strconv.Itoa(platform.MetricsPort))
	settings := filepath.Join(dir, "settings.toml")
	text := fmt.Sprintf(settingsTemplate, ip, ports[0], ports[0]+1, ports[1], ports[2], limits.MemoryMB, limits.MaxFDs, storeServer.Listener.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return p, err
	}
	if p.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return p, err
	}
	p.cmd = exec.Command(program, "platform")
	p.cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+settings)
	if err := p.launch(); err != nil {
		return p, err
	}
	const startAttempts = 1000
	for range startAttempts {
		resp, err := http.Get("http://" + p.ReadyAddr + "/radishcrank/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return p, nil
			}
		}
		if !p.Alive() {
			return p, fmt.Errorf("the process ended: %v", p.cmd.ProcessState)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return p, fmt.Errorf("not ready after %d checks", startAttempts)
}

// launch starts the command of the process and the samples of what it uses.
func (p *Process) launch() error {
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return err
	}
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait() // The state of the process tells how it ended.
	}()
	p.polled.Go(p.poll)
	return nil
}

func freePorts(ip string, n int) (ports []int, err error) {
	for len(ports) < n {
		// Ports that the kernel gives to outgoing connections may be taken by one of another test
		// before the process listens.
		const first, last, maxAttempts = 10_000, 32_000, 100
		var l net.Listener
		for range maxAttempts {
			if l, err = net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(first+rand.IntN(last-first)))); err == nil {
				break
			}
		}
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// serveUpstream is a plain service that reads the whole body of a request.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Radishcrank-Instance-Id", "u0")
	h.Set("Radishcrank-Attempt-Id", r.Header.Get("Radishcrank-Attempt-Id"))
	h.Set("Radishcrank-Response-Seal", "seal")
	if strings.HasPrefix(r.URL.Path, "/large/") {
		w.Write(bytes.Repeat([]byte("x"), LargeResponseBytes)) // A failed write means that the instance has hung up.
		return
	}
	fmt.Fprintf(w, "read %d bytes", size)
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Close ends the process, if it lives, and its fakes.
func (p *Process) Close() {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // Fails only if it has ended.
		<-p.exited
	}
	close(p.stopPoll)
	p.polled.Wait()
	for _, f := range p.closers {
		f()
	}
	if p.log != nil {
		p.log.Close()
	}
}

// pollInterval is short compared with the time for which crowds stay open.
const pollInterval = 50 * time.Millisecond

// poll watches the descriptors of the process and what its sockets hold.
func (p *Process) poll() {
	for {
		select {
		case <-p.stopPoll:
			return
		case <-p.exited:
			return
		case <-time.After(pollInterval):
		}
		p.sample()
	}
}

func (p *Process) sample() (fds int, queue int64) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0 // It has ended.
	}
	fds, queue = len(open), p.socketBytes()
	p.mu.Lock()
	p.maxFDs, p.maxQueue = max(p.maxFDs, fds), max(p.maxQueue, queue)
	p.mu.Unlock()
	return fds, queue
}

// Settle waits until the process has taken in what a crowd has sent: until the number of its
// descriptors and what its sockets hold have not changed in some samples. It gives up after
// maxSettleSamples, since some crowds go on for as long as they may.
func (p *Process) Settle() {
	const (
		wantSame         = 10
		maxSettleSamples = 60
	)
	same := 0
	var lastFDs int
	var lastQueue int64
	for range maxSettleSamples {
		fds, queue := p.sample()
		if same++; fds != lastFDs || queue != lastQueue {
			same = 0
		}
		if same >= wantSame {
			return
		}
		lastFDs, lastQueue = fds, queue
		time.Sleep(pollInterval)
	}
}

// socketBytes returns the number of bytes that the kernel holds for connections to the
// listeners of the process: received and not yet read, or written and not yet sent.
func (p *Process) socketBytes() (bytes int64) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local := map[string]bool{}
	for _, addr := range []string{p.FrontAddr, p.ReadyAddr, p.PeerAddr, p.MetricsAddr, p.OperatorAddr} {
		local[procAddr(addr)] = true
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !local[fields[1]] || fields[3] == procListen {
			continue
		}
		for n := range strings.SplitSeq(fields[4], ":") {
			v, _ := strconv.ParseInt(n, 16, 64) // 0 if unreadable.
			bytes += v
		}
	}
	return bytes
}

// procListen is the state of a listening socket, whose queues count connections.
const procListen = "0A"

// procAddr returns an IPv4 address as /proc/net/tcp has it, on a little-endian machine.
func procAddr(addr string) string {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// Usage is what a process has used at most.
type Usage struct {
	ResidentBytes int64 // Peak of the resident memory, as the kernel counts it.
	SocketBytes   int64 // Largest sample of what its sockets held.
	FDs           int   // Largest sample of open descriptors.
}

// String implements fmt.Stringer.
func (u Usage) String() string {
	return fmt.Sprintf("peak resident memory %d MB, sockets %d MB, descriptors %d", u.ResidentBytes>>20, u.SocketBytes>>20, u.FDs)
}

// Usage returns what the process has used so far.
func (p *Process) Usage() (u Usage, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return u, err
			}
			u.ResidentBytes = kb << 10
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u.SocketBytes, u.FDs = p.maxQueue, p.maxFDs
	return u, nil
}
