package eventloop

import "sloequay/internal/memory"

const (
	// maxRoundBuffer is the most that the buffers of CopyForRound keep for reuse, in bytes, and roundChunkSize is the
	// size of each, unless it holds a larger copy.
	maxRoundBuffer = 4 << 20
	roundChunkSize = 256 << 10
	// maxSpareBuffers and maxSpareBufferSize limit the write buffers that are kept for reuse: their number, and the
	// size of each in bytes.
	maxSpareBuffers    = 32
	maxSpareBufferSize = 1 << 20
	// reusedBufferDivisor divides the memory of the process to get the most that is kept for reuse, in bytes: by the
	// write buffers together, and by the buffers of CopyForRound.
	reusedBufferDivisor = 64
)

// spareBuffers holds written buffers for reuse by Conn.Send. All of them are charged to the account.
type spareBuffers struct {
	buffers  [][]byte
	maxBytes int
	charge   memory.Charge
}

func newSpareBuffers(account *memory.Account) spareBuffers {
	return spareBuffers{
		maxBytes: account.Process() / reusedBufferDivisor,
		charge:   account.NewCharge(memory.Reused, 0),
	}
}

// take returns an empty buffer, or nil if none is kept.
func (s *spareBuffers) take() []byte {
	last := len(s.buffers) - 1
	if last < 0 {
		return nil
	}
	taken := s.buffers[last]
	s.buffers = s.buffers[:last]
	s.charge.Set(s.charge.Bytes() - cap(taken))
	return taken
}

// keep keeps a written buffer, unless too many or too large ones are kept already.
func (s *spareBuffers) keep(written []byte) {
	size := s.charge.Bytes() + cap(written)
	if len(s.buffers) < maxSpareBuffers && cap(written) <= maxSpareBufferSize && size <= s.maxBytes {
		s.buffers = append(s.buffers, written[:0])
		s.charge.Set(size)
	}
}

// roundBuffer holds copies that are needed until the end of a round, in chunks that are never moved. It is charged to
// the account.
type roundBuffer struct {
	chunks    [][]byte
	current   int // index of the chunk that is being filled; those behind it are empty
	maxReused int // bytes of the chunks that are reused
	charge    memory.Charge
}

func newRoundBuffer(account *memory.Account) roundBuffer {
	return roundBuffer{
		maxReused: min(maxRoundBuffer, account.Process()/reusedBufferDivisor),
		charge:    account.NewCharge(memory.Reused, 0),
	}
}

// copy returns a copy of data that is valid until reset.
func (b *roundBuffer) copy(data []byte) []byte {
	for b.current < len(b.chunks) && cap(b.chunks[b.current])-len(b.chunks[b.current]) < len(data) {
		b.current++
	}
	if b.current == len(b.chunks) {
		chunk := make([]byte, 0, max(roundChunkSize, len(data)))
		b.chunks = append(b.chunks, chunk)
		b.charge.Set(b.charge.Bytes() + cap(chunk))
	}
	chunk := &b.chunks[b.current]
	start := len(*chunk)
	*chunk = append(*chunk, data...)
	return (*chunk)[start:len(*chunk):len(*chunk)]
}

// reset ends the validity of all copies, and releases the chunks beyond those that are reused.
func (b *roundBuffer) reset() {
	reused, bytes := 0, 0
	for reused < len(b.chunks) && bytes+cap(b.chunks[reused]) <= b.maxReused {
		bytes += cap(b.chunks[reused])
		reused++
	}
	clear(b.chunks[reused:])
	b.truncate(reused)
	b.charge.Set(bytes)
}

// truncate keeps the first chunks, and empties them.
func (b *roundBuffer) truncate(count int) {
	b.chunks = b.chunks[:count]
	for i := range b.chunks {
		b.chunks[i] = b.chunks[i][:0]
	}
	b.current = 0
}

// CopyForRound copies bytes that are needed only until the end of this round. It uses buffers that the next rounds
// reuse, as separate allocations would burden the garbage collector.
func (l *Loop) CopyForRound(data []byte) []byte { return l.roundBuffer.copy(data) }
