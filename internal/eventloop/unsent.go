package eventloop

import (
	"os"
	"slices"

	"golang.org/x/sys/unix"

	"sloequay/internal/eventloop/socket"
)

const (
	// If less than 1/trimDivisor of a large chunk is in use, its bytes move to a smaller one.
	trimDivisor = 4
	// maxOutboundBytes is the size from which queued output is moved to a chunk of its own before more is appended, as
	// growing a buffer needs room for its bytes twice.
	maxOutboundBytes = 256 << 10
)

// unsentBuffer holds the bytes of a connection that the system has not accepted yet. They are not left to gnet, which
// would register for writability with epoll and close the connection if epoll refuses. The bytes are in chunks that are
// never grown, and each is released once it is written, so that the memory is in proportion to the bytes.
type unsentBuffer struct {
	chunks   [][]byte // none is empty
	written  int      // bytes of the first chunk that the system has accepted
	bytes    int      // left to write
	capacity int      // of the chunks
}

// len returns the number of bytes left to write.
func (b *unsentBuffer) len() int { return b.bytes }

// add appends data, and reports whether the unsentBuffer now owns the slice itself instead of a copy.
func (b *unsentBuffer) add(data []byte) (ownsBuffer bool) {
	if len(data) == 0 {
		return false
	}
	b.bytes += len(data)
	if last := len(b.chunks) - 1; last >= 0 && cap(b.chunks[last])-len(b.chunks[last]) >= len(data) {
		b.chunks[last] = append(b.chunks[last], data...)
		return false
	}
	if isSparse(len(data), cap(data)) {
		data = slices.Clone(data)
	} else {
		ownsBuffer = true
	}
	b.chunks = append(b.chunks, data)
	b.capacity += cap(data)
	return ownsBuffer
}

// own appends data as a chunk of its own, without a copy.
func (b *unsentBuffer) own(data []byte) {
	if len(data) == 0 {
		return
	}
	data = data[:len(data):len(data)] // so that nothing is appended to it
	b.bytes += len(data)
	b.capacity += cap(data)
	b.chunks = append(b.chunks, data)
}

// writeTo writes to a socket until the system accepts nothing more. It calls release with each chunk that is written,
// and returns no error if the system accepts nothing now or lacks a resource.
func (b *unsentBuffer) writeTo(descriptor int, release func([]byte)) error {
	for len(b.chunks) > 0 {
		rest := b.chunks[0][b.written:]
		n, err := unix.Write(descriptor, rest)
		if socket.IsLocalError(err) {
			return nil
		}
		if err != nil {
			return os.NewSyscallError("write", err)
		}
		b.accepted(n, release)
		if n < len(rest) {
			return nil
		}
	}
	return nil
}

// accepted records that the system has accepted the next n bytes, all of the first chunk.
func (b *unsentBuffer) accepted(n int, release func([]byte)) {
	b.bytes -= n
	b.written += n
	first := b.chunks[0]
	if b.written < len(first) {
		return
	}
	b.written = 0
	b.capacity -= cap(first)
	b.chunks[0] = nil
	b.chunks = b.chunks[1:]
	release(first)
}

// trim moves the few remaining bytes of the first chunk, if it is large, to a smaller one.
func (b *unsentBuffer) trim() {
	if len(b.chunks) == 0 {
		return
	}
	first := b.chunks[0]
	if rest := first[b.written:]; isSparse(len(rest), cap(first)) {
		b.chunks[0] = slices.Clone(rest)
		b.written = 0
		b.capacity += cap(b.chunks[0]) - cap(first)
	}
}

// isSparse reports whether a buffer is large and mostly unused.
func isSparse(used, capacity int) bool {
	return capacity > maxIdleBuffer && used < capacity/trimDivisor
}
