package eventloop

import (
	"time"

	"golang.org/x/sys/unix"

	"sloequay/internal/eventloop/standstill"
)

const (
	// A loop with more than busyRounds rounds in a busyWindow is busy, and sleeps for busyPause after each round. With
	// these pauses about 130 rounds fit into a window, so a busy loop still exceeds busyRounds.
	busyWindow = 50 * time.Millisecond
	busyRounds = 80
	busyPause  = 300 * time.Microsecond
)

// RequestRound requests a round. It ends once everything that is ready now has been read, or later if the loop stood
// still. Handlers need not call RequestRound; a task of Post must if its changes need a round to take effect.
func (l *Loop) RequestRound() {
	if l.isRoundRequested {
		return
	}
	l.isRoundRequested = true
	l.Post(l.finishRound)
}

// WakeAfter requests a round after d, and replaces an earlier request. It is called at the end of a round: if the next
// round comes much later than d, the loop stood still.
func (l *Loop) WakeAfter(d time.Duration) {
	l.standstill.WakeRequested(d)
	if l.wakeTimer == nil {
		l.wakeTimer = time.AfterFunc(d, func() { l.Post(l.RequestRound) })
		return
	}
	l.wakeTimer.Reset(d)
}

// Lag returns how long an event that the loop learns of now may have waited. It is 0 unless the program is in a
// standstill or a standstill has just ended.
func (l *Loop) Lag() time.Duration {
	now := time.Now()
	return l.standstill.FirstReadLag(now, now)
}

// PacketLag returns how long a datagram that is read now may have waited. It is Conn.ReadLag for datagrams.
func (l *Loop) PacketLag() time.Duration { return l.standstill.ReadLag(time.Now()) }

// finishRound ends the round, or postpones that after a standstill: everything that arrived meanwhile must be read
// first, as it may tell that clients have left or that the endpoint list has changed.
func (l *Loop) finishRound() {
	now := time.Now()
	if l.standstill.Step(now) == standstill.CatchUp {
		// Use a timer, as a task posted here would run before anything more is read.
		time.AfterFunc(standstill.StepInterval, func() { l.Post(l.finishRound) })
		return
	}
	l.standstill.RoundBegan(now)
	l.isRoundRequested = false
	l.endRound()
	l.writeAll()
	l.roundBuffer.reset()
	if l.pacer.roundEnded(time.Now()) {
		sleepBriefly()
	}
}

// writeAll writes the output of the round, once to each connection.
func (l *Loop) writeAll() {
	for i := 0; i < len(l.toWrite); i++ { // closing a connection may add output for another one
		conn := l.toWrite[i]
		conn.compose()
		conn.isToBeWritten = false
		conn.write()
	}
	l.toWrite = l.toWrite[:0]
}

// roundPacer decides whether the loop is busy and must sleep briefly after a round, so that the next round handles more
// events. Without that, rounds of one or two events each would use up the CPU while input waits in the sockets.
type roundPacer struct {
	windowStart time.Time
	rounds      int // in this window
	isBusy      bool
}

// roundEnded counts a round, and reports whether the loop is busy.
func (p *roundPacer) roundEnded(now time.Time) bool {
	p.rounds++
	if now.Sub(p.windowStart) >= busyWindow {
		p.isBusy = p.rounds > busyRounds
		p.rounds = 0
		p.windowStart = now
	}
	return p.isBusy
}

// sleepBriefly sleeps for busyPause by nanosleep, as time.Sleep takes at least a millisecond.
func sleepBriefly() {
	pause := unix.NsecToTimespec(int64(busyPause))
	_ = unix.Nanosleep(&pause, nil)
}
