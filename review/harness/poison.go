package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// badPart is the part of a prompt that crashes servers.
const badPart = "0bad0bad"

// playPoison has sound streams of 3 s at six machines. With the disruption, requests come too
// with a part that crashes each server that begins to write an answer on it.
func playPoison(d *deployment, trouble bool) (broken string, err error) {
	const (
		events   = 30
		contact  = 3 * time.Second
		calm     = 12 * time.Second
		total    = 60 * time.Second
		servers  = 3
		machines = 6
		back     = 4 * time.Second // From a crash of a server to its return.
		// Between two requests.
		soundInterval, badInterval = time.Second / 8, 2 * time.Second / 3
	)
	d.putConfig(newConfig())
	var mu sync.Mutex
	var crashes []time.Time
	for range servers {
		s := &server{service: modelService, model: modelName, slots: 64, events: events, eventInterval: 100 * time.Millisecond}
		s.onBegin = func(parts string) (crashed bool) {
			if !strings.Contains(parts, badPart) {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			s.crash()
			go func() {
				time.Sleep(back)
				if err := s.start("v1"); err != nil {
					d.rec.add("server %s: %v", s.id, err)
				}
			}()
			return true
		}
		if err := d.addServer(s, "v1"); err != nil {
			return "", err
		}
	}
	if err := d.addNodes(machines, 0); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)

	type attempt struct {
		at     time.Time
		bad    bool
		answer answer
	}
	var attempts []attempt
	var wg sync.WaitGroup
	started := time.Now()
	ask := func(n int, bad bool) {
		defer wg.Done()
		id := fmt.Sprintf("%05x", n)
		second := fmt.Sprintf("91bd%04x", n%20)
		if bad {
			id, second = "b"+id, badPart
		}
		q := advice(id, "ctnfzs989anu6wsjnban")
		q.parts = fmt.Sprintf("5c1e07a2:800,%s:410,e44%s:250", second, id)
		m := d.nodes[n%len(d.nodes)]
		at := time.Now()
		a := send(m.front, q)
		d.rec.add("client: %s to machine %s ends after %.1f s: status %d, %d events, whole %v, %v", id, m.name, time.Since(at).Seconds(), a.status, len(a.events), a.whole, a.err)
		mu.Lock()
		defer mu.Unlock()
		attempts = append(attempts, attempt{at, bad, a})
	}
	nextSound, nextBad, n := started, started.Add(calm), 0
	for time.Since(started) < total {
		now := time.Now()
		if !now.Before(nextSound) {
			n++
			wg.Add(1)
			go ask(n, false)
			nextSound = nextSound.Add(soundInterval)
		}
		if trouble && !now.Before(nextBad) {
			n++
			wg.Add(1)
			go ask(n, true)
			nextBad = nextBad.Add(badInterval)
		}
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	from := started.Add(calm)
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) > 0 {
		from = crashes[min(4, len(crashes)-1)].Add(2 * contact)
	}
	var began, sent [2]int // Before and after.
	for _, t := range attempts {
		k := 0
		switch {
		case t.bad:
			continue
		case t.at.Before(started.Add(calm - 4*time.Second)):
		case t.at.After(from):
			k = 1
		default:
			continue
		}
		sent[k]++
		if len(t.answer.events) > 0 {
			began[k]++
		}
	}
	late := 0
	for _, at := range crashes {
		if at.After(from.Add(-contact)) {
			late++
		}
	}
	d.rec.add("crashes %d, %d of them later than %v after the fifth; sound streams that began: %d of %d before, %d of %d from %v after the fifth crash on", len(crashes), late, contact, began[0], sent[0], began[1], sent[1], 2*contact)
	if sent[0] < 20 || sent[1] < 20 {
		return "", fmt.Errorf("too few requests")
	}
	if float64(began[1])/float64(sent[1]) < float64(began[0])/float64(sent[0])/2 {
		return fmt.Sprintf("LOST: %d of %d sound requests began at the first attempt from %v after the fifth crash on, and %d of %d before; the part crashed servers %d times, %d of them later than %v after the fifth", began[1], sent[1], 2*contact, began[0], sent[0], len(crashes), late, contact), nil
	}
	return "", nil
}
