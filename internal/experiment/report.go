package experiment

import (
	"fmt"
	"io"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table writes the results as Markdown.
func MembershipTable(w io.Writer, all []*MembershipResult) {
	fmt.Fprintln(w, "| way | routers | first to know, ms: median, p99 | all know, ms: median, p99 | packets/s | bytes/s | KB held |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range all {
		fmt.Fprintf(w, "| %s | %d | %.0f, %.0f | %.0f, %.0f | %.1f | %.0f | %.0f |\n", r.Variant, r.Size, Quantile(r.FirstDetected, 0.5), Quantile(r.FirstDetected, 0.99),
			Quantile(r.KnownToAll, 0.5), Quantile(r.KnownToAll, 0.99), r.PacketsPerSecond, r.BytesPerSecond, r.MemoryBytes/1024)
	}
	fmt.Fprintln(w, "\nWrong words an hour and fleet, of routers that lived and did not stall, by those who said so first:")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| way | routers | trouble | suspicions | failures | failures of those that stalled | hours played |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range all {
		for _, x := range r.FalsePositives {
			fmt.Fprintf(w, "| %s | %d | %s | %.0f | %.1f | %.0f | %.2f |\n", r.Variant, r.Size, x.Fault, x.SuspectedPerHour, x.FailedPerHour, x.StalledFailedPerHour, x.Hours)
		}
	}
}

// Charts draws the results into a folder.
func MembershipCharts(folder string, all []*MembershipResult) error {
	for _, c := range []struct {
		file, title, y string
		of             func(*MembershipResult) float64
	}{
		{"known.svg", "From a kill until all know, p99", "ms", func(r *MembershipResult) float64 { return Quantile(r.KnownToAll, 0.99) }},
		{"bytes.svg", "What a router sends without a fault", "bytes a second", func(r *MembershipResult) float64 { return r.BytesPerSecond }},
	} {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "routers", c.y
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.ConstantTicks([]plot.Tick{{Value: 3, Label: "3"}, {Value: 30, Label: "30"}, {Value: 300, Label: "300"}, {Value: 1000, Label: "1,000"}})
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		p.Add(plotter.NewGrid())
		p.Legend.Top, p.Legend.Left = true, true
		for i, way := range Variants() {
			var xy plotter.XYs
			for _, r := range all {
				if r.Variant == way.Name {
					xy = append(xy, plotter.XY{X: float64(r.Size), Y: c.of(r)})
				}
			}
			line, points, err := plotter.NewLinePoints(xy)
			if err != nil {
				return err
			}
			line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
			p.Add(line, points)
			p.Legend.Add(way.Name, line, points)
		}
		if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(folder, c.file)); err != nil {
			return err
		}
	}
	return nil
}

// Gaps draws for each kind of handover which share of its gaps was how long at the most.
func GapChart(file string, kinds []string, gaps map[string][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Time in which nobody acted", "ms", "share of handovers"
	p.Add(plotter.NewGrid())
	p.Legend.Top = false
	for i, k := range kinds {
		var xy plotter.XYs
		for n, g := range gaps[k] {
			xy = append(xy, plotter.XY{X: g, Y: float64(n+1) / float64(len(gaps[k]))})
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/3)
		p.Add(line)
		p.Legend.Add(k, line)
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
