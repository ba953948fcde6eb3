package rcfakeengine

import "github.com/radishcrank/radishcrank"

// waiter is a request that waits for a slot in the batch.
type waiter struct {
	priority radishcrank.Priority
	arrival  uint64
	index    int // Index in the heap; -1 after removal.
	ready    chan struct{}
}

// waiterHeap orders waiters by descending priority, then by arrival. It implements
// heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
