package ctl

import (
	"cmp"
	"context"
	"flag"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"
)

// lossesCommand shows from the daemons' logs which calls were not served, and why.
type lossesCommand struct {
	*options
	// window is the length of the periods of the last table.
	window time.Duration
	// top is the maximum number of rows of a table.
	top int
}

// Name implements subcommands.Command.
func (*lossesCommand) Name() string { return "losses" }

// Synopsis implements subcommands.Command.
func (*lossesCommand) Synopsis() string { return "show from logs which calls were not served, and why" }

// Usage implements subcommands.Command.
func (*lossesCommand) Usage() string {
	return `losses [-window 5s] [-top 12] [FILE...]:
  Count the calls that the daemons' logs report as not served, by cause, class,
  workspace and time. "-" or no file reads the standard input. Daemons limit the lines
  of a reason: the counts by cause include the lines that were left out, the others
  spread these in proportion over the lines that were written.
`
}

// SetFlags implements subcommands.Command.
func (c *lossesCommand) SetFlags(flags *flag.FlagSet) {
	flags.DurationVar(&c.window, "window", 5*time.Second, "length of a period of the table by time")
	flags.IntVar(&c.top, "top", 12, "maximum number of rows of a table")
	flags.StringVar(&c.output, "output", outputText, "text or json")
}

// Execute implements subcommands.Command.
func (c *lossesCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.window <= 0 || c.top <= 0 {
		return c.fail(&usageError{Problem: "-window and -top must be positive"})
	}
	if c.output != outputText && c.output != outputJSON {
		return c.fail(&usageError{Problem: "-output must be text or json"})
	}
	paths := flags.Args()
	if len(paths) == 0 {
		paths = []string{"-"}
	}
	var losses []loss
	for _, path := range paths {
		found, err := c.readLosses(path)
		if err != nil {
			return c.fail(err)
		}
		losses = append(losses, found...)
	}
	report := newLossReport(losses, c.window)
	return c.printResult(report, func() { c.printReport(report) })
}

func (c *lossesCommand) readLosses(path string) ([]loss, error) {
	if path == "-" {
		return lossesOf(path, c.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, &UnreadableLogError{Path: path, Cause: err}
	}
	defer func() { _ = file.Close() }()
	return lossesOf(path, file)
}

// lossReport counts calls that were not served.
type lossReport struct {
	ByCause     []lossRow `json:"byCause"`
	ByClass     []lossRow `json:"byClass"`
	ByWorkspace []lossRow `json:"byWorkspace"`
	// ByTime is in order of time, the other tables by the number of calls.
	ByTime []lossRow `json:"byTime"`
}

// lossRow is one row of a table: what is counted, and the calls in total and by cause.
type lossRow struct {
	Name   string         `json:"name"`
	Calls  int            `json:"calls"`
	Causes map[string]int `json:"causes,omitempty"`
}

// lossTable sums up weights by row and cause.
type lossTable map[string]map[string]float64

func (t lossTable) add(row string, l loss) {
	if row == "" {
		return
	}
	if t[row] == nil {
		t[row] = make(map[string]float64)
	}
	t[row][l.cause] += l.weight
}

func (t lossTable) rows() []lossRow {
	rows := make([]lossRow, 0, len(t))
	for name, causes := range t {
		row := lossRow{Name: name, Causes: make(map[string]int, len(causes))}
		sum := 0.0
		for cause, weight := range causes {
			sum += weight
			row.Causes[cause] = int(math.Round(weight))
		}
		row.Calls = int(math.Round(sum))
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b lossRow) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Name, b.Name))
	})
	return rows
}

func newLossReport(losses []loss, window time.Duration) lossReport {
	causes, classes, workspaces, times := lossTable{}, lossTable{}, lossTable{}, lossTable{}
	for _, l := range losses {
		causes.add(l.cause, l)
		classes.add(l.class, l)
		workspaces.add(l.workspace, l)
		if !l.at.IsZero() {
			times.add(l.at.Truncate(window).Format(time.RFC3339Nano), l)
		}
	}
	report := lossReport{
		ByCause: causes.rows(), ByClass: classes.rows(), ByWorkspace: workspaces.rows(), ByTime: times.rows(),
	}
	for i := range report.ByCause {
		report.ByCause[i].Causes = nil
	}
	slices.SortFunc(report.ByTime, func(a, b lossRow) int { return cmp.Compare(a.Name, b.Name) })
	return report
}

func (c *lossesCommand) printReport(report lossReport) {
	if len(report.ByCause) == 0 {
		c.printf("the logs name no call that was not served\n")
		return
	}
	for _, table := range []struct {
		title string
		rows  []lossRow
	}{
		{"cause", report.ByCause}, {"class", report.ByClass}, {"workspace", report.ByWorkspace}, {"from", report.ByTime},
	} {
		c.printTable(table.title, table.rows)
	}
}

func (c *lossesCommand) printTable(title string, rows []lossRow) {
	c.printf("%10s  %s\n", "calls", title)
	for i, row := range rows {
		if i == c.top {
			c.printf("%10s  %d more\n", "", len(rows)-c.top)
			break
		}
		c.printf("%10d  %s%s\n", row.Calls, row.Name, mainCause(row))
	}
	c.printf("\n")
}

// mainCause names the most frequent cause of a row, or nothing for rows without causes.
func mainCause(row lossRow) string {
	best := ""
	for _, cause := range slices.Sorted(maps.Keys(row.Causes)) {
		if best == "" || row.Causes[cause] > row.Causes[best] {
			best = cause
		}
	}
	if best == "" {
		return ""
	}
	return ", most: " + best
}

// lossesOf returns the losses that a log reports.
func lossesOf(path string, reader io.Reader) ([]loss, error) {
	parser := newLossParser()
	if err := parser.read(reader); err != nil {
		return nil, &UnreadableLogError{Path: path, Cause: err}
	}
	return parser.losses(), nil
}
