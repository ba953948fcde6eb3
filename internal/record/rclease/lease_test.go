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

// leaseChecks is the number of schedules unless -rapid.checks says otherwise.
const leaseChecks = "300"

// pausing holds up one instance's calls, before or after they take effect, and
// also those whose context has ended, as a paused process does.
type pausing struct {
	radishcrank.TableService
	mu            sync.Mutex
	before, after time.Duration // Of the next call.
	cut           bool          // Once the next call has been answered, the table is out of reach.
	unreachable   bool
}

func (p *pausing) take() (before, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, after = p.before, p.after
	p.before, p.after = 0, 0
	return before, after
}

func (p *pausing) Commit(ctx context.Context, tx radishcrank.Transaction) error {
	p.mu.Lock()
	gone := p.unreachable
	p.unreachable = p.cut
	p.mu.Unlock()
	if gone {
		return radishcrank.ErrUnavailable
	}
	before, after := p.take()
	time.Sleep(before)
	err := p.TableService.Commit(context.WithoutCancel(ctx), tx)
	time.Sleep(after)
	return err
}

// terms records the terms of all instances.
type terms struct {
	mu   sync.Mutex
	list []*Term
}

func (t *terms) lead(ctx context.Context, term *Term) error {
	t.mu.Lock()
	t.list = append(t.list, term)
	t.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

func (t *terms) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.list)
}

// valid returns how many terms hold the lease now, and whether fences rise.
func (t *terms) valid() (n int, rising bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rising = true
	for i, term := range t.list {
		if term.Valid() {
			n++
		}
		rising = rising && (i == 0 || term.Fence > t.list[i-1].Fence)
	}
	return n, rising
}

// Guards against two holders at a time, fencing numbers that fall or repeat,
// and a lease that nobody takes after the faults are over.
func TestOneHolder(t *testing.T) {
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
		require.NoError(t, checks.Value.Set(leaseChecks))
		defer checks.Value.Set(checks.DefValue)
	}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(gen, 0, 24).Draw(rt, "Faults")
		problem, taken := "", 0
		synctest.Test(t, func(t *testing.T) {
			table, all := rcfaketable.New(), &terms{}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var ports []*pausing
			for i := range 3 {
				port := &pausing{TableService: table}
				ports = append(ports, port)
				go New(Config{Table: port, Name: "orders", Instance: radishcrank.InstanceID(fmt.Sprint(i)), Lead: all.lead}).Run(ctx)
			}
			down := 0
			for tick := range 700 {
				for _, f := range faults {
					if f.At != tick {
						continue
					}
					switch f.Kind {
					case 0:
						ports[f.Instance].mu.Lock()
						ports[f.Instance].before = time.Duration(f.Length) * time.Second
						ports[f.Instance].mu.Unlock()
					case 1:
						ports[f.Instance].mu.Lock()
						ports[f.Instance].after = time.Duration(f.Length) * time.Second
						ports[f.Instance].mu.Unlock()
					case 2:
						table.SetFaults(rcfaketable.Faults{LoseAnswers: f.Length})
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
				n, rising := all.valid()
				if problem == "" && (n > 1 || !rising) {
					problem = fmt.Sprintf("tick %d: %d holders, fences rise: %v", tick, n, rising)
				}
			}
			table.SetFaults(rcfaketable.Faults{})
			time.Sleep(3 * defaultDuration)
			taken, _ = all.valid()
			cancel()
			time.Sleep(time.Minute)
		})
		if problem != "" || taken != 1 {
			rt.Fatalf("%s; %d holders at the end", problem, taken)
		}
	})
}

// Guards against a holder that lost the row in a pause and, on release,
// overwrites the row of its successor with its own lower fencing number.
func TestLostTermLeavesRowAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, all := rcfaketable.New(), &terms{}
		ctx, cancel := context.WithCancel(t.Context())
		port := &pausing{TableService: table}
		go New(Config{Table: port, Name: "orders", Instance: "a", Lead: all.lead}).Run(ctx)
		synctest.Wait()
		go New(Config{Table: table, Name: "orders", Instance: "b", Lead: all.lead}).Run(ctx)
		port.mu.Lock()
		port.before = 4 * defaultDuration
		port.mu.Unlock()
		time.Sleep(4*defaultDuration + 3*defaultDuration/renewals)
		n, rising := all.valid()
		require.Equal(t, 1, n)
		require.True(t, rising)
		require.Equal(t, 2, all.count())
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a holder that counts a renewal from its late answer, when
// others already count from the moment it took effect.
func TestRenewalCountsFromItsSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, all := rcfaketable.New(), &terms{}
		ctx, cancel := context.WithCancel(t.Context())
		port := &pausing{TableService: table}
		go New(Config{Table: port, Name: "orders", Instance: "a", Lead: all.lead}).Run(ctx)
		synctest.Wait()
		go New(Config{Table: table, Name: "orders", Instance: "b", Lead: all.lead}).Run(ctx)
		port.mu.Lock()
		port.after, port.cut = defaultDuration*6/10, true
		port.mu.Unlock()
		for range 30 {
			time.Sleep(time.Second)
			n, _ := all.valid()
			require.LessOrEqual(t, n, 1)
		}
		require.Equal(t, 2, all.count())
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a model whose engines wait for the lease of a killed process
// though that process has started again: the lease was free 6.7 s after its
// holder's last order on boxflow-riga.
func TestRestartedHolderNeedNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, all := rcfaketable.New(), &terms{}
		first, kill := context.WithCancel(t.Context())
		port := &pausing{TableService: table, cut: true} // Its release does not arrive.
		go New(Config{Table: port, Name: "orders", Instance: "a", Process: "a@10.0.0.1:7340", Lead: all.lead}).Run(first)
		synctest.Wait()
		kill()
		synctest.Wait()
		second, stop := context.WithCancel(t.Context())
		go New(Config{Table: table, Name: "orders", Instance: "a", Process: "a@10.0.0.1:7340", Lead: all.lead}).Run(second)
		synctest.Wait()
		require.Equal(t, 2, all.count())
		_, rising := all.valid()
		require.True(t, rising)
		stop()
		time.Sleep(time.Minute)
	})
}

// Guards against a taker that begins to watch the row only when it no longer
// hears of the holder: the lease then stays unused for longer than its duration.
func TestHeardHolderIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, all := rcfaketable.New(), &terms{}
		first, kill := context.WithCancel(t.Context())
		port := &pausing{TableService: table}
		go New(Config{Table: port, Name: "orders", Instance: "a", Lead: all.lead}).Run(first)
		synctest.Wait()
		var told atomic.Pointer[HolderReport]
		told.Store(&HolderReport{})
		holder := all.list[0]
		ticker := func() {
			if holder.Valid() && first.Err() == nil && told.Load().Version != holder.Version() {
				told.Store(&HolderReport{Version: holder.Version(), ReceivedAt: time.Now()})
			}
		}
		second, stop := context.WithCancel(t.Context())
		go New(Config{Table: table, Name: "orders", Instance: "b", Lead: all.lead, HolderReport: func() (HolderReport, bool) {
			heard := *told.Load()
			return heard, time.Since(heard.ReceivedAt) < defaultDuration/2
		}}).Run(second)
		for range 40 {
			ticker()
			time.Sleep(250 * time.Millisecond)
		}
		ticker() // Nothing is renewed between the last news and the end.
		reads := table.Counts().Reads
		port.mu.Lock()
		port.unreachable = true
		port.mu.Unlock()
		kill()
		begun := time.Now()
		for all.count() == 1 {
			time.Sleep(100 * time.Millisecond)
			require.Less(t, time.Since(begun), defaultDuration*5/4, "the lease is not taken")
		}
		require.Less(t, reads, 3, "the row is read though the holder is heard of")
		n, rising := all.valid()
		require.Equal(t, 1, n)
		require.True(t, rising)
		stop()
		time.Sleep(time.Minute)
	})
}

// Guards against the orders of two holders that follow each other too closely. A
// holder that is cut off from the table may act until its term ends, and one that
// shuts down until it gives the lease back.
func TestActsOfTwoHoldersLieApart(t *testing.T) {
	const duration, margin, apart = 4 * time.Second, 800 * time.Millisecond, 3 * time.Second
	for name, end := range map[string]func(port *pausing, stop func()){
		"cut off": func(port *pausing, _ func()) {
			port.mu.Lock()
			port.unreachable, port.cut = true, true
			port.mu.Unlock()
		},
		"shut down": func(_ *pausing, stop func()) { stop() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := rcfaketable.New()
				acts := map[string]*acting{"a": {}, "b": {}}
				config := func(instance string, table radishcrank.TableService) Config {
					return Config{
						Table: table, Name: "orders", Instance: radishcrank.InstanceID(instance), Process: instance,
						Duration: duration, Margin: margin, MinHandoverGap: apart, Lead: acts[instance].lead,
					}
				}
				first, stop := context.WithCancel(t.Context())
				port := &pausing{TableService: table}
				go New(config("a", port)).Run(first)
				synctest.Wait()
				second, stopAll := context.WithCancel(t.Context())
				go New(config("b", table)).Run(second)
				time.Sleep(5*time.Second + 300*time.Millisecond)
				end(port, stop)
				time.Sleep(4 * duration)
				stop()
				stopAll()
				time.Sleep(time.Minute) // Nothing of the two holders is left.
				require.False(t, acts["b"].first.IsZero(), "the lease is not taken")
				require.GreaterOrEqual(t, acts["b"].first.Sub(acts["a"].last), apart)
			})
		})
	}
}

// acting notes when a holder could act first and last.
type acting struct{ first, last time.Time }

func (a *acting) lead(ctx context.Context, term *Term) error {
	for ctx.Err() == nil && term.Valid() {
		if a.first.IsZero() {
			a.first = time.Now()
		}
		a.last = time.Now()
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}

// Guards against a lease that stays blocked after its holder has shut down in order.
func TestReleaseFreesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, all := rcfaketable.New(), &terms{}
		first, stopFirst := context.WithCancel(t.Context())
		go New(Config{Table: table, Name: "orders", Instance: "a", Lead: all.lead}).Run(first)
		synctest.Wait()
		second, stopSecond := context.WithCancel(t.Context())
		go New(Config{Table: table, Name: "orders", Instance: "b", Lead: all.lead}).Run(second)
		synctest.Wait()
		require.Equal(t, 1, all.count())
		stopFirst()
		time.Sleep(defaultDuration / renewals)
		require.Equal(t, 2, all.count())
		stopSecond()
		synctest.Wait()
	})
}
