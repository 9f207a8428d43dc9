package main

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sloequay/internal/emulator"
)

const (
	restartFloods  = 60
	restartClients = 10
)

func init() { cases["restart"] = restartCase }

// restartCase: clients with a sound token have a request waiting when a planned restart begins, while others of their
// address flood.
func restartCase(w *world) (broken bool, err error) {
	depots := emulator.NewEndpoints(nil)
	defer depots.Close()
	d, token, err := w.startIdentified(depots)
	if err != nil {
		return false, err
	}
	var stop atomic.Bool
	var turnedAway atomic.Int64
	var flooding sync.WaitGroup
	for range restartFloods {
		if w.trouble {
			flooding.Go(func() { w.flood(d.address, token, &stop, &turnedAway) })
		}
	}
	defer flooding.Wait()
	defer stop.Store(true)
	time.Sleep(2 * time.Second)
	clients := make([]*emulator.Client, restartClients)
	var asking sync.WaitGroup
	for i := range clients {
		if clients[i], err = emulator.Dial(d.address); err != nil {
			return false, err
		}
		defer clients[i].Conn.Close()
		asking.Go(func() {
			_ = clients[i].Send(emulator.Request(1, "status", nil, ""))
			reply, err := clients[i].Read(4 * time.Second)
			w.note("client %d asked for the status: ready %v, %v", i, reply.Ready, err)
		})
	}
	asking.Wait()
	d.signal(syscall.SIGTERM)
	signalled := time.Now()
	w.note("SIGTERM")
	time.Sleep(500 * time.Millisecond)
	var lost atomic.Int64
	var waiting sync.WaitGroup
	for i, client := range clients {
		waiting.Go(func() {
			frame, id := newRequest(2, "charge", chargeLimit, token, "toll")
			sent := time.Now()
			if err := client.Send(frame); err != nil {
				w.note("client %d: not written: %v", i, err)
				return
			}
			w.note("client %d sent charge %s, %v after SIGTERM", i, id, time.Since(signalled).Round(time.Millisecond))
			reply, err := client.Read(chargeLimit)
			waited := time.Since(sent)
			w.note("client %d: charge %s: %s, after %v", i, id, describe(reply, err), waited.Round(time.Millisecond))
			// A close within 50 ms may have crossed the request, and a request whose time is up has failed.
			if err != nil && waited > 50*time.Millisecond && waited < chargeLimit-50*time.Millisecond {
				lost.Add(1)
			}
		})
	}
	waiting.Wait()
	w.note("requests without an answer: %d of %d; requests of the flood that were turned away: %d",
		lost.Load(), len(clients), turnedAway.Load())
	if d.hasEnded() {
		w.note("the doorman has ended by itself, %v after SIGTERM: %v", time.Since(signalled).Round(time.Millisecond),
			d.cmd.ProcessState)
	}
	return lost.Load() > 0, nil
}
