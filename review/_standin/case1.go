package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"sloequay/internal/emulator"
	"sloequay/internal/emulator/consul"
	"sloequay/internal/membership"
)

const (
	trueBody  = "true"
	falseBody = "false"
)

func init() { cases["1"] = falseBoxes }

// falseBoxes: a doorman is restarted while the catalogue does not answer. One of its two peers lies: it advertises
// boxes of its own making. The doorman may send only to boxes that its own list has named.
func falseBoxes(b *bench) int {
	serving := func(body string) func() func(*attempt) (string, string, []byte) {
		return func() func(*attempt) (string, string, []byte) {
			return func(*attempt) (string, string, []byte) {
				time.Sleep(5 * time.Millisecond)
				return "ACK", fmt.Sprintf("tag=4be0c1927d55a6f3,minted=%d,remark=hit", time.Now().UnixMilli()), []byte(body)
			}
		}
	}
	depots, list := b.plaza(serving(trueBody))
	list.events = []string{rosterEvent(true, []map[string]any{})} // this installation has its boxes in the catalogue alone
	_, agent := b.catalogue(depots)
	var invented []*depot
	for i := range 4 {
		invented = append(invented, b.startDepot(fmt.Sprintf("x-00c41f7%d", i), serving(falseBody)()))
	}

	key := make([]byte, 32)
	_, _ = rand.Read(key)
	keyFile := filepath.Join(b.dir, "peers.key")
	must(os.WriteFile(keyFile, []byte(base64.StdEncoding.EncodeToString(key)+"\n"), 0o600))
	peerAddresses, addresses := []string{freeAddress(), freeAddress()}, []string{freeAddress(), freeAddress()}
	start := func(i int) *proxy {
		settings := catalogueSettings(agent) + fmt.Sprintf("peers {\n    listen %s\n    seed %s\n    key-file %s\n    fleet 3\n}\n",
			peerAddresses[i], strings.Join(peerAddresses, " "), keyFile)
		platform := platformSettings(3)
		platform["ordinal"] = i
		return b.startProxy(fmt.Sprint("n", i+1), platformConfig(fmt.Sprint("n", i+1), addresses[i], 64, 256, list, platform), settings)
	}
	n1, n2 := start(0), start(1)
	n1.waitReady(addresses[0])
	n2.waitReady(addresses[1])
	time.Sleep(2 * time.Second)
	b.note("catalogue: does not answer")
	agent.SetFault(consul.Hang, 0)
	time.Sleep(time.Second)
	n1.signal(syscall.SIGTERM)
	select {
	case <-n1.exited:
	case <-time.After(10 * time.Second):
		giveUp("n1 did not end by itself")
	}
	n1 = start(0)
	n1.waitReady(addresses[0])
	if hasTrouble() {
		endpoint := func(d *depot, zone, kind int) membership.Endpoint {
			return membership.Endpoint{ID: d.id, Address: d.address, Zone: zone, Kind: kind, State: membership.Up, Weight: depotShare}
		}
		b.startLiar(keyFile, peerAddresses, falseLists{
			{endpoint(invented[0], 1, 0), endpoint(invented[1], 1, 0)}, {endpoint(invented[2], 0, 1)}, {endpoint(invented[3], 0, 2)},
		})
	}
	time.Sleep(2 * time.Second)

	client := emulator.NewClient(b.dialClient(addresses[0]))
	const requests = 60
	answers := map[string]int{}
	for id := 1; id <= requests; id++ {
		class := []string{"footage", "lookup", "charge"}[id%3]
		fields := map[string]string{"limit": "3000", "item": fmt.Sprintf("%016x", 0x7f3a9c2100000000+id), "ram": "40"}
		if class == "charge" {
			fields["unique"] = fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5e4f3%04x", id)
		}
		must(client.Send(emulator.Request(uint64(id), class, fields, "")))
		reply, err := client.Read(10 * time.Second)
		must(err)
		outcome := class + ": " + reply.Error
		if reply.Error == "" {
			outcome = class + ": served, made by a " + reply.Body + " box"
		}
		answers[outcome]++
		time.Sleep(20 * time.Millisecond)
	}
	wrong := 0
	for outcome, count := range answers {
		b.note("client: %d times %s", count, outcome)
		if strings.HasSuffix(outcome, falseBody+" box") {
			wrong += count
		}
	}
	posted, misposted := depots[len(depots)-1].countClass("charge"), 0
	for _, d := range invented {
		b.note("%s, which no list of the catalogue or the bulletin has named, got %d attempts", d.id, d.count())
		misposted += d.countClass("charge")
	}
	b.note("charges: %d reached the archive, %d reached boxes that the lying peer made up", posted, misposted)
	if wrong+misposted > 0 {
		return broken
	}
	return held
}
