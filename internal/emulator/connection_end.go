package emulator

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// endPollInterval is how long one look at a socket waits for its end. A close of the connection by this side waits for
// the look.
const endPollInterval = 5 * time.Millisecond

// EndWatch dates the end of a connection by its socket: when the other side's close came in, though what was sent
// before it may not have been read yet. Linux alone tells that.
type EndWatch struct {
	mu     sync.Mutex
	seenAt time.Time
}

// WatchEnd watches a connection until it ends, by either side.
func WatchEnd(conn *net.TCPConn) *EndWatch {
	watch := &EndWatch{}
	raw, err := conn.SyscallConn()
	if err == nil {
		go watch.run(raw.Control)
	}
	return watch
}

// run looks at the socket until it has ended. control gives its descriptor, and an error once this side has closed it.
func (w *EndWatch) run(control func(func(descriptor uintptr)) error) {
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

// awaitEnd waits for the other side's close or reset, for endPollInterval at most, and reports whether it came.
func awaitEnd(descriptor uintptr) bool {
	sockets := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(sockets, int(endPollInterval.Milliseconds()))
	return err == nil && ready > 0
}

// SeenAt is when the other side's close or reset came in; zero: it has not.
func (w *EndWatch) SeenAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seenAt
}
