// Package logsink writes log lines in the background. Its volume is bounded: lines beyond a rate are
// dropped and counted, and a writer never waits.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"siskinrouter/internal/ring"
)

const (
	// linesPerSecond and burst bound the volume; a line has some 200 bytes.
	linesPerSecond = 200
	burst          = 1000
	// ringLines wait for a slow output.
	ringLines = 1024
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Sink is a writer that does not block.
type Sink struct {
	lines   *ring.Ring[[]byte]
	limiter *rate.Limiter
	out     io.Writer
	done    chan struct{}
	mu      sync.Mutex
	dropped int64
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{
		lines: ring.New[[]byte](ringLines), limiter: rate.NewLimiter(linesPerSecond, burst), out: out,
		done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write takes one line. It always succeeds.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limiter.Allow() || !s.lines.Offer(append([]byte(nil), line...)) {
		s.mu.Lock()
		s.dropped++
		s.mu.Unlock()
	}
	return len(line), nil
}

// Close writes the lines that wait and stops.
func (s *Sink) Close() {
	close(s.done)
	for s.lines.Len() > 0 {
		s.write(<-s.lines.C())
	}
	s.report()
}

func (s *Sink) run() {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-s.lines.C():
			s.write(line)
		case <-report.C:
			s.report()
		case <-s.done:
			return
		}
	}
}

// write passes a line on. There is no place to report that the output is gone.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

// report says how many lines were dropped since the last report.
func (s *Sink) report() {
	s.mu.Lock()
	dropped := s.dropped
	s.dropped = 0
	s.mu.Unlock()
	if dropped > 0 {
		s.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped))
	}
}
