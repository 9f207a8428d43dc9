package transport

import (
	"errors"
	"io"
	"net"
	"testing"
)

// admitPipe admits one end of a pipe, and returns it with the other end. Both are closed when the test ends.
func admitPipe(t *testing.T, streams *inboundStreams) (admitted, remote net.Conn) {
	t.Helper()
	accepted, remote := net.Pipe()
	admitted = streams.admit(accepted)
	t.Cleanup(func() {
		_ = admitted.Close()
		_ = remote.Close()
	})
	return admitted, remote
}

// receive has the remote end send bytes, and returns the error of reading them at the admitted end.
func receive(admitted, remote net.Conn, bytes int) error {
	go func() { _, _ = remote.Write(make([]byte, bytes)) }()
	_, err := io.ReadFull(admitted, make([]byte, bytes))
	return err
}

// TestInboundBytesLimit guards against messages of strangers that take the memory of the process: beyond the limit, the
// stream that has sent the most is closed, and its bytes no longer count. The others go on.
func TestInboundBytesLimit(t *testing.T) {
	const limit = 1000
	streams := newInboundStreams(limit, nil)
	member, memberRemote := admitPipe(t, streams)
	stranger, strangerRemote := admitPipe(t, streams)
	if err := receive(member, memberRemote, limit/10); err != nil {
		t.Fatal(err)
	}
	if err := receive(stranger, strangerRemote, limit*9/10); err != nil {
		t.Fatalf("at the limit: got error %v, want none", err)
	}
	if err := receive(member, memberRemote, 1); err != nil {
		t.Errorf("a member beyond the limit: got error %v, want none", err)
	}
	if err := receive(stranger, strangerRemote, 1); err == nil {
		t.Error("the stream with the most bytes beyond the limit: got no error, want it closed")
	}
	if got, want := streams.receivedBytes(), limit/10+1; got != want {
		t.Errorf("received bytes: got %d, want %d", got, want)
	}
	if err := receive(member, memberRemote, limit); !errors.Is(err, errInboundLimit) {
		t.Errorf("a single stream beyond the limit: got error %v, want %v", err, errInboundLimit)
	}
	if streams.closedForLimit() != 2 || streams.receivedBytes() != 0 {
		t.Errorf("got %d streams closed and %d bytes, want 2 and 0", streams.closedForLimit(), streams.receivedBytes())
	}
}

// TestInboundStreamsLimit guards against strangers that hold open all of the streams: beyond the limit, the one that
// was opened first is closed, and a closed one makes room.
func TestInboundStreamsLimit(t *testing.T) {
	streams := newInboundStreams(0, nil)
	first, firstRemote := admitPipe(t, streams)
	second, secondRemote := admitPipe(t, streams)
	for range maxInboundStreams - 2 {
		admitPipe(t, streams)
	}
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	if admitPipe(t, streams); receive(first, firstRemote, 1) != nil {
		t.Error("with as many streams as may be open: got the first one closed, want it open")
	}
	if admitPipe(t, streams); receive(first, firstRemote, 1) == nil {
		t.Error("beyond the limit: got the first stream open, want it closed")
	}
	if receive(second, secondRemote, 1) == nil || streams.closedForLimit() != 1 {
		t.Errorf("got %d streams closed for the limit, want 1", streams.closedForLimit())
	}
}
