package drill

import (
	"fmt"
	"net"
	"sync"
	"time"

	"sloequay/internal/emulator"
)

const (
	// maxIdleClients bounds the idle clients at one proxy.
	maxIdleClients = 1000
	// partialMessageEvery is the interval, in idle clients, at which one sends half a message before it goes idle.
	partialMessageEvery = 3
	// idleRedialInterval is how long a client waits after its connection was closed before it reconnects.
	idleRedialInterval = 100 * time.Millisecond
)

// idleClientsAction makes idle clients use up the connections of proxies while the step lasts.
type idleClientsAction struct {
	selector string
	count    int // at each proxy
}

func parseIdleClients(words []string) (action, error) {
	count, err := parseCount(words[1], 1, maxIdleClients)
	return idleClientsAction{words[0], count}, err
}

func (a idleClientsAction) prepare(c *Cluster, step Step) (operation, error) {
	proxies, err := c.selectProxies(a.selector)
	if err != nil {
		return operation{}, err
	}
	for _, p := range proxies {
		c.Record.IdleClients[p.number] = append(c.Record.IdleClients[p.number], Span{step.At, step.At + step.For})
	}
	clients := &idleClients{cluster: c, stop: make(chan struct{})}
	return operation{
		apply: func() error {
			for _, p := range proxies {
				clients.connect(p, a.count)
			}
			return nil
		},
		undo: func() error {
			clients.close()
			return nil
		},
	}, nil
}

// idleClients are clients that connect, send no complete request, and reconnect when they are closed.
type idleClients struct {
	cluster *Cluster
	stop    chan struct{}
	running sync.WaitGroup
}

// connect starts idle clients of one proxy.
func (c *idleClients) connect(to *proxy, count int) {
	for number := range count {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.keepConnected(to, firstBytes(number))
		}()
	}
}

// firstBytes returns what an idle client sends: nothing, or half a message.
func firstBytes(number int) []byte {
	if number%partialMessageEvery != 0 {
		return nil
	}
	frame := emulator.Request(1, lookupClass, map[string]string{"txn": fmt.Sprintf("%016x", 1)}, "")
	return frame[:len(frame)/2]
}

// close stops all clients and waits for them.
func (c *idleClients) close() {
	close(c.stop)
	c.running.Wait()
}

// keepConnected keeps one client connected to a proxy; on each connection it sends the given bytes and stays idle.
func (c *idleClients) keepConnected(to *proxy, sent []byte) {
	for {
		if to.mayDial() {
			c.connectOnce(to, sent)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(idleRedialInterval):
		}
	}
}

// connectOnce connects and stays idle until either side closes the connection.
func (c *idleClients) connectOnce(to *proxy, sent []byte) {
	conn, err := c.cluster.network.dial(clientsNode, to.name, to.listen)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.awaitClose(conn)
	}()
	_, _ = conn.Write(sent)
	select {
	case <-ended:
	case <-c.stop:
	}
	_ = conn.Close()
	<-ended
}

// awaitClose reads until the connection has ended, and discards what it reads.
func (c *idleClients) awaitClose(conn net.Conn) {
	buffer := make([]byte, 1)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}
