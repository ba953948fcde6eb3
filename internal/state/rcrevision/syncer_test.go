package rcrevision

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcfakepeer"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
)

const (
	startupTime   = 8 * time.Second // From the start of the fleet until all instances know each other.
	inForceWithin = 5 * time.Second
)

// step is one event of TestProperty.
type step struct {
	kind  int
	index int
	pause time.Duration
}

const (
	stepPush = iota
	stepRace
	stepIsolateZone
	stepReconnectZone
	stepTableDown
	stepTableUp
	stepRestart
	stepLoseAnswer
	stepDropCommit
	stepKinds
)

// sizes are fleets in which all instances poll the table, and fleets in which most
// instances poll peers.
var sizes = []struct{ zones, perZone int }{{4, 2}, {2, 4}, {1, 8}}

func drawSteps(t *rapid.T) []step {
	n := rapid.IntRange(1, 12).Draw(t, "steps")
	steps := make([]step, 0, n)
	for range n {
		steps = append(steps, step{
			kind:  rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			index: rapid.IntRange(0, 7).Draw(t, "index"),
			pause: time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond,
		})
	}
	return steps
}

// Guards against revisions that are reverted, lost after they were accepted, or not
// in force on all instances 5 s after all faults have ended.
func TestProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom(sizes).Draw(rt, "size")
		steps := drawSteps(rt)
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = runSteps(newFleet(size.zones, size.perZone), steps) })
		if fault != "" {
			rt.Fatalf("%+v %+v: %s", size, steps, fault)
		}
	})
}

func runSteps(f *fleet, steps []step) string {
	defer f.close()
	time.Sleep(startupTime)
	if _, err := f.processes[0].Push(f.ctx, PushRequest{Text: text(2, 1)}); err != nil {
		return "first push: " + err.Error()
	}
	accepted := map[uint64]string{}
	faults := rcfaketable.Faults{}
	for i, s := range steps {
		zone := f.processes[s.index].self.Zone
		switch s.kind {
		case stepPush:
			f.push(s.index, 10+i, accepted)
		case stepRace:
			done := make(chan bool)
			other := map[uint64]string{}
			go func() { f.push((s.index+3)%8, 100+i, other); close(done) }()
			f.push(s.index, 200+i, accepted)
			<-done
			for revision, text := range other {
				if accepted[revision] != "" {
					return fmt.Sprintf("revision %d was accepted twice", revision)
				}
				accepted[revision] = text
			}
		case stepIsolateZone, stepReconnectZone:
			f.isolate(zone, s.kind == stepIsolateZone)
		case stepTableDown, stepTableUp:
			faults.Down = s.kind == stepTableDown
			f.table.SetFaults(faults)
		case stepRestart:
			f.restart(s.index)
		case stepLoseAnswer:
			f.table.SetFaults(rcfaketable.Faults{Down: faults.Down, LoseResponses: 1})
		case stepDropCommit:
			f.table.SetFaults(rcfaketable.Faults{Down: faults.Down, DropCommits: 1})
		}
		time.Sleep(s.pause)
	}
	f.table.SetFaults(rcfaketable.Faults{})
	for _, p := range f.processes {
		f.isolate(p.self.Zone, false)
	}
	return f.check(accepted)
}

// push pushes a document on top of the instance's current revision and records it
// in accepted if it was committed.
func (f *fleet) push(index, maxTokens int, accepted map[uint64]string) {
	p := f.processes[index]
	doc := p.Current()
	if doc == nil {
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	info, err := p.Push(ctx, PushRequest{Base: doc.Revision, Text: text(2, maxTokens)})
	if err == nil {
		accepted[info.Revision] = info.Text
	}
}

func (f *fleet) check(accepted map[uint64]string) string {
	newest := uint64(1)
	for revision := range accepted {
		newest = max(newest, revision)
	}
	if _, ok := f.wait(newest, inForceWithin); !ok {
		return fmt.Sprintf("revision %d is in force on %d of %d instances", newest, f.countApplied(newest), len(f.processes))
	}
	// A push with an unknown outcome may have added a revision. Wait until all
	// instances have it.
	time.Sleep(inForceWithin)
	for _, p := range f.processes {
		if a, b := p.Status(), f.processes[0].Status(); a.Revision != b.Revision || a.Hash != b.Hash || a.Age > 3*time.Second || a.Age < 0 {
			return fmt.Sprintf("%s has status %+v, the first instance has %+v", p.self.ID, a, b)
		}
		if p.Status().Conflicts > 0 {
			return "two documents with the same revision number: " + p.Status().Problem
		}
	}
	for revision, want := range accepted {
		if info, err := f.processes[0].Show(f.ctx, revision); err != nil || info.Text != want {
			return fmt.Sprintf("accepted revision %d is lost: %v", revision, err)
		}
	}
	if f.reverts > 0 {
		return "an instance moved to a lower revision"
	}
	return ""
}

// Guards against a push that is committed twice or reported as failed because the
// table service's response was lost.
func TestLostAnswers(t *testing.T) {
	for _, faults := range []rcfaketable.Faults{{LoseResponses: 1}, {DropCommits: 1}, {LoseResponses: 1, DropCommits: 2}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, 2)
			defer f.close()
			f.table.SetFaults(faults)
			info, err := f.processes[0].Push(f.ctx, PushRequest{Text: text(1, 1)})
			require.NoError(t, err)
			require.EqualValues(t, 1, info.Revision)
			list, err := f.processes[0].History(f.ctx, 10)
			require.NoError(t, err)
			require.Len(t, list, 1)
			// No commit takes effect here, so the attempts are used up and the outcome
			// stays unknown.
			f.table.SetFaults(rcfaketable.Faults{DropCommits: 100})
			_, err = f.processes[0].Push(f.ctx, PushRequest{Base: 1, Text: text(1, 2)})
			require.ErrorIs(t, err, radishcrank.ErrUnknownOutcome)
		})
	}
}

// Guards against a table restored from a backup that reverts the configuration of
// the instances, at once or at their next restart.
func TestRestoredTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 4)
		defer f.close()
		time.Sleep(startupTime)
		for i := range 3 {
			_, err := f.processes[0].Push(f.ctx, PushRequest{Base: uint64(i), Text: text(2, i+1)})
			require.NoError(t, err)
		}
		_, ok := f.wait(3, inForceWithin)
		require.True(t, ok)
		backup, err := f.processes[0].readInfo(f.ctx, 1)
		require.NoError(t, err)
		old, err := encode(head{Revision: 1, Hash: backup.Hash})
		require.NoError(t, err)
		require.NoError(t, f.table.Commit(f.ctx, radishcrank.Transaction{Writes: []radishcrank.Write{
			{Key: keyHead, Value: old}, {Key: keyRev(2), Delete: true}, {Key: keyRev(3), Delete: true}, {Key: keyDelta(3), Delete: true},
		}}))
		time.Sleep(inForceWithin)
		for i := range f.processes {
			f.restart(i)
		}
		_, ok = f.wait(3, 2*inForceWithin)
		require.True(t, ok)
		require.Equal(t, 3, f.processes[0].Current().Defaults.MaxTokens)
		require.Zero(t, f.reverts)
	})
}

// Guards against instances without reachable peers that never get a revision from a
// table service that takes 1 s per call.
func TestSlowTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		defer f.close()
		time.Sleep(startupTime)
		f.net.SetLinkFunc(func(_, _ *rcfakepeer.Host) rcfakepeer.Link { return rcfakepeer.Link{Down: true} })
		f.table.SetFaults(rcfaketable.Faults{Delay: time.Second})
		for i := range 2 {
			info, err := f.processes[0].Push(f.ctx, PushRequest{Base: uint64(i), Text: text(2, i+1)})
			require.NoError(t, err)
			_, ok := f.wait(info.Revision, inForceWithin)
			require.True(t, ok)
		}
	})
}

// Guards against a revert by a document that is applied after, or concurrently
// with, a newer one.
func TestRevisionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		defer f.close()
		var running sync.WaitGroup
		for i := range 200 {
			running.Go(func() { f.processes[0].applyRevision(f.ctx, uint64(1+i*7%200), text(100, 1+i)) })
		}
		running.Wait()
		require.EqualValues(t, 200, f.processes[0].Current().Revision)
		require.Zero(t, f.reverts)
	})
}

// Guards against a document with the current revision number and another hash that
// is applied or not reported.
func TestHashConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2)
		defer f.close()
		p := f.processes[0]
		info, err := p.Push(f.ctx, PushRequest{Text: text(1, 1)})
		require.NoError(t, err)
		require.False(t, p.handleNewest(f.list[1].Peer, info.Hash, newestAnswer{Revision: 1, Hash: "0000000000000000"}, time.Now()))
		require.Equal(t, 1, p.Status().Conflicts)
		require.Contains(t, p.Status().Problem, "0000000000000000")
		require.Equal(t, info.Hash, p.Status().Hash)
	})
}

// Guards against an instance that cannot apply a document and does not report it,
// drops its current document, fetches the document continually, or does not recover
// with the next revision.
func TestCannotApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 4)
		defer f.close()
		time.Sleep(startupTime)
		_, err := f.processes[0].Push(f.ctx, PushRequest{Text: text(1, 1)})
		require.NoError(t, err)
		time.Sleep(inForceWithin)
		// As committed by a newer program version that has more settings.
		newer := text(1, 1) + "[Future]\nSetting = 1\n"
		tx, err := newTransaction(Info{Revision: 2, Hash: hashText(newer), Text: newer}, delta{}, 1, 0)
		require.NoError(t, err)
		require.NoError(t, f.table.Commit(f.ctx, tx))
		time.Sleep(inForceWithin)
		problems, err := f.processes[0].Problems(f.ctx)
		require.NoError(t, err)
		require.NotEmpty(t, problems)
		reads := f.table.Counts().Reads
		time.Sleep(10 * time.Second)
		require.Less(t, f.table.Counts().Reads-reads, 30, "the document is read continually")
		require.EqualValues(t, 1, f.processes[0].Current().Revision)
		_, err = f.processes[0].Push(f.ctx, PushRequest{Base: 2, Text: text(1, 3)})
		require.NoError(t, err)
		_, ok := f.wait(3, inForceWithin)
		require.True(t, ok)
		problems, err = f.processes[0].Problems(f.ctx)
		require.NoError(t, err)
		require.Empty(t, problems)
	})
}

// Guards against an isolated zone that drops its configuration or reports it as
// recently confirmed.
func TestIsolatedZoneReportsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 4)
		defer f.close()
		time.Sleep(startupTime)
		_, err := f.processes[0].Push(f.ctx, PushRequest{Text: text(1, 1)})
		require.NoError(t, err)
		time.Sleep(inForceWithin)
		f.isolate(f.processes[4].self.Zone, true)
		time.Sleep(time.Minute)
		for _, p := range f.processes[4:] {
			require.NotNil(t, p.Current())
			require.Greater(t, p.Status().Age, 55*time.Second)
		}
		require.Less(t, f.processes[1].Status().Age, 3*time.Second)
	})
}

// Guards against a zone that reaches peers but not the platform and gets a revision
// later than 5 s, or whose restarted instance gets no configuration.
func TestZoneWithoutPlatform(t *testing.T) {
	for _, perZone := range []int{1, 2, 4} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(2, perZone)
			defer f.close()
			time.Sleep(startupTime)
			_, err := f.processes[0].Push(f.ctx, PushRequest{Text: text(1, 1)})
			require.NoError(t, err)
			_, ok := f.wait(1, inForceWithin)
			require.True(t, ok)
			f.mu.Lock()
			f.platformDown[f.processes[perZone].self.Zone] = true
			f.mu.Unlock()
			_, err = f.processes[0].Push(f.ctx, PushRequest{Base: 1, Text: text(1, 2)})
			require.NoError(t, err)
			took, ok := f.wait(2, inForceWithin)
			require.True(t, ok, "in force on %d of %d", f.countApplied(2), len(f.processes))
			t.Logf("2 zones of %d instances: in force after %v", perZone, took)
			if perZone > 1 { // An instance alone in its zone has no bootstrap peer.
				f.restart(perZone)
				_, ok = f.wait(2, inForceWithin)
				require.True(t, ok, "a restarted instance has no configuration")
			}
		})
	}
}

// Guards against instances that stay on an old revision because the readers that
// they poll are dead but still in the instance list.
func TestDeadReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 6)
		defer f.close()
		time.Sleep(startupTime)
		_, err := f.processes[0].Push(f.ctx, PushRequest{Text: text(1, 1)})
		require.NoError(t, err)
		_, ok := f.wait(1, inForceWithin)
		require.True(t, ok)
		var left []*process
		for _, p := range f.processes {
			if p.tracker.IsAmongFirst(2) {
				p.cancel()
				p.host.Detach()
			} else {
				left = append(left, p)
			}
		}
		f.processes = left
		time.Sleep(staleAfter + emptyPollInterval)
		for i := range 5 {
			_, err = left[i%len(left)].Push(f.ctx, PushRequest{Base: uint64(1 + i), Text: text(1, 2+i)})
			require.NoError(t, err)
			took, ok := f.wait(uint64(2+i), 2*inForceWithin)
			require.True(t, ok)
			t.Logf("in force after %v", took)
		}
	})
}

// Guards against deltas that produce a wrong text, and invalid deltas that cause a
// panic or a result above the size limit.
func TestDelta(t *testing.T) {
	line := rapid.SampledFrom([]string{"a\n", "b\n", "\n", "Leaving = false\n", "c", ""})
	rapid.Check(t, func(t *rapid.T) {
		from := strings.Join(rapid.SliceOfN(line, 0, 20).Draw(t, "from"), "")
		to := strings.Join(rapid.SliceOfN(line, 0, 20).Draw(t, "to"), "")
		got, err := patchLines(from, diffLines(from, to), maxTextBytes)
		require.NoError(t, err)
		require.Equal(t, to, got)
		invalid := []editOp{{From: rapid.Int().Draw(t, "at"), Count: rapid.Int().Draw(t, "count"), Insert: to}}
		if got, err := patchLines(from, invalid, 10); err == nil {
			require.LessOrEqual(t, len(got), 10)
		}
	})
	data, err := encode(diffLines(text(3000, 1), text(3000, 2)))
	require.NoError(t, err)
	require.Less(t, len(data), 200)
}

// Guards against a revision that is not in force everywhere within 5 s, and against
// too many table reads or bytes sent, with 8 and with 374 instances.
func TestBoundInForce(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("set RADISHCRANK_BOUNDS=1 to check bounds")
	}
	// 3,700 changes a day are one every 23 s.
	const span, accounts = 23 * time.Second, 3000
	for _, size := range []struct{ zones, perZone, reads int }{{4, 2, 10}, {11, 34, 30}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(size.zones, size.perZone)
			defer f.close()
			time.Sleep(startupTime)
			_, err := f.processes[0].Push(f.ctx, PushRequest{Text: text(accounts, 1)})
			require.NoError(t, err)
			_, ok := f.wait(1, 2*inForceWithin)
			require.True(t, ok)
			var slowest time.Duration
			begin, reads, sent := time.Now(), f.table.Counts().Reads, f.sent()
			for i := range 3 {
				next := time.Now().Add(span)
				info, err := f.processes[i].Push(f.ctx, PushRequest{Base: uint64(i + 1), Text: text(accounts, i+2)})
				require.NoError(t, err)
				took, ok := f.wait(info.Revision, inForceWithin)
				require.True(t, ok)
				slowest = max(slowest, took)
				time.Sleep(time.Until(next))
			}
			seconds := int(time.Since(begin).Seconds())
			reads = (f.table.Counts().Reads - reads) / seconds
			mean, busiest := 0, 0
			for i, bytes := range f.sent() {
				mean += bytes - sent[i]
				busiest = max(busiest, (bytes-sent[i])/seconds)
			}
			mean /= len(f.processes) * seconds
			t.Logf("%d instances, %d accounts, one change every %v: in force everywhere after %v; %d table reads/s; mean of %d bytes/s sent per instance, maximum %d",
				len(f.processes), accounts, span, slowest, reads, mean, busiest)
			require.LessOrEqual(t, reads, size.reads)
			require.Less(t, mean, 1500)
			require.Less(t, busiest, 3000)
			reads = f.table.Counts().Reads
			for i := range f.processes {
				f.restart(i)
			}
			took, ok := f.wait(4, 2*inForceWithin)
			require.True(t, ok)
			reads = f.table.Counts().Reads - reads
			t.Logf("%d instances restarted at once: all have the document after %v, with %d table reads", len(f.processes), took, reads)
			require.LessOrEqual(t, took, 3500*time.Millisecond)
			require.LessOrEqual(t, reads, 10*size.zones)
		})
	}
}

func (f *fleet) sent() (bytes []int) {
	for _, p := range f.processes {
		bytes = append(bytes, p.host.SentBytes())
	}
	return bytes
}

// Guards against an unknown outcome that loses one of its causes when it is
// wrapped, and a definite failure that is reported as unknown.
func TestUnknownOutcomeErrors(t *testing.T) {
	err := withUnknownOutcome(radishcrank.ErrUnavailable, true)
	require.ErrorIs(t, err, radishcrank.ErrUnknownOutcome)
	require.ErrorIs(t, err, radishcrank.ErrUnavailable)
	require.NotErrorIs(t, withUnknownOutcome(&ConflictError{}, true), radishcrank.ErrUnknownOutcome)
	require.False(t, errors.Is(withUnknownOutcome(ErrNotUpToDate, false), radishcrank.ErrUnknownOutcome))
}
