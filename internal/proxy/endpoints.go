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

// DefaultEndpointsWait is the default of EndpointsOptions.Wait.
const DefaultEndpointsWait = 2 * time.Second

// answerCheckInterval is the interval at which PrintEndpoints checks whether the catalogue has answered.
const answerCheckInterval = 5 * time.Millisecond

// EndpointsOptions holds the options of PrintEndpoints. Wait is the timeout for each source.
type EndpointsOptions struct{ Wait time.Duration }

// PrintEndpoints polls each source once and prints the merged view. Reports of the sources are merged as in a running
// proxy.
func PrintEndpoints(out io.Writer, plan *Plan, options EndpointsOptions) error {
	poll := &endpointsPoll{plan: plan}
	if plan.settings.usesListWatch {
		poll.fetchListWatch(options.Wait)
	}
	if plan.settings.Catalogue != nil {
		ctx, cancel := context.WithTimeout(context.Background(), options.Wait)
		defer cancel()
		if err := poll.fetchCatalogue(ctx); err != nil {
			return err
		}
	}
	// Holding the lock until the end keeps the catalogue's goroutines, which may still run, from changing the table.
	poll.mu.Lock()
	defer poll.mu.Unlock()
	now := plan.clock.Monotonic()
	plan.members.Step(now)
	plan.members.TakeChanges(now, plan.members.Len())
	return writeEndpoints(out, plan, plan.clock.Monotonic(), poll.notes)
}

// endpointsPoll polls the sources once. mu guards the plan's table of endpoints and notes.
type endpointsPoll struct {
	mu    sync.Mutex // needed as the catalogue publishes and logs on its own goroutines
	plan  *Plan
	notes []string // errors and log lines, printed below the tables
}

// apply applies events to the table of endpoints. It ignores purges.
func (p *endpointsPoll) apply(events ...membership.SourceEvent) {
	for _, event := range events {
		p.applyEvent(event)
	}
}

func (p *endpointsPoll) applyEvent(event membership.SourceEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.plan.clock.Monotonic()
	members := p.plan.members
	switch event := event.(type) {
	case membership.ListReceived:
		members.ReplaceList(now, event.Source, event.List)
	case membership.DeltaReceived:
		members.ApplyDelta(now, event.Source, event.Version, event.Endpoints)
	case membership.SourceStatus:
		if event.Silent {
			members.SourceSilent(now, event.Source)
		} else {
			members.SourceSeen(now, event.Source)
		}
	}
}

func (p *endpointsPoll) addNote(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notes = append(p.notes, text)
}

// fetchListWatch applies the initial events of the configuration and the later ones of the endpoint list watch.
func (p *endpointsPoll) fetchListWatch(wait time.Duration) {
	plan := p.plan
	p.apply(plan.initialEvents...)
	address := plan.platform.ListAddress
	if address == "" {
		return
	}
	events, err := plan.decoder.FetchOnce(address, plan.lastInitialEvent, wait)
	if err != nil {
		p.addNote(fmt.Sprintf("bulletin %s: %v", address, err))
		p.apply(membership.SourceStatus{Source: plan.decoder.Source, Silent: true})
	}
	p.apply(events...)
}

// fetchCatalogue follows the catalogue until each service has answered or ctx ends.
func (p *endpointsPoll) fetchCatalogue(ctx context.Context) error {
	plan := p.plan
	catalogue := &consul.Catalogue{
		Config:      plan.settings.Catalogue,
		Names:       plan.decoder.Names,
		FirstSource: plan.firstCatalogueSource,
		Now:         plan.clock.Monotonic,
		Seed:        plan.platform.Seed,
		Publish:     p.apply,
		Log: func(event string, fields ...any) {
			p.addNote(strings.TrimSpace(event + " " + fmt.Sprintln(fields...)))
		},
	}
	if err := catalogue.Start(ctx); err != nil {
		return err
	}
	for !p.catalogueAnswered() && ctx.Err() == nil {
		time.Sleep(answerCheckInterval)
	}
	return nil
}

func (p *endpointsPoll) catalogueAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan.catalogueSeen()
}

// writeEndpoints prints the sources and the endpoints as two tables, followed by the notes.
func writeEndpoints(out io.Writer, plan *Plan, now time.Duration, notes []string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	sources := plan.members.Sources()
	fmt.Fprintln(table, "SOURCE\tSTATE\tBOXES\tVERSION\tHEARD")
	for _, source := range sources {
		state, lastSeen := describeSource(source, now)
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\n", source.Name, state, source.Endpoints, source.Version, lastSeen)
	}
	fmt.Fprintln(table)
	fmt.Fprint(table, "BOX\tSTATE\tADDRESS\tSITE\tCLASS\tDECIDED BY\tAGE\tWHY")
	for _, source := range sources {
		fmt.Fprintf(table, "\t%s", strings.ToUpper(source.Name))
	}
	fmt.Fprintln(table)
	for _, view := range plan.members.All(now) {
		decidedBy, age := "-", "-"
		if view.DecidedBy >= 0 {
			decidedBy = sources[view.DecidedBy].Name
			age = (now - view.Since).Round(time.Millisecond).String()
		}
		endpoint := view.Endpoint
		zone, kind := "-", "-"
		if endpoint.Address != "" {
			zone = nameOrDash(plan.decoder.Zones, endpoint.Zone)
			kind = nameOrDash(plan.decoder.Kinds, endpoint.Kind)
		}
		fmt.Fprintf(table, "%s\t%v\t%s\t%s\t%s\t%s\t%s\t%v", endpoint.ID, endpoint.State,
			textOrDash(endpoint.Address), zone, kind, decidedBy, age, view.Reason)
		for _, report := range view.Reports {
			fmt.Fprintf(table, "\t%s", textOrDash(report))
		}
		fmt.Fprintln(table)
	}
	for _, note := range notes {
		fmt.Fprintln(table, "#", note)
	}
	return table.Flush()
}

// describeSource returns the state of a source and the time since it was last seen, as shown to operators.
func describeSource(source membership.SourceView, now time.Duration) (state, lastSeen string) {
	state, lastSeen = "speaks", "never"
	switch {
	case source.LastSeen == 0:
		state = "unheard"
	case source.Silent:
		state = "silent"
	}
	if source.LastSeen > 0 {
		lastSeen = (now - source.LastSeen).Round(time.Millisecond).String() + " ago"
	}
	if source.Suspected > 0 {
		state += fmt.Sprintf(", %d doubted", source.Suspected)
	}
	return state, lastSeen
}

func nameOrDash(names []string, index int) string {
	if index < 0 || index >= len(names) {
		return "-"
	}
	return names[index]
}

func textOrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
