package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	resamples  = 4000
	confidence = 0.95
	// minRunsToCompare is the least number of runs of each side for which a difference is judged. The
	// bootstrap of fewer values cannot show their spread.
	minRunsToCompare = 3
)

// Difference is one measure of two reports side by side.
type Difference struct {
	Name       string
	A, B       []float64
	MeanA      float64
	MeanB      float64
	Low, High  float64 // confidence interval of MeanB - MeanA
	Judged     bool    // there are enough runs
	Noticeable bool    // the interval excludes 0
}

// Compare returns the measures that both reports have.
func Compare(a, b *Report, seed uint64) []Difference {
	var all []Difference
	random := rand.New(rand.NewPCG(seed, 0))
	for _, name := range a.names() {
		va, vb := a.Measures[name], b.Measures[name]
		if !applies(va) || !applies(vb) {
			continue
		}
		all = append(all, difference(name, va, vb, random))
	}
	return all
}

func difference(name string, a, b []float64, random *rand.Rand) Difference {
	d := Difference{Name: name, A: a, B: b, MeanA: stat.Mean(a, nil), MeanB: stat.Mean(b, nil)}
	if len(a) < minRunsToCompare || len(b) < minRunsToCompare {
		return d
	}
	d.Judged = true
	d.Low, d.High = bootstrap(a, b, random)
	d.Noticeable = d.Low > 0 || d.High < 0
	return d
}

// bootstrap returns a percentile confidence interval of mean(b) - mean(a).
func bootstrap(a, b []float64, random *rand.Rand) (low, high float64) {
	differences := make([]float64, resamples)
	for i := range differences {
		differences[i] = stat.Mean(resample(b, random), nil) - stat.Mean(resample(a, random), nil)
	}
	slices.Sort(differences)
	tail := (1 - confidence) / 2
	return stat.Quantile(tail, stat.Empirical, differences, nil), stat.Quantile(1-tail, stat.Empirical, differences, nil)
}

// resample draws as many values as there are, with replacement.
func resample(values []float64, random *rand.Rand) []float64 {
	drawn := make([]float64, len(values))
	for i := range drawn {
		drawn[i] = values[random.IntN(len(values))]
	}
	return drawn
}

// PrintComparison writes two reports side by side.
func PrintComparison(w io.Writer, a, b *Report, seed uint64) {
	fmt.Fprintf(w, "A: %s\nB: %s\n", a.title(), b.title())
	if a.Scenario != b.Scenario || a.Deployment != b.Deployment || a.Duration != b.Duration {
		fmt.Fprintln(w, "note: A and B are not runs of the same scenario, deployment and duration")
	}
	fmt.Fprintf(w, "%-32s %28s %28s  %s\n", "", "A mean (min to max)", "B mean (min to max)", "B - A, 95% interval")
	for _, d := range Compare(a, b, seed) {
		fmt.Fprintf(w, "%-32s %28s %28s  %s\n", d.Name, spread(d.A), spread(d.B), d.judgement())
	}
}

func spread(values []float64) string {
	return fmt.Sprintf("%s (%s to %s)", number(stat.Mean(values, nil)), number(slices.Min(values)), number(slices.Max(values)))
}

func (d Difference) judgement() string {
	switch {
	case !d.Judged:
		return fmt.Sprintf("%s; not judged, fewer than %d runs", number(d.MeanB-d.MeanA), minRunsToCompare)
	case d.Noticeable:
		return fmt.Sprintf("%s to %s: differs", number(d.Low), number(d.High))
	}
	return fmt.Sprintf("%s to %s: within the noise", number(d.Low), number(d.High))
}

// RunPair runs a scenario under two policies in alternation, so that changes of the machine's load
// reach both.
func RunPair(ctx context.Context, c Config, policyA, policyB string) (a, b *Report, err error) {
	reports := make([]*Report, 2)
	for side, policy := range []string{policyA, policyB} {
		sideConfig := c
		sideConfig.Policy = policy
		reports[side] = newReport(sideConfig)
	}
	for i := range c.Repeat {
		for side, policy := range []string{policyA, policyB} {
			once := c
			once.Policy, once.Repeat, once.Seed = policy, 1, c.Seed+uint64(i)
			r, err := Run(ctx, once)
			if err != nil {
				return nil, nil, err
			}
			reports[side].Runs = append(reports[side].Runs, r.Runs...)
		}
	}
	for _, r := range reports {
		r.summarise()
	}
	return reports[0], reports[1], nil
}
