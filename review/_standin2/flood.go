package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloequay/internal/emulator"
)

const (
	chargesAtOnce = 20    // of at most 32 that one connection may carry
	chargeBytes   = 40000 // of at most 48,000
	floodRounds   = 5
)

func init() { cases["flood"] = floodCase }

// floodCase: a client with a sound token sends charges at once, while one other client of its address floods.
func floodCase(w *world) (broken bool, err error) {
	depots := emulator.NewEndpoints(nil)
	defer depots.Close()
	d, token, err := w.startIdentified(depots)
	if err != nil {
		return false, err
	}
	var stop atomic.Bool
	var turnedAway atomic.Int64
	var flooding sync.WaitGroup
	if w.trouble {
		flooding.Go(func() { w.flood(d.address, token, &stop, &turnedAway) })
	}
	defer flooding.Wait()
	defer stop.Store(true)
	time.Sleep(2 * time.Second)
	for round := range floodRounds {
		w.note("round %d: %d charges of %d bytes on one connection", round+1, chargesAtOnce, chargeBytes)
		unanswered, err := w.sendCharges(d.address, token, chargesAtOnce)
		if err != nil {
			return false, err
		}
		if unanswered > 0 {
			w.note("%d have no answer and are sent again once, on a new connection", unanswered)
			if unanswered, err = w.sendCharges(d.address, token, unanswered); err != nil {
				return false, err
			}
		}
		w.note("round %d: %d charges were never answered", round+1, unanswered)
		broken = broken || unanswered > 0
		time.Sleep(500 * time.Millisecond)
	}
	w.note("requests of the flood that were turned away: %d", turnedAway.Load())
	return broken, nil
}

// sendCharges sends charges at once on a new connection. It returns how many but the first had no whole answer when the
// doorman ended the connection, before their time was up.
func (w *world) sendCharges(address, token string, count int) (unanswered int, err error) {
	client, err := emulator.Dial(address)
	if err != nil {
		return 0, err
	}
	defer client.Conn.Close()
	ids := map[uint64]string{}
	var frames [][]byte
	for i := range count {
		frame, id := newRequest(i+1, "charge", chargeLimit, token, strings.Repeat("x", chargeBytes))
		frames = append(frames, frame)
		ids[uint64(i+1)] = id
	}
	written := make(chan int, 1)
	go func() {
		n := 0
		for _, frame := range frames {
			if client.Send(frame) != nil {
				break
			}
			n++
		}
		written <- n
	}()
	began := time.Now()
	for len(ids) > 0 && time.Since(began) < chargeLimit {
		reply, err := client.Read(chargeLimit - time.Since(began))
		if err != nil {
			w.note("the connection ended after %v: %v", time.Since(began).Round(time.Millisecond), err)
			break
		}
		w.note("charge %s: %s", ids[reply.ID], describe(reply, nil))
		delete(ids, reply.ID)
	}
	if time.Since(began) >= chargeLimit {
		return 0, nil // their time is up: failed, not lost
	}
	_ = client.Conn.Close()
	complete := <-written
	w.note("%d of %d charges were written whole", complete, count)
	for message, id := range ids {
		if message > 1 && message <= uint64(complete) { // the first one is excused, and so is what was not written
			w.note("charge %s: no whole answer", id)
			unanswered++
		}
	}
	return unanswered, nil
}
