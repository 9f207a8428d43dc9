package transport

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
)

const (
	// maxAcceptedStreams is the maximum number of streams that others have open to this proxy. An exchange between two
	// members takes milliseconds.
	maxAcceptedStreams = 64
	// defaultMaxStreamBytes is the value of Config.MaxStreamBytes if none is set.
	defaultMaxStreamBytes = 1 << 20
)

// errStreamLimit is returned by a read of a stream that was closed because of a limit.
var errStreamLimit = errors.New("too many streams, or too many bytes received on them")

// streamLimits limits the number of streams that others open to this proxy, and the bytes received on these and on the
// streams that this proxy opens. memberlist keeps a message until it is complete, and verifies only then whether its
// sender has the fleet's key: whoever reaches the address, or is at the address of a member, may send as much.
//
// Beyond a limit, the accepted stream that was opened first or the stream that has received the most is closed. The
// streams between members are short, so that they are the last to be closed.
//
// Invariants: at most maxAcceptedStreams accepted streams are open; at most maxBytes bytes were received on all streams
// that are open, but for one read.
type streamLimits struct {
	maxBytes int
	accepted <-chan net.Conn
	admitted chan net.Conn
	stopped  chan struct{}

	mu      sync.Mutex
	accepts []*limitedStream // the accepted streams, in the order of their opening
	dials   []*limitedStream // the streams that this proxy has opened
	bytes   int              // received on all of these
	closed  uint64           // streams that were closed because of a limit
}

// newStreamLimits returns limits for streams from a channel of accepted ones. A maxBytes of 0 is the default.
func newStreamLimits(maxBytes int, accepted <-chan net.Conn) *streamLimits {
	return &streamLimits{
		maxBytes: cmp.Or(maxBytes, defaultMaxStreamBytes),
		accepted: accepted,
		admitted: make(chan net.Conn),
		stopped:  make(chan struct{}),
	}
}

// forward admits the accepted streams until stop.
func (s *streamLimits) forward() {
	for {
		select {
		case conn := <-s.accepted:
			s.forwardOne(s.admit(conn))
		case <-s.stopped:
			return
		}
	}
}

// forwardOne passes a stream on, or closes it after stop.
func (s *streamLimits) forwardOne(stream net.Conn) {
	select {
	case s.admitted <- stream:
	case <-s.stopped:
		_ = stream.Close()
	}
}

// stop ends forward. The network that accepts streams must have been shut down: until then it waits for forward.
func (s *streamLimits) stop() { close(s.stopped) }

// admit returns an accepted stream with its reads limited.
func (s *streamLimits) admit(conn net.Conn) net.Conn {
	stream := &limitedStream{Conn: conn, limits: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.accepts) >= maxAcceptedStreams {
		s.closeForLimit(s.accepts[0])
	}
	s.accepts = append(s.accepts, stream)
	return stream
}

// dialed returns a stream that this proxy has opened with its reads limited.
func (s *streamLimits) dialed(conn net.Conn) net.Conn {
	stream := &limitedStream{Conn: conn, limits: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials = append(s.dials, stream)
	return stream
}

// received records that bytes were received on a stream. It reports whether the stream is still open.
func (s *streamLimits) received(stream *limitedStream, bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream.isRemoved {
		return false
	}
	stream.bytes += bytes
	s.bytes += bytes
	for s.bytes > s.maxBytes {
		s.closeForLimit(s.largest())
	}
	return !stream.isRemoved
}

// largest returns the stream on which the most was received. The mutex must be locked.
func (s *streamLimits) largest() *limitedStream {
	bySize := func(a, b *limitedStream) int { return a.bytes - b.bytes }
	return slices.MaxFunc(slices.Concat(s.accepts, s.dials), bySize)
}

// closeForLimit closes an open stream because of a limit. The mutex must be locked.
func (s *streamLimits) closeForLimit(stream *limitedStream) {
	s.closed++
	s.remove(stream)
	_ = stream.Conn.Close()
}

// remove removes a stream, unless it has been removed before. The mutex must be locked.
func (s *streamLimits) remove(stream *limitedStream) {
	if stream.isRemoved {
		return
	}
	stream.isRemoved = true
	s.bytes -= stream.bytes
	isRemoved := func(other *limitedStream) bool { return other == stream }
	s.accepts = slices.DeleteFunc(s.accepts, isRemoved)
	s.dials = slices.DeleteFunc(s.dials, isRemoved)
}

// closedForLimit returns how many streams were closed because of a limit.
func (s *streamLimits) closedForLimit() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// receivedBytes returns the number of bytes that were received on the open streams.
func (s *streamLimits) receivedBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// limitedStream is a stream whose received bytes count for a limit until it is closed.
type limitedStream struct {
	net.Conn
	limits    *streamLimits
	bytes     int  // guarded by limits.mu, as is isRemoved
	isRemoved bool // closed, or about to be
}

// Read reads from the stream, and fails once a limit has closed it.
func (s *limitedStream) Read(buffer []byte) (n int, err error) {
	n, err = s.Conn.Read(buffer)
	if n > 0 && !s.limits.received(s, n) {
		return 0, errStreamLimit
	}
	return n, err
}

// Close closes the stream.
func (s *limitedStream) Close() error {
	s.limits.mu.Lock()
	s.limits.remove(s)
	s.limits.mu.Unlock()
	return s.Conn.Close()
}
