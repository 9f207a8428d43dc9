package drill

import (
	"net"
	"os/exec"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// closingListener accepts connections. On each value sent to closeNow it closes one of them in an orderly way, after
// reading what has arrived by then.
type closingListener struct {
	net.Listener
	closeNow chan struct{}
}

func newClosingListener(t *testing.T) *closingListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &closingListener{Listener: inner, closeNow: make(chan struct{})}
	t.Cleanup(func() { _ = inner.Close() })
	go listener.run()
	return listener
}

func (l *closingListener) run() {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			<-l.closeNow
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, _ = conn.Read(make([]byte, 1<<16))
			_ = conn.Close()
		}()
	}
}

// drainingCluster returns a cluster whose only proxy is running, was ready and has been sent SIGTERM.
func drainingCluster(address string) (*Cluster, *proxy) {
	plan := NewPlan()
	plan.DialAfterTerm = 200 * time.Millisecond
	c := &Cluster{Plan: plan, Record: newRecord(plan), startedAt: time.Now().Add(-10 * time.Second)}
	c.network = newNetwork(1, c.recordConnection, c.recordPeerBytes)
	c.load = newLoadGenerator(c)
	run := &ProcessRun{ReadyAt: sec, TermAt: 2 * sec, EndRequested: true}
	p := &proxy{cluster: c, name: "d000", listen: address, zone: 1, run: run, cmd: &exec.Cmd{}}
	c.proxies = []*proxy{p}
	return c, p
}

// TestSlowReaderMeetsClose checks that the time at which the proxy closed a connection decides whether a request
// crossed the close and whether the close was orderly. A slow reader reads the end of its connection long after that
// time.
func TestSlowReaderMeetsClose(t *testing.T) {
	const (
		soon = crossingWindow / 5
		late = 2 * crossingWindow
	)
	for _, c := range []struct {
		name        string
		beforeClose time.Duration // from the request to the close
		afterClose  time.Duration // from the close to the request; 0: the request comes first
		killFirst   bool          // SIGKILL is sent before the close instead of after it
		want        ResendRefusal
	}{
		{name: "request crosses the close, which is read after SIGKILL", beforeClose: soon, want: RefusedNoProxy},
		{name: "request just after the close, which is read after SIGKILL", afterClose: soon, want: RefusedNoProxy},
		{name: "SIGKILL closes the connection", beforeClose: soon, killFirst: true, want: RefusedDisorderlyClose},
		{name: "request long before the close", beforeClose: late, want: RefusedSentLongBefore},
		{name: "request long after the close", afterClose: late, want: RefusedSentLongAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener := newClosingListener(t)
			cluster, p := drainingCluster(listener.Addr().String())
			inner, err := cluster.network.dial(clientsNode, p.name, p.listen)
			if err != nil {
				t.Fatal(err)
			}
			conn := newClientConn(cluster.load, p, newSlowConn(inner))
			pending := cluster.load.newRequest(p, lookupClass, 1, cancellation{})
			if c.afterClose == 0 {
				conn.send(pending)
				time.Sleep(c.beforeClose)
			}
			if c.killFirst {
				p.run.Killed, p.run.KilledAt = true, cluster.now()
			}
			listener.closeNow <- struct{}{}
			awaitEndSeen(t, conn.slow.end)
			if c.afterClose > 0 {
				time.Sleep(c.afterClose)
				conn.send(pending)
			}
			time.Sleep(late) // as if the reader had other answers to read first
			if !c.killFirst {
				p.run.Killed, p.run.KilledAt = true, cluster.now()
			}
			conn.read()
			if got := pending.record.ResendRefusal; got != c.want {
				t.Errorf("resend refusal: got %q, want %q", got, c.want)
			}
		})
	}
}

// awaitEndSeen waits until a socket has seen the end of its connection.
func awaitEndSeen(t *testing.T, watch *emulator.EndWatch) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); watch.SeenAt().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("end of the connection: got no notice within 10 s")
		}
	}
}
