package drill

import (
	"fmt"
	"net"
	"sync"
	"time"

	"sloequay/internal/emulator"
)

const (
	// maxIdleClients bounds those at one proxy.
	maxIdleClients = 1000
	// partialMessageEvery is the number of idle clients of which one sends half a message and rests.
	partialMessageEvery = 3
	// idleRedialInterval is how long a client that was closed waits until it comes again.
	idleRedialInterval = 100 * time.Millisecond
)

// idleClientsAction has idle clients fill the places of proxies until it is over.
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

// idleClients are clients that connect, send no request, and come again when they are closed.
type idleClients struct {
	cluster *Cluster
	stop    chan struct{}
	running sync.WaitGroup
}

// connect adds clients of one proxy.
func (c *idleClients) connect(to *proxy, count int) {
	for number := range count {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.keepConnected(to, firstBytes(number))
		}()
	}
}

// firstBytes is what an idle client sends: nothing, or half a message.
func firstBytes(number int) []byte {
	if number%partialMessageEvery != 0 {
		return nil
	}
	frame := emulator.Request(1, lookupClass, map[string]string{"txn": fmt.Sprintf("%016x", 1)}, "")
	return frame[:len(frame)/2]
}

// close ends all clients.
func (c *idleClients) close() {
	close(c.stop)
	c.running.Wait()
}

// keepConnected keeps one place of a proxy taken by a client that sends some bytes and rests.
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

// connectOnce connects once and rests until either side closes.
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

// awaitClose reads until the connection has ended. An idle client is sent nothing.
func (c *idleClients) awaitClose(conn net.Conn) {
	buffer := make([]byte, 1)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}
