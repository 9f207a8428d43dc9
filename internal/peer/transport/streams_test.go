package transport

import (
	"errors"
	"io"
	"net"
	"testing"
)

// limitPipe limits one end of a pipe, and returns it with the other end. Both are closed when the test ends.
func limitPipe(t *testing.T, limit func(net.Conn) net.Conn) (limited, remote net.Conn) {
	t.Helper()
	local, remote := net.Pipe()
	limited = limit(local)
	t.Cleanup(func() {
		_ = limited.Close()
		_ = remote.Close()
	})
	return limited, remote
}

// receive has the remote end send bytes, and returns the error of reading them at the limited end.
func receive(limited, remote net.Conn, bytes int) error {
	go func() { _, _ = remote.Write(make([]byte, bytes)) }()
	_, err := io.ReadFull(limited, make([]byte, bytes))
	return err
}

// TestStreamBytesLimit guards against messages of strangers that take the memory of the process: beyond the limit, the
// stream that has sent the most is closed, and its bytes no longer count. The others go on.
func TestStreamBytesLimit(t *testing.T) {
	const limit = 1000
	streams := newStreamLimits(limit, nil)
	member, memberRemote := limitPipe(t, streams.dialed)
	stranger, strangerRemote := limitPipe(t, streams.admit)
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
	if err := receive(member, memberRemote, limit); !errors.Is(err, errStreamLimit) {
		t.Errorf("a single stream beyond the limit: got error %v, want %v", err, errStreamLimit)
	}
	if streams.closedForLimit() != 2 || streams.receivedBytes() != 0 {
		t.Errorf("got %d streams closed and %d bytes, want 2 and 0", streams.closedForLimit(), streams.receivedBytes())
	}
}

// TestAcceptedStreamsLimit guards against strangers that hold open all of the streams: beyond the limit, the one that
// was opened first is closed, and a closed one makes room.
func TestAcceptedStreamsLimit(t *testing.T) {
	streams := newStreamLimits(0, nil)
	dialed, dialedRemote := limitPipe(t, streams.dialed)
	first, firstRemote := limitPipe(t, streams.admit)
	second, secondRemote := limitPipe(t, streams.admit)
	for range maxAcceptedStreams - 2 {
		limitPipe(t, streams.admit)
	}
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	if limitPipe(t, streams.admit); receive(first, firstRemote, 1) != nil {
		t.Error("with as many streams as may be open: got the first one closed, want it open")
	}
	if limitPipe(t, streams.admit); receive(first, firstRemote, 1) == nil {
		t.Error("beyond the limit: got the first stream open, want it closed")
	}
	if receive(dialed, dialedRemote, 1) != nil {
		t.Error("beyond the limit: got a stream of this proxy closed, want it open")
	}
	if receive(second, secondRemote, 1) == nil || streams.closedForLimit() != 1 {
		t.Errorf("got %d streams closed for the limit, want 1", streams.closedForLimit())
	}
}
