package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// playTakeUp has clients take up streams at other machines. With the disruption, these other
// machines are killed together when the streams begin, and 5 s later the machine of the
// streams is killed. Otherwise the channels of the clients break by themselves.
func playTakeUp(d *deployment, trouble bool) (broken string, err error) {
	const (
		streams   = 24
		events    = 36
		limit     = 8 * time.Second
		contactMs = 3 * time.Second
	)
	c := newConfig()
	c.Routes[0].TimeoutMs, c.Routes[0].TargetLatencyMs, c.Routes[0].GapAimMs = 8000, 800, 500
	d.putConfig(c)
	for range 3 {
		s := &server{service: modelService, model: modelName, slots: 64, events: events, eventInterval: 200 * time.Millisecond}
		if err := d.addServer(s, "v1"); err != nil {
			return "", err
		}
	}
	if err := d.addNodes(3, 0); err != nil {
		return "", err
	}
	time.Sleep(12 * time.Second) // The machines have known the servers for longer than a stream lasts.

	first, others := d.nodes[0], d.nodes[1:]
	if trouble {
		for _, m := range others {
			m.signal(syscall.SIGKILL)
		}
	}
	ask := func(id string, left time.Duration) request {
		q := advice(id, "ctnfzs989anu6wsjnban")
		q.parts = fmt.Sprintf("5c1e07a2:800,91bd%s:410,e44%s:250", id, id)
		q.deadline = left
		return q
	}
	ctx, breakChannels := context.WithCancel(context.Background())
	defer breakChannels()
	var mu sync.Mutex
	taken, wentOn, began, new := 0, 0, 0, 0
	var wg sync.WaitGroup
	for k := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 10 * time.Millisecond)
			id := fmt.Sprintf("%04x", k)
			sent := time.Now()
			d.rec.add("client: sends %s to machine %s", id, first.name)
			a := sendUntil(ctx, first.front, ask(id, limit))
			d.rec.add("client: %s ends: status %d, %d of %d events, whole %v, %v", id, a.status, len(a.events), events, a.whole, a.err)
			if len(a.events) == 0 || a.whole {
				return
			}
			m := others[rand.IntN(len(others))]
			q := ask(id+"b", limit-time.Since(sent))
			q.body = []byte("prompt of " + id)
			q.lastEvent, q.resumes = a.last(""), id
			inTouch := !trouble || m.upFor() > contactMs
			d.rec.add("client: takes up %s after event %s with %s at machine %s, process started %.1f s ago", id, q.lastEvent, q.id, m.name, m.upFor().Seconds())
			b := send(m.front, q)
			d.rec.add("client: %s ends: status %d, %d events, whole %v, Retry-After %v, %q, %v", q.id, b.status, len(b.events), b.whole, b.retryAfter, b.body, b.err)
			mu.Lock()
			defer mu.Unlock()
			if inTouch {
				taken++
				if len(b.events) > 0 {
					wentOn++
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		first.signal(syscall.SIGKILL)
	} else {
		breakChannels()
	}
	for k := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 10 * time.Millisecond)
			id := fmt.Sprintf("f%03x", k)
			m := others[k%len(others)]
			a := send(m.front, ask(id, limit))
			d.rec.add("client: new stream %s at machine %s: status %d, %d events, whole %v, %v", id, m.name, a.status, len(a.events), a.whole, a.err)
			mu.Lock()
			defer mu.Unlock()
			new++
			if len(a.events) > 0 {
				began++
			}
		})
	}
	wg.Wait()
	d.rec.add("at machines in touch: %d of %d streams that were taken up went on, %d of %d new streams began", wentOn, taken, began, new)
	if taken < 12 || new == 0 {
		return "", fmt.Errorf("only %d streams were taken up at machines in touch", taken)
	}
	if float64(wentOn)/float64(taken) < float64(began)/float64(new)/2 {
		return fmt.Sprintf("LOST: %d of %d streams that clients took up at machines in touch went on, and %d of %d new streams began", wentOn, taken, began, new), nil
	}
	return "", nil
}
