package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloequay/internal/emulator"
)

const (
	burstMemoryMB   = 64 // of 32 to 192
	burstSockets    = 512
	burstClients    = 45 // of 170, a third of the sockets
	burstRequests   = 32 // on each connection at once
	burstBytes      = 48000
	archiveWorkers  = 10
	archiveTime     = 40 * time.Millisecond
	memoryLookEvery = 10 * time.Millisecond
	usualClients    = 4
	usualPause      = 50 * time.Millisecond
)

func init() { cases["burst"] = burstCase }

// burstCase: clients send as many writes at once as the protocol allows; the platform kills a doorman that takes more
// memory than its limit.
func burstCase(w *world) (broken bool, err error) {
	depots := emulator.NewEndpoints(nil)
	defer depots.Close()
	depots.OnControlLine(func(*emulator.ReceivedRequest) {})
	workers := make(chan bool, archiveWorkers)
	var ran atomic.Int64
	depots.SetResponder(func(r *emulator.ReceivedRequest) {
		if r.Fields["profile"] == "charge" { // the archive slows down when it is crowded
			workers <- true
			time.Sleep(archiveTime)
			<-workers
			ran.Add(1)
		}
		answerServed(r)
	})
	list, err := addDepots(depots, "c1", "c2", "p1", "o1")
	if err != nil {
		return false, err
	}
	d, err := w.start("n1", options{memoryMB: burstMemoryMB, sockets: burstSockets, depots: list})
	if err != nil {
		return false, err
	}
	w.note("the doorman holds %.1f MB of its own at rest, its limit is %d MB", d.anonymousMB(), burstMemoryMB)
	var stop atomic.Bool
	var clients sync.WaitGroup
	var usual tally
	for range usualClients {
		clients.Go(func() { w.usualClient(d.address, &stop, &usual) })
	}
	time.Sleep(2 * time.Second)
	var bad tally
	var burst sync.WaitGroup
	if w.trouble {
		w.note("%d clients send %d charges of %d bytes each, at once", burstClients, burstRequests, burstBytes)
		for range burstClients {
			burst.Go(func() { burstClient(d.address, &bad) })
		}
	}
	peak := 0.0
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(memoryLookEvery) {
		held := d.anonymousMB()
		peak = max(peak, held)
		if held > burstMemoryMB {
			w.note("the doorman holds %.1f MB of its own: the platform kills it", held)
			d.kill()
			broken = true
			break
		}
	}
	burst.Wait()
	stop.Store(true)
	clients.Wait()
	w.note("peak %.1f MB; charges that ran: %d", peak, ran.Load())
	w.note("burst: %s", bad.text())
	w.note("usual clients: %s", usual.text())
	return broken, nil
}

// usualClient sends one lookup after another, and now and then a charge.
func (w *world) usualClient(address string, stop *atomic.Bool, t *tally) {
	client, err := emulator.Dial(address)
	if err != nil {
		return
	}
	defer client.Conn.Close()
	for i := 1; !stop.Load(); i++ {
		class := "lookup"
		if i%20 == 0 {
			class = "charge"
		}
		frame, id := newRequest(i, class, chargeLimit, "", "")
		if client.Send(frame) != nil {
			return
		}
		reply, err := client.Read(chargeLimit + time.Second)
		t.count(reply, err)
		if err != nil {
			w.note("usual client: %s %s: %s", class, id, describe(reply, err))
			return
		}
		time.Sleep(usualPause)
	}
}

// burstClient sends its requests at once and reads all answers.
func burstClient(address string, t *tally) {
	client, err := emulator.Dial(address)
	if err != nil {
		return
	}
	defer client.Conn.Close()
	var sent sync.WaitGroup
	sent.Go(func() {
		for i := range burstRequests {
			frame, _ := newRequest(i+1, "charge", chargeLimit, "", strings.Repeat("x", burstBytes))
			if client.Send(frame) != nil {
				return
			}
		}
	})
	defer sent.Wait()
	for range burstRequests {
		reply, err := client.Read(chargeLimit + time.Second)
		t.count(reply, err)
		if err != nil {
			_ = client.Conn.Close()
			return
		}
	}
}
