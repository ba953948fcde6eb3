package rclease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
)

// connection is one process's connection to the table. Disconnecting or killing it can
// also fall between a call's effect and its answer.
type connection struct {
	radishcrank.TableService
	mu           sync.Mutex
	disconnected bool
	killed       bool
}

func (conn *connection) available() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return !conn.disconnected && !conn.killed
}

func (conn *connection) update(change func(conn *connection)) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	change(conn)
}

func (conn *connection) Commit(ctx context.Context, tx radishcrank.Transaction) error {
	if !conn.available() {
		return radishcrank.ErrUnavailable
	}
	err := conn.TableService.Commit(ctx, tx)
	if !conn.available() {
		return radishcrank.ErrUnknownOutcome
	}
	return err
}

func (conn *connection) Get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	if !conn.available() {
		return nil, radishcrank.ErrUnavailable
	}
	return conn.TableService.Get(ctx, keys...)
}

// actionLog holds the latest action of any process, and the first violation found.
type actionLog struct {
	mu      sync.Mutex
	process string
	fence   uint64
	at      time.Time
	problem string
}

func (a *actionLog) record(process string, fence uint64, minGap time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch {
	case a.problem != "" || a.process == "":
	case fence < a.fence, fence == a.fence && process != a.process:
		a.problem = fmt.Sprintf("%s acts with fencing number %d after %s with %d", process, fence, a.process, a.fence)
	case process != a.process && now.Sub(a.at) < minGap:
		a.problem = fmt.Sprintf("%s acts %s after %s", process, now.Sub(a.at), a.process)
	}
	a.process, a.fence, a.at = process, fence, now
}

// candidate is one machine, whose process may be killed and restarted.
type candidate struct {
	name       string
	conn       *connection
	stop       context.CancelFunc
	term       *Term // Set while it holds the lease.
	report     HolderReport
	reportedAt time.Time
}

// TestHandoverGapUnderFaults guards against actions of two holders that are too close
// together, and against fencing numbers that decrease or repeat, while instances
// receive reports of the holder and are killed, stopped, restarted and disconnected
// from the table.
func TestHandoverGapUnderFaults(t *testing.T) {
	const (
		duration, margin, minGap     = 4 * time.Second, 800 * time.Millisecond, 3 * time.Second
		reportInterval, reportMaxAge = 100 * time.Millisecond, 1600 * time.Millisecond
	)
	rapid.Check(t, func(rt *rapid.T) {
		type event struct {
			At, Instance, Length int
			Kind                 string
		}
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				At: rapid.IntRange(0, 300).Draw(rt, "At"), Instance: rapid.IntRange(0, 2).Draw(rt, "Instance"),
				Length: rapid.IntRange(1, 60).Draw(rt, "Length"),
				Kind:   rapid.SampledFrom([]string{"kill", "stop", "cut", "lose", "drop", "slow"}).Draw(rt, "Kind"),
			}
		}), 0, 16).Draw(rt, "Events")
		var actions actionLog
		synctest.Test(t, func(t *testing.T) {
			table := rcfaketable.New()
			var candidates []*candidate
			var mu sync.Mutex
			start := func(c *candidate) {
				var ctx context.Context
				ctx, c.stop = context.WithCancel(context.Background())
				conn := &connection{TableService: table}
				mu.Lock()
				c.conn, c.report, c.reportedAt = conn, HolderReport{}, time.Time{}
				mu.Unlock()
				go New(Config{
					Table: conn, Name: "orders", Instance: radishcrank.InstanceID(c.name), Process: c.name,
					Duration: duration, Margin: margin, MinHandoverGap: minGap,
					HolderReport: func() (HolderReport, bool) {
						mu.Lock()
						defer mu.Unlock()
						return c.report, time.Since(c.reportedAt) < reportMaxAge
					},
					Lead: func(ctx context.Context, term *Term) error {
						mu.Lock()
						c.term = term
						mu.Unlock()
						for ctx.Err() == nil && term.Valid() {
							actions.record(c.name, term.Fence, minGap)
							time.Sleep(10 * time.Millisecond)
						}
						mu.Lock()
						c.term = nil
						mu.Unlock()
						return ctx.Err()
					},
				}).Run(ctx)
			}
			for i := range 3 {
				candidates = append(candidates, &candidate{name: fmt.Sprint("i", i)})
				start(candidates[i])
			}
			recoveries := map[int][]func(){}
			for tick := range 400 {
				for _, f := range recoveries[tick] {
					f()
				}
				for _, e := range events {
					if e.At != tick {
						continue
					}
					c := candidates[e.Instance]
					end := tick + e.Length
					switch e.Kind {
					case "kill":
						c.conn.update(func(conn *connection) { conn.killed = true })
						c.stop()
						recoveries[end] = append(recoveries[end], func() { c.stop(); start(c) })
					case "stop":
						c.stop()
						recoveries[end] = append(recoveries[end], func() { c.stop(); start(c) })
					case "cut":
						conn := c.conn
						conn.update(func(conn *connection) { conn.disconnected = true })
						recoveries[end] = append(recoveries[end], func() { conn.update(func(conn *connection) { conn.disconnected = false }) })
					case "lose":
						table.SetFaults(rcfaketable.Faults{LoseResponses: 1 + e.Length/20})
					case "drop":
						table.SetFaults(rcfaketable.Faults{DropCommits: 1 + e.Length/20})
					case "slow":
						table.SetFaults(rcfaketable.Faults{Delay: time.Duration(e.Length) * 10 * time.Millisecond})
						recoveries[end] = append(recoveries[end], func() { table.SetFaults(rcfaketable.Faults{}) })
					}
				}
				time.Sleep(reportInterval)
				mu.Lock()
				for _, c := range candidates {
					for _, o := range candidates {
						if c.term == nil || o == c {
							continue
						}
						o.reportedAt = time.Now()
						if v := c.term.Version(); v > o.report.Version {
							o.report = HolderReport{Version: v, ReceivedAt: o.reportedAt}
						}
					}
				}
				mu.Unlock()
			}
			for _, c := range candidates {
				c.stop()
			}
			time.Sleep(time.Minute)
		})
		require.Empty(rt, actions.problem)
		require.NotEmpty(rt, actions.process)
	})
}
