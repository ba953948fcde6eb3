package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playTakeUp has clients take up streams at the second of two machines, after a planned stop of
// the first one has cut them. With the disruption, the second machine has been stopped and
// started in turn shortly before, as in a rolling restart.
func playTakeUp(d *deployment, trouble bool) (broken string, err error) {
	const (
		streams = 24
		events  = 60
		limit   = 15 * time.Second
		contact = 3 * time.Second
		// reconnect is how long a client takes until it opens its next channel.
		reconnect = 100 * time.Millisecond
	)
	c := newConfig()
	c.Routes[0].TimeoutMs = int(limit.Milliseconds())
	d.putConfig(c)
	for range 3 {
		s := &server{service: modelService, model: modelName, slots: 64, events: events, eventInterval: 200 * time.Millisecond}
		if err := d.addServer(s, "v1"); err != nil {
			return "", err
		}
	}
	if err := d.addNodes(2, 0); err != nil {
		return "", err
	}
	time.Sleep(20 * time.Second) // The machines have known the servers for longer than a stream may last.

	first, second := d.nodes[0], d.nodes[1]
	if trouble {
		second.signal(syscall.SIGTERM)
	}
	time.Sleep(2600 * time.Millisecond)
	ask := func(id string, left time.Duration) request {
		q := advice(id, "ctnfzs989anu6wsjnban")
		q.parts = fmt.Sprintf("5c1e07a2:800,91bd%s:410,e44%s:250", id, id)
		q.deadline = left
		return q
	}
	var mu sync.Mutex
	taken, wentOn, began, sentNew := 0, 0, 0, 0
	var wg sync.WaitGroup
	stopped := make(chan struct{}) // Closed when the first machine has got its SIGTERM.
	for k := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 20 * time.Millisecond)
			id := fmt.Sprintf("%04x", k)
			sent := time.Now()
			d.rec.add("client: sends %s to machine %s", id, first.name)
			a := send(first.front, ask(id, limit))
			d.rec.add("client: %s ends: status %d, %d of %d events, whole %v, %v", id, a.status, len(a.events), events, a.whole, a.err)
			if len(a.events) == 0 || a.whole {
				return
			}
			time.Sleep(reconnect)
			q := ask(id+"b", limit-time.Since(sent))
			q.body = []byte("prompt of " + id)
			q.lastEvent, q.resumes = a.last(""), id
			inTouch := second.upFor() > contact
			d.rec.add("client: takes up %s after event %s with %s at machine %s, whose process started %.1f s ago", id, q.lastEvent, q.id, second.name, second.upFor().Seconds())
			b := send(second.front, q)
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
		if k == streams-1 {
			go func() {
				time.Sleep(2400 * time.Millisecond)
				first.signal(syscall.SIGTERM)
				close(stopped)
			}()
		}
	}
	<-stopped
	time.Sleep(7500 * time.Millisecond)
	for k := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 10 * time.Millisecond)
			id := fmt.Sprintf("f%03x", k)
			a := send(second.front, ask(id, limit))
			d.rec.add("client: new stream %s at machine %s: status %d, %d events, whole %v, %v", id, second.name, a.status, len(a.events), a.whole, a.err)
			mu.Lock()
			defer mu.Unlock()
			sentNew++
			if len(a.events) > 0 {
				began++
			}
		})
	}
	wg.Wait()
	d.rec.add("at the machine in touch: %d of %d streams that were taken up went on, %d of %d new streams began", wentOn, taken, began, sentNew)
	if taken < 12 || sentNew == 0 {
		return "", fmt.Errorf("only %d streams were taken up at a machine in touch", taken)
	}
	if float64(wentOn)/float64(taken) < float64(began)/float64(sentNew)/2 {
		return fmt.Sprintf("LOST: %d of %d streams that clients took up at a machine in touch went on, and %d of %d new streams began", wentOn, taken, began, sentNew), nil
	}
	return "", nil
}
