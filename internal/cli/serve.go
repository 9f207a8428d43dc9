package cli

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/eventlog"
	"sloequay/internal/proxy"
)

// maxLogFlush is how long the end of the program waits for the reader of its log.
const maxLogFlush = 200 * time.Millisecond

// serveOptions are the flags of `sloequay serve`.
type serveOptions struct {
	files     fileOptions
	logFormat string
	logLevel  string
}

// serveCommand is `sloequay serve`.
func serveCommand(system *clock.System) *cobra.Command {
	var options serveOptions
	command := &cobra.Command{
		Use:     "serve",
		Short:   "Run the proxy in the foreground",
		Example: "  sloequay serve --config config.json --conf deploy/sloequay.conf --log-format json",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return serve(system, options) },
	}
	options.files.addFlags(command)
	addMovedFlags(command)
	command.Flags().StringVar(&options.logFormat, "log-format", "text", "form of the log: text or json")
	command.Flags().StringVar(&options.logLevel, "log-level", "info",
		"least level that is logged: debug, info, warn, error")
	return command
}

// serve runs the proxy until it has been told to end and has answered what was open.
func serve(system *clock.System, options serveOptions) error {
	signals := proxy.ReceiveSignals()
	plan, err := options.files.load(system)
	if err != nil {
		return err
	}
	lines := eventlog.NewAsyncWriter(os.Stderr)
	defer lines.Close(maxLogFlush)
	log, err := eventlog.New(lines, options.logFormat, options.logLevel)
	if err != nil {
		return err
	}
	return proxy.Serve(plan, signals, log)
}
