package node

import (
	"fmt"
	"path/filepath"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// variantResult sums up the weeks of one variant.
type variantResult struct {
	name  string
	weeks []weekResult
}

// mean is the mean of a figure over the weeks.
func (p *variantResult) mean(of func(*weekResult) float64) float64 {
	sum := 0.0
	for i := range p.weeks {
		sum += of(&p.weeks[i])
	}
	return sum / float64(max(1, len(p.weeks)))
}

// weekMetrics are what the variants are compared by.
var weekMetrics = []struct {
	file, title, unit string
	of                func(*weekResult) float64
}{
	{"week-on-time", "Slots that start whole and on time", "share", func(r *weekResult) float64 { return float64(r.onTime) / float64(r.slots) }},
	{"week-idle", "Machine hours without a task, a week", "hours", func(r *weekResult) float64 { return r.idleHours }},
	{"week-lost", "Hours of tasks' work lost, a week", "hours", func(r *weekResult) float64 { return r.lostHours }},
	{"week-delay", "Ordinary tasks, from submission to end", "seconds", func(r *weekResult) float64 { return r.meanDelayS }},
}

// plotWeeks draws a bar chart of each figure into a directory.
func plotWeeks(t *testing.T, dir string, all []variantResult) {
	for _, f := range weekMetrics {
		p := plot.New()
		p.Title.Text = f.title + " (simulated)"
		var values plotter.Values
		var names []string
		for i := range all {
			values, names = append(values, all[i].mean(f.of)), append(names, all[i].name)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(18))
		if err != nil {
			t.Fatal(err)
		}
		bars.Horizontal = true
		p.X.Label.Text, p.X.Min = f.unit, 0
		p.Add(bars)
		p.NominalY(names...)
		if err := p.Save(7*vg.Inch, 3.4*vg.Inch, filepath.Join(dir, f.file+".svg")); err != nil {
			t.Fatal(err)
		}
	}
	for i := range all {
		line := fmt.Sprintf("%-36s %d weeks", all[i].name, len(all[i].weeks))
		for _, f := range weekMetrics {
			line += fmt.Sprintf("  %s %.3f", f.file, all[i].mean(f.of))
		}
		t.Log(line, "cut", all[i].mean(func(r *weekResult) float64 { return float64(len(r.cutOff)) }), "kept of sound",
			all[i].mean(func(r *weekResult) float64 { return float64(r.undisturbedOnTime) }), all[i].mean(func(r *weekResult) float64 { return float64(r.undisturbed) }),
			"done", all[i].mean(func(r *weekResult) float64 { return float64(r.tasksDone) }))
	}
}
