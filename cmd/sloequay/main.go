// Command sloequay is the doorman: a broker between teams' services on real sockets.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"sloequay/membership"
	"sloequay/membership/bulletin"
	"sloequay/oplog"
	"sloequay/settings"
)

func main() {
	if err := command(os.Stdout).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sloequay:", err)
		os.Exit(1)
	}
}

// options are the flags that commands share.
type options struct {
	config string
	conf   string
	format string
	level  string
}

// command is the command line.
func command(out io.Writer) *cobra.Command {
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
			p, err := o.load()
			if err != nil {
				return err
			}
			log, err := oplog.New(os.Stderr, o.format, o.level)
			if err != nil {
				return err
			}
			return serve(p, log)
		}}))
	serveCmd.Flags().StringVar(&o.format, "log-format", "text", "form of the log: text or json")
	serveCmd.Flags().StringVar(&o.level, "log-level", "info", "least level that is logged: debug, info, warn, error")
	print := false
	checkCmd := gone(files(&cobra.Command{Use: "check", Short: "Read all files, say what is wrong with them, and exit",
		RunE: func(*cobra.Command, []string) error {
			p, err := o.load()
			if err != nil {
				return err
			}
			if print {
				return p.own.section.Print(out)
			}
			fmt.Fprintf(out, "the configuration of %s is sound: %d classes, %d boxes known\n", p.settings.Name,
				len(p.settings.Control.Classes), p.boxes)
			return nil
		}}))
	checkCmd.Flags().BoolVar(&print, "print", false, "print our settings in force, with defaults marked")
	var boxes boxesOptions
	boxesCmd := files(&cobra.Command{Use: "boxes", Short: "Ask the sources of boxes once and print the merged view",
		RunE: func(*cobra.Command, []string) error {
			p, err := o.load()
			if err != nil {
				return err
			}
			return printBoxes(out, p, boxes)
		}})
	boxesCmd.Flags().DurationVar(&boxes.wait, "wait", defaultBoxesWait, "how long the sources are given")
	var try tryOptions
	tryCmd := &cobra.Command{Use: "try", Short: "Run a doorman on stand-ins for all that it talks to, and show what it does",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return runTry(out, try) }}
	tryCmd.Flags().BoolVar(&try.keep, "keep", false, "leave all of it running, with the addresses printed, until it is interrupted")
	root.AddCommand(keyCommands(out)...)
	root.AddCommand(contractsCommand(out), stateCommand(out))
	root.AddCommand(serveCmd, checkCmd, boxesCmd, tryCmd, &cobra.Command{Use: "version", Short: "Print what was built",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(out, "sloequay", version())
			return err
		}})
	return root
}

// load reads and checks all files.
func (o options) load() (*plan, error) {
	if o.config == "" {
		return nil, errors.New("no configuration: set BALANCER_CONFIG or --config")
	}
	p := &plan{again: o.load}
	var err error
	if p.settings, err = settings.Load(o.config); err != nil {
		return nil, err
	}
	if p.own, err = readOwn(o.conf); err != nil {
		return nil, err
	}
	if p.own.boxTLS != nil {
		if err := p.own.boxTLS.check(p.settings.Control.ZoneNames); err != nil {
			return nil, err
		}
	}
	if p.own.services != nil {
		if p.own.snapshot != nil {
			return nil, errors.New("services: a snapshot is of one pool; leave out one of the two blocks")
		}
		if _, err := p.own.services.table(0, p.settings.Control.ZoneNames, p.settings.Control.KindNames); err != nil {
			return nil, err
		}
	}
	return p, p.decode()
}

// decode reads the events of the start, so that check finds faults in them too.
func (p *plan) decode() (err error) {
	p.members, p.names.Source, p.first = p.own.members()
	p.names.Names = membership.Names{Zones: p.settings.Control.ZoneNames, Kinds: p.settings.Control.KindNames}
	if p.last, p.known, err = p.names.Known(p.settings.Known); err != nil {
		return err
	}
	p.boxes = bulletin.Boxes(p.known)
	return nil
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
