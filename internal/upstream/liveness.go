package upstream

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/broker"
)

const (
	// A machine that is cut off, or a stream that broke off, leaves its connections open and silent. Where an
	// answer is late and nothing was read for minQuiet, a NOOP asks whether the connection lives; what has not
	// answered that within checkWithin is closed. A probe is answered beside the queue of the box, so one that is
	// merely slow passes.
	minQuiet     = 100 * time.Millisecond
	aliveFor     = time.Second           // see mayCheck
	hitWithin    = 25 * time.Millisecond // beside its sending time, an answer is late after that
	fillWithin   = 100 * time.Millisecond
	checkWithin  = 120 * time.Millisecond
	suspectAfter = 30 * time.Millisecond // of a check that is out, new attempts go by another connection
	checkLooks   = 3                     // rounds of ours that must have passed: a loop that stalled knows nothing
	watchEvery   = 20 * time.Millisecond
	// silentAfter is the same where probes are not allowed; then new attempts go by another connection.
	silentAfter = 600 * time.Millisecond
	// maxTrickle is how long an answer may be on its way before nothing new is put behind it: a whole one of
	// 240,000 bytes takes 0.8 s at the pace of one transfer. Where its own request is over by then, and another one
	// is late behind it, the connection is ended.
	maxTrickle = time.Second
)

// CheckLiveness looks after connections on which something waits and nothing comes.
func (p *Pool) CheckLiveness(now time.Duration) {
	if now-p.seen < watchEvery && now >= p.seen {
		return
	}
	p.seen = now
	for _, d := range p.boxes {
		for _, l := range slices.Clone(d.links) {
			if l.conn != nil && (len(l.open) > 0 || l.conn.Unsent() > 0) {
				l.watch(now)
			}
		}
	}
}

func (l *link) watch(now time.Duration) {
	if l.queue.isStuck(now, l.conn.Flushed()) {
		l.endUnresponsive()
		return
	}
	if l.blocked(now) {
		l.garbled(fmt.Errorf("an answer under %.32q has not ended for %v, and its request is over", l.coming, now-l.since))
		return
	}
	quiet := now - max(l.heard, l.awaits)
	if !l.pool.HealthChecksAllowed {
		if quiet > silentAfter {
			l.retire()
		}
		return
	}
	checked, slowSinceCheck, isSlow := false, false, false
	for _, o := range l.open {
		if !o.check {
			// Late since the box last said that it lives, or late at all.
			slowSinceCheck = slowSinceCheck || o.attempt != nil && now > o.due && o.due > l.alive
			isSlow = isSlow || o.attempt != nil && now > o.due
			continue
		}
		checked = true
		// While bytes come the answer may be behind them.
		since := now - max(o.sent, l.heard)
		l.doubted = l.doubted || since > suspectAfter
		if o.looks++; since > checkWithin && o.looks > checkLooks {
			l.endUnresponsive()
			return
		}
	}
	if !checked && mayCheck(quiet, slowSinceCheck, isSlow) {
		l.check()
	}
}

// mayCheck says whether a connection on which nothing is asked yet is to be asked whether it lives: only where an
// answer is late, and nothing has come for minQuiet. A check is priced and answered from the box's budget of
// probes, which all doormans share; one asked whenever a connection was quiet for 100 ms, whatever was due, came
// with a fifth of all attempts on a day of 80 doormans (zone+vast), every one of them answered READY, and cost 0.05
// of G. A connection that is cut off still shows: what is on it becomes late.
//
// A box that answered a check lives: what was late then is slow, not cut off, and is asked about again only after
// aliveFor of quiet. Asked after each 100 ms of quiet, one answer that a slow box gave after 6 s brought dozens of
// checks, and on join+vast (seed 879229280246) 11,770 checks went beside 45,588 attempts, all but 6 answered READY.
func mayCheck(quiet time.Duration, slowSinceCheck, isSlow bool) bool {
	return slowSinceCheck && quiet > minQuiet || isSlow && quiet > aliveFor
}

// trickles says whether an answer has been on its way for so long that nothing is to wait behind it.
func (l *link) trickles(now time.Duration) bool { return l.since != 0 && now-l.since > maxTrickle }

// blocked says whether such an answer, which nobody waits for any more, holds up another that is late.
func (l *link) blocked(now time.Duration) bool {
	if o := l.open[l.coming]; !l.trickles(now) || o != nil && (o.attempt == nil || o.attempt.Open()) {
		return false
	}
	for _, o := range l.open {
		if o.attempt != nil && o.attempt.Open() && now > o.due {
			return true
		}
	}
	return false
}

// endUnresponsive ends a connection on which nothing comes any more. A QUIT would not arrive; the close gives all up.
func (l *link) endUnresponsive() {
	l.pool.Log("upstream-unresponsive", "endpoint", l.depot.box.Name, "open", len(l.open))
	l.pool.Stats.Unresponsive++
	l.endAll(func(*pending) broker.End { return broker.Unresponsive })
	l.conn.Abort()
	l.retire()
}
