package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// Slope is a measured cost of one more unit of something.
type Slope struct {
	ID      string  `json:"id"`
	What    string  `json:"what"`
	Unit    string  `json:"unit"`
	Value   float64 `json:"value"` // median of the runs
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	Runs    int     `json:"runs"`
	Command string  `json:"command"`
}

// Slopes is the content of docs/capacity-slopes.json.
type Slopes struct {
	Date    string  `json:"date"`
	Machine string  `json:"machine"`
	Go      string  `json:"go"`
	Slopes  []Slope `json:"slopes"`
}

// Load reads slopes from a file.
func Load(path string) (*Slopes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var s Slopes
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// Save writes slopes to a file.
func (s *Slopes) Save(path string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Get returns the slope with an id.
func (s *Slopes) Get(id string) (Slope, bool) {
	i := slices.IndexFunc(s.Slopes, func(x Slope) bool { return x.ID == id })
	if i < 0 {
		return Slope{}, false
	}
	return s.Slopes[i], true
}

// Merge takes over slopes and keeps the others.
func (s *Slopes) Merge(newer []Slope) {
	for _, n := range newer {
		i := slices.IndexFunc(s.Slopes, func(x Slope) bool { return x.ID == n.ID })
		if i < 0 {
			s.Slopes = append(s.Slopes, n)
			continue
		}
		s.Slopes[i] = n
	}
}

// summarise returns the median and the spread of the values of one slope.
func summarise(values []float64) (median, low, high float64) {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	median = sorted[n/2]
	if n%2 == 0 {
		median = (sorted[n/2-1] + sorted[n/2]) / 2
	}
	return median, sorted[0], sorted[n-1]
}
