// Package eventloop runs all connections on one gnet event loop. The loop works in rounds: it reads everything that is
// ready, then ends the round and writes to each connection at most once. The package is independent of protocols.
//
// The package relies on the following behaviour of gnet 2.9.7:
//   - With SO_REUSEPORT and one event loop, reads, writes and datagrams all run on that loop. Without SO_REUSEPORT gnet
//     starts a second loop and does not support UDP.
//   - A listener of gnet ends the loop when accept fails, so connections are accepted outside the loop (acceptor).
//   - OnTick runs on its own goroutine, so the ticker is not used. Wake-ups are timers that post a task.
//   - EventLoop.Execute queues a task and signals an eventfd. The loop runs queued tasks after the other events that
//     epoll returned with the eventfd, so a task posted from a callback runs after everything ready was read: such a
//     task ends the round.
//   - Conn.Write changes the epoll registration of a connection whose peer is slow to read. If epoll refuses that, gnet
//     closes the connection and loses the unsent bytes. So this package writes to sockets itself (Conn.write).
//   - EventLoop.Enroll takes a connection made elsewhere, duplicates its descriptor and opens it on the loop. Dials run
//     on goroutines and reach the loop only by Enroll, as Register would dial without a timeout. If epoll refuses the
//     descriptor, Enroll returns no error: the connection is closed without having been opened.
package eventloop

import "net"

// Handler handles the events of one connection. Its methods run on the loop and must not block.
type Handler interface {
	// Opened is called once the connection is open.
	Opened(conn *Conn)
	// Received is called when conn.In has grown. The handler removes the bytes that it has processed with conn.Consume.
	// conn.In is not valid after Received returns.
	Received(conn *Conn)
	// Closed is called exactly once, when the connection is closed.
	Closed(conn *Conn, err error)
}

// Composer is a Handler that composes its messages right before they are written. It is for messages whose content
// depends on the time of the write: the process may stand still between the decision to send and the write.
type Composer interface {
	Handler
	// Compose is called right before the connection is written, in each round with a call of Conn.Send or
	// Conn.RequestWrite. What it sends is included in that write. It is not called on a connection that is closing.
	Compose(conn *Conn)
}

// PacketHandler handles the datagrams of one socket. It runs on the loop and must not block. It may call reply at once
// or later, on the loop. packet is valid only during the call.
type PacketHandler func(packet []byte, from net.Addr, reply func([]byte))

// Listener describes an address to listen on. Exactly one of Accept and Packet is set.
type Listener struct {
	Network string // tcp or udp
	Address string // ip:port
	// Accept returns the handler of a new connection, or nil to close it at once. It is called on the loop.
	Accept func(remote net.Addr) Handler
	Packet PacketHandler
}
