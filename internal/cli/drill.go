package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"sloequay/internal/drill"
)

var (
	errNoPlan      = errors.New("expected either the file of a plan or --draw")
	errCheckFailed = errors.New("at least one check failed")
)

// drillOptions holds the flags of `sloequay drill`.
type drillOptions struct {
	seed      uint64
	proxies   int // 0: as many as the plan says
	reportDir string
	draw      bool
}

// drillCommand returns the command `sloequay drill`.
func drillCommand(out io.Writer) *cobra.Command {
	var options drillOptions
	command := &cobra.Command{
		Use:   "drill [FILE]",
		Short: "Run many proxies through the faults of a plan, and check the plan's invariants",
		Example: "  sloequay drill deploy/drill/cold-start.conf --proxies 30 --report /tmp/report\n" +
			"  sloequay drill --draw --seed 7",
		Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			plan, err := options.plan(out, args)
			if err != nil {
				return err
			}
			return runDrill(out, plan, options)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.seed, "seed", 1, "seed of all random choices")
	flags.IntVar(&options.proxies, "proxies", 0, "number of proxies to start, instead of the plan's")
	flags.IntVar(&options.proxies, "doormans", 0, "former name of --proxies")
	_ = flags.MarkHidden("doormans")
	flags.StringVar(&options.reportDir, "report", "", "directory for the logs of all processes and the timeline plots")
	flags.BoolVar(&options.draw, "draw", false,
		"generate a random plan from the seed, and print it first so that it can be saved")
	return command
}

// plan loads the plan that the arguments name, or generates and prints a random one.
func (options drillOptions) plan(out io.Writer, args []string) (*drill.Plan, error) {
	var plan *drill.Plan
	var err error
	switch {
	case options.draw && len(args) == 0:
		if plan, err = drill.Draw(options.seed); err == nil {
			fmt.Fprint(out, plan.Text, "\n")
		}
	case !options.draw && len(args) == 1:
		plan, err = drill.Load(args[0])
	default:
		return nil, errNoPlan
	}
	if err != nil {
		return nil, err
	}
	if options.proxies > 0 {
		plan.Proxies = options.proxies
	}
	return plan, nil
}

// runDrill runs a plan and prints the outcome of its checks.
func runDrill(out io.Writer, plan *drill.Plan, options drillOptions) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	dir := options.reportDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "sloequay-drill-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err = os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d proxies, seed %d, %v\n", plan.File, plan.Proxies, options.seed, plan.Duration)
	result, err := drill.Run(plan, executable, dir, options.seed, out)
	if err != nil {
		return err
	}
	if err := printChecks(out, result); err != nil {
		return err
	}
	if options.reportDir != "" {
		if err := writeTimeline(out, result, executable, dir); err != nil {
			return err
		}
	}
	if !result.OK() {
		return errCheckFailed
	}
	return nil
}

// printChecks prints the outcome of each check as a table.
func printChecks(out io.Writer, result *drill.Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nHELD\tWHAT\tFOUND")
	for _, check := range result.Checks {
		verdict := "yes"
		if !check.OK {
			verdict = "NO"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", verdict, check.Invariant.Line, check.Details)
	}
	return table.Flush()
}

// writeTimeline writes the timeline into the report directory, and plots it.
func writeTimeline(out io.Writer, result *drill.Result, executable, dir string) error {
	if err := os.WriteFile(filepath.Join(dir, "timeline.json"), result.Timeline().JSON(), 0o600); err != nil {
		return err
	}
	fmt.Fprintln(out, "the logs and timeline.json are in", dir)
	drawTimeline(out, filepath.Join(filepath.Dir(executable), "chart"), dir)
	return nil
}

// drawTimeline plots the timeline with the command chart, which is expected beside this executable. It is a separate
// program because its plot library would add to the memory of each proxy.
func drawTimeline(out io.Writer, program, dir string) {
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintf(out, "the timeline is not plotted: %s is missing; run: go run ./cmd/chart %s\n", program, dir)
		return
	}
	if text, err := exec.Command(program, dir).CombinedOutput(); err != nil {
		fmt.Fprintf(out, "the timeline is not plotted: %v: %s", err, text)
	}
}
