// Package check prints the faults of files that people write. It has no other effect.
package check

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"siskinrouter/internal/configcheck"
	"siskinrouter/internal/configdiff"
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

// Warnings prints warnings as FILE:LINE: warning: problem; remedy.
func Warnings(out io.Writer, path string, warnings []tomltext.Fault) {
	for _, w := range warnings {
		fmt.Fprintf(out, "%s:%d: warning: %s; %s\n", path, w.Line, w.Problem, w.Remedy)
	}
}

// Findings prints findings in the order of their lines, errors in the form of faults, and returns the numbers of errors
// and of warnings.
func Findings(out io.Writer, path string, findings []configcheck.Finding) (errors, warnings int) {
	slices.SortStableFunc(findings, func(a, b configcheck.Finding) int { return cmp.Compare(a.Line, b.Line) })
	for _, f := range findings {
		switch f.Severity {
		case configcheck.Error:
			errors++
			fmt.Fprintf(out, "%s:%s\n", path, f.Fault)
			continue
		case configcheck.Warning:
			warnings++
		}
		fmt.Fprintf(out, "%s:%d: %s: %s; %s\n", path, f.Line, f.Severity, f.Problem, f.Remedy)
	}
	return errors, warnings
}

// Difference prints one difference to the version in force and what it means for callers, if that is known.
func Difference(out io.Writer, d configdiff.Difference, meaning string) {
	if meaning != "" {
		meaning = " (" + meaning + ")"
	}
	fmt.Fprintf(out, "  %s%s\n", d, meaning)
}
