package proxy

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/membership/consul"
)

// DefaultEndpointsWait is the wait without a flag.
const DefaultEndpointsWait = 2 * time.Second

// EndpointsOptions is how the sources are asked.
type EndpointsOptions struct{ Wait time.Duration }

// PrintEndpoints asks each source once and prints the merged view. What a source tells goes into the table as in a doorman.
func PrintEndpoints(out io.Writer, p *Plan, o EndpointsOptions) error {
	var mu sync.Mutex // the sources tell from goroutines of their own
	var said []string
	now := p.clock.Monotonic
	take := func(e membership.SourceEvent) {
		mu.Lock()
		defer mu.Unlock()
		switch e := e.(type) {
		case membership.ListReceived:
			p.members.ReplaceList(now(), e.Source, e.List)
		case membership.DeltaReceived:
			p.members.ApplyDelta(now(), e.Source, e.Version, e.Endpoints)
		case membership.SourceStatus:
			if e.Silent {
				p.members.SourceSilent(now(), e.Source)
			} else {
				p.members.SourceSeen(now(), e.Source)
			}
		}
	}
	bulletinCounts := p.own.bulletin
	if bulletinCounts {
		for _, e := range p.known {
			take(e)
		}
		if p.settings.ListAddress != "" {
			events, err := p.names.FetchOnce(p.settings.ListAddress, p.last, o.Wait)
			if err != nil {
				said = append(said, fmt.Sprintf("bulletin %s: %v", p.settings.ListAddress, err))
				take(membership.SourceStatus{Source: p.names.Source, Silent: true})
			}
			for _, e := range events {
				take(e)
			}
		}
	}
	if p.own.Catalogue != nil {
		ctx, end := context.WithTimeout(context.Background(), o.Wait)
		defer end()
		c := &consul.Catalogue{Config: p.own.Catalogue, Names: p.names.Names, FirstSource: p.first, Now: now, Seed: p.settings.Seed,
			Log: func(event string, fields ...any) {
				mu.Lock()
				defer mu.Unlock()
				said = append(said, strings.TrimSpace(event+" "+fmt.Sprintln(fields...)))
			},
			Publish: func(events ...membership.SourceEvent) {
				for _, e := range events {
					take(e)
				}
			}}
		if err := c.Start(ctx); err != nil {
			return err
		}
		for answered := false; !answered && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			mu.Lock()
			answered = true
			for i := range p.own.Catalogue.Services {
				answered = answered && p.members.Sources()[p.first+i].LastSeen > 0
			}
			mu.Unlock()
		}
	}
	mu.Lock()
	defer mu.Unlock()
	p.members.Step(now())
	p.members.TakeChanges(now(), p.members.Len())
	return writeBoxes(out, p, now(), said)
}

// writeBoxes prints sources and boxes as tables.
func writeBoxes(out io.Writer, p *Plan, now time.Duration, said []string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	sources := p.members.Sources()
	fmt.Fprintln(w, "SOURCE\tSTATE\tBOXES\tVERSION\tHEARD")
	for _, s := range sources {
		state, heard := "speaks", "never"
		if s.LastSeen > 0 {
			heard = (now - s.LastSeen).Round(time.Millisecond).String() + " ago"
		}
		if s.Silent {
			state = "silent"
		}
		if s.LastSeen == 0 {
			state = "unheard"
		}
		if s.Suspected > 0 {
			state += fmt.Sprintf(", %d doubted", s.Suspected)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", s.Name, state, s.Endpoints, s.Version, heard)
	}
	fmt.Fprintln(w)
	fmt.Fprint(w, "BOX\tSTATE\tADDRESS\tSITE\tCLASS\tDECIDED BY\tAGE\tWHY")
	for _, s := range sources {
		fmt.Fprintf(w, "\t%s", strings.ToUpper(s.Name))
	}
	fmt.Fprintln(w)
	word := func(words []string, i int) string {
		if i >= 0 && i < len(words) {
			return words[i]
		}
		return "-"
	}
	for _, v := range p.members.All(now) {
		by, age := "-", "-"
		if v.DecidedBy >= 0 {
			by, age = sources[v.DecidedBy].Name, (now - v.Since).Round(time.Millisecond).String()
		}
		address, site, class := v.Endpoint.Address, "-", "-"
		if address == "" {
			address = "-"
		} else {
			site, class = word(p.names.Zones, v.Endpoint.Zone), word(p.names.Kinds, v.Endpoint.Kind)
		}
		fmt.Fprintf(w, "%s\t%v\t%s\t%s\t%s\t%s\t%s\t%v", v.Endpoint.ID, v.Endpoint.State, address, site, class, by, age, v.Reason)
		for _, s := range v.Reports {
			if s == "" {
				s = "-"
			}
			fmt.Fprintf(w, "\t%s", s)
		}
		fmt.Fprintln(w)
	}
	for _, line := range said {
		fmt.Fprintln(w, "#", line)
	}
	return w.Flush()
}
