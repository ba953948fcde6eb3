// Package rclog writes log lines without ever blocking the caller. Lines that exceed
// a rate limit, or that do not fit into the queue of a slow output, are dropped and
// counted.
package rclog

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and burstLines limit the log volume: at 300 bytes per line an
	// instance writes at most 60 KB/s in the long run, whatever the load, and 6 KB/s
	// of warnings.
	linesPerSecond = 200
	burstLines     = 1000
	// warningsPerSecond and burstWarnings limit warnings and errors apart, so that
	// lines about ordinary requests cannot displace them.
	warningsPerSecond = 20
	burstWarnings     = 200
	// queueLength is the maximum number of lines waiting for the output.
	queueLength = 1000
	// reportInterval is the interval at which the number of dropped lines is logged.
	reportInterval = 5 * time.Second
)

// Config configures a Writer.
type Config struct {
	Out io.Writer
	// Instance is the instance named in the reports of dropped lines.
	Instance string
}

// Writer is a rate-limited, non-blocking log output. Its methods are safe for
// concurrent use.
type Writer struct {
	out            io.Writer
	direct         zerolog.Logger // Writes to out without the queue and the rate limit.
	queue          chan []byte
	limiter        *rate.Limiter
	warningLimiter *rate.Limiter
	done           chan struct{}

	mu      sync.Mutex
	dropped int // Lines dropped since the last report.
	closed  bool
}

// New returns a Writer. Close must be called to write the queued lines.
func New(cfg Config) *Writer {
	w := &Writer{
		out:            cfg.Out,
		direct:         zerolog.New(cfg.Out).With().Timestamp().Str("Instance", cfg.Instance).Logger(),
		queue:          make(chan []byte, queueLength),
		limiter:        rate.NewLimiter(linesPerSecond, burstLines),
		warningLimiter: rate.NewLimiter(warningsPerSecond, burstWarnings),
		done:           make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer for one line at a time. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) { return w.write(line, w.limiter) }

// WriteLevel implements zerolog.LevelWriter.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level >= zerolog.WarnLevel {
		return w.write(line, w.warningLimiter)
	}
	return w.write(line, w.limiter)
}

func (w *Writer) write(line []byte, limiter *rate.Limiter) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if !limiter.Allow() {
		w.dropped++
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped++
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-w.queue:
			if !ok {
				w.reportDropped()
				return
			}
			w.out.Write(line) // An error cannot be logged, because the log itself fails.
		case <-ticker.C:
			w.reportDropped()
		}
	}
}

func (w *Writer) reportDropped() {
	w.mu.Lock()
	n := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if n > 0 {
		w.direct.Warn().Str("Event", "LinesLeftOut").Int("Lines", n).Send()
	}
}

// Close writes the queued lines and stops the Writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	<-w.done
	return nil
}
