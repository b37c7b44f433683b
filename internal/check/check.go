// Package check prints the faults of files that people write. It has no other effect.
package check

import (
	"fmt"
	"io"

	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/settings"
	"siskinrouter/internal/tomltext"
)

// FleetConfig prints the faults of an operators' text as FILE:LINE: fault; remedy, ordered by line, and returns
// their number.
func FleetConfig(out io.Writer, path string, text []byte) int {
	_, faults := fleetconfig.Parse(text)
	return show(out, path, faults)
}

// Settings prints the faults of a settings file in the same way.
func Settings(out io.Writer, path string, text []byte) int {
	_, faults := settings.Parse(text)
	return show(out, path, faults)
}

func show(out io.Writer, path string, faults []tomltext.Fault) int {
	for _, f := range faults {
		fmt.Fprintf(out, "%s:%s\n", path, f)
	}
	return len(faults)
}
