package rceval

import (
	"container/heap"
	"time"
)

// eventLoop runs callbacks in time order on one goroutine. Callbacks for the
// same time run in the order in which they were added, so a run depends only on
// its seed. The loop sleeps on the runtime clock and thus uses virtual time
// inside a synctest bubble.
type eventLoop struct {
	events    eventHeap
	scheduled uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// at runs f at time t, or immediately if t has passed.
func (l *eventLoop) at(t time.Time, f func()) {
	l.scheduled++
	heap.Push(&l.events, event{at: t, sequence: l.scheduled, run: f})
}

// after runs f once d has elapsed.
func (l *eventLoop) after(d time.Duration, f func()) { l.at(time.Now().Add(d), f) }

// every runs f immediately and then at intervals of d until end.
func (l *eventLoop) every(d time.Duration, end time.Time, f func()) {
	var tick func()
	tick = func() {
		f()
		if next := time.Now().Add(d); next.Before(end) {
			l.at(next, tick)
		}
	}
	l.at(time.Now(), tick)
}

// run processes events until none is left.
func (l *eventLoop) run() {
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
		return h[i].sequence < h[j].sequence
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
