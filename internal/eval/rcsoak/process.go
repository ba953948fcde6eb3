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

// stopBound is the platform's GraceS: a process that was told to stop has ended by then.
const stopBound = 8 * time.Second

// settingsText is the platform's settings file of one instance. The bounds are
// those of the standard deployments, except that older weights may be used for
// weightsBound, which fits several times into a run.
const settingsText = `
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
[Provider]
Address = "%s"
RowBytes = 65536
`

// zones is the number of availability zones.
const zones = 2

// instance is one router process and its link to the store.
type instance struct {
	faultTime           // Of the faults that concern it.
	paused    faultTime // Of pauses among them.
	cut       faultTime // Of cuts of its link to the store among them.

	number  int
	program []string
	dir     string
	front   string
	ready   string
	peer    int
	store   *proxy
	peers   *proxy // From the other instances.
	// reservation keeps the ports for this instance.
	reservation net.Listener

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // Closed when cmd has ended.
	startedAt time.Time
	started   int // Number of starts.
	stopping  bool
	exits     []string // Ends that nobody asked for.
}

// Ports of instances lie below the range from which the system takes ports for
// outgoing connections: one of these could hold a port while its instance restarts.
const (
	firstPort = 12_000
	lastPort  = 30_000
	// portsEach is the ports of an instance: the reservation, the two of PortRange
	// and two listeners.
	portsEach = 5
)

// reservePorts finds ports for one instance. The listener on the first one keeps
// other soaks away from the rest, which are free while the instance restarts.
func reservePorts() (reservation net.Listener, first int, err error) {
	for {
		first := firstPort + portsEach*rand.IntN((lastPort-firstPort)/portsEach)
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
		number: number, program: program, dir: dir, store: link, peer: port + 1, peers: peers, reservation: reservation,
		front: fmt.Sprintf("127.0.0.1:%d", port+3), ready: fmt.Sprintf("http://127.0.0.1:%d/radishcrank/ready", port+4),
	}
	return i, i.writeSettings(0.5)
}

func (i *instance) name() string { return fmt.Sprint("i", i.number) }

func (i *instance) settings() string { return filepath.Join(i.dir, fmt.Sprintf("i%d.toml", i.number)) }

func (i *instance) writeSettings(ratio float64) error {
	_, front, err := net.SplitHostPort(i.front)
	if err != nil {
		return err
	}
	var frontPort, readyPort int
	if _, err := fmt.Sscan(front, &frontPort); err != nil {
		return err
	}
	if _, err := fmt.Sscanf(i.ready, "http://127.0.0.1:%d/", &readyPort); err != nil {
		return err
	}
	text := fmt.Sprintf(settingsText, i.number, i.number%zones, i.peer, i.peer+1, frontPort, readyPort, ratio, i.store.addr())
	// A process that starts meanwhile must not read half a file.
	next := i.settings() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, i.settings())
}

// start starts the process. Its log goes to a file beside the settings.
func (i *instance) start() (err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(i.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(i.program[0], i.program[1:]...)
	cmd.Env = append(os.Environ(), "RADISHCRANK_SETTINGS="+i.settings())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	done := make(chan struct{})
	i.cmd, i.done, i.stopping, i.startedAt = cmd, done, false, time.Now()
	i.started++
	go func() {
		defer close(done)
		defer log.Close()
		err := cmd.Wait()
		i.mu.Lock()
		defer i.mu.Unlock()
		if !i.stopping || err != nil && cmd.ProcessState.ExitCode() >= 0 {
			i.exits = append(i.exits, fmt.Sprintf("i%d ended by itself: %v", i.number, cmd.ProcessState))
		}
	}()
	return nil
}

func (i *instance) logFile() string { return filepath.Join(i.dir, fmt.Sprintf("i%d.log", i.number)) }

// handlersTime is how long a process may take until it handles signals. Before
// that a signal ends it whatever the program does.
const handlersTime = 500 * time.Millisecond

// handlesSignals reports whether the process runs for long enough to handle signals.
func (i *instance) handlesSignals() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.stopping && time.Since(i.startedAt) > handlersTime
}

// signal sends a signal and returns a channel that is closed when the process has ended.
func (i *instance) signal(s syscall.Signal, ends bool) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopping = i.stopping || ends
	_ = i.cmd.Process.Signal(s) // One that has ended is noticed by done.
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

func (i *instance) lifetime() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.started
}

func (i *instance) isReady(client *http.Client) bool {
	resp, err := client.Get(i.ready)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end kills the process and waits for it.
func (i *instance) end() {
	<-i.signal(syscall.SIGKILL, true)
	i.store.close()
	i.peers.close()
	i.reservation.Close()
}
