package rcexplain

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	neturl "net/url"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

const (
	// maxReportBytes bounds a report, which has about 1 KB for each of 5,500 upstreams.
	maxReportBytes = 16 << 20
	clientTimeout  = 5 * time.Second
)

var httpClient = &http.Client{Transport: rcframing.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// Instance is a registered instance.
type Instance struct {
	Name, Zone string
	URL        string `json:",omitempty"` // Of its listener for operators; empty if it has none, or for earlier versions.
}

// Error is the response to a request that cannot be explained.
type Error struct{ Message string }

// ErrNoAnswer means that an instance could not be reached or did not answer in time.
var ErrNoAnswer = errors.New("it does not answer")

// Ask asks the instance whose listener for operators has the given URL.
func Ask(ctx context.Context, url string, req Request) (r Report, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return r, err
	}
	err = call(ctx, http.MethodPost, url, Path, body, &r)
	return r, err
}

// Instances asks an instance for the registered instances that it knows, and itself.
func Instances(ctx context.Context, url string) (list []Instance, err error) {
	err = call(ctx, http.MethodGet, url, InstancesPath, nil, &list)
	return list, err
}

// call makes one request and decodes the response. Its error names the URL.
func call(ctx context.Context, method, url, path string, body []byte, response any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("instance at %s: %w", url, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(url, "/")+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return noAnswer(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return noAnswer(err)
	case len(text) > maxReportBytes:
		return fmt.Errorf("response exceeds %d MB", maxReportBytes>>20)
	case resp.StatusCode != http.StatusOK:
		var e Error
		if json.Unmarshal(text, &e) != nil || e.Message == "" {
			return fmt.Errorf("status %d; it is no listener for operators of the platform, or of an earlier version", resp.StatusCode)
		}
		return errors.New(e.Message)
	}
	if err := json.Unmarshal(text, response); err != nil {
		return fmt.Errorf("response is not as expected: %w", err)
	}
	return nil
}

// noAnswer returns why there is no answer, without the URL.
func noAnswer(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w within %s", ErrNoAnswer, clientTimeout)
	}
	var inURL *neturl.Error
	if errors.As(err, &inURL) {
		err = inURL.Err
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}
