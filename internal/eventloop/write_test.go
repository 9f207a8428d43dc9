package eventloop

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// echoHandler answers each byte of its client with that byte, and takes whatever comes.
type echoHandler struct{}

func (echoHandler) Opened(*Conn) {}
func (echoHandler) Received(c *Conn) {
	if len(c.In) == 1 {
		c.Send(c.In)
	}
	c.Consume(len(c.In))
}
func (echoHandler) Closed(*Conn, error) {}

// TestFloodLeavesOthersTheirTurn guards against peers that always have more to read and so keep the loop from all
// others, as they do where gnet watches by edges.
func TestFloodLeavesOthersTheirTurn(t *testing.T) {
	_, address, _ := start(t, echoHandler{})
	for range 3 {
		flooder, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		flooded := make(chan struct{})
		go func() {
			defer close(flooded)
			_, _ = io.Copy(flooder, endless{})
		}()
		defer func() { <-flooded }()
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
			t.Fatalf("answer %d of 100 beside the flood: %v", i+1, err)
		}
	}
}

// endless is a stream of zeros without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// bulk sends its clients much at once, more than the sockets hold.
type bulk struct{ body []byte }

func (b bulk) Opened(c *Conn)      { c.Send(b.body) }
func (b bulk) Received(c *Conn)    { c.Consume(len(c.In)) }
func (b bulk) Closed(*Conn, error) {}

// TestSlowReaderHasAll guards against bytes that wait for a peer to read and that no event has written later.
func TestSlowReaderHasAll(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 5<<16)
	_, address, _ := start(t, bulk{body})
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
			t.Fatalf("%d of %d bytes, then %v", len(got), len(body), err)
		}
		got = append(got, buffer[:n]...)
		time.Sleep(time.Millisecond)
	}
	if !bytes.Equal(got, body) {
		t.Error("the bytes are not those that were sent")
	}
}

// TestUnsentBufferKeepsOrderAndBounds: whatever is added and taken in whatever parts, what is left is the rest of what
// was added, in its order, and a large buffer holds no more than a few times that.
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
				buffer.add(data)
			} else {
				taken := rapid.IntRange(0, buffer.len()).Draw(t, "taken")
				buffer.taken += taken
				model = model[taken:]
				buffer.trim()
				if size := cap(buffer.data); size > maxIdleBuffer && size > 2*trimDivisor*buffer.len() {
					t.Fatalf("it holds %d bytes for %d", size, buffer.len())
				}
			}
			if !bytes.Equal(buffer.data[buffer.taken:], model) {
				t.Fatalf("%d bytes are left, want the last %d of those added", buffer.len(), len(model))
			}
		}
	})
}
