// Package logsink writes log lines asynchronously. Lines above a rate limit, or that do not fit into the
// queue, are dropped and counted, so that Write never blocks.
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
	// linesPerSecond and burstLines limit the log volume; a line has about 200 bytes.
	linesPerSecond = 200
	burstLines     = 1000
	// queueLines is the number of lines that are queued while the output is slow.
	queueLines = 1024
	// maxLine bounds a line, since ids and names that callers choose may be as large as a message. A longer line is cut.
	maxLine = 4 << 10
	// reportInterval is the time between reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Sink is an io.Writer that does not block.
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
		lines: ring.New[[]byte](queueLines), limiter: rate.NewLimiter(linesPerSecond, burstLines), out: out,
		done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write queues one line, or drops it. It always reports success.
func (s *Sink) Write(line []byte) (int, error) {
	queued := line[:min(len(line), maxLine)]
	if !s.limiter.Allow() || !s.lines.Offer(cut(queued, len(line) > maxLine)) {
		s.mu.Lock()
		s.dropped++
		s.mu.Unlock()
	}
	return len(line), nil
}

// cut returns a copy of a line. If the line was cut, the copy ends with an ellipsis and a line end.
func cut(line []byte, wasCut bool) []byte {
	line = append([]byte(nil), line...)
	if wasCut {
		line = append(line, "...\n"...)
	}
	return line
}

// Close tells the background writer to stop, but does not wait for it, and writes the lines that are still
// queued and the number of dropped ones. It must be called only once.
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

// write ignores errors, as there is no other output to which they could be reported.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

// report logs the number of lines dropped since the last report.
func (s *Sink) report() {
	s.mu.Lock()
	dropped := s.dropped
	s.dropped = 0
	s.mu.Unlock()
	if dropped > 0 {
		s.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped))
	}
}
