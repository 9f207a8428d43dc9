// Package catalog takes the list of boxes from Consul's catalogue and health API, by blocking queries, and turns it
// into the same list events that the bulletin brings.
package catalog

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/hashicorp/consul/api"
	"github.com/tidwall/gjson"

	"sloequay/broker"
	"sloequay/control"
	"sloequay/membership/bulletin"
)

// Config is the file that turns the catalogue on.
type Config struct {
	Address string        // host:port of the agent
	Service string        // name of the boxes' service
	Wait    time.Duration // of one blocking query
}

// states is what the health of an instance means for the list, by the worst of its checks.
var states = map[string]control.State{
	api.HealthPassing:  control.Ready,
	api.HealthWarning:  control.Ready, // it runs; how well it does is for the module to see
	api.HealthMaint:    control.Draining,
	api.HealthCritical: control.Gone,
}

const (
	retryFirst = 200 * time.Millisecond
	retryMost  = 5 * time.Second
	mostBoxes  = 4096
)

// Load reads {"address":"127.0.0.1:8500","service":"cache-box","wait_ms":30000}.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("catalog: %w", err)
	}
	if !gjson.ValidBytes(text) {
		return nil, fmt.Errorf("catalog: not valid JSON")
	}
	j := gjson.ParseBytes(text)
	c := &Config{Address: j.Get("address").String(), Service: j.Get("service").String(), Wait: 30 * time.Second}
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return nil, fmt.Errorf("catalog: address: %w", err)
	}
	if c.Service == "" {
		return nil, fmt.Errorf("catalog: service: missing")
	}
	if v := j.Get("wait_ms"); v.Exists() {
		if v.Type != gjson.Number || v.Num < 1 || v.Num > 600000 {
			return nil, fmt.Errorf("catalog: wait_ms: expected 1 to 600000")
		}
		c.Wait = time.Duration(v.Num) * time.Millisecond
	}
	return c, nil
}

// Follow tells every change of the service as a whole list, until the program ends. It runs on a goroutine of its
// own, since Consul's client blocks; tell and log must be safe for that.
func (c *Config) Follow(names bulletin.Names, tell func(broker.Roster), log func(string, ...any)) {
	conf := api.DefaultConfig()
	conf.Address, conf.Scheme = c.Address, "http"
	client, err := api.NewClient(conf)
	if err != nil {
		log("catalog-lost: %v", err)
		return
	}
	index, retry := uint64(0), retryFirst
	for {
		// The agent may add a sixteenth to the wait; past that it hangs.
		ctx, cancel := context.WithTimeout(context.Background(), c.Wait+c.Wait/8+5*time.Second)
		opts := (&api.QueryOptions{WaitIndex: index, WaitTime: c.Wait}).WithContext(ctx)
		entries, meta, err := client.Health().Service(c.Service, "", false, opts)
		cancel()
		if err != nil {
			log("catalog-lost: %v; the last list stays, asking again in %v", err, retry)
			time.Sleep(retry)
			retry = min(2*retry, retryMost)
			index = 0 // the agent may have begun anew
			continue
		}
		retry = retryFirst
		switch {
		case meta.LastIndex < index, meta.LastIndex == 0:
			index = 0 // it went back: ask without waiting
			if meta.LastIndex == 0 {
				time.Sleep(retryFirst)
			}
		case meta.LastIndex == index:
			continue // the wait was over and nothing changed
		default:
			index = meta.LastIndex
		}
		tell(roster(entries, meta.LastIndex, names, log))
	}
}

// roster turns the instances of a service into a whole list. What can't be used is left out and logged.
func roster(entries []*api.ServiceEntry, version uint64, names bulletin.Names, log func(string, ...any)) broker.Roster {
	list := broker.Roster{Whole: true, Version: version}
	for _, e := range entries[:min(len(entries), mostBoxes)] {
		box, err := box(e, names)
		if err != nil {
			log("catalog-entry: left out: %v", err)
			continue
		}
		list.Boxes = append(list.Boxes, box)
	}
	return list
}

// box reads an instance: its id is the box's, "site", "class" and "born_ms" are in its metadata, the weight is the
// one for passing instances.
func box(e *api.ServiceEntry, names bulletin.Names) (broker.Box, error) {
	if e == nil || e.Service == nil || e.Node == nil {
		return broker.Box{}, fmt.Errorf("an entry without service or node")
	}
	s := e.Service
	address := s.Address
	if address == "" {
		address = e.Node.Address
	}
	state, ok := states[e.Checks.AggregatedStatus()]
	if !ok {
		return broker.Box{}, fmt.Errorf("%s: health %q", s.ID, e.Checks.AggregatedStatus())
	}
	born, err := strconv.ParseInt(s.Meta["born_ms"], 10, 64)
	if s.Meta["born_ms"] == "" {
		born, err = 0, nil
	}
	if err != nil {
		return broker.Box{}, fmt.Errorf("%s: born_ms %q", s.ID, s.Meta["born_ms"])
	}
	return names.Box(bulletin.Entry{Host: s.ID, Dial: net.JoinHostPort(address, strconv.Itoa(s.Port)),
		Site: s.Meta["site"], Class: s.Meta["class"], State: state, Weight: float64(s.Weights.Passing), Born: born})
}
