package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskinrouter/internal/directory"
)

// The bound of the users: no more requests in any window than its rate and burst, and this much beyond.
const (
	window      = 5 * time.Second
	allowedOver = 0.1
	allowedMore = 20
)

const (
	tick = 10 * time.Millisecond
	// heardDelay is the time until an allocator counts a VM as cut off, and retryDelay the time until a VM asks a new
	// allocator again.
	heardDelay   = 500 * time.Millisecond
	failedDelay  = time.Second // then the allocator takes it as failed
	retryDelay   = 100 * time.Millisecond
	leaseTimeout = time.Second
)

// simulatedFleet is a fleet whose VMs all ask for as many tokens of one workspace as they can get.
type simulatedFleet struct {
	now       time.Duration
	w         directory.Workspace
	source    Source
	allocator *Allocator
	validAt   time.Duration // start of the lease
	expiresAt time.Duration // end of the lease of an allocator that has failed, 0 if it has not
	vms       []*simulatedVM
	admitted  []int // by tick
}

type simulatedVM struct {
	fallback *Fallback
	cutAt    time.Duration // since when it cannot reach the allocator
	cutUntil time.Duration
	retryAt  time.Duration
}

// share returns the share of the VMs that the allocator hears.
func (f *simulatedFleet) share() float64 {
	heard := 0
	for _, vm := range f.vms {
		if f.now >= vm.cutUntil || f.now-vm.cutAt < heardDelay || f.now-vm.cutAt >= failedDelay {
			heard++
		}
	}
	return float64(max(heard, 1)) / float64(len(f.vms))
}

// step lets all VMs admit as much as they can.
func (f *simulatedFleet) step(demand int) {
	total := 0
	valid := f.now >= f.validAt && (f.expiresAt == 0 || f.now < f.expiresAt)
	for i, vm := range f.vms {
		if f.now >= vm.cutUntil && f.now >= vm.retryAt {
			if valid {
				since, spent := vm.fallback.Outage(f.source)
				f.allocator.Debit(f.now, f.w, f.share(), string(rune('a'+i)), since, spent)
				total += f.allocator.Take(f.now, f.w, f.share(), demand)
				vm.fallback.Granted(f.now)
				continue
			}
			vm.retryAt = f.now + retryDelay
		}
		total += vm.fallback.Take(f.now, f.w, f.source, len(f.vms), demand)
	}
	f.admitted = append(f.admitted, total)
	f.now += tick
}

// replace makes another VM the allocator, whose lease is valid after the given time.
func (f *simulatedFleet) replace(after time.Duration, levels map[string]float64) {
	f.source.Epoch++
	f.allocator = NewAllocator(f.now)
	if levels != nil {
		f.allocator.Inherit(levels)
	}
	f.validAt, f.expiresAt = f.now+after, 0
}

// most returns the largest number of tokens in a window.
func (f *simulatedFleet) most() int {
	most, sum := 0, 0
	for i, n := range f.admitted {
		sum += n
		if i >= int(window/tick) {
			sum -= f.admitted[i-int(window/tick)]
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a workspace that gets more than its rate and burst because the allocator of its tokens changes or cannot
// be reached: handed over with or without its levels, failed, or cut off from some VMs, in any order, while the workspace
// asks for more than it may.
func TestTokensOverChangesOfTheAllocator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simulatedFleet{w: directory.Workspace{Name: "w", Rate: float64(rapid.IntRange(5, 300).Draw(t, "rate"))}}
		f.w.Burst = f.w.Rate * rapid.Float64Range(0.5, 2).Draw(t, "burst in seconds")
		f.allocator = NewAllocator(0)
		for range rapid.IntRange(3, 12).Draw(t, "VMs") {
			f.vms = append(f.vms, &simulatedVM{fallback: NewFallback(0)})
		}
		demand := rapid.IntRange(1, 20).Draw(t, "demand of a VM in a tick")
		run := func(for_ time.Duration, demand int) {
			for end := f.now + for_; f.now < end; {
				f.step(demand)
			}
		}
		run(10*time.Second, 0) // idle: the bucket is full
		ms := func(from, to int, what string) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, what)) * time.Millisecond
		}
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"hand over", "hand over, levels lost", "fail", "cut", "idle"}).Draw(t, "event") {
			case "hand over":
				f.replace(ms(0, 200, "lease valid after"), f.allocator.Levels(f.now))
			case "hand over, levels lost":
				f.replace(ms(0, 200, "lease valid after"), nil)
			case "fail":
				f.expiresAt = f.now
				run(ms(0, 1500, "claimed after"), demand)
				f.replace(ms(0, 600, "lease valid after"), nil)
			case "cut":
				// With more VMs cut off, the lease ends.
				n := rapid.IntRange(1, (len(f.vms)-1)/2).Draw(t, "VMs cut off")
				until := f.now + ms(100, 6000, "cut for")
				for _, vm := range f.vms[:n] {
					if f.now >= vm.cutUntil {
						vm.cutAt = f.now
					}
					vm.cutUntil = max(vm.cutUntil, until)
				}
			case "idle":
				run(ms(0, 4000, "idle for"), 0)
			}
			run(ms(0, 2500, "pause"), demand)
		}
		run(window, demand)
		limit := (f.w.Rate*window.Seconds()+f.w.Burst)*(1+allowedOver) + allowedMore
		if most := f.most(); float64(most) > limit {
			t.Fatalf("%d tokens in %s, allowed %.0f", most, window, limit)
		}
	})
}
