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

// tryOptions are the flags of `sloequay try`.
type tryOptions struct {
	keep bool
}

// tryCommand is `sloequay try`.
func tryCommand(out io.Writer) *cobra.Command {
	var options tryOptions
	command := &cobra.Command{
		Use:     "try",
		Short:   "Run a proxy on emulators for all that it talks to, and show what it does",
		Example: "  sloequay try --keep",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return runTry(out, options) },
	}
	command.Flags().BoolVar(&options.keep, "keep", false,
		"leave all of it running, with the addresses printed, until it is interrupted")
	return command
}

// runTry plays a few seconds of a proxy's life: an endpoint that drains, one that dies, and an outage of the catalogue,
// under requests by both frontends.
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

// printAddresses prints what an operator can do with what is left running.
func printAddresses(out io.Writer, environment *tryEnvironment) {
	dnsHost, dnsPort, _ := net.SplitHostPort(environment.dnsAddress)
	fmt.Fprintln(out, "\nIt is left running; interrupt to end it.")
	fmt.Fprintf(out, "  endpoints %s endpoints --config %s --conf %s\n",
		os.Args[0], environment.configPath(), environment.settingsPath())
	fmt.Fprintf(out, "  proxy     %s\n", environment.address)
	fmt.Fprintf(out, "  DNS       dig -p %s @%s n0.7f3a9c21e0b4d655.lookup._.%s SRV\n", dnsPort, dnsHost, tryZone)
	fmt.Fprintf(out, "  catalogue curl http://%s/v1/health/service/cache\n", environment.agents[0].Address())
}

// waitForInterrupt returns once the operator has interrupted the command, or the proxy has ended.
func waitForInterrupt(environment *tryEnvironment) error {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
		return nil
	case err := <-environment.exited:
		environment.exited <- err // for close
		return err
	}
}
