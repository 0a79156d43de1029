package experiment

import (
	"bytes"
	"fmt"
	"io"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// MembershipTable writes the results as Markdown tables. The error is that of the writer.
func MembershipTable(w io.Writer, results []*MembershipResult) error {
	var table bytes.Buffer
	table.WriteString("| way | routers | first to know, ms: median, p99 | all know, ms: median, p99 | packets/s | bytes/s | KB held |\n")
	table.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, result := range results {
		fmt.Fprintf(&table, "| %s | %d | %.0f, %.0f | %.0f, %.0f | %.1f | %.0f | %.0f |\n", result.Variant, result.Size,
			Quantile(result.FirstDetected, 0.5), Quantile(result.FirstDetected, 0.99),
			Quantile(result.KnownToAll, 0.5), Quantile(result.KnownToAll, 0.99),
			result.PacketsPerSecond, result.BytesPerSecond, result.MemoryBytes/bytesPerKB)
	}
	table.WriteString("\nWrong words an hour and fleet, of routers that lived and did not stall, by those who said so first:\n\n")
	table.WriteString("| way | routers | trouble | suspicions | failures | failures of those that stalled | hours played |\n")
	table.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, result := range results {
		for _, counted := range result.FalsePositives {
			fmt.Fprintf(&table, "| %s | %d | %s | %.0f | %.1f | %.0f | %.2f |\n", result.Variant, result.Size, counted.Fault,
				counted.SuspectedPerHour, counted.FailedPerHour, counted.PausedFailedPerHour, counted.Hours)
		}
	}
	_, err := w.Write(table.Bytes())
	return err
}

// membershipChart is a chart of one value of the results over the number of routers.
type membershipChart struct {
	file   string
	title  string
	yLabel string
	value  func(*MembershipResult) float64
}

// membershipCharts are the charts that MembershipCharts draws.
var membershipCharts = []membershipChart{
	{
		file:   "known.svg",
		title:  "From a kill until all know, p99",
		yLabel: "ms",
		value:  func(result *MembershipResult) float64 { return Quantile(result.KnownToAll, 0.99) },
	},
	{
		file:   "bytes.svg",
		title:  "What a router sends without a fault",
		yLabel: "bytes a second",
		value:  func(result *MembershipResult) float64 { return result.BytesPerSecond },
	},
}

// fleetSizeTicks are the ticks of the axis that shows the number of routers.
var fleetSizeTicks = plot.ConstantTicks{{Value: 3, Label: "3"}, {Value: 30, Label: "30"}, {Value: 300, Label: "300"}, {Value: 1000, Label: "1,000"}}

// MembershipCharts draws the results as SVG files in a directory.
func MembershipCharts(directory string, results []*MembershipResult) error {
	for _, chart := range membershipCharts {
		if err := chart.draw(filepath.Join(directory, chart.file), results); err != nil {
			return err
		}
	}
	return nil
}

func (c membershipChart) draw(file string, results []*MembershipResult) error {
	chart := newChart(c.title, "routers", c.yLabel)
	chart.X.Scale = plot.LogScale{}
	chart.X.Tick.Marker = fleetSizeTicks
	chart.Y.Scale = plot.LogScale{}
	chart.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	chart.Legend.Top = true
	chart.Legend.Left = true
	for index, variant := range Variants() {
		var points plotter.XYs
		for _, result := range results {
			if result.Variant == variant.Name {
				points = append(points, plotter.XY{X: float64(result.Size), Y: c.value(result)})
			}
		}
		if err := addLinePoints(chart, variant.Name, index, points); err != nil {
			return err
		}
	}
	return saveChart(chart, file)
}
