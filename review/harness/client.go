package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, host, path, key string
	body                        []byte
	deadline                    time.Duration // Time that the client still waits.
	model, parts, usage         string
	lastEvent, resumes          string
}

// answer is what a client attempt has brought.
type answer struct {
	connected  bool // The channel was established.
	status     int  // 0 if no answer began.
	whole      bool // The answer has ended as complete.
	err        error
	retryAfter time.Duration
	body       []byte
	events     []event
}

type event struct{ id, data string }

// send makes one client attempt on a new channel.
func send(front string, q request) (a answer) { return sendUntil(context.Background(), front, q) }

// sendUntil makes one client attempt, whose channel breaks when ctx is done.
func sendUntil(ctx context.Context, front string, q request) (a answer) {
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		a.connected = err == nil
		return conn, err
	}}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+front+q.path, bytes.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = q.host
	for name, value := range map[string]string{
		"Radishcrank-Attempt-Id": q.id, "Radishcrank-Deadline-Ms": strconv.FormatInt(q.deadline.Milliseconds(), 10), "X-Api-Key": q.key,
		"Radishcrank-Model": q.model, "Radishcrank-Prefix-Hash": q.parts, "Radishcrank-Token-Usage": q.usage,
		"Last-Event-Id": q.lastEvent, "Resumes": q.resumes,
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "text/event-stream" {
		a.body, a.err = io.ReadAll(resp.Body)
		a.whole = a.err == nil
		return a
	}
	a.events, a.err = readEvents(resp.Body)
	a.whole = a.err == nil
	return a
}

var errInsideEvent = errors.New("the stream ended inside an event")

// readEvents reads a stream to its end.
func readEvents(r io.Reader) (events []event, err error) {
	var e event
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadString('\n')
		switch {
		case err == io.EOF && line == "" && e == event{}:
			return events, nil
		case err == io.EOF:
			return events, errInsideEvent
		case err != nil:
			return events, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "":
			events = append(events, e)
			e = event{}
		case strings.HasPrefix(line, "id: "):
			e.id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		}
	}
}

// last returns the id of the last event, or that of the attempt before.
func (a answer) last(before string) string {
	if len(a.events) == 0 {
		return before
	}
	return a.events[len(a.events)-1].id
}
