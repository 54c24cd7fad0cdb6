package node

import (
	"fmt"
	"path/filepath"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// variantResult is the weeks of one variant.
type variantResult struct {
	name  string
	weeks []weekResult
}

// mean is the mean of a metric over the weeks.
func (p *variantResult) mean(metric func(*weekResult) float64) float64 {
	sum := 0.0
	for i := range p.weeks {
		sum += metric(&p.weeks[i])
	}
	return sum / float64(max(1, len(p.weeks)))
}

// weekMetrics are the metrics by which the variants are compared.
var weekMetrics = []struct {
	file, title, unit string
	value             func(*weekResult) float64
}{
	{"week-on-time", "Slots that start whole and on time", "share", func(r *weekResult) float64 { return float64(r.onTime) / float64(r.slots) }},
	{"week-idle", "Machine hours without a task, a week", "hours", func(r *weekResult) float64 { return r.idleHours }},
	{"week-lost", "Hours of tasks' work lost, a week", "hours", func(r *weekResult) float64 { return r.lostHours }},
	{"week-delay", "Ordinary tasks, from submission to end", "seconds", func(r *weekResult) float64 { return r.meanDelayS }},
}

// plotWeeks draws a bar chart of each metric into a directory, and logs them all.
func plotWeeks(t *testing.T, dir string, results []variantResult) {
	for _, metric := range weekMetrics {
		p := plot.New()
		p.Title.Text = metric.title + " (simulated)"
		var values plotter.Values
		var names []string
		for i := range results {
			values = append(values, results[i].mean(metric.value))
			names = append(names, results[i].name)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(18))
		if err != nil {
			t.Fatal(err)
		}
		bars.Horizontal = true
		p.X.Label.Text = metric.unit
		p.X.Min = 0
		p.Add(bars)
		p.NominalY(names...)
		if err := p.Save(7*vg.Inch, 3.4*vg.Inch, filepath.Join(dir, metric.file+".svg")); err != nil {
			t.Fatal(err)
		}
	}
	for i := range results {
		logMeans(t, &results[i])
	}
}

// logMeans logs the means of a variant's metrics.
func logMeans(t *testing.T, p *variantResult) {
	line := fmt.Sprintf("%-36s %d weeks", p.name, len(p.weeks))
	for _, metric := range weekMetrics {
		line += fmt.Sprintf("  %s %.3f", metric.file, p.mean(metric.value))
	}
	cutOff := p.mean(func(r *weekResult) float64 { return float64(len(r.cutOff)) })
	onTime := p.mean(func(r *weekResult) float64 { return float64(r.undisturbedOnTime) })
	undisturbed := p.mean(func(r *weekResult) float64 { return float64(r.undisturbed) })
	done := p.mean(func(r *weekResult) float64 { return float64(r.tasksDone) })
	t.Log(line, "cut", cutOff, "kept of sound", onTime, undisturbed, "done", done)
}
