// Package cli is the command line of sloequay. It stands apart from cmd/sloequay so that the tests can run it in a process of
// their own, under the system-call filter of the platform.
package cli

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/eventlog"
	"sloequay/internal/proxy"
)

// Main runs the command that the process's arguments name. It exits with 1 after an error.
func Main() {
	if err := command(os.Stdout, clock.NewSystem()).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sloequay:", err)
		os.Exit(1)
	}
}

// maxLogFlush is how long the end of the program waits for the reader of its log.
const maxLogFlush = 200 * time.Millisecond

// options are the flags that commands share.
type options struct {
	config string
	conf   string
	format string
	level  string
}

// command is the command line. All that it runs goes by one clock.
func command(out io.Writer, system *clock.System) *cobra.Command {
	var o options
	root := &cobra.Command{Use: "sloequay", Short: "A doorman between the clients of many teams and the boxes of a media network",
		SilenceUsage: true, SilenceErrors: true, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	files := func(c *cobra.Command) *cobra.Command {
		c.Args = cobra.NoArgs
		c.Flags().StringVar(&o.config, "config", os.Getenv("BALANCER_CONFIG"), "the platform's configuration; $BALANCER_CONFIG without it")
		c.Flags().StringVar(&o.conf, "conf", "", "our settings, as deploy/sloequay.conf; without it all in them is off")
		return c
	}
	gone := func(c *cobra.Command) *cobra.Command {
		for flag, block := range map[string]string{"contracts": "contracts", "dns": "dns", "catalog": "catalogue"} {
			c.Flags().Func(flag, "", func(string) error {
				return fmt.Errorf("its settings stand in the block %q of the file that --conf names now; deploy/sloequay.conf has an example", block)
			})
			_ = c.Flags().MarkHidden(flag)
		}
		return c
	}
	serveCmd := gone(files(&cobra.Command{Use: "serve", Short: "Run the doorman in the foreground",
		RunE: func(*cobra.Command, []string) error {
			signals := proxy.ReceiveSignals()
			p, err := proxy.Load(system, o.config, o.conf)
			if err != nil {
				return err
			}
			lines := eventlog.NewAsyncWriter(os.Stderr)
			defer lines.Close(maxLogFlush)
			log, err := eventlog.New(lines, o.format, o.level)
			if err != nil {
				return err
			}
			return proxy.Serve(p, signals, log)
		}}))
	serveCmd.Flags().StringVar(&o.format, "log-format", "text", "form of the log: text or json")
	serveCmd.Flags().StringVar(&o.level, "log-level", "info", "least level that is logged: debug, info, warn, error")
	print := false
	checkCmd := gone(files(&cobra.Command{Use: "check", Short: "Read all files, say what is wrong with them, and exit",
		RunE: func(*cobra.Command, []string) error {
			p, err := proxy.Load(system, o.config, o.conf)
			if err != nil {
				return err
			}
			if print {
				return p.Print(out)
			}
			fmt.Fprintln(out, p)
			return nil
		}}))
	checkCmd.Flags().BoolVar(&print, "print", false, "print our settings in force, with defaults marked")
	var boxes proxy.EndpointsOptions
	boxesCmd := files(&cobra.Command{Use: "boxes", Short: "Ask the sources of boxes once and print the merged view",
		RunE: func(*cobra.Command, []string) error {
			p, err := proxy.Load(system, o.config, o.conf)
			if err != nil {
				return err
			}
			return proxy.PrintEndpoints(out, p, boxes)
		}})
	boxesCmd.Flags().DurationVar(&boxes.Wait, "wait", proxy.DefaultEndpointsWait, "how long the sources are given")
	var try tryOptions
	tryCmd := &cobra.Command{Use: "try", Short: "Run a doorman on stand-ins for all that it talks to, and show what it does",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return runTry(out, try) }}
	tryCmd.Flags().BoolVar(&try.keep, "keep", false, "leave all of it running, with the addresses printed, until it is interrupted")
	root.AddCommand(keyCommands(out, system)...)
	root.AddCommand(contractsCommand(out, system), drillCommand(out),
		askCommand(out, system, "state", "Ask the running doorman how much it holds: clients, requests, timers, boxes, connections"),
		askCommand(out, system, "peers", "Ask the running doorman which others live, which lists it holds, and whether it asks for them"))
	root.AddCommand(serveCmd, checkCmd, boxesCmd, tryCmd, &cobra.Command{Use: "version", Short: "Print what was built",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(out, "sloequay", version())
			return err
		}})
	return root
}

// version is the commit that was built, where the build knows it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	out := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			out += " " + s.Key + "=" + s.Value
		}
	}
	return out + " " + info.GoVersion
}
