package rceval

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
)

// jobCallbacks counts the callbacks of a job.
type jobCallbacks struct{ first, done, failed int }

// Guards against an engine model that loses or repeats the end of a request,
// exceeds its batch size or its cache capacity, or miscounts the engines that
// hold a block. Each of these would distort the results of the evaluation.
func TestEngineModelInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := Riga()
		d.Engine.CacheBlocks = rapid.IntRange(1, 40).Draw(rt, "cache")
		d.Engine.MaxBatch = rapid.IntRange(1, 4).Draw(rt, "batch")
		trace := NewTrace(d, TraceConfig{Rate: 8, Duration: time.Second, Seed: rapid.Uint64().Draw(rt, "seed")})
		crashes := rapid.SliceOfN(rapid.IntRange(0, 3000), 0, 3).Draw(rt, "crashes")
		synctest.Test(t, func(t *testing.T) {
			l, holders, s := &eventLoop{}, make(blockCounts), newStats(trace)
			e := newEngine(0, d, l, holders, s, 1)
			ends := make([]jobCallbacks, len(trace.Requests))
			start := time.Now()
			for i := range trace.Requests {
				j := &job{request: &trace.Requests[i], deadline: start.Add(20 * time.Second)}
				j.onFirstToken = func() { ends[i].first++ }
				j.onDone = func(u radishcrank.Usage) {
					ends[i].done++
					require.Equal(t, 1, ends[i].first)
					require.Less(t, u.CachedTokens, u.PromptTokens)
				}
				j.onFail = func(error) { ends[i].failed++ }
				l.at(start.Add(trace.Requests[i].At), func() { e.submit(j) })
			}
			for _, ms := range crashes {
				l.at(start.Add(time.Duration(ms)*time.Millisecond), func() {
					if e.up {
						e.crash()
					}
				})
			}
			l.every(70*time.Millisecond, start.Add(10*time.Second), func() { checkEngine(t, e, holders) })
			l.run()
			for i, n := range ends {
				require.Equal(t, 1, n.done+n.failed, "request %d", i)
			}
			require.Empty(t, e.pending)
			require.Zero(t, e.queuedEstimate)
		})
	})
}

func checkEngine(t *testing.T, e *engine, holders blockCounts) {
	t.Helper()
	require.LessOrEqual(t, len(e.running), e.params.MaxBatch)
	require.Len(t, e.runOrder, len(e.running))
	require.LessOrEqual(t, len(e.cache.entries), e.params.CacheBlocks)
	require.Equal(t, e.cache.order.Len(), len(e.cache.entries))
	require.Len(t, holders, len(e.cache.entries))
}

// Guards against reports and events that are readable before their delay has
// passed, and against lost events that leave no gap visible to readers.
func TestReportsAndEventsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := Riga()
		d.Engine.EventLossRatio = 0.5
		trace := NewTrace(d, TraceConfig{Rate: 20, Duration: 2 * time.Second, Seed: testSeed})
		l := &eventLoop{}
		e := newEngine(0, d, l, make(blockCounts), newStats(trace), 1)
		e.takeReport()
		start := time.Now()
		for i := range trace.Requests {
			j := &job{request: &trace.Requests[i], deadline: start.Add(time.Hour)}
			j.onFirstToken, j.onDone, j.onFail = func() {}, func(radishcrank.Usage) {}, func(error) {}
			l.at(start.Add(trace.Requests[i].At), func() { e.submit(j) })
		}
		events, from := 0, uint64(1)
		end := start.Add(30 * time.Second)
		l.every(d.Engine.ReportInterval, end, e.takeReport)
		l.every(50*time.Millisecond, end, func() {
			r, ok := e.readableReport()
			require.True(t, ok)
			if age := time.Since(r.ReportedAt); time.Since(start) > d.Engine.ReportDelay {
				require.GreaterOrEqual(t, age, d.Engine.ReportDelay)
				require.LessOrEqual(t, age, d.Engine.ReportDelay+d.Engine.ReportInterval)
			}
			for _, event := range e.readableEvents(from).Events {
				require.GreaterOrEqual(t, event.Seq, from)
				i := slices.IndexFunc(e.events, func(timed timedEvent) bool { return timed.event.Seq == event.Seq })
				require.GreaterOrEqual(t, time.Since(e.events[i].at), d.Engine.EventDelay)
				from = event.Seq + 1
				events++
			}
		})
		l.run()
		require.Positive(t, events)
		require.Less(t, events, int(e.nextSeq)-1, "no event was lost")
	})
}
