package rcinstance

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// brittleServers are the plain services of a deployment, which have room for few requests
// and fall over if they have to turn away too many in a second.
type brittleServers struct {
	mu       sync.Mutex
	admitted map[string][]time.Time
	refused  map[string][]time.Time
	falls    int
	answered int
}

const (
	brittleRoom     = 3                     // Requests that a server runs at once.
	brittleRunTime  = 30 * time.Millisecond // How long each of them takes.
	brittleRefusals = 4                     // Requests that a server may turn away in a second.
)

// admit reports whether a server has room, and lets it fall if it has turned away too many.
func (b *brittleServers) admit(upstream, _ string) (pause time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	since := func(times []time.Time, d time.Duration) []time.Time {
		return slices.DeleteFunc(times, func(t time.Time) bool { return now.Sub(t) >= d })
	}
	b.admitted[upstream] = since(b.admitted[upstream], brittleRunTime)
	if len(b.admitted[upstream]) < brittleRoom {
		b.admitted[upstream] = append(b.admitted[upstream], now)
		return 0, true
	}
	if b.refused[upstream] = append(since(b.refused[upstream], time.Second), now); len(b.refused[upstream]) > brittleRefusals {
		b.falls++
		b.refused[upstream] = nil
	}
	return 0, false
}

// TestBrittleUpstreamsFall guards against upstreams that say that they are brittle and fall
// over, because instances together send more than they have room for.
func TestBrittleUpstreamsFall(t *testing.T) {
	for _, instances := range []int{3, 12, 24} {
		t.Run(fmt.Sprint(instances, "Instances"), func(t *testing.T) { testBrittleUpstreams(t, instances) })
	}
}

func testBrittleUpstreams(t *testing.T, instances int) {
	const (
		learned  = time.Second
		length   = 4 * time.Second
		maxFalls = 2
	)
	b := &brittleServers{admitted: map[string][]time.Time{}, refused: map[string][]time.Time{}}
	s := startDeploymentWith(t, deploymentOptions{instances: instances, slots: brittleRoom, serviceDelay: brittleRunTime, admit: func(upstream, id string) (time.Duration, bool) {
		if upstream < fmt.Sprint("u", engineCount) {
			return 0, true
		}
		return b.admit(upstream, id)
	}})
	s.awaitPeers()
	for _, u := range s.services {
		u.SetBrittle(brittleRefusals)
	}
	send := func(d time.Duration) {
		var wg sync.WaitGroup
		start := time.Now()
		for i := range instances {
			for c := range max(3, 24/instances) {
				wg.Go(func() {
					for k := 0; time.Since(start) < d; k++ {
						id := fmt.Sprintf("brittle-%d-%d-%d-%d", i, c, start.UnixNano(), k)
						if status, _, _ := s.call(i, http.MethodPost, "/book/1", id); status == http.StatusOK {
							b.mu.Lock()
							b.answered++
							b.mu.Unlock()
						}
						<-time.After(10 * time.Millisecond)
					}
				})
			}
		}
		wg.Wait()
	}
	send(learned)
	b.mu.Lock()
	b.falls, b.answered = 0, 0
	b.mu.Unlock()
	send(length)
	capacity := float64(serviceCount*brittleRoom) * length.Seconds() / brittleRunTime.Seconds()
	t.Logf("%d falls, %d of at most %.0f requests answered", b.falls, b.answered, capacity)
	require.LessOrEqual(t, b.falls, maxFalls)
	require.Greater(t, float64(b.answered), capacity/3, "brittle upstreams are left idle")
}
