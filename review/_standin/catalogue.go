package main

import (
	"fmt"
	"net"
	"strconv"

	"sloequay/internal/emulator/consul"
)

// catalogue starts a catalogue with one agent that knows the depots of a plaza as running.
func (b *bench) catalogue(depots []*depot) (*consul.Cluster, *consul.Agent) {
	cluster := consul.NewCluster()
	for i, d := range depots {
		service, site, class := "cache-box", "edge-1", "standard"
		if i == len(depots)-2 {
			service, site, class = "trunk-cache", "north-trunk", "parent"
		} else if i == len(depots)-1 {
			service, site, class = "archive", "north-trunk", "origin"
		}
		host, port, err := net.SplitHostPort(d.address)
		must(err)
		portNumber, err := strconv.Atoi(port)
		must(err)
		cluster.Put(consul.Instance{Node: "node-" + d.id, NodeAddress: "127.0.0.1", Service: service, ID: d.id,
			Address: host, Port: portNumber, Meta: map[string]string{"site": site, "class": class},
			Weights: consul.Weights{Passing: depotShare, Warning: 1}})
	}
	agent, err := cluster.NewAgent("agent0")
	must(err)
	b.atEnd(agent.Close)
	return cluster, agent
}

// catalogueSettings returns the settings that follow the services of a catalogue.
func catalogueSettings(agent *consul.Agent) string {
	return fmt.Sprintf(`catalogue {
    agent %s
    service cache-box {
    }
    service trunk-cache {
    }
    service archive {
    }
}
`, agent.Address())
}
