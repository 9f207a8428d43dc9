package consul

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"sloequay/internal/config"
	"sloequay/internal/membership"
)

var testNames = membership.Names{Zones: []string{"hub", "edge"}, Kinds: []string{"std", "parent", "origin"}}

// parse reads settings from the directives of a block `catalogue`.
func parse(text string) (*Config, error) {
	catalogue := &Config{}
	root := &config.Section{}
	root.Block("catalogue", false, "", func([]string) (*config.Section, error) { return catalogue.Section(), nil })
	return catalogue, root.Parse("test", []byte("catalogue {\n"+text+"\n}"))
}

func parseConfig(t testing.TB, text string) *Config {
	t.Helper()
	catalogue, err := parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return catalogue
}

// recorder collects what a catalogue publishes and logs.
type recorder struct {
	mu     sync.Mutex
	lists  []membership.List
	logged []string
}

// start starts a catalogue that reports to the recorder until the end of the test.
func (r *recorder) start(t *testing.T, config *Config) {
	t.Helper()
	catalogue := &Catalogue{
		Config:  config,
		Names:   testNames,
		Now:     func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		Log:     r.log,
		Publish: r.publish,
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := catalogue.Start(ctx); err != nil {
		t.Fatal(err)
	}
}

func (r *recorder) log(event string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logged = append(r.logged, fmt.Sprint(event, fields))
}

func (r *recorder) publish(events ...membership.SourceEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range events {
		if received, ok := event.(membership.ListReceived); ok {
			r.lists = append(r.lists, received.List)
		}
	}
}

// recorded returns what has been recorded so far.
func (r *recorder) recorded() (lists []membership.List, logged []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lists), slices.Clone(r.logged)
}

// waitUntil waits up to 10 s until reached accepts what has been recorded, and returns that.
func (r *recorder) waitUntil(
	t *testing.T, condition string, reached func(lists []membership.List, logged []string) bool,
) (lists []membership.List, logged []string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		lists, logged := r.recorded()
		if reached(lists, logged) {
			return lists, logged
		}
		if time.Now().After(deadline) {
			t.Fatalf("timed out after 10 s waiting for %s; logged %v", condition, logged)
		}
	}
}

func hasList(lists []membership.List, _ []string) bool { return len(lists) > 0 }

func hasLog(_ []membership.List, logged []string) bool { return len(logged) > 0 }
