package drill

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// The names of ends that are no proxy. They are the selectors by which a plan names them.
const (
	listEnd        = "list"
	clientsEnd     = "clients"
	endpointPrefix = "box:"
)

// parentZone is the zone of the parents and the origin, as the list has it: a plan's hub.
const parentZone = "hub"

// ends is a set of ends of links by name; nil: any end.
type ends map[string]bool

// endpointEnd is the name of an endpoint as an end of links.
func endpointEnd(id string) string { return endpointPrefix + id }

// endpointID is the endpoint that a plan names, with or without the prefix.
func endpointID(selector string) string { return strings.TrimPrefix(selector, endpointPrefix) }

// isEndpoint reports whether an end is an endpoint.
func isEndpoint(end string) bool { return strings.HasPrefix(end, endpointPrefix) }

// zoneName is a zone of caches, numbered from 1, as the list has it.
func zoneName(zone int) string { return fmt.Sprintf("p%d", zone) }

// selectEnds resolves a selector: doormans, doormans:SHARE, doorman:N, plaza:N, hub, boxes, box:ID, list, clients, or
// several joined by +. A share is drawn by the drill's seed, the same each time.
func (c *Cluster) selectEnds(selector string) (ends, error) {
	selected := ends{}
	parts := strings.Split(selector, "+")
	for _, part := range parts {
		before := len(selected)
		c.include(selected, part)
		if len(selected) == before && len(parts) == 1 {
			return nil, fmt.Errorf("nobody is %.40q; there are doormans, doormans:SHARE, doorman:N (of %d), plaza:N, "+
				"hub, boxes, box:ID, list and clients", part, len(c.proxies))
		}
	}
	return selected, nil
}

// include adds the ends that one part of a selector names.
func (c *Cluster) include(selected ends, part string) {
	kind, argument, _ := strings.Cut(part, ":")
	number, err := strconv.ParseFloat(argument, 64)
	isNumber := err == nil
	switch {
	case kind == "doormans" && argument == "":
		c.includeProxies(selected, func(*proxy) bool { return true })
	case kind == "doormans" && isNumber && number > 0 && number <= 1:
		c.includeDrawnProxies(selected, part, number)
	case kind == "doorman" && isNumber:
		c.includeProxies(selected, func(p *proxy) bool { return p.number == int(number) })
	case kind == "plaza" && isNumber:
		c.includeProxies(selected, func(p *proxy) bool { return p.zone == int(number) })
		c.includeEndpoints(selected, func(e *endpoint) bool { return e.zone == "p"+argument })
	case kind == "hub":
		c.includeEndpoints(selected, func(e *endpoint) bool { return e.zone == parentZone })
	case kind == "boxes":
		c.includeEndpoints(selected, func(*endpoint) bool { return true })
	case kind == "box" && c.endpoints[argument] != nil:
		selected[endpointEnd(argument)] = true
	case (kind == listEnd || kind == clientsEnd) && argument == "":
		selected[kind] = true
	}
}

func (c *Cluster) includeProxies(selected ends, fits func(*proxy) bool) {
	for _, p := range c.proxies {
		if fits(p) {
			selected[p.name] = true
		}
	}
}

// includeDrawnProxies adds a share of the proxies, at least one. The selector's text is part of the seed, so that each
// share is a draw of its own and the same in each step.
func (c *Cluster) includeDrawnProxies(selected ends, selector string, share float64) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(selector))
	order := c.newRand(hash.Sum64()).Perm(len(c.proxies))
	for _, i := range order[:max(1, int(share*float64(len(order))))] {
		selected[c.proxies[i].name] = true
	}
}

func (c *Cluster) includeEndpoints(selected ends, fits func(*endpoint) bool) {
	for _, e := range c.endpointOrder {
		if fits(e) {
			selected[endpointEnd(e.id)] = true
		}
	}
}

// selectProxies gives the proxies that a selector names, in their order.
func (c *Cluster) selectProxies(selector string) ([]*proxy, error) {
	selected, err := c.selectEnds(selector)
	if err != nil {
		return nil, err
	}
	var proxies []*proxy
	for _, p := range c.proxies {
		if selected[p.name] {
			proxies = append(proxies, p)
		}
	}
	if len(proxies) == 0 {
		return nil, fmt.Errorf("%.40q names no proxy", selector)
	}
	return proxies, nil
}
