package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playVersions has streams begin after a quiet time. With the disruption, the store is down
// for 4.5 s, and at the beginning of that, while nothing runs, a server crashes and starts
// again, under the Id that it had, with a newer version of its software. Later it falls silent
// for 1.3 s.
func playVersions(d *deployment, trouble bool) (broken string, err error) {
	const (
		streams = 60
		events  = 30
		silence = 1300 * time.Millisecond
		outage  = 4500 * time.Millisecond // Of the store.
		down    = 300 * time.Millisecond  // The server.
	)
	d.putConfig(newConfig())
	for range 4 {
		s := &server{service: modelService, model: modelName, slots: 64, events: events, eventInterval: 100 * time.Millisecond}
		if err := d.addServer(s, "v1"); err != nil {
			return "", err
		}
	}
	if err := d.addNodes(2, 0); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)

	began := time.Now()
	if trouble {
		d.setStoreDown(true)
		d.servers[0].crash()
		time.Sleep(down)
		if err := d.servers[0].start("v2"); err != nil {
			return "", err
		}
	}
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	for k := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * 25 * time.Millisecond)
			id := fmt.Sprintf("%04x", k)
			q := advice(id, "ctnfzs989anu6wsjnban")
			q.parts = fmt.Sprintf("5c1e07a2:800,91bd%s:410,e44%s:250", id, id)
			m := d.nodes[k%2]
			d.rec.add("client: sends %s to machine %s", id, m.name)
			a := send(m.front, q)
			d.rec.add("client: %s ends: status %d, %d of %d events, of software %v, whole %v, %v", id, a.status, len(a.events), events, softwareOf(a), a.whole, a.err)
			answers[k] = a
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.servers[0].fallSilent(silence)
		time.Sleep(outage - time.Since(began))
		d.setStoreDown(false)
	}
	wg.Wait()
	mixed := 0
	for _, a := range answers {
		if len(softwareOf(a)) > 1 {
			mixed++
		}
	}
	d.rec.add("streams with events of two versions: %d of %d", mixed, streams)
	if mixed > 2 {
		return fmt.Sprintf("ORDER: %d of %d streams hold events from servers of two software versions in one answer", mixed, streams), nil
	}
	return "", nil
}

// softwareOf returns the software versions that made the events of an answer.
func softwareOf(a answer) (versions []string) {
	seen := map[string]bool{}
	for _, e := range a.events {
		_, software, _ := strings.Cut(e.data, " by ")
		if !seen[software] {
			seen[software] = true
			versions = append(versions, software)
		}
	}
	return versions
}
