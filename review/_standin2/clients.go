package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"sloequay/internal/emulator"
)

// chargeLimit is how long a client waits for a charge.
const chargeLimit = 3 * time.Second

// lastID is the last number from which an id of a request was made; each request has a new one.
var lastID atomic.Uint64

// newRequest returns the frame of a request with a new id, and the id.
func newRequest(message int, class string, limit time.Duration, token, body string) (frame []byte, id string) {
	n := lastID.Add(1)
	id = fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<16|n&0xffff)
	fields := map[string]string{"txn": id, "limit": fmt.Sprint(limit.Milliseconds()), "item": fmt.Sprintf("%016x", n+1)}
	if class == "charge" {
		fields["unique"] = id + id
	}
	if token != "" {
		fields["token"] = token
	}
	return emulator.Request(uint64(message), class, fields, body), id
}

// describe returns the words for an answer in the record.
func describe(reply emulator.Reply, err error) string {
	switch {
	case err != nil:
		return "no whole answer: " + err.Error()
	case reply.Error != "":
		return "answered " + reply.Error
	}
	return "served"
}

// answerServed answers a request at a depot as served, with the depot's id as the body.
func answerServed(r *emulator.ReceivedRequest) {
	r.Answer("ACK", fmt.Sprintf("tag=t1,minted=%d,remark=hit", time.Now().UnixMilli()), r.Endpoint)
}

// newTokens makes a directory of keys by the project's own command, and returns the settings that use it and a signed
// token of the tenant lanes.
func (w *world) newTokens() (settings, token string, err error) {
	directory := filepath.Join(w.dir, "keys")
	run := func(args ...string) (string, error) {
		out, err := exec.Command("bin/sloequay", args...).Output()
		if err != nil {
			return "", fmt.Errorf("sloequay %v: %w", args, err)
		}
		return strings.TrimSpace(string(out)), nil
	}
	if _, err := run("key", "new", "--dir", directory); err != nil {
		return "", "", err
	}
	token, err = run("token", "sign", "--dir", directory, "--subject", "lane-1", "--tenant", "lanes", "--life", "1h")
	settings = "identity {\n    keys " + directory + "\n    tenant lanes {\n        right lookup charge footage\n    }\n}\n"
	return settings, token, err
}

// floodBatch is how many requests a flooding client sends at once.
const floodBatch = 30

// flood connects a client that sends requests with tokens nobody signed, many at once and again as soon as they are
// turned away. It reads what it is sent, and goes on until stop is set.
func (w *world) flood(address, token string, stop *atomic.Bool, turnedAway *atomic.Int64) {
	for !stop.Load() {
		client, err := emulator.Dial(address)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for ok := true; ok && !stop.Load(); {
			var batch []byte
			for i := range floodBatch {
				forged := fmt.Sprintf("%s%012d", token[:len(token)-12], lastID.Load()%1e12)
				frame, _ := newRequest(i+1, "lookup", 2*time.Second, forged, "")
				batch = append(batch, frame...)
			}
			ok = client.Send(batch) == nil
			for i := 0; ok && i < floodBatch; i++ {
				if _, err := client.Read(3 * time.Second); err != nil {
					ok = false
				} else {
					turnedAway.Add(1)
				}
			}
		}
		_ = client.Conn.Close()
	}
}

// startIdentified starts depots and a doorman that asks for tokens.
func (w *world) startIdentified(depots *emulator.Endpoints) (d *doorman, token string, err error) {
	depots.OnControlLine(func(*emulator.ReceivedRequest) {})
	depots.SetResponder(func(r *emulator.ReceivedRequest) {
		if r.Fields["profile"] == "charge" {
			w.note("%s ran charge %s", r.Endpoint, r.ID)
		}
		answerServed(r)
	})
	list, err := addDepots(depots, "c1", "c2", "p1", "o1")
	if err != nil {
		return nil, "", err
	}
	settings, token, err := w.newTokens()
	if err != nil {
		return nil, "", err
	}
	d, err = w.start("n1", options{memoryMB: 192, sockets: 1024, depots: list, conf: settings})
	return d, token, err
}
