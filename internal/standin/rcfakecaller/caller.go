// Package rcfakecaller is a stand-in for the callers of the users' platform.
package rcfakecaller

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Request is one request of a caller.
type Request struct {
	Addr    string // Listener of the instance.
	Path    string
	ID      string
	Timeout time.Duration // Time that the caller states.
	Model   string        // Empty for plain services.
	Key     string        // Empty is k1.
}

// Result is what a caller saw of a request.
type Result struct {
	Status int // 0 if the connection broke before a status line.
	Signed bool
	Body   string
	Err    error // Of the connection or the body.
}

// Send sends a request and reads the whole answer.
func Send(client *http.Client, q Request) Result {
	r, err := http.NewRequest(http.MethodPost, "http://"+q.Addr+q.Path, strings.NewReader("body of "+q.ID))
	if err != nil {
		return Result{Err: err}
	}
	r.Host = "a.example"
	r.Header.Set("Radishcrank-Attempt-Id", q.ID)
	r.Header.Set("Radishcrank-Deadline-Ms", fmt.Sprint(q.Timeout.Milliseconds()))
	r.Header.Set("X-Api-Key", cmp.Or(q.Key, "k1"))
	if q.Model != "" {
		r.Header.Set("Radishcrank-Model", q.Model)
		r.Header.Set("Radishcrank-Prefix-Hash", fmt.Sprintf("aa:2500,b%d:3000,%x:900", len(q.ID)%4, q.ID))
	}
	resp, err := client.Do(r)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	signed := resp.Header.Get("Radishcrank-Response-Seal") != ""
	return Result{Status: resp.StatusCode, Signed: signed, Body: string(text), Err: err}
}
