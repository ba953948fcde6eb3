package rcconfig

import (
	"errors"
	"net/url"
	"path"
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxDecodings is how often a path is percent-decoded at most. A path with more
// levels of encoding is treated as an attempt to hide its target.
const maxDecodings = 4

// anyMethod is the method of a rule that applies to all methods.
const anyMethod = "*"

// RunsAtMostOnce reports whether a call must not be repeated.
//
// A rule "METHOD /prefix" matches a call if the methods are equal and the path
// starts with the prefix, both case-insensitively, in any interpretation that a
// service might apply to the path: as written or percent-decoded up to four times,
// with or without its path parameters (";..."), with backslashes treated as
// slashes, with empty and "." segments dropped, and with ".." segments resolved or
// not. The query and fragment are ignored. "/releases" matches "/releases/7" and
// "/releases2". A path that cannot be interpreted (an invalid escape, invalid
// UTF-8, a control character, or more levels of encoding) matches every rule for
// its method. A false match only requires an idempotency key from the caller,
// whereas a missed match could execute a booking twice.
func (s Service) RunsAtMostOnce(method, target string) bool {
	var prefixes []string
	for _, rule := range s.NonRepeatable {
		m, prefix, _ := strings.Cut(rule, " ")
		if m == anyMethod || strings.EqualFold(m, strings.TrimSpace(method)) {
			prefixes = append(prefixes, foldCase(dropEmptySegments(prefix)))
		}
	}
	if len(prefixes) == 0 {
		return false
	}
	paths, valid := interpretations(target)
	if !valid {
		return true
	}
	for _, p := range paths {
		for _, prefix := range prefixes {
			if strings.HasPrefix(p, prefix) {
				return true
			}
		}
	}
	return false
}

// interpretations returns the case-folded paths that a service might derive from the
// target of a request. valid is false if the path cannot be interpreted.
func interpretations(target string) (paths []string, valid bool) {
	p, _, _ := strings.Cut(target, "#")
	p, _, _ = strings.Cut(p, "?")
	for range maxDecodings + 1 {
		if !utf8.ValidString(p) || strings.ContainsFunc(p, unicode.IsControl) {
			return nil, false
		}
		withParameters := "/" + strings.ReplaceAll(p, `\`, "/")
		withoutParameters := dropParameters(withParameters)
		for _, variant := range []string{withParameters, withoutParameters} {
			paths = append(paths, foldCase(dropEmptySegments(variant)), foldCase(path.Clean(variant)))
		}
		next, err := url.PathUnescape(p)
		if err != nil {
			return nil, false
		}
		if next == p {
			return paths, true
		}
		p = next
	}
	return nil, false
}

// dropEmptySegments drops empty and "." segments, but keeps "..".
func dropEmptySegments(p string) string {
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

// dropParameters truncates each segment at its first semicolon.
func dropParameters(p string) string {
	segments := strings.Split(p, "/")
	for i, segment := range segments {
		segments[i], _, _ = strings.Cut(segment, ";")
	}
	return strings.Join(segments, "/")
}

// foldCase maps each rune to the smallest one that is equal to it under simple case
// folding. Unlike strings.ToLower, it also makes U+017F equal to "s".
func foldCase(s string) string {
	return strings.Map(func(r rune) rune {
		least := r
		for next := unicode.SimpleFold(r); next != r; next = unicode.SimpleFold(next) {
			least = min(least, next)
		}
		return least
	}, s)
}

// checkRule validates one item of NonRepeatable.
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
