// Package eventloop runs everything on one gnet event loop: it owns the connections, ends each round once all that was
// ready has been read, and writes to each connection once a round. It knows no protocol.
//
// What gnet 2.9.7 does, as far as this package rests on it:
//   - With SO_REUSEPORT and one event loop, reading, writing and datagrams all run on that loop. Without it a second
//     loop is started, and UDP is not possible.
//   - Its listeners end the loop when accept fails, so that connections are accepted beside it (acceptor).
//   - OnTick runs on a goroutine of its own, so the ticker is not used. Wake-ups are timers that post a task.
//   - EventLoop.Execute queues a task behind an eventfd. epoll returns it with whatever else is ready and runs it
//     after those, so a task posted from a callback comes after all that could be read: it ends the round.
//   - Conn.Write has the watch of a connection changed when its peer is slow to read, and closes it where epoll refuses
//     that, with what was left to be written. So this package writes by itself (Conn.write).
//   - EventLoop.Enroll takes a connection made elsewhere, duplicates its descriptor and opens it on the loop. Dials
//     run on goroutines and meet the loop only there. Register would dial without a time-out. Where epoll refuses the
//     descriptor Enroll gives no error: the connection is closed and never opened.
package eventloop

import "net"

// Handler is one side of a connection. All methods run on the loop and must not block.
type Handler interface {
	// Opened says that the connection is up.
	Opened(conn *Conn)
	// Received says that conn.In has grown. What is used is taken off with conn.Consume; conn.In is not valid
	// afterwards.
	Received(conn *Conn)
	// Closed says that the connection is gone; it comes exactly once.
	Closed(conn *Conn, err error)
}

// Composer is a Handler that leaves what depends on the time of a write until right before it: a process may stand
// still between the round that decided and the write.
type Composer interface {
	Handler
	// Compose runs right before the connection is written, in a round in which something was sent on it or
	// Conn.RequestWrite was called. What it sends goes out with that write. It is not called on a connection that is
	// closing.
	Compose(conn *Conn)
}

// PacketHandler takes the datagrams of one socket. It runs on the loop and must not block. Answers go back with reply,
// at once or later; it must be called on the loop. The packet is valid during the call only.
type PacketHandler func(packet []byte, from net.Addr, reply func([]byte))

// Listener is an address to listen on: exactly one of Accept and Packet is set.
type Listener struct {
	Network string // tcp or udp
	Address string // ip:port
	// Accept gives a new connection its handler, on the loop; nil closes it at once.
	Accept func(remote net.Addr) Handler
	Packet PacketHandler
}
