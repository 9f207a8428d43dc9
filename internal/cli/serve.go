package cli

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/eventlog"
	"sloequay/internal/proxy"
)

// logFlushTimeout is how long the command waits at its end for log lines that are not yet written.
const logFlushTimeout = 200 * time.Millisecond

// serveOptions holds the flags of `sloequay serve`.
type serveOptions struct {
	files     fileOptions
	logFormat string
	logLevel  string
}

// serveCommand returns the command `sloequay serve`.
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
	addReplacedFlags(command)
	command.Flags().StringVar(&options.logFormat, "log-format", "text", "log format: text or json")
	command.Flags().StringVar(&options.logLevel, "log-level", "info",
		"minimum level that is logged: debug, info, warn or error")
	return command
}

// serve runs the proxy until it has been told to shut down and has answered the open requests.
func serve(system *clock.System, options serveOptions) error {
	signals := proxy.ReceiveSignals()
	plan, err := options.files.load(system)
	if err != nil {
		return err
	}
	logWriter := eventlog.NewAsyncWriter(os.Stderr)
	defer logWriter.Close(logFlushTimeout)
	log, err := eventlog.New(logWriter, options.logFormat, options.logLevel)
	if err != nil {
		return err
	}
	return proxy.Serve(plan, signals, log)
}
