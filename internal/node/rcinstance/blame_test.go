package rcinstance

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
)

// crashingPart is the prompt part that crashes engines.
const crashingPart = "dead"

// promptOf returns a prompt with a part that many others have, one that some have, maybe
// the crashing part, and one of its own.
func promptOf(rng *rand.Rand, id string, crashing bool) string {
	text := fmt.Sprintf("a%d:1000,b%d:300", rng.IntN(3), rng.IntN(12))
	if crashing {
		text += "," + crashingPart + ":200"
	}
	return text + fmt.Sprintf(",%x:100", id)
}

// generate sends a request to an instance and returns the status and how long it took.
func (s *deployment) generate(instance int, path, key, prompt, id string) (status int, retryAfter string, took time.Duration) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.clientAddrs[instance]+path, strings.NewReader("body of "+id))
	require.NoError(s.t, err)
	r.Host = "a.example"
	for name, value := range map[string]string{
		"Radishcrank-Attempt-Id": id, "Radishcrank-Deadline-Ms": "3000", "X-Api-Key": key,
		"Radishcrank-Model": "m", "Radishcrank-Prefix-Hash": prompt,
	} {
		r.Header.Set(name, value)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", time.Since(start)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, "", time.Since(start)
	}
	return resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(start)
}

// TestCrashingPartReachesUpstreams guards against a prompt part that crashes one upstream
// after the other in requests of which no two are alike, and against sound requests that
// are refused because they share everything else with those.
func TestCrashingPartReachesUpstreams(t *testing.T) {
	t.Parallel()
	const (
		instances   = 3
		contact     = 3 * time.Second // The platform's ContactMs.
		maxCrashes  = 5
		maxLate     = 3
		runTime     = 14 * time.Second
		soundPeriod = 15 * time.Millisecond
		crashPeriod = 300 * time.Millisecond
		otherPeriod = 75 * time.Millisecond
	)
	var mu sync.Mutex
	var crashes []time.Time
	runs := map[string]bool{}
	s := startDeploymentWith(t, deploymentOptions{instances: instances, crashes: func(r *http.Request) bool {
		if !strings.Contains(r.Header.Get("Radishcrank-Prefix-Hash"), crashingPart) || r.Header.Get("Radishcrank-Tenant") != "t1" {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
		runs[r.Header.Get("Radishcrank-Attempt-Id")] = true
		return true
	}})
	s.awaitPeers()
	start := time.Now()
	var wg sync.WaitGroup
	type sample struct {
		at     time.Duration
		served bool
	}
	var sound, others []sample // Of the same account, and of another one whose part has the same name.
	var late []string
	send := func(n int, key string, crashing bool) {
		rng := rand.New(rand.NewPCG(uint64(n), 28))
		id := fmt.Sprint(key, "-", n)
		path := []string{"/advice/1", "/chat/1"}[rng.IntN(2)]
		at := time.Since(start)
		status, retryAfter, took := s.generate(rng.IntN(instances), path, key, promptOf(rng, id, crashing), id)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case !crashing:
			sound = append(sound, sample{at, status == http.StatusOK})
		case key == "k2":
			others = append(others, sample{at, status == http.StatusOK})
		case at > runTime-contact && !runs[id] && (status < 400 || status >= 500 || retryAfter != "" || took > 200*time.Millisecond):
			late = append(late, fmt.Sprintf("%s: status %d, Retry-After %q after %s", id, status, retryAfter, took))
		}
	}
	for n := 0; time.Since(start) < runTime; n++ {
		wg.Go(func() { send(n, "k1", false) })
		if n%int(crashPeriod/soundPeriod) == 0 && time.Since(start) > time.Second {
			wg.Go(func() { send(1e6+n, "k1", true) })
		}
		if n%int(otherPeriod/soundPeriod) == 0 {
			wg.Go(func() { send(2e6+n, "k2", true) })
		}
		<-time.After(soundPeriod)
	}
	wg.Wait()
	<-time.After(2 * engineRestartTime)
	mu.Lock()
	defer mu.Unlock()
	require.GreaterOrEqual(t, len(crashes), maxCrashes, "the part crashes upstreams")
	fifth := crashes[maxCrashes-1]
	reached := 0
	for _, at := range crashes {
		if at.After(fifth.Add(contact)) {
			reached++
		}
	}
	share := func(samples []sample, from, to time.Duration) float64 {
		all, served := 0, 0
		for _, x := range samples {
			if x.at >= from && x.at < to {
				all++
				if x.served {
					served++
				}
			}
		}
		require.GreaterOrEqual(t, all, 20)
		return float64(served) / float64(all)
	}
	settled := fifth.Add(2 * contact).Sub(start)
	before, after := share(sound, 0, time.Second), share(sound, settled, runTime)
	t.Logf("%d crashes, %d of them later than %s after the fifth; sound requests served: %.2f before, %.2f after; of the other account %.2f",
		len(crashes), reached, contact, before, after, share(others, settled, runTime))
	require.LessOrEqual(t, reached, maxLate)
	require.Greater(t, after, before/2)
	require.Greater(t, share(others, settled, runTime), 0.5, "another account's part was refused")
	require.Empty(t, late, "what is known to crash is refused at once and finally")
}

// TestConvictedPartReachesUpstreamsOfNewInstance guards against a convicted part that an
// instance lets through because it started after the conviction, alone or with all
// others.
func TestConvictedPartReachesUpstreamsOfNewInstance(t *testing.T) {
	t.Parallel()
	s := startDeploymentWith(t, deploymentOptions{instances: 2, crashes: func(r *http.Request) bool {
		return strings.Contains(r.Header.Get("Radishcrank-Prefix-Hash"), crashingPart) && r.Header.Get("Radishcrank-Tenant") == "t1"
	}})
	s.awaitPeers()
	s.instances[0].poisonTracker.Convict(rcpoison.PartKeys(radishcrank.Request{Account: "t1", Model: "m", Parts: []string{crashingPart}}))
	n := 0
	refuses := func(instance int) bool {
		n++
		status, _, _ := s.generate(instance, "/advice/1", "k1", "aa:1000,"+crashingPart+":100,bb:20,1:10", fmt.Sprint("c", n))
		return status == http.StatusBadRequest
	}
	const contact = 3 * time.Second // The platform's ContactMs.
	require.True(t, refuses(0))
	require.Eventually(t, func() bool { return refuses(1) }, contact, 50*time.Millisecond)
	s.start(10 * time.Second)
	require.Eventually(t, func() bool { return refuses(2) }, contact, 50*time.Millisecond)
	for i := range s.stops {
		s.stops[i]()
	}
	for i := range s.stopped {
		<-s.stopped[i]
	}
	s.start(10 * time.Second)
	require.Eventually(t, func() bool { return refuses(3) }, contact, 50*time.Millisecond)
	<-time.After(2 * engineRestartTime)
	status, _, _ := s.generate(3, "/advice/1", "k2", "aa:1000,"+crashingPart+":100,bb:20,1:10", "other")
	require.Equal(t, http.StatusOK, status, "another account's part was refused")
}
