// Package docs_test checks figures of the documentation that are derived from others.
package docs_test

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
)

// sweep is a recorded run of the users' sweep: the same day at several sizes.
type sweep struct {
	Sizes  []float64 `json:"sizes"` // VMs
	Target float64   `json:"target"`
	Rows   []struct {
		Name            string `json:"name"`
		Middle, Busiest []float64
	} `json:"rows"`
}

// power returns the exponent with which a figure grows with the size, by least squares of the logarithms.
func power(sizes, figures []float64) float64 {
	var meanX, meanY float64
	n := float64(len(sizes))
	for i := range sizes {
		meanX += math.Log(sizes[i]) / n
		meanY += math.Log(figures[i]) / n
	}
	var covariance, variance float64
	for i := range sizes {
		x := math.Log(sizes[i]) - meanX
		covariance += x * (math.Log(figures[i]) - meanY)
		variance += x * x
	}
	return covariance / variance
}

// Guards against a page whose derived figures do not follow from the recorded sweep.
func TestPageMatchesSweep(t *testing.T) {
	encoded, err := os.ReadFile("capacity-sweep.json")
	if err != nil {
		t.Fatal(err)
	}
	var s sweep
	if err := json.Unmarshal(encoded, &s); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Rows) == 0 {
		t.Fatal("the sweep has no rows")
	}
	for _, r := range s.Rows {
		if len(r.Middle) != len(s.Sizes) || len(r.Busiest) != len(s.Sizes) {
			t.Fatalf("%s: a figure for each size is needed", r.Name)
		}
		p := min(max(power(s.Sizes, r.Busiest), 0), 2)
		last := len(s.Sizes) - 1
		atTarget := r.Busiest[last] * math.Pow(s.Target/s.Sizes[last], p)
		row := "| " + r.Name
		for i := range s.Sizes {
			row += fmt.Sprintf(" | %v / %v", r.Middle[i], r.Busiest[i])
		}
		row += fmt.Sprintf(" | %.2f | %.0f |", p, atTarget)
		if !strings.Contains(string(page), row+"\n") {
			t.Errorf("the page lacks the row\n%s", row)
		}
	}
}
