package eventloop

import (
	"errors"
	"net"
	"testing"

	"sloequay/internal/eventloop/socket"
)

// TestPeerResetBeforeTakeOver guards against endless retries to watch a connection whose client has reset it before it
// was taken over.
func TestPeerResetBeforeTakeOver(t *testing.T) {
	listener, err := socket.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = client.(*net.TCPConn).SetLinger(0)
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	conn, err := accepted.Conn()
	if err == nil {
		conn.Close()
	}
	if !errors.Is(err, socket.ErrPeerReset) {
		t.Errorf("got error %v, want %v", err, socket.ErrPeerReset)
	}
}
