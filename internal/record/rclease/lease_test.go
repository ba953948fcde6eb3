package rclease

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

// defaultLeaseChecks is the number of schedules unless -rapid.checks sets another.
const defaultLeaseChecks = "300"

// faultyTable delays one instance's calls before or after they take effect. It ignores
// the calls' contexts, as a paused process does.
type faultyTable struct {
	radishcrank.TableService
	mu            sync.Mutex
	before, after time.Duration // Delays of the next call.
	cutAfterNext  bool          // Makes the table unreachable after the next call.
	unreachable   bool
}

func (f *faultyTable) takeDelays() (before, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, after = f.before, f.after
	f.before, f.after = 0, 0
	return before, after
}

func (f *faultyTable) Commit(ctx context.Context, tx radishcrank.Transaction) error {
	f.mu.Lock()
	unreachable := f.unreachable
	f.unreachable = f.cutAfterNext
	f.mu.Unlock()
	if unreachable {
		return radishcrank.ErrUnavailable
	}
	before, after := f.takeDelays()
	time.Sleep(before)
	err := f.TableService.Commit(context.WithoutCancel(ctx), tx)
	time.Sleep(after)
	return err
}

// termLog records the terms of all instances.
type termLog struct {
	mu   sync.Mutex
	list []*Term
}

func (t *termLog) lead(ctx context.Context, term *Term) error {
	t.mu.Lock()
	t.list = append(t.list, term)
	t.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

func (t *termLog) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.list)
}

// valid returns how many terms are valid now, and whether fencing numbers increase.
func (t *termLog) valid() (n int, increasing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	increasing = true
	for i, term := range t.list {
		if term.Valid() {
			n++
		}
		increasing = increasing && (i == 0 || term.Fence > t.list[i-1].Fence)
	}
	return n, increasing
}

// TestSingleHolderUnderFaults guards against two holders at a time, fencing numbers
// that decrease or repeat, and a lease that no instance takes after the faults end.
func TestSingleHolderUnderFaults(t *testing.T) {
	type fault struct {
		At, Instance, Kind, Length int
	}
	gen := rapid.Custom(func(rt *rapid.T) fault {
		return fault{
			At:       rapid.IntRange(0, 250).Draw(rt, "At"),
			Instance: rapid.IntRange(0, 2).Draw(rt, "Instance"),
			Kind:     rapid.IntRange(0, 4).Draw(rt, "Kind"),
			Length:   rapid.IntRange(1, 20).Draw(rt, "Length"),
		}
	})
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		require.NoError(t, checks.Value.Set(defaultLeaseChecks))
		defer checks.Value.Set(checks.DefValue)
	}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(gen, 0, 24).Draw(rt, "Faults")
		problem, taken := "", 0
		synctest.Test(t, func(t *testing.T) {
			table, terms := rcfaketable.New(), &termLog{}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var conns []*faultyTable
			for i := range 3 {
				conn := &faultyTable{TableService: table}
				conns = append(conns, conn)
				go New(Config{Table: conn, Name: "orders", Instance: radishcrank.InstanceID(fmt.Sprint(i)), Lead: terms.lead}).Run(ctx)
			}
			down := 0
			for tick := range 700 {
				for _, f := range faults {
					if f.At != tick {
						continue
					}
					switch f.Kind {
					case 0:
						conns[f.Instance].mu.Lock()
						conns[f.Instance].before = time.Duration(f.Length) * time.Second
						conns[f.Instance].mu.Unlock()
					case 1:
						conns[f.Instance].mu.Lock()
						conns[f.Instance].after = time.Duration(f.Length) * time.Second
						conns[f.Instance].mu.Unlock()
					case 2:
						table.SetFaults(rcfaketable.Faults{LoseResponses: f.Length})
					case 3:
						table.SetFaults(rcfaketable.Faults{DropCommits: f.Length})
					case 4:
						table.SetFaults(rcfaketable.Faults{Down: true})
						down = tick + f.Length
					}
				}
				if down == tick {
					table.SetFaults(rcfaketable.Faults{})
				}
				time.Sleep(97 * time.Millisecond)
				n, increasing := terms.valid()
				if problem == "" && (n > 1 || !increasing) {
					problem = fmt.Sprintf("tick %d: %d holders, fencing numbers increase: %v", tick, n, increasing)
				}
			}
			table.SetFaults(rcfaketable.Faults{})
			time.Sleep(3 * defaultDuration)
			taken, _ = terms.valid()
			cancel()
			time.Sleep(time.Minute)
		})
		if problem != "" || taken != 1 {
			rt.Fatalf("%s; %d holders at the end", problem, taken)
		}
	})
}

// TestLostTermDoesNotOverwriteRow guards against a holder that lost the row during a
// pause and then, on release, overwrites its successor's row with its own lower
// fencing number.
func TestLostTermDoesNotOverwriteRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, terms := rcfaketable.New(), &termLog{}
		ctx, cancel := context.WithCancel(t.Context())
		conn := &faultyTable{TableService: table}
		go New(Config{Table: conn, Name: "orders", Instance: "a", Lead: terms.lead}).Run(ctx)
		synctest.Wait()
		go New(Config{Table: table, Name: "orders", Instance: "b", Lead: terms.lead}).Run(ctx)
		conn.mu.Lock()
		conn.before = 4 * defaultDuration
		conn.mu.Unlock()
		time.Sleep(4*defaultDuration + 3*defaultDuration/renewalsPerDuration)
		n, increasing := terms.valid()
		require.Equal(t, 1, n)
		require.True(t, increasing)
		require.Equal(t, 2, terms.count())
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestRenewalExtendsFromSendTime guards against a holder that counts a renewal from
// its delayed answer, while other instances count from the time it took effect.
func TestRenewalExtendsFromSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, terms := rcfaketable.New(), &termLog{}
		ctx, cancel := context.WithCancel(t.Context())
		conn := &faultyTable{TableService: table}
		go New(Config{Table: conn, Name: "orders", Instance: "a", Lead: terms.lead}).Run(ctx)
		synctest.Wait()
		go New(Config{Table: table, Name: "orders", Instance: "b", Lead: terms.lead}).Run(ctx)
		conn.mu.Lock()
		conn.after, conn.cutAfterNext = defaultDuration*6/10, true
		conn.mu.Unlock()
		for range 30 {
			time.Sleep(time.Second)
			n, _ := terms.valid()
			require.LessOrEqual(t, n, 1)
		}
		require.Equal(t, 2, terms.count())
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestRestartedHolderReacquiresImmediately guards against a process that was killed
// and restarted and waits for its own earlier lease, which delays weight loads: on
// boxflow-riga the lease became free only 6.7 s after its holder's last order.
func TestRestartedHolderReacquiresImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, terms := rcfaketable.New(), &termLog{}
		first, kill := context.WithCancel(t.Context())
		conn := &faultyTable{TableService: table, cutAfterNext: true} // The release does not arrive.
		go New(Config{Table: conn, Name: "orders", Instance: "a", Process: "a@10.0.0.1:7340", Lead: terms.lead}).Run(first)
		synctest.Wait()
		kill()
		synctest.Wait()
		second, stop := context.WithCancel(t.Context())
		go New(Config{Table: table, Name: "orders", Instance: "a", Process: "a@10.0.0.1:7340", Lead: terms.lead}).Run(second)
		synctest.Wait()
		require.Equal(t, 2, terms.count())
		_, increasing := terms.valid()
		require.True(t, increasing)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestReportedVersionStartsTakeoverDelay guards against a candidate that starts to
// measure how long the row is unchanged only when the holder's reports stop. The
// lease would then stay unused for longer than its duration.
func TestReportedVersionStartsTakeoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, terms := rcfaketable.New(), &termLog{}
		first, kill := context.WithCancel(t.Context())
		conn := &faultyTable{TableService: table}
		go New(Config{Table: conn, Name: "orders", Instance: "a", Lead: terms.lead}).Run(first)
		synctest.Wait()
		var latestReport atomic.Pointer[HolderReport]
		latestReport.Store(&HolderReport{})
		holder := terms.list[0]
		reportHolder := func() {
			if holder.Valid() && first.Err() == nil && latestReport.Load().Position != holder.Position() {
				latestReport.Store(&HolderReport{Position: holder.Position(), ReceivedAt: time.Now()})
			}
		}
		second, stop := context.WithCancel(t.Context())
		go New(Config{Table: table, Name: "orders", Instance: "b", Lead: terms.lead, HolderReport: func() (HolderReport, bool) {
			report := *latestReport.Load()
			return report, time.Since(report.ReceivedAt) < defaultDuration/2
		}}).Run(second)
		for range 40 {
			reportHolder()
			time.Sleep(250 * time.Millisecond)
		}
		reportHolder() // No renewal between the last report and the holder's end.
		reads := table.Counts().Reads
		conn.mu.Lock()
		conn.unreachable = true
		conn.mu.Unlock()
		kill()
		started := time.Now()
		for terms.count() == 1 {
			time.Sleep(100 * time.Millisecond)
			require.Less(t, time.Since(started), defaultDuration*5/4, "the lease was not taken over")
		}
		require.Less(t, reads, 3, "the row is read although the holder's reports are recent")
		n, increasing := terms.valid()
		require.Equal(t, 1, n)
		require.True(t, increasing)
		stop()
		time.Sleep(time.Minute)
	})
}

// TestHandoverGap guards against actions of two successive holders that are less than
// MinHandoverGap apart. A holder that is cut off from the table may act until its term
// expires, and one that shuts down until it releases the lease.
func TestHandoverGap(t *testing.T) {
	const duration, margin, apart = 4 * time.Second, 800 * time.Millisecond, 3 * time.Second
	for name, end := range map[string]func(conn *faultyTable, stop func()){
		"cut off": func(conn *faultyTable, _ func()) {
			conn.mu.Lock()
			conn.unreachable, conn.cutAfterNext = true, true
			conn.mu.Unlock()
		},
		"shut down": func(_ *faultyTable, stop func()) { stop() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := rcfaketable.New()
				actions := map[string]*actionTimes{"a": {}, "b": {}}
				config := func(instance string, table radishcrank.TableService) Config {
					return Config{
						Table: table, Name: "orders", Instance: radishcrank.InstanceID(instance), Process: instance,
						Duration: duration, Margin: margin, MinHandoverGap: apart, Lead: actions[instance].lead,
					}
				}
				first, stop := context.WithCancel(t.Context())
				conn := &faultyTable{TableService: table}
				go New(config("a", conn)).Run(first)
				synctest.Wait()
				second, stopAll := context.WithCancel(t.Context())
				go New(config("b", table)).Run(second)
				time.Sleep(5*time.Second + 300*time.Millisecond)
				end(conn, stop)
				time.Sleep(4 * duration)
				stop()
				stopAll()
				time.Sleep(time.Minute) // Let the goroutines of both holders end.
				require.False(t, actions["b"].first.IsZero(), "the lease was not taken over")
				require.GreaterOrEqual(t, actions["b"].first.Sub(actions["a"].last), apart)
			})
		})
	}
}

// actionTimes records when a holder could first and last act.
type actionTimes struct{ first, last time.Time }

func (a *actionTimes) lead(ctx context.Context, term *Term) error {
	for ctx.Err() == nil && term.Valid() {
		if a.first.IsZero() {
			a.first = time.Now()
		}
		a.last = time.Now()
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}

// TestReleaseFreesLeaseImmediately guards against a lease that stays held after its
// holder has shut down gracefully.
func TestReleaseFreesLeaseImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, terms := rcfaketable.New(), &termLog{}
		first, stopFirst := context.WithCancel(t.Context())
		go New(Config{Table: table, Name: "orders", Instance: "a", Lead: terms.lead}).Run(first)
		synctest.Wait()
		second, stopSecond := context.WithCancel(t.Context())
		go New(Config{Table: table, Name: "orders", Instance: "b", Lead: terms.lead}).Run(second)
		synctest.Wait()
		require.Equal(t, 1, terms.count())
		stopFirst()
		time.Sleep(defaultDuration / renewalsPerDuration)
		require.Equal(t, 2, terms.count())
		stopSecond()
		synctest.Wait()
	})
}
