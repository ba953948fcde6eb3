package rcconfig

import (
	"errors"
	"net/url"
	"path"
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxDecodings bounds how often a path is percent-decoded. A path that still
// changes after it is taken for an attempt to hide its target.
const maxDecodings = 4

// anyMethod in a rule stands for all methods.
const anyMethod = "*"

// RunsAtMostOnce reports whether a call must not be repeated.
//
// A rule "METHOD /prefix" covers a call if the methods agree without regard to
// case and the path starts with the prefix, without regard to case, in any
// reading that a service might give it: as written or percent-decoded up to four
// times, with or without its path parameters (";..."), with a backslash read
// as a slash, with empty and "." segments dropped, and with ".." segments
// resolved or not. The query and fragment do not count. "/releases" covers
// "/releases/7" and "/releases2". A path that cannot be read (a bad escape,
// invalid UTF-8, a control character, or more levels of encoding) is covered by
// every rule of its method. When in doubt a call is covered, which costs the
// caller an idempotency key; the opposite fault could run a booking twice.
func (s Service) RunsAtMostOnce(method, target string) bool {
	var prefixes []string
	for _, rule := range s.NonRepeatable {
		m, prefix, _ := strings.Cut(rule, " ")
		if m == anyMethod || strings.EqualFold(m, strings.TrimSpace(method)) {
			prefixes = append(prefixes, fold(collapse(prefix)))
		}
	}
	if len(prefixes) == 0 {
		return false
	}
	readings, clear := readings(target)
	if !clear {
		return true
	}
	for _, r := range readings {
		for _, prefix := range prefixes {
			if strings.HasPrefix(r, prefix) {
				return true
			}
		}
	}
	return false
}

// readings returns the folded forms in which a service might see a path. clear
// is false if the path cannot be read.
func readings(target string) (list []string, clear bool) {
	p, _, _ := strings.Cut(target, "#")
	p, _, _ = strings.Cut(p, "?")
	for range maxDecodings + 1 {
		if !utf8.ValidString(p) || strings.ContainsFunc(p, unicode.IsControl) {
			return nil, false
		}
		slashed := "/" + strings.ReplaceAll(p, `\`, "/")
		bare := dropParameters(slashed)
		for _, form := range []string{slashed, bare} {
			list = append(list, fold(collapse(form)), fold(path.Clean(form)))
		}
		next, err := url.PathUnescape(p)
		if err != nil {
			return nil, false
		}
		if next == p {
			return list, true
		}
		p = next
	}
	return nil, false
}

// collapse drops empty and "." segments, but keeps "..".
func collapse(p string) string {
	var b strings.Builder
	for _, segment := range strings.Split(p, "/") {
		if segment != "" && segment != "." {
			b.WriteString("/" + segment)
		}
	}
	if b.Len() == 0 {
		return "/"
	}
	return b.String()
}

// dropParameters cuts each segment at its first semicolon.
func dropParameters(p string) string {
	segments := strings.Split(p, "/")
	for i, segment := range segments {
		segments[i], _, _ = strings.Cut(segment, ";")
	}
	return strings.Join(segments, "/")
}

// fold maps each rune to the smallest one that equals it without regard to
// case, which covers more than ToLower: U+017F also folds to "s".
func fold(s string) string {
	return strings.Map(func(r rune) rune {
		least := r
		for next := unicode.SimpleFold(r); next != r; next = unicode.SimpleFold(next) {
			least = min(least, next)
		}
		return least
	}, s)
}

// checkRule checks one item of NonRepeatable.
func checkRule(rule string) error {
	method, prefix, ok := strings.Cut(rule, " ")
	if !ok || method == "" || !strings.HasPrefix(prefix, "/") || strings.Contains(prefix, " ") {
		return errors.New("the rule must be written as METHOD /path/prefix")
	}
	if method != anyMethod && strings.ContainsFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' }) {
		return errors.New("the method must be in capital letters, or * for all methods")
	}
	if strings.ContainsAny(prefix, `%?#;\`) || prefix != path.Clean(prefix) {
		return errors.New("the prefix must be a clean path without escapes, parameters, query and final slash")
	}
	return nil
}
