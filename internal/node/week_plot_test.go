package node

import (
	"fmt"
	"path/filepath"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// variantResult holds the results of one variant's simulated weeks.
type variantResult struct {
	name  string
	weeks []weekResult
}

// mean returns the mean of a metric over the weeks.
func (v *variantResult) mean(metric func(*weekResult) float64) float64 {
	sum := 0.0
	for i := range v.weeks {
		sum += metric(&v.weeks[i])
	}
	return sum / float64(max(1, len(v.weeks)))
}

// weekMetrics are the metrics that the plots compare between variants.
var weekMetrics = []struct {
	file, title, unit string
	value             func(*weekResult) float64
}{
	{"week-on-time", "Slots whose whole gang starts on time", "share", func(r *weekResult) float64 { return float64(r.onTime) / float64(r.slots) }},
	{"week-idle", "Machine hours without a task, per week", "hours", func(r *weekResult) float64 { return r.idleHours }},
	{"week-lost", "Hours of lost task work, per week", "hours", func(r *weekResult) float64 { return r.lostHours }},
	{"week-delay", "Ordinary tasks: mean time from submission to end", "seconds", func(r *weekResult) float64 { return r.meanDelayS }},
}

// plotWeeks writes a bar chart of each metric to a directory, and logs the metrics of all
// variants.
func plotWeeks(t *testing.T, dir string, results []variantResult) {
	for _, metric := range weekMetrics {
		chart := plot.New()
		chart.Title.Text = metric.title + " (simulated)"
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
		chart.X.Label.Text = metric.unit
		chart.X.Min = 0
		chart.Add(bars)
		chart.NominalY(names...)
		if err := chart.Save(7*vg.Inch, 3.4*vg.Inch, filepath.Join(dir, metric.file+".svg")); err != nil {
			t.Fatal(err)
		}
	}
	for i := range results {
		logMeans(t, &results[i])
	}
}

// logMeans logs the means of a variant's metrics.
func logMeans(t *testing.T, v *variantResult) {
	line := fmt.Sprintf("%-36s %d weeks", v.name, len(v.weeks))
	for _, metric := range weekMetrics {
		line += fmt.Sprintf("  %s %.3f", metric.file, v.mean(metric.value))
	}
	interrupted := v.mean(func(r *weekResult) float64 { return float64(len(r.interrupted)) })
	onTime := v.mean(func(r *weekResult) float64 { return float64(r.undisturbedOnTime) })
	undisturbed := v.mean(func(r *weekResult) float64 { return float64(r.undisturbed) })
	tasksDone := v.mean(func(r *weekResult) float64 { return float64(r.tasksDone) })
	t.Log(line, "tasks interrupted", interrupted, "undisturbed slots on time, all", onTime, undisturbed, "tasks done", tasksDone)
}
