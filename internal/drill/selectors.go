package drill

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// The names of the nodes that are not proxies. Plans use them as selectors.
const (
	listNode       = "list"
	clientsNode    = "clients"
	endpointPrefix = "box:"
)

// parentZone is the zone of the parents and the origin in the list; plans call it the hub.
const parentZone = "hub"

// nodeSet is a set of network nodes by name; nil: all nodes.
type nodeSet map[string]bool

// endpointNode returns the name of an endpoint's network node.
func endpointNode(id string) string { return endpointPrefix + id }

// endpointID returns the id of the endpoint that a selector names, with or without the prefix.
func endpointID(selector string) string { return strings.TrimPrefix(selector, endpointPrefix) }

// isEndpoint reports whether a node is an endpoint.
func isEndpoint(node string) bool { return strings.HasPrefix(node, endpointPrefix) }

// zoneName returns the name in the list of a zone of caches, numbered from 1.
func zoneName(zone int) string { return fmt.Sprintf("p%d", zone) }

// selectNodes resolves a selector: doormans, doormans:SHARE, doorman:N, plaza:N, hub, boxes, box:ID, list, clients, or
// several of them joined by +. A share is drawn at random by the drill's seed and is the same each time.
func (c *Cluster) selectNodes(selector string) (nodeSet, error) {
	selected := nodeSet{}
	parts := strings.Split(selector, "+")
	for _, part := range parts {
		before := len(selected)
		c.include(selected, part)
		if len(selected) == before && len(parts) == 1 {
			return nil, fmt.Errorf("%.40q selects nothing; use doormans, doormans:SHARE, doorman:N (of %d), plaza:N, "+
				"hub, boxes, box:ID, list and clients", part, len(c.proxies))
		}
	}
	return selected, nil
}

// include adds the nodes that one part of a selector names.
func (c *Cluster) include(selected nodeSet, part string) {
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
		selected[endpointNode(argument)] = true
	case (kind == listNode || kind == clientsNode) && argument == "":
		selected[kind] = true
	}
}

func (c *Cluster) includeProxies(selected nodeSet, matches func(*proxy) bool) {
	for _, p := range c.proxies {
		if matches(p) {
			selected[p.name] = true
		}
	}
}

// includeDrawnProxies adds a share of the proxies, drawn at random, at least one. The selector's text is part of the
// random seed, so that each share is drawn independently and is the same in each step.
func (c *Cluster) includeDrawnProxies(selected nodeSet, selector string, share float64) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(selector))
	order := c.newRand(hash.Sum64()).Perm(len(c.proxies))
	for _, i := range order[:max(1, int(share*float64(len(order))))] {
		selected[c.proxies[i].name] = true
	}
}

func (c *Cluster) includeEndpoints(selected nodeSet, matches func(*endpoint) bool) {
	for _, e := range c.endpointOrder {
		if matches(e) {
			selected[endpointNode(e.id)] = true
		}
	}
}

// selectProxies returns the proxies that a selector names, ordered by number.
func (c *Cluster) selectProxies(selector string) ([]*proxy, error) {
	selected, err := c.selectNodes(selector)
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
		return nil, fmt.Errorf("%.40q selects no proxy", selector)
	}
	return proxies, nil
}
