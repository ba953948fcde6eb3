package rcinstance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/upstream/rcconn"
)

// cutMode is what happens to the connections between an instance and all upstreams.
type cutMode int

const (
	notCut       cutMode = iota
	cutReset             // Open connections are reset, new ones refused.
	cutSilent            // All connections hang until they time out.
	cutNewOnly           // Open connections live on, new ones are refused.
	timeoutOfCut = 700 * time.Millisecond
)

// cuttableLinks are the links of one instance to the upstreams.
type cuttableLinks struct {
	mu    sync.Mutex
	mode  cutMode
	conns map[net.Conn]bool
}

func (l *cuttableLinks) set(m cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	for c := range l.conns {
		switch m {
		case cutReset:
			c.Close()
			delete(l.conns, c)
		case cutSilent:
			time.AfterFunc(timeoutOfCut, func() { c.Close() })
			delete(l.conns, c)
		}
	}
}

func (l *cuttableLinks) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	switch mode {
	case cutReset, cutNewOnly:
		return nil, syscall.ECONNREFUSED
	case cutSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := new(net.Dialer).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// cutSettleTime is shorter than the time that the platform gives instances to notice a cut.
const cutSettleTime = 1500 * time.Millisecond

// cutDeployment starts instances whose links to the upstreams can be cut.
func cutDeployment(t *testing.T, instances int) (s *deployment, links []*cuttableLinks) {
	return cutDeploymentWith(t, deploymentOptions{instances: instances})
}

func cutDeploymentWith(t *testing.T, o deploymentOptions) (s *deployment, links []*cuttableLinks) {
	for range o.instances {
		links = append(links, &cuttableLinks{conns: map[net.Conn]bool{}})
	}
	o.prepare = func(n int, i *Instance) { i.pool = rcconn.New(rcconn.Config{Dial: links[n].dial}) }
	s = startDeploymentWith(t, o)
	s.awaitPeers()
	return s, links
}

// served sends requests of all kinds to an instance and returns how many of them are served
// at the first attempt, and the longest time until one was refused. It checks that answers
// are whole and that refused bookings have not run.
func (s *deployment) served(instance, each int, prefix string) (served, sent int, slowest time.Duration) {
	return s.servedEvery(15*time.Millisecond, instance, each, prefix)
}

func (s *deployment) servedEvery(interval time.Duration, instance, each int, prefix string) (served, sent int, slowest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, path := range []string{"/book/1", "/look/1", "/advice/1"} {
		for k := range each {
			id := fmt.Sprintf("%s-%d-%s-%d", prefix, instance, path[1:5], k)
			wg.Go(func() {
				<-time.After(time.Duration(k) * interval)
				start := time.Now()
				status, body, signed := s.call(instance, http.MethodPost, path, id)
				took, runs := time.Since(start), s.runCounter.Runs(id)
				want := "done " + id
				if path == "/advice/1" {
					want = completeStream(8)
				}
				mu.Lock()
				defer mu.Unlock()
				sent++
				if status == http.StatusOK {
					if served++; !signed || body != want {
						s.t.Errorf("%s: signed %v, body %q", id, signed, body)
					}
				} else {
					slowest = max(slowest, took)
					s.t.Logf("%s: status %d after %s, %d runs: %.80s", id, status, took, runs, body)
				}
				if path == "/book/1" && (runs > 1 || runs > 0 && status == http.StatusServiceUnavailable) {
					s.t.Errorf("%s ran %d times and got %d", id, runs, status)
				}
			})
		}
	}
	wg.Wait()
	return served, sent, slowest
}

// TestCallersOfCutOffInstances guards against requests that fail because their instance is
// cut off from all upstreams, although other instances reach them.
func TestCallersOfCutOffInstances(t *testing.T) {
	for name, mode := range map[string]cutMode{"Reset": cutReset, "Silent": cutSilent, "NewOnly": cutNewOnly} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, links := cutDeployment(t, 3)
			for i := range s.instances {
				served, sent, _ := s.served(i, 10, "before")
				require.Equal(t, sent, served)
			}
			links[0].set(mode)
			links[1].set(mode)
			s.served(0, 20, "cut")
			s.served(1, 20, "cut")
			<-time.After(cutSettleTime)
			for i := range s.instances {
				served, sent, _ := s.served(i, 60, "during")
				require.GreaterOrEqual(t, served, sent*49/50, "at instance %d", i)
			}
			links[0].set(notCut)
			links[1].set(notCut)
			<-time.After(cutSettleTime)
			for i := range s.instances {
				served, sent, _ := s.served(i, 10, "after")
				require.Equal(t, sent, served, "at instance %d", i)
			}
		})
	}
}

// TestCallersOfCutOffZone guards against requests that fail because all instances of their
// availability zone are cut off from all upstreams, although those of other zones reach
// them. Each instance gets too few requests to try all upstreams during the cut.
func TestCallersOfCutOffZone(t *testing.T) {
	const (
		instances, cut = 18, 9 // Two zones.
		each           = 8     // Requests of a kind to an instance in each part.
		interval       = 150 * time.Millisecond
	)
	for name, mode := range map[string]cutMode{"Reset": cutReset, "Silent": cutSilent, "NewOnly": cutNewOnly} {
		t.Run(name, func(t *testing.T) {
			s, links := cutDeploymentWith(t, deploymentOptions{instances: instances, engines: 40, zone: func(n int) string { return fmt.Sprint("z", n/cut) }})
			servedByAll := func(instances int, part string) (served, sent int) {
				var mu sync.Mutex
				var wg sync.WaitGroup
				for i := range instances {
					wg.Go(func() {
						n, of, _ := s.servedEvery(interval, i, each, part)
						mu.Lock()
						defer mu.Unlock()
						served, sent = served+n, sent+of
					})
				}
				wg.Wait()
				return served, sent
			}
			served, sent := servedByAll(instances, "before")
			require.Equal(t, sent, served)
			for _, l := range links[:cut] {
				l.set(mode)
			}
			servedByAll(cut, "cut")
			<-time.After(cutSettleTime)
			served, sent = servedByAll(cut, "during")
			t.Logf("%d of %d requests served", served, sent)
			require.GreaterOrEqual(t, served, sent*49/50)
			if mode != cutNewOnly {
				require.Positive(t, s.instances[0].metrics.Value(rcmetric.LinkCuts))
			}
			for _, l := range links[:cut] {
				l.set(notCut)
			}
			<-time.After(cutSettleTime)
			served, sent = servedByAll(cut, "after")
			require.Equal(t, sent, served)
		})
	}
}

// TestAllInstancesCutOff guards against requests that wait, or are passed on from instance
// to instance, while no instance reaches an upstream.
func TestAllInstancesCutOff(t *testing.T) {
	t.Parallel()
	s, links := cutDeployment(t, 3)
	for i := range links {
		links[i].set(cutReset)
	}
	s.served(0, 20, "cut")
	<-time.After(cutSettleTime)
	for i := range s.instances {
		served, _, slowest := s.served(i, 20, "during")
		require.Zero(t, served)
		require.Less(t, slowest, 300*time.Millisecond)
	}
	for i := range links {
		links[i].set(notCut)
	}
	require.Eventually(t, func() bool {
		served, sent, _ := s.served(0, 3, fmt.Sprint("after", time.Now().UnixNano()))
		return served == sent
	}, 8*time.Second, 50*time.Millisecond)
}
