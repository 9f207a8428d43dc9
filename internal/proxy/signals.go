package proxy

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the signals that the proxy heeds. The end and the reloads have channels of their own, each with
// room for one: what comes while one waits says nothing new, and no number of reloads keeps the end out.
type Signals struct {
	end    chan os.Signal // SIGTERM, SIGINT
	reload chan os.Signal // SIGHUP
}

// ReceiveSignals takes the signals over. It has to be called before files are read: SIGHUP ends a process that has
// not taken it over. Writes to a log that nobody reads any more fail instead of ending the process.
func ReceiveSignals() *Signals {
	s := &Signals{end: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// handleEnd takes the signals to end to the loop.
func (d *server) handleEnd() {
	for range d.signals.end {
		d.loop.Post(d.leave)
	}
}

// handleReloads reads the files anew for each SIGHUP, beside the loop, and takes the result there.
func (d *server) handleReloads() {
	for range d.signals.reload {
		next, err := d.plan.reload()
		d.loop.Post(func() { d.reload(next, err) })
	}
}
