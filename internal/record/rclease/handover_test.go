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
// also fall between a call's effect and its answer. Like the platform's table, it knows
// the era of the last answer, and refuses to write what was read in an earlier one.
type connection struct {
	*rcfaketable.Table
	mu           sync.Mutex
	disconnected bool
	killed       bool
	era          uint64 // Of the last answer; 0 before it.
	readEra      uint64 // Era in which the row was last read or written.
}

func (conn *connection) knownEra() uint64 {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.era
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
	conn.mu.Lock()
	sentEra, readEra := conn.era, conn.readEra
	conn.mu.Unlock()
	if readEra != sentEra {
		return radishcrank.ErrConflict
	}
	err := conn.Table.Commit(ctx, tx)
	if !conn.available() {
		return radishcrank.ErrUnknownOutcome
	}
	era := conn.Table.Era()
	conn.update(func(conn *connection) { conn.era = era })
	if err == nil && sentEra != 0 && era != sentEra {
		return radishcrank.ErrUnknownOutcome
	}
	return err
}

func (conn *connection) Get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	if !conn.available() {
		return nil, radishcrank.ErrUnavailable
	}
	era := conn.Table.Era()
	rows, err := conn.Table.Get(ctx, keys...)
	if err == nil && conn.Table.Era() != era {
		return nil, radishcrank.ErrUnavailable // The answer may be of either era.
	}
	if err == nil {
		conn.update(func(conn *connection) { conn.era, conn.readEra = era, era })
	}
	return rows, err
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
	checkHandovers(t, "kill", "stop", "cut", "lose", "drop", "slow")
}

// TestHandoverGapUnderRestores guards against the same while the table comes back from
// older copies: ones that lack the row, name a former holder or hold fencing numbers
// that have been used.
func TestHandoverGapUnderRestores(t *testing.T) {
	checkHandovers(t, "restore", "restore", "kill", "stop", "cut", "lose", "slow")
}

// checkHandovers plays random events of the given kinds.
func checkHandovers(t *testing.T, kinds ...string) {
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
				Kind:   rapid.SampledFrom(kinds).Draw(rt, "Kind"),
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
				conn := &connection{Table: table}
				mu.Lock()
				c.conn, c.report, c.reportedAt = conn, HolderReport{}, time.Time{}
				mu.Unlock()
				go New(Config{
					Table: conn, Name: "orders", Instance: radishcrank.InstanceID(c.name), Process: c.name, Era: conn.knownEra,
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
			var copies []map[string]radishcrank.Row // By tick.
			for tick := range 400 {
				copies = append(copies, table.Copy())
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
					case "restore":
						old := copies[max(0, tick-e.Length)]
						table.SetFaults(rcfaketable.Faults{Down: true})
						end := tick + e.Length%10 + 1
						recoveries[end] = append(recoveries[end], func() {
							table.Restore(old)
							table.SetFaults(rcfaketable.Faults{})
						})
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
						if v := c.term.Position(); v > o.report.Position {
							o.report = HolderReport{Position: v, ReceivedAt: o.reportedAt}
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

// TestVersionGivenOutAgainIsNotUnchanged guards against a candidate that takes the lease
// from a live holder, because the row has the version again that it had before the table
// came back from an older copy.
func TestVersionGivenOutAgainIsNotUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table, terms := rcfaketable.New(), &termLog{}
		holderConn, conn := &connection{Table: table}, &connection{Table: table}
		holder := New(Config{Table: holderConn, Name: "orders", Instance: "holder", Era: holderConn.knownEra})
		renew := func() {
			era, version, _, err := holder.read(ctx)
			require.NoError(t, err)
			require.NoError(t, holder.write(ctx, version, holder.newRow(era, 1)))
		}
		renew()
		old := table.Copy()
		renew()
		go New(Config{Table: conn, Name: "orders", Instance: "candidate", Era: conn.knownEra, Lead: terms.lead}).Run(ctx)
		time.Sleep(time.Second)
		conn.update(func(conn *connection) { conn.disconnected = true })
		time.Sleep(2 * defaultDuration)
		table.Restore(old)
		_, _, _, err := holder.read(ctx)
		require.ErrorIs(t, err, errRestored)
		renew()
		conn.update(func(conn *connection) { conn.disconnected = false })
		time.Sleep(defaultDuration)
		require.Zero(t, terms.count())
		time.Sleep(defaultDuration)
		require.Equal(t, 1, terms.count())
		cancel()
		time.Sleep(time.Minute)
	})
}
