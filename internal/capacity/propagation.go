package capacity

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"time"
)

// propagationCommand makes the log that Propagation reads. SIZE is the size of the changed objects in bytes.
const propagationCommand = "go test ./internal/fleet -count=1 -run 'TestPropagation$' -v -args -propagation.vms %s " +
	"-propagation.objects %d -propagation.size %s -propagation.duration 90s > LOG; siskinrouter capacity measure --propagation LOG"

var (
	sizePattern  = regexp.MustCompile(`(\d+) VMs, (\d+) objects, changed objects of (\d+) bytes`)
	forcePattern = regexp.MustCompile(`in force on every reachable VM: median (\S+), worst (\S+)`)
	bytesPattern = regexp.MustCompile(` reachable VMs: bytes per VM and second, sent and received: median (\d+), p99 \d+, most (\d+)`)
	callsPattern = regexp.MustCompile(` reachable VMs: calls made and served per VM and second: mean ([\d.]+)`)
	fleetPattern = regexp.MustCompile(`platform calls per second of the fleet: mean (\d+), peak (\d+)`)
)

// Propagation returns the slopes in the log of the propagation test, which drives the membership and
// distribution code of a whole fleet in one process. A log with large objects and one with the object
// of one service give different slopes.
func Propagation(path string) ([]Slope, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var groups [][]string
	for _, p := range []*regexp.Regexp{sizePattern, forcePattern, bytesPattern, callsPattern, fleetPattern} {
		m := p.FindStringSubmatch(string(text))
		if m == nil {
			return nil, fmt.Errorf("%s has no line like %q", path, p)
		}
		groups = append(groups, m[1:])
	}
	objects, err := strconv.Atoi(groups[0][1])
	if err != nil {
		return nil, err
	}
	// The test adds the objects contract and keys to the number that it is given.
	command := fmt.Sprintf(propagationCommand, groups[0][0], objects-2, groups[0][2])
	size, err := strconv.Atoi(groups[0][2])
	if err != nil {
		return nil, err
	}
	values := map[string]string{"propagation.large_median": groups[2][0], "propagation.large_most": groups[2][1]}
	if size < smallText {
		values = map[string]string{
			"propagation.small_median": groups[2][0], "propagation.small_most": groups[2][1],
			"propagation.median": groups[1][0], "propagation.worst": groups[1][1],
			"propagation.calls": groups[3][0], "propagation.platform": groups[4][0], "propagation.platform_peak": groups[4][1],
		}
	} else {
		values["propagation.large_worst"] = groups[1][1]
	}
	var slopes []Slope
	for _, k := range kinds {
		value, ok := values[k.id]
		if !ok {
			continue
		}
		n, err := parseValue(value)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, Slope{ID: k.id, What: k.what, Unit: k.unit, Value: n, Low: n, High: n, Runs: 1, Command: command})
	}
	return slopes, nil
}

// smallText separates the object of one service from the text of the whole fleet, in bytes.
const smallText = 64 << 10

// parseValue returns a number, or the seconds of a duration.
func parseValue(text string) (float64, error) {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n, nil
	}
	d, err := time.ParseDuration(text)
	return d.Seconds(), err
}
