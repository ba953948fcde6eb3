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

// reach is one process's way to the table. A cut or a kill ends it between a
// call's effect and its answer, too.
type reach struct {
	radishcrank.TableService
	mu     sync.Mutex
	cut    bool
	killed bool
}

func (r *reach) ok() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cut && !r.killed
}

func (r *reach) set(change func(r *reach)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

func (r *reach) Commit(ctx context.Context, tx radishcrank.Transaction) error {
	if !r.ok() {
		return radishcrank.ErrUnavailable
	}
	err := r.TableService.Commit(ctx, tx)
	if !r.ok() {
		return radishcrank.ErrUnknownOutcome
	}
	return err
}

func (r *reach) Get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	if !r.ok() {
		return nil, radishcrank.ErrUnavailable
	}
	return r.TableService.Get(ctx, keys...)
}

// act is the latest act of a fleet and who did it.
type act struct {
	mu      sync.Mutex
	process string
	fence   uint64
	at      time.Time
	problem string
}

func (a *act) do(process string, fence uint64, apart time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch {
	case a.problem != "" || a.process == "":
	case fence < a.fence, fence == a.fence && process != a.process:
		a.problem = fmt.Sprintf("%s acts with fence %d after %s with %d", process, fence, a.process, a.fence)
	case process != a.process && now.Sub(a.at) < apart:
		a.problem = fmt.Sprintf("%s acts %s after %s", process, now.Sub(a.at), a.process)
	}
	a.process, a.fence, a.at = process, fence, now
}

// instance is one machine, whose process may be killed and start again.
type instance struct {
	name  string
	reach *reach
	stop  context.CancelFunc
	term  *Term // While it leads.
	heard HolderReport
	told  time.Time
}

// TestFleetActsApart guards against acts of two holders that lie too close, and
// against fencing numbers that fall or repeat, while instances hear of the holder
// from each other and are killed, stopped, started again and cut off from the table.
func TestFleetActsApart(t *testing.T) {
	const (
		duration, margin, apart = 4 * time.Second, 800 * time.Millisecond, 3 * time.Second
		newsPace, newsLife      = 100 * time.Millisecond, 1600 * time.Millisecond
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
		var last act
		synctest.Test(t, func(t *testing.T) {
			table := rcfaketable.New()
			var all []*instance
			var mu sync.Mutex
			start := func(m *instance) {
				var ctx context.Context
				ctx, m.stop = context.WithCancel(context.Background())
				way := &reach{TableService: table}
				mu.Lock()
				m.reach, m.heard, m.told = way, HolderReport{}, time.Time{}
				mu.Unlock()
				go New(Config{
					Table: way, Name: "orders", Instance: radishcrank.InstanceID(m.name), Process: m.name,
					Duration: duration, Margin: margin, MinHandoverGap: apart,
					HolderReport: func() (HolderReport, bool) {
						mu.Lock()
						defer mu.Unlock()
						return m.heard, time.Since(m.told) < newsLife
					},
					Lead: func(ctx context.Context, term *Term) error {
						mu.Lock()
						m.term = term
						mu.Unlock()
						for ctx.Err() == nil && term.Valid() {
							last.do(m.name, term.Fence, apart)
							time.Sleep(10 * time.Millisecond)
						}
						mu.Lock()
						m.term = nil
						mu.Unlock()
						return ctx.Err()
					},
				}).Run(ctx)
			}
			for i := range 3 {
				all = append(all, &instance{name: fmt.Sprint("i", i)})
				start(all[i])
			}
			back := map[int][]func(){}
			for tick := range 400 {
				for _, f := range back[tick] {
					f()
				}
				for _, e := range events {
					if e.At != tick {
						continue
					}
					m := all[e.Instance]
					end := tick + e.Length
					switch e.Kind {
					case "kill":
						m.reach.set(func(r *reach) { r.killed = true })
						m.stop()
						back[end] = append(back[end], func() { m.stop(); start(m) })
					case "stop":
						m.stop()
						back[end] = append(back[end], func() { m.stop(); start(m) })
					case "cut":
						way := m.reach
						way.set(func(r *reach) { r.cut = true })
						back[end] = append(back[end], func() { way.set(func(r *reach) { r.cut = false }) })
					case "lose":
						table.SetFaults(rcfaketable.Faults{LoseAnswers: 1 + e.Length/20})
					case "drop":
						table.SetFaults(rcfaketable.Faults{DropCommits: 1 + e.Length/20})
					case "slow":
						table.SetFaults(rcfaketable.Faults{Delay: time.Duration(e.Length) * 10 * time.Millisecond})
						back[end] = append(back[end], func() { table.SetFaults(rcfaketable.Faults{}) })
					}
				}
				time.Sleep(newsPace)
				mu.Lock()
				for _, m := range all {
					for _, o := range all {
						if m.term == nil || o == m {
							continue
						}
						o.told = time.Now()
						if v := m.term.Version(); v > o.heard.Version {
							o.heard = HolderReport{Version: v, ReceivedAt: o.told}
						}
					}
				}
				mu.Unlock()
			}
			for _, m := range all {
				m.stop()
			}
			time.Sleep(time.Minute)
		})
		require.Empty(rt, last.problem)
		require.NotEmpty(rt, last.process)
	})
}
