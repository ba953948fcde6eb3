package rcblame

import "time"

const (
	// usageWindow is the time over which the use of parts is averaged, up to twice as long.
	usageWindow = 15 * time.Second
	// maxUsageParts bounds the parts whose use is known in each window.
	maxUsageParts = 8192
)

// usage measures for how long the runs of this instance with each part were beginning.
type usage struct {
	startedAt         time.Time // Of the earlier window.
	rotatedAt         time.Time
	current, previous map[Key]time.Duration
}

func newUsage() usage {
	now := time.Now()
	return usage{startedAt: now, rotatedAt: now, current: map[Key]time.Duration{}}
}

func (u *usage) add(r *Run, now time.Time) {
	if now.Sub(u.rotatedAt) >= usageWindow || len(u.current) >= maxUsageParts {
		u.startedAt, u.rotatedAt = u.rotatedAt, now
		u.previous, u.current = u.current, map[Key]time.Duration{}
	}
	d := r.beginDuration(now)
	for _, p := range r.parts {
		u.current[p] += d
	}
}

func (u *usage) busy(p Key) time.Duration { return u.current[p] + u.previous[p] }

// span returns the time over which the use of parts is known.
func (u *usage) span(now time.Time) time.Duration { return max(now.Sub(u.startedAt), time.Second) }

// recentParts holds parts for a lifetime.
type recentParts struct {
	lifetime          time.Duration
	rotatedAt         time.Time
	current, previous map[Key]time.Time
}

func (p *recentParts) add(k Key, now time.Time) { p.addAt(k, now, now) }

// addAt adds a part whose lifetime began at a time, unless it is known from a later one.
func (p *recentParts) addAt(k Key, at, now time.Time) {
	if known, ok := p.at(k); ok && known.After(at) {
		return
	}
	if p.current == nil || now.Sub(p.rotatedAt) >= p.lifetime || len(p.current) >= maxUsageParts {
		p.previous, p.current, p.rotatedAt = p.current, map[Key]time.Time{}, now
	}
	p.current[k] = at
}

// any reports whether there are parts whose lifetime has not ended.
func (p *recentParts) any(now time.Time) bool {
	return len(p.current) > 0 && now.Sub(p.rotatedAt) < p.lifetime
}

// at returns when the lifetime of a part began.
func (p *recentParts) at(k Key) (at time.Time, ok bool) {
	if at, ok = p.current[k]; !ok {
		at, ok = p.previous[k]
	}
	return at, ok
}

func (p *recentParts) has(k Key, now time.Time) bool {
	at, ok := p.at(k)
	return ok && now.Sub(at) < p.lifetime
}
