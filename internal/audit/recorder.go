package audit

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"siskinrouter/internal/ring"
	"siskinrouter/internal/sleep"
)

// drainTimeout is how long Run continues to write buffered records after its context has ended.
const drainTimeout = 2 * time.Second

// Recorder writes records in the background and buffers them while the platform is unavailable.
// It is safe for concurrent use.
type Recorder struct {
	log      *Log
	who      string
	buffer   *ring.Ring[*pendingRecord]
	written  atomic.Int64
	failed   atomic.Int64
	reported int64 // drops already reported in the trail; used by Run only
}

// NewRecorder returns a recorder that buffers a bounded number of records. It reports its own drops
// in the trail under the name who.
func NewRecorder(l *Log, who string, buffer int) *Recorder {
	return &Recorder{log: l, who: who, buffer: ring.New[*pendingRecord](buffer)}
}

// Record buffers a record without blocking. It returns false, and counts the record as dropped,
// if the buffer is full.
func (r *Recorder) Record(record Record) bool {
	return r.buffer.Offer(&pendingRecord{record: record.complete()})
}

// Written returns how many records are known to be in the trail.
func (r *Recorder) Written() int64 { return r.written.Load() }

// Waiting returns how many records wait in the buffer.
func (r *Recorder) Waiting() int { return r.buffer.Len() }

// Dropped returns how many records were lost because the buffer was full or the platform refused
// them, or because their outcome could not be determined.
func (r *Recorder) Dropped() int64 { return r.buffer.Dropped() + r.failed.Load() }

// Run writes the buffered records in order until ctx ends, and then the remaining ones for up to drainTimeout.
// Records that are still buffered afterwards are lost.
func (r *Recorder) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			r.drain(ctx)
			return nil
		case e := <-r.buffer.C():
			if !r.write(ctx, e) {
				r.drain(ctx, e)
				return nil
			}
			r.reportDrops(ctx)
		}
	}
}

// drain writes the given records and the buffered ones within drainTimeout.
func (r *Recorder) drain(ctx context.Context, first ...*pendingRecord) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	for _, e := range first {
		if !r.write(ctx, e) {
			return
		}
	}
	for r.buffer.Len() > 0 {
		if !r.write(ctx, <-r.buffer.C()) {
			return
		}
	}
}

// write retries the append until its outcome is known. It returns false if ctx ends first.
func (r *Recorder) write(ctx context.Context, e *pendingRecord) bool {
	wait := retryBase
	for {
		err := r.log.write(ctx, e)
		switch {
		case err == nil:
			r.written.Add(1)
			return true
		case !transient(err):
			r.failed.Add(1)
			return true
		}
		if sleep.For(ctx, jitter(wait)) != nil {
			return false
		}
		wait = min(2*wait, retryMax)
	}
}

// reportDrops adds a record about new drops once the buffer is empty.
func (r *Recorder) reportDrops(ctx context.Context) {
	dropped := r.Dropped()
	if dropped == r.reported || r.buffer.Len() > 0 {
		return
	}
	notice := Record{Who: r.who, What: WhatDropped, Evidence: fmt.Sprintf("%d records", dropped-r.reported)}
	r.reported = dropped
	r.write(ctx, &pendingRecord{record: notice.complete()})
}
