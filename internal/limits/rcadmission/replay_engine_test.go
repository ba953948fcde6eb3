package rcadmission

import (
	"sort"
	"time"
)

type replayEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type replayQueue []replayEvent

func (q replayQueue) Len() int { return len(q) }
func (q replayQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q replayQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(x any)   { *q = append(*q, x.(replayEvent)) }
func (q *replayQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type replayEngine struct {
	running int
	used    int // Tokens of the admitted calls.
	waiting []*replayCall
	reading []*replayCall // Admitted, in order.
	busy    bool
}

func (r *replay) change(c *replayCall, running, prefilling int) {
	l := &r.own[c.instance][c.engine]
	l.Running += running
	l.Prefilling += prefilling
	if c.deferred && prefilling != 0 {
		l.Late.Running += max(-1, min(1, prefilling))
		l.Late.Prefilling += prefilling
	}
}

func (r *replay) send(c *replayCall) {
	r.change(c, 1, c.uncached)
	e := &r.engines[c.engine]
	e.waiting = append(e.waiting, c)
	r.at(min(c.receipt+c.route.abandon, c.sentAt+c.route.total), func() { r.leave(c) })
	r.step(e)
}

// leave ends a call whose answer has not begun when its caller gives up.
func (r *replay) leave(c *replayCall) {
	if c.begun {
		return
	}
	c.gone = true
	r.change(c, -1, -c.uncached)
	r.result.add(c, func(t *tally) { t.gone++ })
}

// step lets an engine admit calls and read the next prompt.
func (r *replay) step(e *replayEngine) {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority < e.waiting[j].priority })
	for len(e.waiting) > 0 && (e.waiting[0].gone || e.used+e.waiting[0].tokens <= replayTokens && e.running < replaySlots) {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !c.gone {
			e.used += c.tokens
			e.running++
			e.reading = append(e.reading, c)
		}
	}
	for !e.busy && len(e.reading) > 0 {
		c := e.reading[0]
		e.reading = e.reading[1:]
		if c.gone {
			e.end(c)
			continue
		}
		e.busy = true
		r.at(r.now+time.Duration(c.work)*time.Millisecond/replayRate, func() {
			e.busy = false
			r.begin(c, e)
			r.step(e)
		})
	}
}

// end frees what a call that was admitted took up.
func (e *replayEngine) end(c *replayCall) {
	e.used -= c.tokens
	e.running--
}

// begin delivers the first event of a call whose prompt has been read.
func (r *replay) begin(c *replayCall, e *replayEngine) {
	if c.gone {
		e.end(c)
		return
	}
	c.begun = true
	r.result.firsts[c.ofRoute()] = append(r.result.firsts[c.ofRoute()], r.now-c.sentAt)
	r.returns[c.instance].RecordBegin(replayBegin.Add(r.now))
	r.change(c, 0, -c.uncached)
	if r.now-c.receipt <= c.route.target && c.returns == 0 {
		r.result.add(c, func(t *tally) { t.inTime++ })
	} else {
		r.result.add(c, func(t *tally) { t.late++ })
	}
	r.at(r.now+time.Duration(c.route.output)*40*time.Millisecond, func() {
		e.end(c)
		r.change(c, -1, 0)
		r.step(e)
	})
}
