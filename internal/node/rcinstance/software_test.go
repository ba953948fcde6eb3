package rcinstance

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
)

// brokenStream is a stream as its caller has received it over several attempts.
type brokenStream struct {
	first   string // Attempt that brought the first event.
	last    string // ID of the last event.
	text    strings.Builder
	refused int
}

// receive makes one attempt and reads at most a number of events before it closes the
// connection.
func (b *brokenStream) receive(s *deployment, instance int, id string, events int) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.clientAddrs[instance]+"/advice/1", strings.NewReader("body of "+strings.SplitN(id, "-", 2)[0]))
	require.NoError(s.t, err)
	r.Host = "a.example"
	for name, value := range map[string]string{
		"Radishcrank-Attempt-Id": id, "Radishcrank-Deadline-Ms": "3000", "X-Api-Key": "k1",
		"Radishcrank-Model": "m", "Radishcrank-Prefix-Hash": "aa:2500,bb:3000,cc:900",
	} {
		r.Header.Set(name, value)
	}
	if b.last != "" {
		r.Header.Set("Last-Event-Id", b.last)
		r.Header.Set("Resumes", b.first)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.refused++
		if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			<-time.After(time.Duration(after * float64(time.Second)))
		}
		return
	}
	scanner := bufio.NewScanner(resp.Body)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		event += line + "\n"
		if line != "" {
			continue
		}
		if b.last == "" {
			b.first = id
		}
		b.text.WriteString(event)
		_, b.last, _ = strings.Cut(strings.SplitN(event, "\n", 2)[0], "id: ")
		event = ""
		if events--; events == 0 {
			return
		}
	}
}

// TestStreamMixesSoftwareVersions guards against a stream that goes on at an upstream of
// another software version than the one that began it, within an answer or at another
// instance, and against one that does not go on at all.
func TestStreamMixesSoftwareVersions(t *testing.T) {
	t.Parallel()
	const (
		instances   = 3
		streams     = 60
		maxAttempts = 20
	)
	software := func(n int) string { return []string{"v1.1", "v1.2"}[n%2] }
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(25, 0))
	versions := map[string]map[string]bool{} // By stream.
	s := startDeploymentWith(t, deploymentOptions{
		instances: instances, software: software,
		fault: func() rcfakeupstream.Fault {
			mu.Lock()
			defer mu.Unlock()
			return []rcfakeupstream.Fault{rcfakeupstream.None, rcfakeupstream.Truncate}[rng.IntN(10)/8]
		},
		onRun: func(upstream, id string) {
			mu.Lock()
			defer mu.Unlock()
			stream, _, _ := strings.Cut(id, "-")
			if versions[stream] == nil {
				versions[stream] = map[string]bool{}
			}
			versions[stream][software(int(upstream[1]-'0'))] = true
		},
	})
	s.awaitPeers()
	var wg sync.WaitGroup
	mixed, broken, refused, unfinished := 0, 0, 0, 0
	for k := range streams {
		wg.Go(func() {
			<-time.After(time.Duration(k) * 10 * time.Millisecond)
			var b brokenStream
			attempts := 0
			for ; attempts < maxAttempts && b.text.String() != completeStream(8); attempts++ {
				b.receive(s, (k+attempts)%instances, fmt.Sprintf("s%d-%d", k, attempts), 3)
			}
			mu.Lock()
			defer mu.Unlock()
			if b.text.String() != completeStream(8) {
				unfinished++
			}
			if len(versions[fmt.Sprint("s", k)]) > 1 {
				mixed++
			}
			broken += attempts - 1
			refused += b.refused
		})
	}
	wg.Wait()
	require.Zero(t, mixed, "streams of two versions, of %d", streams)
	t.Logf("%d streams were taken up %d times, %d times in vain", streams, broken, refused)
	require.Zero(t, unfinished)
	require.Less(t, refused, broken/2, "streams that could go on were refused")
}
