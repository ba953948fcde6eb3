package rcfakeupstream

import (
	"net/http"
	"strconv"
	"time"
)

// SetLeaving sets whether the upstream says in all responses that it leaves.
func (u *Upstream) SetLeaving(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = leaving
}

// Leaving reports whether the upstream says that it leaves.
func (u *Upstream) Leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

func (u *Upstream) announceLeaving(h http.Header) {
	if u.Leaving() {
		h.Set("Server-Leaving", "1")
	}
}

// SetBrittle sets the number of requests that the upstream says it may turn away in a second
// before it falls over; 0 ends that. It does not fall by itself.
func (u *Upstream) SetBrittle(refusals int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.brittle = refusals
}

func (u *Upstream) announceBrittle(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.brittle > 0 {
		h.Set("Server-Brittle", strconv.Itoa(u.brittle))
	}
}

// admit reports whether a request is admitted, and sets the headers of its refusal if not.
func (u *Upstream) admit(h http.Header, id string) bool {
	if u.cfg.Admit == nil {
		return true
	}
	pause, ok := u.cfg.Admit(id)
	if ok {
		return true
	}
	h.Set("Radishcrank-Not-Executed", "1")
	if pause > 0 {
		h.Set("Retry-After", strconv.FormatFloat(pause.Round(10*time.Millisecond).Seconds(), 'f', -1, 64))
	}
	return false
}
