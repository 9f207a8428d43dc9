package cli

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// tryOptions holds the flags of `sloequay try`.
type tryOptions struct {
	keep bool
}

// tryCommand returns the command `sloequay try`.
func tryCommand(out io.Writer) *cobra.Command {
	var options tryOptions
	command := &cobra.Command{
		Use:     "try",
		Short:   "Run a proxy for a few seconds with emulated endpoints, clients and Consul, and show what it does",
		Example: "  sloequay try --keep",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return runTry(out, options) },
	}
	command.Flags().BoolVar(&options.keep, "keep", false,
		"keep everything running afterwards until interrupted, and print the addresses")
	return command
}

// runTry runs a short scenario while it sends requests to both frontends: an endpoint drains, another is killed, and
// the catalogue fails for a while.
func runTry(out io.Writer, options tryOptions) (err error) {
	var environment tryEnvironment
	defer func() { err = errors.Join(err, environment.close()) }()
	if err = environment.start(); err != nil {
		return err
	}
	fmt.Fprintf(out, "proxy at %s, its DNS frontend at %s; %d emulated endpoints; "+
		"the endpoint list comes from an emulated Consul at %s\n\n",
		environment.address, environment.dnsAddress, len(tryEndpoints), environment.agents[0].Address())
	timeline := tryTimeline{out: out, environment: &environment}
	if err = timeline.play(); err != nil || !options.keep {
		return err
	}
	printAddresses(out, &environment)
	return waitForInterrupt(&environment)
}

// printAddresses prints the addresses of the running processes, as commands to try where possible.
func printAddresses(out io.Writer, environment *tryEnvironment) {
	dnsHost, dnsPort, _ := net.SplitHostPort(environment.dnsAddress)
	fmt.Fprintln(out, "\nProxy and emulators keep running; interrupt to stop them.")
	fmt.Fprintf(out, "  endpoints %s endpoints --config %s --conf %s\n",
		os.Args[0], environment.configPath(), environment.settingsPath())
	fmt.Fprintf(out, "  proxy     %s\n", environment.address)
	fmt.Fprintf(out, "  DNS       dig -p %s @%s n0.7f3a9c21e0b4d655.lookup._.%s SRV\n", dnsPort, dnsHost, tryZone)
	fmt.Fprintf(out, "  catalogue curl http://%s/v1/health/service/cache\n", environment.agents[0].Address())
}

// waitForInterrupt returns when the operator interrupts the command, or the proxy exits.
func waitForInterrupt(environment *tryEnvironment) error {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
		return nil
	case err := <-environment.exited:
		environment.exited <- err // for close, which reads it again
		return err
	}
}
