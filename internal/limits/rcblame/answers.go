package rcblame

import (
	"cmp"
	"slices"
	"time"
)

const (
	// soundTime is how long an answer also clears the parts of its prompt of crashes that
	// are reported after it, since reports and answers overtake each other.
	soundTime = time.Second
	// answeredTime is how long a part that an answer has cleared is blamed only alone,
	// and not because it comes together with another one.
	answeredTime = time.Minute
	// tellInterval is the least time until the others are told again that a suspect has had
	// an answer, for those that have just started. Suspects are told while the last crash
	// with them is not older than tellTime, at most maxTold at a time.
	tellInterval = 2 * time.Second
	tellTime     = 5 * time.Second
	maxTold      = 8
	// maxAnswers bounds the answers of a service that are known to have begun.
	maxAnswers = 64
)

// answer is an answer that has begun.
type answer struct {
	at    time.Time
	parts []Key // Of its prompt.
}

// recordAnswerLocked records that an answer has begun. The others are told of as many as are
// needed after the last crash that nothing explains: each instance has few of its own while
// most upstreams are down.
func (t *Tracker) recordAnswerLocked(service string, parts []Key, now time.Time) {
	needed := t.answersNeededLocked(service)
	t.addAnswerLocked(service, answer{at: now, parts: parts})
	if needed {
		t.cfg.Announce(Report{Service: service, Begun: parts})
	}
}

func (t *Tracker) addAnswerLocked(service string, a answer) {
	answers := append(t.answers[service], a)
	t.answers[service] = answers[max(0, len(answers)-maxAnswers):]
}

// answersNeededLocked reports whether fewer answers than minAnswers have begun since the last
// crash that nothing explains.
func (t *Tracker) answersNeededLocked(service string) bool {
	for n := len(t.crashes) - 1; n >= 0; n-- {
		if c := t.crashes[n]; c.service == service && !c.explained {
			answers := t.answers[service]
			return len(answers) < minAnswers || answers[len(answers)-minAnswers].at.Before(c.knownAt)
		}
	}
	return false
}

// clearLocked clears the parts of an answer, and tells the others of those that
// are suspects.
func (t *Tracker) clearLocked(parts []Key, now time.Time) {
	var news []Key
	for _, p := range parts {
		if t.suspected[p] > 0 {
			news = append(news, p)
		}
	}
	t.removeSuspectsLocked(parts, now)
	if len(news) > 0 {
		t.cfg.Announce(Report{Sound: news})
	}
}

// tellAnsweredLocked tells the others which suspects of several crashes have had an answer.
// An instance that has just started, or that serves few requests, would blame them
// together with the part that comes with them.
func (t *Tracker) tellAnsweredLocked(now time.Time) {
	crashes := map[Key]int{}
	for _, c := range t.crashes {
		if c.explained || now.Sub(c.knownAt) >= tellTime {
			continue
		}
		for p := range c.presence {
			if t.answered.has(p, now) && !t.told.has(p, now) {
				crashes[p]++
			}
		}
	}
	var news []AnsweredPart
	for p, n := range crashes {
		if at, ok := t.answered.at(p); ok && n > 1 {
			news = append(news, AnsweredPart{p, now.Sub(at)})
		}
	}
	if len(news) == 0 {
		return
	}
	slices.SortFunc(news, func(a, b AnsweredPart) int {
		return cmp.Or(cmp.Compare(crashes[b.Part], crashes[a.Part]), cmp.Compare(a.Part, b.Part))
	})
	news = news[:min(len(news), maxTold)]
	for _, a := range news {
		t.told.add(a.Part, now)
	}
	t.cfg.Announce(Report{Answered: news})
}

// removeSuspectsLocked removes parts from all crashes. A set of parts that was convicted
// together with one of them is convicted without it.
func (t *Tracker) removeSuspectsLocked(parts []Key, now time.Time) {
	for _, p := range parts {
		t.sound.add(p, now)
		t.answered.add(p, now)
		if t.suspected[p] == 0 {
			continue
		}
		for _, c := range t.crashes {
			c.remove(p)
		}
		delete(t.suspected, p)
		for _, set := range t.convicted {
			if rest := without(set, p); len(rest) > 0 && len(rest) < len(set) {
				t.convictLocked(rest, true)
			}
		}
	}
}
