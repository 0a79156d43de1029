package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Width and height of every chart.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// dashStyleGroup is the number of consecutive lines of a chart that share a dash pattern and
// differ in color.
const dashStyleGroup = 3

// newChart returns an empty chart with a grid.
func newChart(title, xLabel, yLabel string) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = xLabel
	chart.Y.Label.Text = yLabel
	chart.Add(plotter.NewGrid())
	return chart
}

// addLinePoints adds a line with markers at its points. The index selects the color of the line and
// the shape of the markers.
func addLinePoints(chart *plot.Plot, name string, index int, values plotter.XYs) error {
	line, points, err := plotter.NewLinePoints(values)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	points.Color = plotutil.Color(index)
	points.Shape = plotutil.Shape(index)
	chart.Add(line, points)
	chart.Legend.Add(name, line, points)
	return nil
}

// addLine adds a line. The index selects color and dash pattern.
func addLine(chart *plot.Plot, name string, index int, values plotter.XYs) error {
	line, err := plotter.NewLine(values)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index / dashStyleGroup)
	chart.Add(line)
	chart.Legend.Add(name, line)
	return nil
}

// saveChart writes a chart to a file, in the format that the file's extension names.
func saveChart(chart *plot.Plot, file string) error {
	return chart.Save(chartWidth, chartHeight, file)
}

// GapChart draws an SVG file with one line for each kind of handover: the cumulative distribution of
// the gaps, in which no router held the lease. The map gaps contains the sorted gaps of each kind, in
// ms. A kind without gaps has no line.
func GapChart(file string, kinds []string, gaps map[string][]float64) error {
	chart := newChart("Time in which nobody acted", "ms", "share of handovers")
	chart.Legend.Top = false
	for index, kind := range kinds {
		values := cumulativeShares(gaps[kind])
		if len(values) == 0 {
			continue
		}
		if err := addLine(chart, kind, index, values); err != nil {
			return err
		}
	}
	return saveChart(chart, file)
}

// cumulativeShares returns a point for each sorted value. X is the value. Y is the share of the values
// up to and including this value.
func cumulativeShares(sorted []float64) plotter.XYs {
	var shares plotter.XYs
	for index, value := range sorted {
		shares = append(shares, plotter.XY{X: value, Y: float64(index+1) / float64(len(sorted))})
	}
	return shares
}
