package main

import (
	"fmt"
	"time"
)

// playIsolation has two tenants ask with the same shared parts. With the disruption, a
// desired state makes the first one isolated between its requests and those of the other;
// otherwise it has been isolated from the beginning.
func playIsolation(d *deployment, trouble bool) (broken string, err error) {
	const requests = 12
	c := newConfig()
	c.Tenants[0].Isolated = !trouble
	d.putConfig(c)
	for range 3 {
		s := &server{service: modelService, model: modelName, slots: 64, events: 5, eventInterval: 20 * time.Millisecond}
		if err := d.addServer(s, "v1"); err != nil {
			return "", err
		}
	}
	if err := d.addNodes(2, 0); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)

	ask := func(t tenant) error {
		for k := range requests {
			id := fmt.Sprintf("%s%02x", t.Name, k)
			q := advice(id, t.ApiKeys[0])
			q.parts = fmt.Sprintf("5c1e07a2:800,91bd%04x:410,e44%04x:250", k, time.Now().UnixNano()&0xffff)
			m := d.nodes[k%2]
			a := send(m.front, q)
			d.rec.add("client: %s of tenant %s to machine %s ends: status %d, %d events, whole %v, %v", id, t.Name, m.name, a.status, len(a.events), a.whole, a.err)
			if a.status != 200 {
				return fmt.Errorf("request %s: status %d, %v", id, a.status, a.err)
			}
		}
		return nil
	}
	if err := ask(c.Tenants[0]); err != nil {
		return "", err
	}
	time.Sleep(200 * time.Millisecond)
	c.Version = 8
	c.Tenants[0].Isolated = true
	c.Routes[1].TimeoutMs = 900
	d.putConfig(c)
	acked := time.Now()
	time.Sleep(3 * time.Second)
	if err := ask(c.Tenants[1]); err != nil {
		return "", err
	}
	const configApply = 2 * time.Second
	foreign := 0
	for _, u := range d.uses {
		if u.at.Sub(acked) > configApply {
			foreign++
		}
	}
	d.rec.add("parts of the isolated tenant %s used by requests of %s: %d", c.Tenants[0].Name, c.Tenants[1].Name, foreign)
	if foreign > 0 {
		return fmt.Sprintf("WALL: %d times a request used KV cache that a request of the isolated tenant made, %v or more after the desired state that isolates it", foreign, configApply), nil
	}
	return "", nil
}
