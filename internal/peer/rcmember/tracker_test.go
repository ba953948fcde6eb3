package rcmember

import (
	"math"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank/internal/peer/rcfakepeer"
)

// Times that this package promises.
const (
	findWithin  = 25 * time.Second // A dead instance is found by its zone.
	heldAtMost  = 10 * time.Second // A live connected instance is held dead.
	settleAfter = 20 * time.Second // From the start until all know each other.
)

type plan struct {
	zones, perZone int
	seed           uint64
	loss           float64
	kills          []int
	restarts       []int
	frozen         []int
	freezeFor      time.Duration
}

// drawPlan keeps the victims a minority of each zone: more are taken for a partition.
func drawPlan(t *rapid.T) plan {
	p := plan{
		zones:   rapid.IntRange(1, 2).Draw(t, "zones"),
		perZone: rapid.IntRange(5, 9).Draw(t, "perZone"),
		seed:    rapid.Uint64().Draw(t, "seed"),
		loss:    rapid.SampledFrom([]float64{0, 0.05, 0.15}).Draw(t, "loss"),
	}
	victims := rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "victims")[:2]
	for _, v := range victims {
		zone := rapid.IntRange(0, p.zones-1).Draw(t, "zone")
		index := zone*p.perZone + v
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			p.kills = append(p.kills, index)
		case 1:
			p.restarts = append(p.restarts, index)
		case 2:
			p.frozen = append(p.frozen, index)
		}
	}
	p.freezeFor = time.Duration(rapid.IntRange(1, 60).Draw(t, "freeze")) * time.Second
	return p
}

// Guards against dead instances that are never found, live ones that stay
// dead, and lost messages, pauses or restarts that are taken for deaths.
func TestProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = p.run() })
		if fault != "" {
			rt.Fatalf("%+v: %s", p, fault)
		}
	})
}

func (p plan) run() string {
	f := newFleet(p.zones, p.perZone, p.seed)
	defer f.close()
	f.net.SetLinks(func(_, _ *rcfakepeer.Host) rcfakepeer.Link {
		return rcfakepeer.Link{Latency: time.Millisecond, Loss: p.loss}
	})
	time.Sleep(settleAfter)
	if fault := f.faults(false); fault != "" {
		return "before any fault: " + fault
	}
	for _, i := range p.frozen {
		f.processes[i].freeze()
	}
	for _, i := range p.kills {
		f.processes[i].kill()
	}
	for _, i := range p.restarts {
		f.restart(f.processes[i])
	}
	time.Sleep(p.freezeFor)
	for _, i := range p.frozen {
		f.processes[i].thaw()
	}
	time.Sleep(heldAtMost)
	if fault := f.faults(false); fault != "" {
		return "after the pause: " + fault
	}
	if rest := findWithin + relayInterval - heldAtMost - p.freezeFor; rest > 0 {
		time.Sleep(rest)
	}
	time.Sleep(relayInterval)
	for range 30 {
		if fault := f.faults(false); fault != "" {
			return "in calm: " + fault
		}
		time.Sleep(time.Second)
	}
	if p.loss > 0 {
		return "" // With losses an instance may be suspect at any one moment.
	}
	return f.faults(true)
}

// Guards against an instance or a zone that loses its peers and declares all
// of them dead, and against views that stay apart after the partition.
func TestPartitionKillsNobody(t *testing.T) {
	for _, tt := range []struct {
		name           string
		zones, perZone int
		cut            func(h *rcfakepeer.Host) bool
	}{
		{"one instance of nine", 1, 9, func(h *rcfakepeer.Host) bool { return h.Addr.Addr().As4()[3] == 1 }},
		{"half of a zone", 1, 8, func(h *rcfakepeer.Host) bool { return h.Addr.Addr().As4()[3] <= 4 }},
		{"a zone", 3, 5, func(h *rcfakepeer.Host) bool { return h.Addr.Addr().As4()[1] == 0 }},
		{"a small zone", 3, 2, func(h *rcfakepeer.Host) bool { return h.Addr.Addr().As4()[1] == 0 }},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(tt.zones, tt.perZone, 1)
			defer f.close()
			time.Sleep(settleAfter)
			f.net.SetLinks(func(from, to *rcfakepeer.Host) rcfakepeer.Link {
				return rcfakepeer.Link{Latency: time.Millisecond, Down: tt.cut(from) != tt.cut(to)}
			})
			time.Sleep(time.Minute)
			for _, p := range f.processes {
				for _, other := range f.processes {
					// Only the larger side may take the single instance for dead.
					if tt.name != "one instance of nine" || tt.cut(p.host) {
						require.False(t, p.IsDead(other.self.ID, startOfTime), "%s: %s holds %s dead", tt.name, p.self.ID, other.self.ID)
					}
				}
			}
			f.net.SetLinks(func(_, _ *rcfakepeer.Host) rcfakepeer.Link { return rcfakepeer.Link{Latency: time.Millisecond} })
			time.Sleep(heldAtMost)
			require.Empty(t, f.faults(true), tt.name)
		})
	}
}

// Guards against deaths in zones of two that nobody dares to declare: the
// deployments of today have zones of two or three instances.
func TestSmallZonesFindTheDead(t *testing.T) {
	for _, perZone := range []int{2, 3} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(3, perZone, 1)
			defer f.close()
			time.Sleep(settleAfter)
			f.processes[0].kill()
			time.Sleep(findWithin)
			require.True(t, f.processes[1].IsDead(f.processes[0].self.ID, startOfTime))
			time.Sleep(2 * relayInterval)
			require.Empty(t, f.faults(true))
		})
	}
}

// Guards against fleets with one instance in a zone that take its silence for
// its death: the zone may as well be cut off. The platform's list decides.
func TestZonesOfOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, 1, 1)
		defer f.close()
		time.Sleep(settleAfter)
		require.Empty(t, f.faults(true))
		f.processes[0].kill()
		time.Sleep(time.Minute)
		require.False(t, f.processes[1].IsDead(f.processes[0].self.ID, startOfTime))
		f.mu.Lock()
		f.list = f.list[1:]
		f.mu.Unlock()
		time.Sleep(2 * listInterval)
		require.Empty(t, f.faults(true))
	})
}

// Guards against a list that revives the dead, hides the new or never lets go.
func TestMergeLaggingList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 6, 1)
		defer f.close()
		time.Sleep(settleAfter)
		victim, observer := f.processes[0], f.processes[1]
		victim.kill()
		time.Sleep(findWithin + listInterval)
		require.True(t, observer.IsDead(victim.self.ID, startOfTime), "the list still names it")
		joined := victim.self
		joined.ID, joined.Peer = "new", f.list[0].Peer
		f.start(joined)
		time.Sleep(findWithin)
		require.Empty(t, f.faults(true), "the list does not name the new one yet")
		// A whole zone that dies at once is not declared dead before the list drops it.
		for _, p := range f.processes[2:] {
			p.kill()
		}
		time.Sleep(findWithin)
		require.False(t, observer.IsDead(f.processes[2].self.ID, startOfTime))
		f.mu.Lock()
		f.list = f.list[1:2]
		f.mu.Unlock()
		time.Sleep(2 * listInterval)
		require.True(t, observer.IsDead(f.processes[2].self.ID, startOfTime))
		// A process that nobody has heard of.
		require.False(t, observer.IsDead("long gone", 1))
		time.Sleep(unknownDeadAfter + 2*listInterval)
		require.True(t, observer.IsDead("long gone", 1))
		require.False(t, observer.IsDead(observer.self.ID, startOfTime))
		require.True(t, observer.IsDead(observer.self.ID, startOfTime-1))
	})
}

// Guards against control traffic that outgrows 3 KB/s for each instance. Half
// of it is left to the other parts of control.
func TestBoundTraffic(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("set RADISHCRANK_BOUNDS=1 to check bounds")
	}
	const boundBytesPerSecond = 3000 / 2
	const boundCPU = 28 * time.Millisecond / 2
	for _, size := range []struct{ zones, perZone int }{{4, 2}, {11, 34}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(size.zones, size.perZone, 1)
			defer f.close()
			time.Sleep(settleAfter)
			begin, cpu := f.traffic(), cpuTime(t)
			const span = 60 * time.Second
			time.Sleep(span)
			cpu = (cpuTime(t) - cpu) / time.Duration(len(f.processes)) / time.Duration(span.Seconds())
			total, most := 0, 0
			for i, sent := range f.traffic() {
				total += sent - begin[i]
				most = max(most, sent-begin[i])
			}
			mean := total / len(f.processes) / int(span.Seconds())
			most /= int(span.Seconds())
			suspects := f.countSuspects()
			t.Logf("%d instances: %d bytes/s sent by each in the mean, %d by the busiest; %v CPU/s with the stand-in's work; %d of %d pairs suspect",
				len(f.processes), mean, most, cpu, suspects, size.zones*size.perZone*(size.perZone-1))
			require.Less(t, mean, boundBytesPerSecond)
			require.Less(t, most, 2*boundBytesPerSecond)
			require.Less(t, cpu, boundCPU)
			require.Empty(t, f.faults(false))
			if size.perZone < 10 {
				return
			}
			// The loss of a rack: a third of a zone at once.
			for _, p := range f.processes[:size.perZone/3] {
				p.kill()
			}
			begun := time.Now()
			own, all := time.Duration(0), time.Duration(0)
			for time.Since(begun) < findWithin+4*relayInterval && all == 0 {
				time.Sleep(time.Second)
				if own == 0 && f.unaware(f.processes[:size.perZone]) == 0 {
					own = time.Since(begun)
				}
				if f.unaware(f.processes) == 0 {
					all = time.Since(begun)
				}
			}
			t.Logf("%d instances of a zone lost at once: its other instances know after %v, all zones after %v; %d pairs do not know",
				size.perZone/3, own, all, f.unaware(f.processes))
			require.Empty(t, f.faults(false))
			require.NotZero(t, own)
			require.LessOrEqual(t, own, findWithin)
			require.NotZero(t, all)
		})
	}
}

// unaware counts the pairs of a live observer and a dead process that it has not found.
func (f *fleet) unaware(observers []*process) int {
	n := 0
	for _, p := range observers {
		for _, other := range f.processes {
			if p.alive && !other.alive && !p.IsDead(other.self.ID, other.self.Incarnation) {
				n++
			}
		}
	}
	return n
}

// cpuTime returns the processor time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (f *fleet) traffic() []int {
	var sent []int
	for _, p := range f.processes {
		sent = append(sent, p.host.Traffic().SentBytes)
	}
	return sent
}

func (f *fleet) countSuspects() int {
	n := 0
	for _, p := range f.processes {
		for _, v := range p.Views() {
			if v.Status == StatusSuspect {
				n++
			}
		}
	}
	return n
}

// TestNewsMissNobody guards against verdicts that some instance of another zone
// does not hear: a rack of 11 instances is lost in a fleet of 11 zones of 34, and
// each of the 34 instances of a zone passes each verdict on to newsSends of 33.
func TestNewsMissNobody(t *testing.T) {
	const zones, perZone, lost = 11, 34, 11
	missed := math.Exp(-newsSends * float64(perZone) / (perZone - 1))
	pairs := float64((zones - 1) * perZone * lost)
	require.Less(t, pairs*missed, 0.001, "pairs that do not know, in one loss of a rack")
	// All sends must fit into the time in which news is passed on.
	require.Less(t, time.Duration(lost*newsSends/(heartbeatPeers*maxNews))*heartbeatInterval, newsDuration)
}
