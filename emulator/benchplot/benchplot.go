// Package benchplot plots the results of a bench as SVG files.
package benchplot

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"birchwood.example/birchwood/emulator"
)

// The size of a plot.
const (
	width  = 8 * vg.Inch
	height = 5 * vg.Inch
	// targetPoints is the minimum number of points to which a long curve is
	// reduced; the maximum is twice as many.
	targetPoints = 400
)

const millisecondsPerSecond = 1000

// LatencyCDF plots the cumulative distribution of the program latency of each
// policy to directory/latency-cdf.svg. The result must include its latencies.
func LatencyCDF(directory string, result emulator.BenchResult) error {
	drawing := plot.New()
	drawing.Title.Text = fmt.Sprintf("%s, load %g, seed %d", result.Deployment, result.Load, result.Seed)
	drawing.X.Label.Text = "program latency (s)"
	drawing.X.Scale = plot.LogScale{}
	drawing.X.Tick.Marker = plot.LogTicks{Prec: -1}
	drawing.Y.Label.Text = "share of completed programs"
	for i, policy := range result.Policies {
		if err := addLine(drawing, i, policy.Policy, cumulative(policy.Latencies)); err != nil {
			return err
		}
	}
	return save(drawing, directory, "latency-cdf.svg")
}

// cumulative returns points of the cumulative distribution of sorted latencies in
// milliseconds, in seconds. Latencies below 1 ms count as 1 ms, because the axis
// is logarithmic.
func cumulative(sorted []float64) plotter.XYs {
	step := max(1, len(sorted)/targetPoints)
	var points plotter.XYs
	for i := 0; i < len(sorted); i += step {
		points = append(points, plotter.XY{
			X: max(sorted[i], 1) / millisecondsPerSecond,
			Y: float64(i+1) / float64(len(sorted)),
		})
	}
	return points
}

// LoadSweep plots the 95th percentile of the program latency and the goodput
// against the load, to directory/load-latency.svg and load-goodput.svg. The
// results must have the same policies in the same order.
func LoadSweep(directory string, results []emulator.BenchResult) error {
	if len(results) == 0 {
		return nil
	}
	latency := plot.New()
	latency.Title.Text = results[0].Deployment
	latency.X.Label.Text = "load"
	latency.Y.Label.Text = "program latency p95 (s)"
	latency.Y.Scale = plot.LogScale{}
	latency.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	goodput := plot.New()
	goodput.Title.Text = results[0].Deployment
	goodput.X.Label.Text = "load"
	goodput.Y.Label.Text = "programs in time per second"
	for i := range results[0].Policies {
		name := results[0].Policies[i].Policy
		p95 := sweep(results, i, func(p emulator.PolicyResult) float64 {
			return max(p.Latency.P95, 1) / millisecondsPerSecond
		})
		if err := addLine(latency, i, name, p95); err != nil {
			return err
		}
		good := sweep(results, i, func(p emulator.PolicyResult) float64 { return p.Goodput })
		if err := addLine(goodput, i, name, good); err != nil {
			return err
		}
	}
	if err := save(latency, directory, "load-latency.svg"); err != nil {
		return err
	}
	return save(goodput, directory, "load-goodput.svg")
}

// sweep returns the points of one policy's value against the load.
func sweep(results []emulator.BenchResult, policy int, value func(emulator.PolicyResult) float64) plotter.XYs {
	points := make(plotter.XYs, len(results))
	for i, result := range results {
		points[i] = plotter.XY{X: result.Load, Y: value(result.Policies[policy])}
	}
	return points
}

// addLine adds a curve with its legend entry; one without points is omitted.
func addLine(drawing *plot.Plot, index int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot of %s: %w", name, err)
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index)
	drawing.Add(line)
	drawing.Legend.Add(name, line)
	return nil
}

// save writes a plot to a file in the directory.
func save(drawing *plot.Plot, directory, name string) error {
	return drawing.Save(width, height, filepath.Join(directory, name))
}
