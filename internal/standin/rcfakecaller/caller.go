// Package rcfakecaller implements a fake caller of a router instance, with the
// request headers of the platform's callers.
package rcfakecaller

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Request describes a request of a caller.
type Request struct {
	Addr    string // Address of the instance's listener for callers.
	Path    string
	ID      string
	Timeout time.Duration // Timeout that the caller announces in the request.
	Model   string        // Empty for requests to plain services.
	Part    string        // Entry of one more part of the prompt, before the last one; empty for none.
	Key     string        // API key; defaults to k1.
	// Resumes and LastEventID take a stream up: the attempt that brought its first event,
	// and the last event that the caller has.
	Resumes     string
	LastEventID string
	MaxEvents   int // Closes the connection after so many events of a stream; 0 for no limit.
	// OutputTokens is the maximum number of output tokens. If it is not 0, the caller states
	// what its request costs. OwnTokens is the size of the last part of the prompt; 0 is
	// defaultOwnTokens.
	OutputTokens int
	OwnTokens    int
	BodyBytes    int           // Size of the body; 0 for a short one.
	ReadPause    time.Duration // Pause after each KiB of the response.
}

const (
	sharedTokens     = 2500
	groupTokens      = 3000
	defaultOwnTokens = 900
)

// Tokens returns the number of tokens that the request states, 0 if it states none.
func (q Request) Tokens() int {
	if q.OutputTokens == 0 {
		return 0
	}
	return q.promptTokens() + q.OutputTokens
}

func (q Request) promptTokens() int {
	return sharedTokens + groupTokens + cmp.Or(q.OwnTokens, defaultOwnTokens)
}

func (q Request) body() string {
	text := "body of " + q.ID
	return text + strings.Repeat(".", max(0, q.BodyBytes-len(text)))
}

// Result is the outcome of a request as the caller sees it.
type Result struct {
	Status int  // 0 if the connection broke before the response headers.
	Signed bool // Whether the response has a seal.
	Body   string
	Err    error // Error of the connection or of reading the body.
	// Upstream is the upstream that answered. Limited reports whether the answer names a
	// rate limit, and Leaving whether it says that the upstream leaves.
	Upstream string
	Limited  bool
	Leaving  bool
	// RetryAfter is the header of that name, "" without one.
	RetryAfter string
}

// Send sends a request and reads the whole response.
func Send(client *http.Client, q Request) Result {
	r, err := http.NewRequest(http.MethodPost, "http://"+q.Addr+q.Path, strings.NewReader(q.body()))
	if err != nil {
		return Result{Err: err}
	}
	r.Host = "a.example"
	r.Header.Set("Radishcrank-Attempt-Id", q.ID)
	r.Header.Set("Radishcrank-Deadline-Ms", fmt.Sprint(q.Timeout.Milliseconds()))
	r.Header.Set("X-Api-Key", cmp.Or(q.Key, "k1"))
	if q.Model != "" {
		r.Header.Set("Radishcrank-Model", q.Model)
		parts := []string{
			fmt.Sprint("aa:", sharedTokens), fmt.Sprintf("b%d:%d", len(q.ID)%4, groupTokens), fmt.Sprintf("%x:%d", q.ID, cmp.Or(q.OwnTokens, defaultOwnTokens)),
		}
		if q.Part != "" {
			parts = slices.Insert(parts, 2, q.Part)
		}
		r.Header.Set("Radishcrank-Prefix-Hash", strings.Join(parts, ","))
	}
	if q.OutputTokens > 0 {
		r.Header.Set("Radishcrank-Token-Usage", fmt.Sprintf("%d,%d", q.promptTokens(), q.OutputTokens))
	}
	if q.LastEventID != "" {
		r.Header.Set("Last-Event-Id", q.LastEventID)
		r.Header.Set("Resumes", q.Resumes)
	}
	resp, err := client.Do(r)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	text, err := readEvents(resp.Body, q.MaxEvents, q.ReadPause)
	sealed := resp.Header.Get("Radishcrank-Response-Seal") != ""
	return Result{
		Status: resp.StatusCode, Signed: sealed, Body: string(text), Err: err,
		Upstream: resp.Header.Get("Radishcrank-Instance-Id"), Limited: resp.Header.Get("Server-Limit") != "",
		Leaving: resp.Header.Get("Server-Leaving") != "", RetryAfter: resp.Header.Get("Retry-After"),
	}
}

// readEvents reads a body to its end, or a stream until it has a number of events, with a
// pause after each read.
func readEvents(body io.Reader, events int, pause time.Duration) (text []byte, err error) {
	buf := make([]byte, 1<<10)
	for events == 0 || bytes.Count(text, []byte("\n\n")) < events {
		n, err := body.Read(buf)
		text = append(text, buf[:n]...)
		if err == io.EOF {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		time.Sleep(pause)
	}
	return text, nil
}
