package rceval

import (
	"container/heap"
	"time"
)

// loop runs callbacks in order of time on one goroutine. Callbacks of the same
// time run in the order in which they were added, so a run depends on nothing
// but its seed. It sleeps on the runtime clock and therefore takes virtual time
// inside a synctest bubble.
type loop struct {
	events eventHeap
	added  uint64
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

// at runs f at time t, or at once if t has passed.
func (l *loop) at(t time.Time, f func()) {
	l.added++
	heap.Push(&l.events, event{at: t, order: l.added, run: f})
}

// after runs f when d has passed.
func (l *loop) after(d time.Duration, f func()) { l.at(time.Now().Add(d), f) }

// every runs f at once and then each time d has passed, until end.
func (l *loop) every(d time.Duration, end time.Time, f func()) {
	var tick func()
	tick = func() {
		f()
		if next := time.Now().Add(d); next.Before(end) {
			l.at(next, tick)
		}
	}
	l.at(time.Now(), tick)
}

// run returns when no event is left.
func (l *loop) run() {
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		if wait := time.Until(e.at); wait > 0 {
			time.Sleep(wait)
		}
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
