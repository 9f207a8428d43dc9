package main

import (
	"fmt"
	"net"
	"strconv"

	"sloequay/internal/emulator"
	"sloequay/internal/emulator/consul"
)

// The services of the catalogue, by the class of their boxes, and their places in the settings.
var catalogueServices = []struct{ class, service string }{{"std", "cache"}, {"parent", "trunk"}, {"origin", "archive"}}

// startCatalogue starts an agent of the catalogue with the boxes as passing instances.
func startCatalogue(boxes []listEntry) (*consul.Agent, error) {
	cluster := consul.NewCluster()
	for _, box := range boxes {
		host, portText, err := net.SplitHostPort(box.Dial)
		if err != nil {
			return nil, err
		}
		port, err := strconv.Atoi(portText)
		if err != nil {
			return nil, err
		}
		cluster.Put(consul.Instance{
			Node: "node-" + box.Host, NodeAddress: host, Service: catalogueServices[place(box.Class)].service,
			ID: box.Host, Address: host, Port: port, Meta: map[string]string{"site": box.Site, "class": box.Class},
			Weights: consul.Weights{Passing: 4, Warning: 1},
			Checks:  []consul.Check{{CheckID: "service:" + box.Host, Status: consul.Passing, ServiceID: box.Host}},
		})
	}
	return cluster.NewAgent("agent")
}

// place returns the place of a class among the services.
func place(class string) int {
	for i := range catalogueServices {
		if catalogueServices[i].class == class {
			return i
		}
	}
	return 0
}

// startFleet starts doormans that know of each other and follow the catalogue.
func (w *world) startFleet(keyFile, agent string, size, memoryMB int, names ...string) (
	doormans []*doorman, seeds []string, err error,
) {
	for _, name := range names {
		address, err := freeAddress()
		if err != nil {
			return nil, nil, err
		}
		seed := ""
		if len(seeds) > 0 {
			seed = "    seed " + seeds[0] + "\n"
		}
		services := ""
		for _, s := range catalogueServices {
			services += "    service " + s.service + " {\n    }\n"
		}
		conf := fmt.Sprintf("list {\n    bulletin off\n}\npeers {\n    listen %s\n    key-file %s\n    fleet %d\n%s}\n"+
			"catalogue {\n    agent %s\n%s}\n", address, keyFile, size, seed, agent, services)
		d, err := w.start(name, options{memoryMB: memoryMB, sockets: 1024, conf: conf})
		if err != nil {
			return nil, nil, err
		}
		doormans = append(doormans, d)
		seeds = append(seeds, address)
	}
	return doormans, seeds, nil
}

// ask sends requests to a doorman, charges and lookups in turn.
func (w *world) ask(d *doorman, count int) {
	client, err := emulator.Dial(d.address)
	if err != nil {
		w.note("%s: %v", d.name, err)
		return
	}
	defer client.Conn.Close()
	for i := range count {
		class := "lookup"
		if i%2 == 0 {
			class = "charge"
		}
		frame, id := newRequest(i+1, class, chargeLimit, "", "")
		if err := client.Send(frame); err != nil {
			w.note("%s: %v", d.name, err)
			return
		}
		reply, err := client.Read(chargeLimit)
		w.note("%s: %s %s: %s, by %q", d.name, class, id, describe(reply, err), reply.Body)
		if err != nil {
			return
		}
	}
}
