package eventloop

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// echoHandler echoes input of a single byte, and consumes all input.
type echoHandler struct{}

func (echoHandler) Opened(*Conn) {}
func (echoHandler) Received(c *Conn) {
	if len(c.In) == 1 {
		c.Send(c.In)
	}
	c.Consume(len(c.In))
}
func (echoHandler) Closed(*Conn, error) {}

// TestFloodDoesNotStarveOtherConnections guards against peers that send without end and so keep the loop from serving
// other connections, as happens if gnet uses edge-triggered epoll.
func TestFloodDoesNotStarveOtherConnections(t *testing.T) {
	_, address, _ := startLoop(t, echoHandler{})
	for range 3 {
		flooder, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		flooderDone := make(chan struct{})
		go func() {
			defer close(flooderDone)
			_, _ = io.Copy(flooder, zeroReader{})
		}()
		defer func() { <-flooderDone }()
		defer flooder.Close()
	}
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_ = client.SetDeadline(time.Now().Add(20 * time.Second))
	for i := range 100 {
		if _, err := client.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(client, make([]byte, 1)); err != nil {
			t.Fatalf("echo %d of 100 during the flood: got error %v, want none", i+1, err)
		}
	}
}

// zeroReader is an endless stream of zeros.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// bulkHandler sends each client a body at once that is larger than the socket buffers.
type bulkHandler struct{ body []byte }

func (b bulkHandler) Opened(c *Conn)      { c.Send(b.body) }
func (b bulkHandler) Received(c *Conn)    { c.Consume(len(c.In)) }
func (b bulkHandler) Closed(*Conn, error) {}

// TestSlowReaderReceivesAllBytes guards against unsent bytes that are never written once a slow peer reads again.
func TestSlowReaderReceivesAllBytes(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 5<<16)
	_, address, _ := startLoop(t, bulkHandler{body})
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_ = client.SetDeadline(time.Now().Add(20 * time.Second))
	got := make([]byte, 0, len(body))
	for buffer := make([]byte, 256<<10); len(got) < len(body); {
		n, err := client.Read(buffer)
		if err != nil {
			t.Fatalf("got %d of %d bytes, then error %v", len(got), len(body), err)
		}
		got = append(got, buffer[:n]...)
		time.Sleep(time.Millisecond)
	}
	if !bytes.Equal(got, body) {
		t.Error("got other bytes than were sent")
	}
}

// takeFrom accepts bytes as the system does, a chunk at a time, and returns them and the chunks that were released.
func takeFrom(buffer *unsentBuffer, count int) (taken []byte, released [][]byte) {
	for count > 0 {
		rest := buffer.chunks[0][buffer.written:]
		n := min(count, len(rest))
		taken = append(taken, rest[:n]...)
		buffer.accepted(n, func(chunk []byte) { released = append(released, chunk) })
		count -= n
	}
	return taken, released
}

// TestUnsentBufferKeepsOrderAndBounds checks that the remaining bytes are always the rest of those added, in order,
// that no slice is used after it was released, and that the buffer is at most a few times as large as they are.
func TestUnsentBufferKeepsOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buffer unsentBuffer
		var model []byte
		next := byte(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "adds") {
				data := make([]byte, rapid.IntRange(0, 100_000).Draw(t, "size"))
				for i := range data {
					next++
					data[i] = next
				}
				model = append(model, data...)
				if rapid.Bool().Draw(t, "owned") {
					buffer.own(data)
				} else if !buffer.add(data) {
					clear(data) // the caller reuses its slice
				}
			} else {
				written := rapid.IntRange(0, buffer.len()).Draw(t, "written")
				taken, released := takeFrom(&buffer, written)
				if !bytes.Equal(taken, model[:written]) {
					t.Fatalf("got other bytes than the next %d of those added", written)
				}
				for _, chunk := range released {
					clear(chunk)
				}
				model = model[written:]
				buffer.trim()
			}
			if got := bytes.Join(buffer.chunks, nil)[buffer.written:]; !bytes.Equal(got, model) {
				t.Fatalf("got %d remaining bytes, want the last %d of those added", len(got), len(model))
			}
			capacity := 0
			for _, chunk := range buffer.chunks {
				capacity += cap(chunk)
			}
			if capacity != buffer.capacity || buffer.len() != len(model) {
				t.Fatalf("got %d bytes in %d counted, want %d in %d",
					buffer.len(), buffer.capacity, len(model), capacity)
			}
			if limit := 2*trimDivisor*len(model) + 2*maxIdleBuffer; capacity > limit {
				t.Fatalf("got buffers of %d bytes for %d remaining ones, want at most %d", capacity, len(model), limit)
			}
		}
	})
}
