package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"sloequay/contract"
)

const (
	controlMost  = 4    // connections at once
	controlWord  = 1024 // bytes of a question
	controlLimit = 2 * time.Second
	shownMost    = 50 // tenants
)

// control opens the operators' socket: a line is asked, the answer is text up to the end of the connection. It is a file of its
// owner's alone, so that who may read the doorman's settings may ask, and nobody on the network. It answers beside the loop and meets
// it by posted tasks.
func (d *doorman) control(path string) {
	fail := func(err error) { d.log.Event("control-failed", "path", path, "error", err) }
	// What a killed doorman left is in the way; one that answers is in use.
	if conn, err := net.DialTimeout("unix", path, controlLimit); err == nil {
		_ = conn.Close()
		fail(errors.New("another process answers there"))
		return
	} else if info, err2 := os.Lstat(path); err2 == nil && info.Mode()&os.ModeSocket != 0 && errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(path)
	}
	old := syscall.Umask(0o177)
	ln, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		fail(err)
		return
	}
	places := make(chan struct{}, controlMost)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			select {
			case places <- struct{}{}:
				go func() {
					defer func() { <-places }()
					d.answerControl(conn)
				}()
			default:
				_ = conn.Close()
			}
		}
	}()
}

func (d *doorman) answerControl(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(controlLimit))
	line, err := bufio.NewReader(io.LimitReader(conn, controlWord)).ReadString('\n')
	if err != nil {
		return
	}
	answer := make(chan string, 1)
	d.loop.Post(func() { answer <- d.ask(strings.Fields(line)) })
	select {
	case text := <-answer:
		_, _ = io.WriteString(conn, text)
	case <-time.After(controlLimit):
	}
}

// ask answers a question of an operator's. It runs on the loop.
func (d *doorman) ask(words []string) string {
	var out strings.Builder
	now := clock()
	switch {
	case len(words) == 1 && words[0] == "state":
		d.state(&out)
	case len(words) == 0 || words[0] != "contracts":
		return "error: the questions are: state; contracts; contracts TEAM CLASS [SERVICE]\n"
	case d.contracts == nil:
		return "error: no contracts are in force\n"
	case len(words) == 1:
		stands, all := d.contracts.Show(now, shownMost)
		fmt.Fprintf(&out, "version %d, %d open, %d of %d tenants in use shown\n", d.contracts.Version, d.contracts.Held(), len(stands), all)
		if l := d.contracts.Capacity(); l != nil {
			fmt.Fprintf(&out, "capacity %.0f open, as learned; %d are\n", l.Value(), l.Open())
		}
		uses := d.contracts.Whole(now)
		for _, s := range stands {
			uses = append(uses, s.Uses...)
		}
		_ = contract.Table(&out, uses)
		for _, s := range stands {
			if s.Open > 0 {
				fmt.Fprintf(&out, "%s has %d open\n", s.Node, s.Open)
			}
		}
	case len(words) >= 3:
		service := ""
		if len(words) > 3 {
			service = words[3]
		}
		explain(&out, d.contracts, now, words[1], words[2], service)
	default:
		return "error: contracts TEAM CLASS [SERVICE]\n"
	}
	return out.String()
}

// state tells how much the doorman holds, a kind a line. All of it must come back to what it was once a bad day is over.
func (d *doorman) state(out io.Writer) {
	fmt.Fprintf(out, "clients %d\n", d.front.Clients())
	for i, p := range d.pools {
		b, c := p.broker.Sizes(), p.depots.Sizes()
		for _, line := range []struct {
			kind string
			n    int
		}{{"open", b.Open}, {"module", b.Module}, {"timers", b.Timers}, {"boxes", b.Boxes}, {"gone", b.Gone}, {"purges", b.Purges},
			{"spoken-to", c.Boxes}, {"connections", c.Links}, {"sent", c.Open}, {"given-up", c.Quit}} {
			fmt.Fprintf(out, "pool.%d.%s %d\n", i, line.kind, line.n)
		}
	}
}

// stateCommand is `sloequay state`.
func stateCommand(out io.Writer) *cobra.Command {
	var path string
	c := &cobra.Command{Use: "state", Short: "Ask the running doorman how much it holds: clients, requests, timers, boxes, connections",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			o, err := readOwn(path)
			if err != nil {
				return err
			}
			if o.control == "" {
				return errors.New("the settings have no `control` by which a running doorman could be asked")
			}
			return askDoorman(out, o.control, "state")
		}}
	c.Flags().StringVar(&path, "conf", "", "our settings")
	return c
}

// explain prints which budgets apply to a request, the nearest first, and what is left.
func explain(out io.Writer, b *contract.Book, now time.Duration, team, class, service string) {
	uses, refusal := b.Explain(now, team, service, class)
	if refusal != nil {
		fmt.Fprintln(out, "refused:", refusal)
		return
	}
	if len(uses) == 0 {
		fmt.Fprintln(out, "no budget applies")
		return
	}
	_ = contract.Table(out, uses)
}

// contractsCommand is `sloequay contracts`.
func contractsCommand(out io.Writer) *cobra.Command {
	var path, service string
	var check, show, explained bool
	c := &cobra.Command{Use: "contracts", Short: "Check contracts, show how they stand, or explain what applies to a team's class",
		Args: cobra.MaximumNArgs(2), RunE: func(_ *cobra.Command, args []string) error {
			o, err := readOwn(path)
			if err != nil {
				return err
			}
			if o.contracts == nil {
				return errors.New("the settings have no block contracts")
			}
			switch {
			case explained && len(args) != 2:
				return errors.New("--explain TEAM CLASS")
			case (show || explained) && o.control != "":
				question := "contracts"
				if explained {
					question = strings.Join([]string{"contracts", args[0], args[1], service}, " ")
				}
				return askDoorman(out, o.control, question)
			case show:
				return errors.New("the settings have no `control` by which a running doorman could be asked")
			case explained:
				fmt.Fprintln(out, "as written, nothing being used:")
				explain(out, o.contracts.Book(), clock(), args[0], args[1], service)
				return nil
			}
			return checkContracts(out, o.contracts)
		}}
	c.Flags().StringVar(&path, "conf", "", "our settings")
	c.Flags().BoolVar(&check, "check", false, "say what is promised and can't be kept; this is what is done without a flag")
	c.Flags().BoolVar(&show, "show", false, "ask the running doorman how its contracts stand")
	c.Flags().BoolVar(&explained, "explain", false, "TEAM CLASS: which budgets apply, and what is left of them")
	c.Flags().StringVar(&service, "service", "", "with --explain: of this service")
	return c
}

// checkContracts tells over-commitment with figures, and fails by it.
func checkContracts(out io.Writer, c *contract.Contracts) error {
	faults := c.Root.Check()
	for _, f := range faults {
		fmt.Fprintln(out, f)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d budgets are promised more than once", len(faults))
	}
	fmt.Fprintf(out, "%d contracts, shared by %d doormen: what is guaranteed can be kept\n", len(c.Root.Children), c.Instances)
	return nil
}

// askDoorman puts a question to a running doorman.
func askDoorman(out io.Writer, path, question string) error {
	conn, err := net.DialTimeout("unix", path, controlLimit)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * controlLimit))
	if _, err := io.WriteString(conn, question+"\n"); err != nil {
		return err
	}
	text, err := io.ReadAll(conn)
	if message, failed := strings.CutPrefix(string(text), "error: "); failed {
		return errors.New(strings.TrimSpace(message))
	}
	_, _ = out.Write(text)
	return err
}
