package grant

import (
	"math"
	"time"
)

const (
	// riseTime is the averaging time with which the demand estimate follows an increase.
	riseTime = 200 * time.Millisecond
	// fallTime is the averaging time with which it follows a decrease. It is longer, so that a
	// gap between requests does not return a share that is needed again at once.
	fallTime = 500 * time.Millisecond
)

// average is an exponentially weighted average of a rate of events.
type average struct {
	perSecond float64
	at        time.Duration
	over      time.Duration
}

// add records n events.
func (e *average) add(now time.Duration, n float64) {
	e.perSecond = e.value(now) + n/e.over.Seconds()
	e.at = max(e.at, now)
}

// value returns the average in events per second.
func (e *average) value(now time.Duration) float64 {
	if now <= e.at {
		return e.perSecond
	}
	return e.perSecond * math.Exp(-float64(now-e.at)/float64(e.over))
}

// demand estimates the requests per second that arrive for a workspace on this VM.
type demand struct {
	rise, fall average
}

func newDemand() demand {
	return demand{rise: average{over: riseTime}, fall: average{over: fallTime}}
}

func (d *demand) add(now time.Duration, n float64) {
	d.rise.add(now, n)
	d.fall.add(now, n)
}

// value returns the estimate. It follows an increase with riseTime. It follows a decrease with
// fallTime, or faster once the decrease cannot be chance. An allowance of one standard deviation
// covers the small number of requests that the estimate is based on.
func (d *demand) value(now time.Duration) float64 {
	rise := d.rise.value(now)
	likely := rise + 2*math.Sqrt(rise/(2*riseTime.Seconds())) + 1/riseTime.Seconds()
	mean := max(rise, min(d.fall.value(now), likely))
	return mean + math.Sqrt(mean/fallTime.Seconds())
}
