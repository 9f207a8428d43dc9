package drill

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// listHeartbeat is the interval at which each connection is sent the number of the newest event.
	listHeartbeat = time.Second
	// maxEndpointsPerEvent bounds the endpoints in one event, because a proxy must be able to read its line whole.
	maxEndpointsPerEvent = 4000
)

// listWatch is the platform's list service: numbered watch events, one JSON object per line.
type listWatch struct {
	cluster  *Cluster
	listener net.Listener
	closed   chan struct{}

	mu     sync.Mutex
	events []string
	sent   map[net.Conn]*int // how many events each connection has been sent
	fault  listFaultKind
}

// hostEntry is one endpoint in an event.
type hostEntry struct {
	Block     int         `json:"block"`
	StartedMs int64       `json:"born_ms"` // Unix time; 0: long ago
	Class     string      `json:"class"`
	Address   string      `json:"dial"`
	State     listedState `json:"health"`
	ID        string      `json:"host"`
	Weight    float64     `json:"share"`
	Zone      string      `json:"site"`
}

// listEvent is one numbered event.
type listEvent struct {
	Number int          `json:"no"`
	List   endpointList `json:"roster"`
}

// endpointList is the list in an event: the complete list, or only the entries that have changed.
type endpointList struct {
	Hosts    []hostEntry `json:"hosts"`
	Sequence int         `json:"seq"`
	Complete bool        `json:"whole"`
}

func newListWatch(c *Cluster) (listService, error) {
	list := &listWatch{cluster: c, sent: map[net.Conn]*int{}, closed: make(chan struct{}), fault: listIsHealthy}
	list.events = append(list.events, completeList(1, list.entries(c.endpointOrder)))
	var err error
	if list.listener, err = c.network.listen(listNode, c.listAddress()+":0"); err != nil {
		return nil, err
	}
	go list.accept()
	go list.sendHeartbeats()
	return list, nil
}

func (l *listWatch) sendHeartbeats() {
	tick := time.NewTicker(listHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.sendEvents(func(out *strings.Builder) { fmt.Fprintln(out, len(l.events)) })
		case <-l.closed:
			return
		}
	}
}

// entries converts endpoints to the entries of an event.
func (l *listWatch) entries(endpoints []*endpoint) []hostEntry {
	entries := make([]hostEntry, 0, len(endpoints))
	for _, e := range endpoints {
		e.mu.Lock()
		entry := hostEntry{
			Class:   e.class,
			Address: e.address,
			State:   e.state,
			ID:      e.id,
			Weight:  l.cluster.Plan.Weight,
			Zone:    e.zone,
		}
		if !e.startedAt.IsZero() {
			entry.StartedMs = e.startedAt.UnixMilli()
		}
		e.mu.Unlock()
		entries = append(entries, entry)
	}
	return entries
}

// completeList encodes an event with a complete list.
func completeList(number int, entries []hostEntry) string {
	return encodeEvent(listEvent{number, endpointList{Hosts: entries, Sequence: number, Complete: true}})
}

// listChange encodes an event with only the entries that have changed.
func listChange(number int, entries []hostEntry) string {
	return encodeEvent(listEvent{number, endpointList{Hosts: entries, Sequence: number}})
}

func encodeEvent(event listEvent) string {
	text, _ := json.Marshal(event) // all of its values can be encoded
	return string(text)
}

func (l *listWatch) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.cluster.recordListCall(remoteNode(conn), "watch")
		go l.subscribe(conn)
	}
}

// subscribe reads the number of the last event that the client has, and sends the connection the later ones.
func (l *listWatch) subscribe(conn net.Conn) {
	var after int
	if _, err := fmt.Fscanf(conn, "after %d\n", &after); err != nil {
		_ = conn.Close()
		return
	}
	l.mu.Lock()
	if l.fault == listRefuses {
		_ = conn.Close()
	} else {
		l.sent[conn] = &after
	}
	l.mu.Unlock()
	l.sendEvents(nil)
}

// sendEvents writes to each connection the events that it has not been sent, followed by what appendMore adds, if it is
// not nil.
func (l *listWatch) sendEvents(appendMore func(out *strings.Builder)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == listHangs {
		return
	}
	for conn, sent := range l.sent {
		var text strings.Builder
		for ; *sent < len(l.events); *sent++ {
			text.WriteString(l.events[*sent] + "\n")
		}
		if appendMore != nil {
			appendMore(&text)
		}
		if text.Len() == 0 {
			continue
		}
		if _, err := conn.Write([]byte(text.String())); err != nil {
			_ = conn.Close()
			delete(l.sent, conn)
		}
	}
}

// publish appends the event that newEvent makes with the next number, and sends it.
func (l *listWatch) publish(newEvent func(number int) string) {
	l.mu.Lock()
	l.events = append(l.events, newEvent(len(l.events)+1))
	l.mu.Unlock()
	l.sendEvents(nil)
}

func (l *listWatch) endpointChanged(e *endpoint) {
	l.publish(func(number int) string { return listChange(number, l.entries([]*endpoint{e})) })
}

func (l *listWatch) addEndpoints(count int, address string) {
	entries := make([]hostEntry, 0, count)
	for i := range min(count, maxEndpointsPerEvent) {
		entries = append(entries, hostEntry{
			Class:   classCache,
			Address: address,
			State:   listedUp,
			ID:      fmt.Sprint("x", i),
			Weight:  1,
			Zone:    zoneName(1),
		})
	}
	l.publish(func(number int) string { return listChange(number, entries) })
}

func (l *listWatch) setFault(fault listFault) {
	l.mu.Lock()
	l.fault = fault.kind
	if fault.kind == listRefuses {
		for conn := range l.sent {
			_ = conn.Close()
			delete(l.sent, conn)
		}
	}
	l.mu.Unlock()
	switch fault.kind {
	case listIsEmpty:
		l.publish(func(number int) string { return completeList(number, []hostEntry{}) })
	case listIsHealthy:
		l.publish(func(number int) string { return completeList(number, l.entries(l.cluster.endpointOrder)) })
	}
}

func (l *listWatch) proxySettings() (configuration map[string]any, settings string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[string]any{"no": 1, "items": []json.RawMessage{json.RawMessage(l.events[0])}}
	return map[string]any{"bulletin": l.listener.Addr().String(), "known": known}, ""
}

func (l *listWatch) close() {
	close(l.closed)
	_ = l.listener.Close()
}
