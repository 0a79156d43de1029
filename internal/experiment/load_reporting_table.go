package experiment

import (
	"bytes"
	"fmt"
	"io"
)

// loadReportingHeader is the header of the table that LoadReportingTable writes.
const loadReportingHeader = "| routers | who asks | spacing | probes/s at all boxes, at one | reports/s and bytes/s of who sends most |" +
	" age known, ms | off by | older than 2 s or unknown | probes while two ask | nobody asks, s of 90 |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// loadReportingServers is the number of servers in each run of the table.
const loadReportingServers = 20

// LoadReportingTable runs all strategies with several numbers of routers, and all interval
// policies with the strategy ProbeByLease. It writes the results as a Markdown table. The error
// is that of the writer.
func LoadReportingTable(w io.Writer) error {
	var table bytes.Buffer
	table.WriteString(loadReportingHeader)
	for _, options := range loadReportingRuns() {
		options.Seed = 1
		options.Servers = loadReportingServers
		table.WriteString(options.row(options.Run()))
	}
	_, err := w.Write(table.Bytes())
	return err
}

// loadReportingRuns returns the runs of the table.
func loadReportingRuns() []LoadReporting {
	var runs []LoadReporting
	for _, routers := range []int{3, 30, 300} {
		for _, strategy := range Strategies {
			runs = append(runs, LoadReporting{Routers: routers, Strategy: strategy, IntervalPolicy: AdaptiveInterval})
		}
		runs = append(runs, LoadReporting{Routers: routers, Strategy: ProbeByLease, IntervalPolicy: AdaptiveInterval, Unbatched: true})
	}
	for _, routers := range []int{3, 30} {
		for _, policy := range IntervalPolicies {
			runs = append(runs, LoadReporting{Routers: routers, Strategy: ProbeByLease, IntervalPolicy: policy})
		}
	}
	return runs
}

// row formats a run and its result as a row of the table.
func (o LoadReporting) row(result LoadReportingResult) string {
	strategy := string(o.Strategy)
	if o.Unbatched {
		strategy += ", each report by itself"
	}
	return fmt.Sprintf("| %d | %s | %s | %.1f, %.1f | %.0f, %.0f | %.0f | %.3f | %.1f%% | %d | %.1f |\n",
		o.Routers, strategy, o.IntervalPolicy,
		result.ProbesPerSecond, result.ProbesPerServer, result.PacketsPerSecond, result.BytesPerSecond,
		result.MeanAge, result.MeanError, 100*result.StaleShare, result.ConcurrentProbes, result.UnprobedSeconds)
}
