package rcsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// stopBound is the platform's GraceS, within which a process exits after SIGTERM.
const stopBound = 8 * time.Second

// settingsTemplate is the platform's settings file of one instance. The bounds are
// those of the standard deployments, except that outdated weights may be used for
// weightsBound only, which fits several times into a run.
const settingsTemplate = `
NodeName = "i%d"
Ip = "127.0.0.1"
Zone = "z%d"
PortRange = [%d, %d]
HeartbeatMs = 1200
[Listen]
Front = "127.0.0.1:%d"
Ready = "127.0.0.1:%d"
[Limits]
CpuShare = 0.4
MemoryMb = 284
[Bounds]
DrainMs = 2000
GraceS = 8
VersionMs = 5000
LeaseMs = 3000
RetryBudgetRatio = %.2f
RetryBudgetSlack = 1000
BudgetWindowS = 10
QuotaWindowS = 8
QuotaOver = 0.1
QuotaSlack = 60
[Provider]
Address = "%s"
RowBytes = 65536
`

// zoneCount is the number of availability zones.
const zoneCount = 2

// instance is one router process with its links to the store and from its peers.
type instance struct {
	faultWindow                 // All faults of the instance.
	pauses          faultWindow // Pauses only.
	storeLinkFaults faultWindow // Faults of the link to the store only.
	kills           faultWindow // Kills only, without planned stops.

	number     int
	program    []string
	dir        string
	frontAddr  string
	readyURL   string
	peerPort   int
	storeProxy *proxy
	// upstreamLinks are its links to all upstreams, which are cut during cuts. Nil in large
	// fleets, whose relays pass on what they read.
	upstreamLinks *upstreamLinks
	cuts          faultWindow
	peerProxy     *proxy // For connections from the other instances.
	// reservation holds the ports of this instance; see reservePorts.
	reservation net.Listener

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // Closed when cmd has exited.
	startedAt time.Time
	starts    int // Number of starts.
	stopping  bool
	exits     []string // Unexpected exits.
}

// The ports of instances lie below the system's ephemeral port range. Otherwise an
// outgoing connection could occupy a port while its instance restarts.
const (
	firstPort = 12_000
	lastPort  = 30_000
	// portsPerInstance counts the reservation, the two ports of PortRange and the
	// two listeners.
	portsPerInstance = 5
)

// reservePorts chooses a block of ports for one instance. The listener on the first
// port keeps concurrent soaks from choosing the same block, whose other ports are
// free while the instance restarts.
func reservePorts() (reservation net.Listener, first int, err error) {
	for {
		first := firstPort + portsPerInstance*rand.IntN((lastPort-firstPort)/portsPerInstance)
		reservation, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		return reservation, first, err
	}
}

func newInstance(number int, program []string, dir, store string) (i *instance, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "instance %d", number)
		}
	}()
	reservation, port, err := reservePorts()
	if err != nil {
		return nil, err
	}
	link, err := newProxy(store)
	if err != nil {
		reservation.Close()
		return nil, err
	}
	peers, err := newProxy(fmt.Sprintf("127.0.0.1:%d", port+1))
	if err != nil {
		reservation.Close()
		link.close()
		return nil, err
	}
	i = &instance{
		number: number, program: program, dir: dir, storeProxy: link, peerPort: port + 1, peerProxy: peers, reservation: reservation,
		frontAddr: fmt.Sprintf("127.0.0.1:%d", port+3), readyURL: fmt.Sprintf("http://127.0.0.1:%d/radishcrank/ready", port+4),
	}
	return i, i.writeSettings(0.5)
}

func (i *instance) name() string { return fmt.Sprint("i", i.number) }

func (i *instance) settingsFile() string {
	return filepath.Join(i.dir, fmt.Sprintf("i%d.toml", i.number))
}

func (i *instance) writeSettings(ratio float64) error {
	_, front, err := net.SplitHostPort(i.frontAddr)
	if err != nil {
		return err
	}
	var frontPort, readyPort int
	if _, err := fmt.Sscan(front, &frontPort); err != nil {
		return err
	}
	if _, err := fmt.Sscanf(i.readyURL, "http://127.0.0.1:%d/", &readyPort); err != nil {
		return err
	}
	text := fmt.Sprintf(settingsTemplate, i.number, i.number%zoneCount, i.peerPort, i.peerPort+1, frontPort, readyPort, ratio, i.storeProxy.addr())
	// Renames a complete file into place, since a process that starts meanwhile must
	// not read a partial one.
	next := i.settingsFile() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, i.settingsFile())
}

// start starts the process. Its output is appended to a file beside the settings.
func (i *instance) start() (err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(i.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(i.program[0], i.program[1:]...)
	cmd.Env = append(os.Environ(), "RADISHCRANK_SETTINGS="+i.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	done := make(chan struct{})
	i.cmd, i.done, i.stopping, i.startedAt = cmd, done, false, time.Now()
	i.starts++
	go func() {
		defer close(done)
		defer log.Close()
		err := cmd.Wait()
		i.mu.Lock()
		defer i.mu.Unlock()
		if !i.stopping || err != nil && cmd.ProcessState.ExitCode() >= 0 {
			i.exits = append(i.exits, fmt.Sprintf("i%d exited unexpectedly: %v", i.number, cmd.ProcessState))
		}
	}()
	return nil
}

func (i *instance) logFile() string { return filepath.Join(i.dir, fmt.Sprintf("i%d.log", i.number)) }

// signalHandlerDelay is how long a process may take to install its signal handlers.
// Before that a signal terminates it whatever the program does.
const signalHandlerDelay = 500 * time.Millisecond

// handlesSignals reports whether the process has had time to install its signal
// handlers and has not been told to exit.
func (i *instance) handlesSignals() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.stopping && time.Since(i.startedAt) > signalHandlerDelay
}

// signal sends a signal and returns a channel that is closed when the process has
// exited. terminate tells whether the signal is meant to terminate the process.
func (i *instance) signal(s syscall.Signal, terminate bool) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopping = i.stopping || terminate
	_ = i.cmd.Process.Signal(s) // Fails only if the process has exited, which done reports.
	return i.done
}

func (i *instance) running() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.stopping
}

// lastStart returns when the process was last started.
func (i *instance) lastStart() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.startedAt
}

func (i *instance) startCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.starts
}

func (i *instance) isReady(client *http.Client) bool {
	resp, err := client.Get(i.readyURL)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close kills the process, waits for its exit and releases its links and ports.
func (i *instance) close() {
	<-i.signal(syscall.SIGKILL, true)
	i.storeProxy.close()
	if i.upstreamLinks != nil {
		i.upstreamLinks.close()
	}
	i.peerProxy.close()
	i.reservation.Close()
}
