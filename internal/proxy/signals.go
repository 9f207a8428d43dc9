package proxy

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the signals that the proxy handles. Shutdown and reload have separate channels, so that no number of
// reloads delays the shutdown. Each channel holds one signal: another one that arrives meanwhile adds nothing.
type Signals struct {
	shutdown chan os.Signal // SIGTERM, SIGINT
	reload   chan os.Signal // SIGHUP
}

// ReceiveSignals starts receiving the signals. It must be called before any files are read, because until then SIGHUP
// ends the process. It ignores SIGPIPE, so that writes to a log whose reader has gone fail instead of ending the
// process.
func ReceiveSignals() *Signals {
	s := &Signals{shutdown: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// handleShutdownSignals begins the shutdown at SIGTERM or SIGINT. It runs on a separate goroutine until the process
// ends.
func (s *server) handleShutdownSignals() {
	for range s.signals.shutdown {
		receivedAt := s.clock.Monotonic()
		s.loop.Post(func() { s.beginShutdown(receivedAt) })
	}
}

// handleReloadSignals reads the files again at each SIGHUP, and applies the result on the event loop. It runs on a
// separate goroutine until the process ends.
func (s *server) handleReloadSignals() {
	for range s.signals.reload {
		next, err := s.plan.reload()
		s.loop.Post(func() { s.reload(next, err) })
	}
}
