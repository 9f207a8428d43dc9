package eventloop

import (
	"time"

	"golang.org/x/sys/unix"

	"sloequay/internal/eventloop/standstill"
)

const (
	// A loop with more than busyRounds in a busyWindow is busy, and sleeps for busyPause after each round. With these
	// pauses it can make some 130.
	busyWindow = 50 * time.Millisecond
	busyRounds = 80
	busyPause  = 300 * time.Microsecond
	// maxRoundBuffer is the largest buffer of CopyForRound that is used again.
	maxRoundBuffer = 4 << 20
)

// RequestRound asks for a round: its end comes once all that is ready now has been read, or later where the loop stood
// still. Handlers need not call it; tasks of Post do if what they did is to have a consequence.
func (l *Loop) RequestRound() {
	if l.isRoundRequested {
		return
	}
	l.isRoundRequested = true
	l.Post(l.roundDue)
}

// WakeAfter asks for a round after a time. A later call takes the place of an earlier one. It is called at the end of
// a round: a round that comes much later than that shows that the loop stood still.
func (l *Loop) WakeAfter(d time.Duration) {
	l.standstill.WakeRequested(d)
	if l.wakeTimer == nil {
		l.wakeTimer = time.AfterFunc(d, func() { l.Post(l.RequestRound) })
		return
	}
	l.wakeTimer.Reset(d)
}

// Lag is how much earlier than now something may have come to this program that the loop learns of now: 0 unless the
// program stands or has just stood still.
func (l *Loop) Lag() time.Duration {
	now := time.Now()
	return l.standstill.FirstReadLag(now, now)
}

// PacketLag is Conn.ReadLag for datagrams: how much earlier than now one may have come that is read now.
func (l *Loop) PacketLag() time.Duration { return l.standstill.ReadLag(time.Now()) }

// roundDue ends the round, or puts that off. After a standstill what came meanwhile must be read first: it may say
// that clients have left, or that the list has changed.
func (l *Loop) roundDue() {
	now := time.Now()
	if l.standstill.Step(now) == standstill.CatchUp {
		// By a timer beside the loop: a task posted here would run before anything more is read.
		time.AfterFunc(standstill.StepInterval, func() { l.Post(l.roundDue) })
		return
	}
	l.standstill.RoundBegan(now)
	l.isRoundRequested = false
	l.endRound()
	l.writeAll()
	if l.roundBuffer = l.roundBuffer[:0]; cap(l.roundBuffer) > maxRoundBuffer {
		l.roundBuffer = nil
	}
	if l.pacer.roundEnded(time.Now()) {
		sleepBriefly()
	}
}

// writeAll writes to each connection once what the round left for it.
func (l *Loop) writeAll() {
	for i := 0; i < len(l.toWrite); i++ { // closing one may leave something for another
		conn := l.toWrite[i]
		conn.compose()
		conn.isToBeWritten = false
		conn.write()
	}
	l.toWrite = l.toWrite[:0]
}

// CopyForRound copies bytes that are needed until the end of this round and no longer, into a buffer that is used
// again in the next one: copies of their own would keep the collector busy.
func (l *Loop) CopyForRound(data []byte) []byte {
	start := len(l.roundBuffer)
	l.roundBuffer = append(l.roundBuffer, data...) // what was handed out before stays where it is when this grows
	return l.roundBuffer[start:len(l.roundBuffer):len(l.roundBuffer)]
}

// roundPacer knows whether a loop is busy: a short sleep then has its next round take in more. Rounds of an event or
// two each would fill the core, and what comes would wait in the sockets.
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

// sleepBriefly sleeps for busyPause. Go's own sleep lasts a millisecond at least, so this is the system's.
func sleepBriefly() {
	pause := unix.NsecToTimespec(int64(busyPause))
	_ = unix.Nanosleep(&pause, nil)
}
