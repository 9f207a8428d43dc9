package emulator

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// endPollInterval is how long one poll of a socket waits for the connection to end. When this side closes the
// connection, the close waits for the poll to return.
const endPollInterval = 5 * time.Millisecond

// EndWatch records when the other side's close of a connection arrived at the socket, even if data that was sent before
// it has not been read yet. Only Linux reports that event (POLLRDHUP).
type EndWatch struct {
	mu     sync.Mutex
	seenAt time.Time
}

// WatchEnd watches a connection until either side ends it.
func WatchEnd(conn *net.TCPConn) *EndWatch {
	watch := &EndWatch{}
	raw, err := conn.SyscallConn()
	if err == nil {
		go watch.pollSocket(raw.Control)
	}
	return watch
}

// pollSocket polls the socket until the connection has ended. control calls a function with the socket's descriptor,
// and returns an error once this side has closed it.
func (w *EndWatch) pollSocket(control func(func(descriptor uintptr)) error) {
	for hasEnded := false; !hasEnded; {
		err := control(func(descriptor uintptr) { hasEnded = awaitEnd(descriptor) })
		if err != nil {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seenAt = time.Now()
}

// awaitEnd waits up to endPollInterval for the other side's close or reset, and reports whether it arrived.
func awaitEnd(descriptor uintptr) bool {
	descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(descriptors, int(endPollInterval.Milliseconds()))
	return err == nil && ready > 0
}

// SeenAt returns when the other side's close or reset arrived; zero if it has not.
func (w *EndWatch) SeenAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seenAt
}
