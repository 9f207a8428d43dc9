package transport

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
)

const (
	// maxInboundStreams is the maximum number of streams that others have open to this proxy. An exchange between two
	// members takes milliseconds.
	maxInboundStreams = 64
	// defaultMaxInboundBytes is the value of Config.MaxInboundBytes if none is set.
	defaultMaxInboundBytes = 1 << 20
)

// errInboundLimit is returned by a read of a stream that was closed because too much is open or has been received.
var errInboundLimit = errors.New("too many inbound streams, or too many bytes of them")

// inboundStreams limits the streams that others open to this proxy, and the bytes that arrive by them.
// memberlist keeps a message until it is complete, and verifies only then whether its sender has the fleet's key:
// anyone who reaches the address may send as much.
//
// Beyond a limit, the stream that is open for the longest time or has sent the most is closed. A member's stream is
// short, so that it is the last to be closed.
//
// Invariants: at most maxInboundStreams streams are open, and they have sent at most maxBytes bytes, but for one read.
type inboundStreams struct {
	maxBytes int
	accepted <-chan net.Conn
	admitted chan net.Conn
	stopped  chan struct{}

	mu     sync.Mutex
	open   []*inboundStream // in the order of their opening
	bytes  int              // received on the open streams
	closed uint64           // streams that were closed because of a limit
}

// newInboundStreams returns limits for streams from a channel of accepted ones. A maxBytes of 0 is the default.
func newInboundStreams(maxBytes int, accepted <-chan net.Conn) *inboundStreams {
	return &inboundStreams{
		maxBytes: cmp.Or(maxBytes, defaultMaxInboundBytes),
		accepted: accepted,
		admitted: make(chan net.Conn),
		stopped:  make(chan struct{}),
	}
}

// forward admits the accepted streams until stop.
func (s *inboundStreams) forward() {
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
func (s *inboundStreams) forwardOne(stream net.Conn) {
	select {
	case s.admitted <- stream:
	case <-s.stopped:
		_ = stream.Close()
	}
}

// stop ends forward. The network that accepts streams must have been shut down: until then it waits for forward.
func (s *inboundStreams) stop() { close(s.stopped) }

// admit returns an accepted stream with its reads limited.
func (s *inboundStreams) admit(conn net.Conn) net.Conn {
	stream := &inboundStream{Conn: conn, streams: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxInboundStreams {
		s.closeForLimit(s.open[0])
	}
	s.open = append(s.open, stream)
	return stream
}

// received records that bytes were received on a stream. It reports whether the stream is still open.
func (s *inboundStreams) received(stream *inboundStream, bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream.isRemoved {
		return false
	}
	stream.bytes += bytes
	s.bytes += bytes
	for s.bytes > s.maxBytes {
		bySize := func(a, b *inboundStream) int { return a.bytes - b.bytes }
		s.closeForLimit(slices.MaxFunc(s.open, bySize))
	}
	return !stream.isRemoved
}

// closeForLimit closes an open stream because of a limit. The mutex must be locked.
func (s *inboundStreams) closeForLimit(stream *inboundStream) {
	s.closed++
	s.remove(stream)
	_ = stream.Conn.Close()
}

// remove removes a stream, unless it has been removed before. The mutex must be locked.
func (s *inboundStreams) remove(stream *inboundStream) {
	if stream.isRemoved {
		return
	}
	stream.isRemoved = true
	s.bytes -= stream.bytes
	s.open = slices.DeleteFunc(s.open, func(other *inboundStream) bool { return other == stream })
}

// closedForLimit returns how many streams were closed because of a limit.
func (s *inboundStreams) closedForLimit() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// receivedBytes returns the number of bytes that were received on the open streams.
func (s *inboundStreams) receivedBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// inboundStream is an accepted stream whose received bytes count for a limit until it is closed.
type inboundStream struct {
	net.Conn
	streams   *inboundStreams
	bytes     int  // guarded by streams.mu, as is isRemoved
	isRemoved bool // closed, or about to be
}

// Read reads from the stream, and fails once a limit has closed it.
func (s *inboundStream) Read(buffer []byte) (n int, err error) {
	n, err = s.Conn.Read(buffer)
	if n > 0 && !s.streams.received(s, n) {
		return 0, errInboundLimit
	}
	return n, err
}

// Close closes the stream.
func (s *inboundStream) Close() error {
	s.streams.mu.Lock()
	s.streams.remove(s)
	s.streams.mu.Unlock()
	return s.Conn.Close()
}
