package bench

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	gapBins    = 20
)

// plots writes the success share and the p99 by second of each run, and the failover gaps.
func (r *Report) plots(dir string) error {
	bySecond := []struct {
		file, title, unit string
		value             func(Second) float64
	}{
		{"success.png", "Success share by second", "share", func(s Second) float64 { return s.Success }},
		{"p99.png", "p99 latency by second", "ms", func(s Second) float64 { return s.P99 }},
	}
	for _, b := range bySecond {
		if err := r.plotSeconds(filepath.Join(dir, b.file), b.title, b.unit, b.value); err != nil {
			return err
		}
	}
	if len(r.Gaps) == 0 {
		return nil
	}
	return r.plotGaps(filepath.Join(dir, "gaps.png"))
}

func (r *Report) newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s (%s, %s, %s)", title, r.Scenario, r.Deployment, r.Policy)
	p.X.Label.Text, p.Y.Label.Text = x, y
	return p
}

func (r *Report) plotSeconds(path, title, unit string, value func(Second) float64) error {
	p := r.newPlot(title, "s", unit)
	for i, run := range r.Runs {
		points := make(plotter.XYs, len(run.BySecond))
		for j, s := range run.BySecond {
			points[j].X, points[j].Y = float64(j), value(s)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("seed %d", run.Seed), line)
	}
	p.Y.Min = 0
	return save(p, path)
}

func (r *Report) plotGaps(path string) error {
	p := r.newPlot("Failover gaps", "ms", "count")
	h, err := plotter.NewHist(plotter.Values(r.Gaps), gapBins)
	if err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	p.Add(h)
	return save(p, path)
}

func save(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
