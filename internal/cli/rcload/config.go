// Package rcload is an open-loop load generator for a running fleet. Requests
// are due at the times of a generated trace and do not wait for earlier
// responses, and latency is measured from the intended send time. A stall of the
// fleet therefore shows in every request that should have been sent during it,
// which avoids coordinated omission.
package rcload

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/radishcrank/radishcrank/internal/eval/rceval"
	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

// Traffic shapes, named after the deployments in rceval.
const (
	ShapeRiga  = "Riga"
	ShapeSofia = "Sofia"
)

// Default values of Config.
const (
	DefaultMaxInFlight      = 4096
	DefaultRequestTimeout   = time.Minute
	DefaultBytesPerToken    = 4
	DefaultProgressInterval = time.Second
)

// Config holds the parameters of a run.
type Config struct {
	Addrs         []netip.AddrPort // Callers' listeners, chosen at random per request as by a load balancer.
	Keys          []string         // Bearer keys, assigned to the accounts of the shape in turn.
	Model         string
	Shape         string  // ShapeRiga or ShapeSofia.
	Rate          float64 // Generations per second at the peak.
	Duration      time.Duration
	Seed          uint64
	BytesPerToken int // Prompt bytes counted as one token; 0 means DefaultBytesPerToken.

	CallsPerSecond float64 // Non-repeatable calls to a plain service; 0 means none.
	CallPath       string  // Path of these calls, such as /services/booking/releases.

	// MaxInFlight limits the number of requests in flight. Further requests wait,
	// and the wait counts towards their latency. 0 means DefaultMaxInFlight.
	MaxInFlight    int
	RequestTimeout time.Duration // From the actual send to the end of the response; 0 means DefaultRequestTimeout.

	TLS       *tls.Config       // nil means plain HTTP.
	Transport http.RoundTripper // nil means one that keeps connections open.

	Progress         io.Writer     // nil means no progress lines.
	ProgressInterval time.Duration // 0 means DefaultProgressInterval.
}

// validate rejects invalid configurations and fills in defaults.
func (c *Config) validate() error {
	switch {
	case len(c.Addrs) == 0:
		return fmt.Errorf("no address of a callers' listener given")
	case len(c.Keys) == 0:
		return fmt.Errorf("no bearer key given")
	case c.Model == "":
		return fmt.Errorf("no model given")
	case !(c.Rate > 0):
		return fmt.Errorf("rate %v is not positive", c.Rate)
	case c.Duration <= 0:
		return fmt.Errorf("duration %v is not positive", c.Duration)
	case c.CallsPerSecond < 0:
		return fmt.Errorf("call rate %v is negative", c.CallsPerSecond)
	case c.CallsPerSecond > 0 && c.CallPath == "":
		return fmt.Errorf("no path for calls to a plain service given")
	}
	if _, err := c.deployment(); err != nil {
		return err
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = DefaultRequestTimeout
	}
	if c.BytesPerToken <= 0 {
		c.BytesPerToken = DefaultBytesPerToken
	}
	if c.ProgressInterval <= 0 {
		c.ProgressInterval = DefaultProgressInterval
	}
	if c.Transport == nil {
		c.Transport = rcframing.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: c.MaxInFlight,
			TLSClientConfig:     c.TLS,
			DisableCompression:  true,
		})
	}
	return nil
}

func (c *Config) deployment() (rceval.Deployment, error) {
	switch c.Shape {
	case ShapeRiga:
		return rceval.Riga(), nil
	case ShapeSofia:
		return rceval.Sofia(), nil
	}
	return rceval.Deployment{}, fmt.Errorf("unknown shape %q, want %s or %s", c.Shape, ShapeRiga, ShapeSofia)
}

func (c *Config) url(n uint64, path string) string {
	scheme := "http"
	if c.TLS != nil {
		scheme = "https"
	}
	return fmt.Sprintf("%s://%s%s", scheme, c.Addrs[n%uint64(len(c.Addrs))], path)
}
