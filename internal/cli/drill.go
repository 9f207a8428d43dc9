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

// drillCommand is `sloequay drill`.
func drillCommand(out io.Writer) *cobra.Command {
	var seed uint64
	var doormans int
	var report string
	var drawn bool
	c := &cobra.Command{Use: "drill [FILE]", Short: "Start many doormans with faults between them by a plan, and say what held",
		Args: cobra.MaximumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var p *drill.Plan
			var err error
			switch {
			case drawn && len(args) == 0:
				if p, err = drill.Draw(seed); err == nil {
					fmt.Fprint(out, p.Text, "\n")
				}
			case !drawn && len(args) == 1:
				p, err = drill.Load(args[0])
			default:
				return errors.New("either a plan's file or --draw")
			}
			if err != nil {
				return err
			}
			if doormans > 0 {
				p.Proxies = doormans
			}
			return runDrill(out, p, seed, report)
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "of everything that is drawn by lot")
	c.Flags().IntVar(&doormans, "doormans", 0, "processes to start, instead of the plan's number")
	c.Flags().StringVar(&report, "report", "", "folder for the logs of all processes and the time line as plots")
	c.Flags().BoolVar(&drawn, "draw", false, "draw the plan by the seed; it is printed first, so that it can be saved")
	return c
}

// runDrill plays a plan and prints what had to hold and did.
func runDrill(out io.Writer, p *drill.Plan, seed uint64, report string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir := report
	if dir == "" {
		if dir, err = os.MkdirTemp("", "sloequay-drill-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err = os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d doormans, seed %d, %v\n", p.File, p.Proxies, seed, p.Duration)
	r, err := drill.Run(p, self, dir, seed, out)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nHELD\tWHAT\tFOUND")
	for _, v := range r.Checks {
		held := "yes"
		if !v.OK {
			held = "NO"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", held, v.Invariant.Line, v.Found)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if report != "" {
		if err := os.WriteFile(filepath.Join(dir, "timeline.json"), r.Timeline().JSON(), 0o600); err != nil {
			return err
		}
		fmt.Fprintln(out, "the logs and timeline.json are in", dir)
		drawTimeline(out, filepath.Join(filepath.Dir(self), "chart"), dir)
	}
	if !r.OK() {
		return errors.New("not all held")
	}
	return nil
}

// drawTimeline has the command chart, which is built beside this one, draw the time line. It is a program of its own since its
// library would add to the memory of each doorman.
func drawTimeline(out io.Writer, program, dir string) {
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintf(out, "the time line is not drawn, as %s is not built: go run ./cmd/chart %s\n", program, dir)
		return
	}
	if text, err := exec.Command(program, dir).CombinedOutput(); err != nil {
		fmt.Fprintf(out, "the time line is not drawn: %v: %s", err, text)
	}
}
