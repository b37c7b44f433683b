package grant

import (
	"math"
	"time"
)

const (
	// riseTimeConstant is the time constant with which the demand estimate follows an increase.
	riseTimeConstant = 200 * time.Millisecond
	// fallTimeConstant is the time constant with which it follows a decrease. It is longer, so that
	// a short gap between requests does not return a share that is needed again soon after.
	fallTimeConstant = 500 * time.Millisecond
)

// rateAverage is an exponentially weighted moving average of an event rate.
type rateAverage struct {
	perSecond    float64
	updatedAt    time.Duration
	timeConstant time.Duration
}

// add records n events.
func (e *rateAverage) add(now time.Duration, n float64) {
	e.perSecond = e.value(now) + n/e.timeConstant.Seconds()
	e.updatedAt = max(e.updatedAt, now)
}

// value returns the average in events per second.
func (e *rateAverage) value(now time.Duration) float64 {
	if now <= e.updatedAt {
		return e.perSecond
	}
	return e.perSecond * math.Exp(-float64(now-e.updatedAt)/float64(e.timeConstant))
}

// demand estimates the requests per second that arrive for a workspace on this VM.
type demand struct {
	rise, fall rateAverage
}

func newDemand() demand {
	return demand{rise: rateAverage{timeConstant: riseTimeConstant}, fall: rateAverage{timeConstant: fallTimeConstant}}
}

func (d *demand) add(now time.Duration, n float64) {
	d.rise.add(now, n)
	d.fall.add(now, n)
}

// value returns the estimate. It follows an increase with riseTimeConstant. It follows a decrease
// with fallTimeConstant, or faster once the decrease exceeds random variation. One standard
// deviation is added, because the estimate may rest on few requests.
func (d *demand) value(now time.Duration) float64 {
	rise := d.rise.value(now)
	upperBound := rise + 2*math.Sqrt(rise/(2*riseTimeConstant.Seconds())) + 1/riseTimeConstant.Seconds()
	mean := max(rise, min(d.fall.value(now), upperBound))
	return mean + math.Sqrt(mean/fallTimeConstant.Seconds())
}
