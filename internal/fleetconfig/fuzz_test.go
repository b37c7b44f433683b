package fleetconfig

import (
	"reflect"
	"strings"
	"testing"
)

// Guards against texts that crash an operator's check command or a daemon: Parse must not panic, must
// either accept a text or report faults on its lines, and must be deterministic.
func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Add("")
	for _, c := range faultCases {
		f.Add(strings.Replace(validText, c.old, c.new, 1))
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, faults := Parse([]byte(text))
		if (got == nil) != (len(faults) > 0) {
			t.Fatalf("configuration %v with faults %v", got, faults)
		}
		lines := max(1, strings.Count(strings.TrimSuffix(text, "\n"), "\n")+1)
		for i, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Problem == "" || fault.Remedy == "" {
				t.Errorf("bad fault %+v in a text of %d lines", fault, lines)
			}
			if i > 0 && faults[i-1].Line > fault.Line {
				t.Errorf("faults are not in the order of the text: %v", faults)
			}
		}
		again, faultsAgain := Parse([]byte(text))
		if !reflect.DeepEqual(got, again) || !reflect.DeepEqual(faults, faultsAgain) {
			t.Errorf("second parse differs: %v", Diff(got, again))
		}
		if diff := Diff(got, again); len(diff) > 0 {
			t.Errorf("difference of equal configurations: %v", diff)
		}
	})
}
