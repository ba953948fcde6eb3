package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playSilence stops a machine as planned while streams run at two servers. With the disruption,
// one of these falls silent for 1.3 s and goes on.
func playSilence(d *deployment, trouble bool) (broken string, err error) {
	const (
		streams = 72
		events  = 35
		silence = 1300 * time.Millisecond
	)
	d.putConfig(newConfig())
	for _, software := range []string{"v1", "v1"} {
		s := &server{service: modelService, model: modelName, slots: 64, events: events, eventInterval: 100 * time.Millisecond}
		if err := d.addServer(s, software); err != nil {
			return "", err
		}
	}
	if err := d.addNodes(2, 0); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // The machines are in touch.

	stopped := d.nodes[0]
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	for k := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 5 * time.Millisecond)
			id := fmt.Sprintf("%04x", k)
			q := advice(id, "ctnfzs989anu6wsjnban")
			q.parts = fmt.Sprintf("5c1e07a2:800,91bd%s:410,e44%s:250", id, id)
			m := d.nodes[k%2]
			d.rec.add("client: sends %s to machine %s", id, m.name)
			answers[k] = send(m.front, q)
			a := answers[k]
			d.rec.add("client: %s ends: status %d, %d of %d events, whole %v, %v", id, a.status, len(a.events), events, a.whole, a.err)
		})
	}
	time.Sleep(800 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.servers[0].fallSilent(silence)
	}
	wg.Wait()
	cut := [2]int{}
	for k, a := range answers {
		if a.status == 0 && len(a.events) == 0 && !a.connected {
			return "", fmt.Errorf("stream %d did not begin: %v", k, a.err)
		}
		if a.status == 200 && !a.whole {
			cut[k%2]++
		}
	}
	d.rec.add("streams that ended without a complete answer: %d of %d at the machine with SIGTERM, %d of %d at the other one", cut[0], streams/2, cut[1], streams/2)
	if cut[0] > 0 {
		return fmt.Sprintf("LOST: %d of %d streams, taken by the machine before its SIGTERM and passed on, ended without a complete answer; no server had broken off", cut[0], streams/2), nil
	}
	return "", nil
}
