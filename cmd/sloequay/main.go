// Command sloequay is the doorman: a broker between teams' services on real sockets.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/pflag"

	"sloequay/catalog"
	"sloequay/contract"
	"sloequay/dnsfront"
	"sloequay/settings"
)

const usage = `usage: sloequay COMMAND [FLAGS]

commands:
  serve     run the doorman in the foreground
  check     read the configuration and the files named by flags, say what is wrong with them, and exit
  version   print what was built

flags of serve and check:
`

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "sloequay:", err)
		os.Exit(1)
	}
}

// options are the flags of serve and check.
type options struct {
	config    string
	contracts string
	dns       string
	catalog   string
}

func run(args []string) error {
	var o options
	flags := pflag.NewFlagSet("sloequay", pflag.ContinueOnError)
	flags.StringVar(&o.config, "config", os.Getenv("BALANCER_CONFIG"), "configuration file (default $BALANCER_CONFIG)")
	flags.StringVar(&o.contracts, "contracts", "", "file of the teams' contracts; none: no contracts")
	flags.StringVar(&o.dns, "dns", "", "file that turns DNS request routing on; none: off")
	flags.StringVar(&o.catalog, "catalog", "", "file that has the list of boxes come from Consul; none: the bulletin")
	flags.Usage = func() { fmt.Fprint(os.Stderr, usage+flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		flags.Usage()
		return fmt.Errorf("%d commands given, expected one", flags.NArg())
	}
	switch command := flags.Arg(0); command {
	case "version":
		fmt.Println("sloequay", version())
		return nil
	case "check":
		p, err := o.load()
		if err != nil {
			return err
		}
		fmt.Printf("the configuration of %s is sound: %d classes, %d boxes known\n", p.settings.Name,
			len(p.settings.Control.Classes), p.boxes)
		return nil
	case "serve":
		p, err := o.load()
		if err != nil {
			return err
		}
		return serve(p)
	default:
		flags.Usage()
		return fmt.Errorf("unknown command %q", command)
	}
}

// load reads and checks all files.
func (o *options) load() (*plan, error) {
	if o.config == "" {
		return nil, errors.New("no configuration: set BALANCER_CONFIG or --config")
	}
	p := &plan{again: o.load}
	var err error
	if p.settings, err = settings.Load(o.config); err != nil {
		return nil, err
	}
	if o.contracts != "" {
		if p.contracts, err = contract.Load(o.contracts); err != nil {
			return nil, err
		}
	}
	if o.dns != "" {
		if p.dns, err = dnsfront.Load(o.dns); err != nil {
			return nil, err
		}
	}
	if o.catalog != "" {
		if p.catalog, err = catalog.Load(o.catalog); err != nil {
			return nil, err
		}
	}
	return p, p.decode()
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
