// Package rclog writes log lines without ever delaying the work that they tell
// of. Lines beyond a rate, and lines that the output does not take in time, are
// left out and counted.
package rclog

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and burst bound the volume: at 300 bytes a line an instance
	// writes 60 KB/s at most, however bad the load.
	linesPerSecond = 200
	burst          = 1000
	// queued is the number of lines that may wait for the output.
	queued = 1000
	// reportEvery is how often the number of lines left out is written.
	reportEvery = 5 * time.Second
)

// Config configures a Writer.
type Config struct {
	Out io.Writer
	// Instance is named in the lines about lines that were left out.
	Instance string
}

// Writer is a bounded log output. Its methods are safe for concurrent use.
type Writer struct {
	out   io.Writer
	log   zerolog.Logger // Writes to out directly, beyond all bounds.
	lines chan []byte
	limit *rate.Limiter
	done  chan struct{}

	mu     sync.Mutex
	left   int // Lines left out since the last report.
	closed bool
}

// New returns a Writer. Close must be called to write what waits.
func New(cfg Config) *Writer {
	w := &Writer{
		out:   cfg.Out,
		log:   zerolog.New(cfg.Out).With().Timestamp().Str("Instance", cfg.Instance).Logger(),
		lines: make(chan []byte, queued),
		limit: rate.NewLimiter(linesPerSecond, burst),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer for one line at a time. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if !w.limit.Allow() {
		w.left++
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.left++
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-w.lines:
			if !ok {
				w.report()
				return
			}
			w.out.Write(line) // An output that is gone can't be told of it.
		case <-ticker.C:
			w.report()
		}
	}
}

func (w *Writer) report() {
	w.mu.Lock()
	left := w.left
	w.left = 0
	w.mu.Unlock()
	if left > 0 {
		w.log.Warn().Str("Event", "LinesLeftOut").Int("Lines", left).Send()
	}
}

// Close writes what waits and ends the Writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
	return nil
}
