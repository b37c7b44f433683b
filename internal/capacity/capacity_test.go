package capacity

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	slopesPath = "../../docs/capacity-slopes.json"
	pagePath   = "../../docs/CAPACITY.md"
)

func model(t *testing.T) *Model {
	t.Helper()
	s, err := Load(slopesPath)
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewModel(Default(), s)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func page(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against a page whose figures do not follow from the measured slopes.
func TestPageMatchesSlopes(t *testing.T) {
	if err := model(t).Check(page(t)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a comparison that finds nothing: a changed digit on any line with a figure, a changed
// slope, a changed size and a missing line must each be found.
func TestPageCheckFindsDifferences(t *testing.T) {
	is := is.New(t)
	m, text := model(t), page(t)
	digit := regexp.MustCompile(`[0-8]`)
	lines := strings.Split(text, "\n")
	changed := 0
	for i, line := range lines {
		at := digit.FindStringIndex(line)
		if at == nil {
			continue
		}
		changed++
		altered := append([]string(nil), lines...)
		altered[i] = line[:at[0]] + "9" + line[at[1]:]
		if m.Check(strings.Join(altered, "\n")) == nil {
			t.Errorf("a changed digit on line %d is not found: %s", i+1, line)
		}
	}
	is.True(changed > 150)
	is.True(m.Check(strings.Join(lines[:len(lines)-3], "\n")) != nil)
	for _, s := range m.Slopes.Slopes {
		altered := *m.Slopes
		altered.Slopes = append([]Slope(nil), m.Slopes.Slopes...)
		altered.Merge([]Slope{{ID: s.ID, Unit: s.Unit, Value: 2*s.Value + 1, Low: s.Low, High: s.High, Runs: s.Runs, Command: s.Command}})
		other, err := NewModel(m.Plan, &altered)
		is.NoErr(err)
		if other.Check(text) == nil {
			t.Errorf("a changed slope %s is not found", s.ID)
		}
	}
	plan := m.Plan
	plan.VMs++
	other, err := NewModel(plan, m.Slopes)
	is.NoErr(err)
	is.True(other.Check(text) != nil)
}

// Guards against a figure computed from a slope that nobody measured, which would count as zero.
func TestMissingSlopeIsAnError(t *testing.T) {
	is := is.New(t)
	m := model(t)
	for i := range m.Slopes.Slopes {
		less := *m.Slopes
		less.Slopes = append(append([]Slope(nil), m.Slopes.Slopes[:i]...), m.Slopes.Slopes[i+1:]...)
		if _, err := NewModel(m.Plan, &less); err == nil && !onlyShown[m.Slopes.Slopes[i].ID] {
			t.Errorf("slope %s is in the file but in no sum", m.Slopes.Slopes[i].ID)
		}
	}
	_, err := NewModel(m.Plan, &Slopes{})
	is.True(err != nil)
}

// onlyShown are slopes for comparison, which no sum uses.
var onlyShown = map[string]bool{
	"statement.direct_read": true, "statement.direct_write": true, "push.cpu": true, "push.bytes": true, "push.large_cpu": true,
	"propagation.median": true, "propagation.large_worst": true, "audit.calls": true,
}

// Guards against a page that reports a limit as exceeded without naming what would reach it, and
// against a kind of slope without a measured value.
func TestShortfallsNameARemedy(t *testing.T) {
	m := model(t)
	for _, f := range m.Figures {
		if f.Exceeds() && f.Remedy == "" {
			t.Errorf("figure %s exceeds its limit and names no remedy", f.ID)
		}
	}
	for _, k := range kinds {
		if s, ok := m.Slopes.Get(k.id); !ok || s.Runs == 0 || s.Command == "" || s.Low > s.Value || s.High < s.Value {
			t.Errorf("slope %s: %+v", k.id, s)
		}
	}
}

// Guards against a mistake in a sum that the comparison of page and model cannot see, by figures
// worked out by hand from the planned size.
func TestFiguresByHand(t *testing.T) {
	m := model(t)
	for id, want := range map[string]string{
		"callers.per_vm": "3,334", "statements.per_vm": "9,048 /s", "status.connections": "4,200", "status.probes": "140,000 /s",
		"status.per_server": "21,000 /s", "carrier.groups": "13.3", "carrier.servers": "40", "carrier.connections_low": "18",
		"carrier.connections_high": "48", "carrier.relayed": "99.7%", "lost.vms": "105", "lost.primaries": "233",
		"watch.holders": "40", "lost.writes": "467 /s", "shares.owners": "240", "primary.time": "2.2 s",
	} {
		got, err := m.value(id)
		if err != nil || got != want {
			t.Errorf("%s is %s, want %s (%v)", id, got, want, err)
		}
	}
}

// Guards against figures whose size is misread because of rounding or units.
func TestFormat(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		value float64
		unit  string
		want  string
	}{
		{0, "B", "0 B"}, {999, "B", "999 B"}, {1500, "B/s", "1.5 KB/s"}, {32e6, "B", "32 MB"}, {0.05, "core", "5% of a core"},
		{1234567, "", "1,234,567"}, {0.0123, "s", "0.0123 s"}, {99.96, "%", "100%"}, {1.12e9, "B", "1.12 GB"},
	} {
		is.Equal(format(c.value, c.unit), c.want)
	}
	is.Equal(Figure{Value: 51, Limit: 50}.Margin(), "exceeds 1.02 times")
	is.Equal(Figure{Value: 50, Limit: 50}.Margin(), "within, 1.00 times below")
}

// Guards against experiments that no longer run against the code they measure. Two of them take many
// seconds and are left to the command.
func TestExperimentsRun(t *testing.T) {
	for _, e := range experiments {
		if e.name == "servers" || e.name == "platform" {
			continue
		}
		t.Run(e.name, func(t *testing.T) {
			is := is.New(t)
			var progress bytes.Buffer
			slopes, err := Measure(context.Background(), Options{Runs: 1, Scale: 0.02, Only: e.name, Progress: &progress})
			is.NoErr(err)
			is.True(len(slopes) > 0)
		})
	}
}

// Guards against slopes taken from a log that does not hold them.
func TestPropagationLog(t *testing.T) {
	is := is.New(t)
	log := filepath.Join(t.TempDir(), "log")
	text := `x: 2100 VMs, 4702 objects, changed objects of 2200 bytes, 4 changes in 1m30s
x: in force on every reachable VM: median 2.043s, worst 988ms
x: reachable VMs: bytes per VM and second, sent and received: median 4687, p99 12407, most 12962
x: reachable VMs: calls made and served per VM and second: mean 2.5, most 9.8
x: platform calls per second of the fleet: mean 36, peak 105; bytes per second 4139476
`
	is.NoErr(os.WriteFile(log, []byte(text), 0o600))
	slopes, err := Propagation(log)
	is.NoErr(err)
	got := &Slopes{Slopes: slopes}
	for id, want := range map[string]float64{
		"propagation.median": 2.043, "propagation.worst": 0.988, "propagation.small_most": 12962, "propagation.calls": 2.5,
		"propagation.platform_peak": 105,
	} {
		s, ok := got.Get(id)
		is.True(ok)
		is.Equal(s.Value, want)
		is.True(strings.Contains(s.Command, "-propagation.objects 4700 -propagation.size 2200"))
	}
	is.NoErr(os.WriteFile(log, []byte("ok"), 0o600))
	_, err = Propagation(log)
	is.True(err != nil)
}
