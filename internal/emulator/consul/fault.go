package consul

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Fault is a way in which an agent can be made to fail.
type Fault int

// The faults.
const (
	None           Fault = iota
	Hang                 // accepts requests, and answers them only after the fault ends
	Refuse               // closes its listener and its connections
	Reset                // resets the connection in the middle of the body
	Status500            // answers with an internal server error
	EmptyList            // sends an empty list, as an agent without permission or data does
	FilteredByACLs       // as EmptyList, with the header that ACLs have filtered the results
	IndexWentBack        // sends the true list with the index 1
	Truncated            // sends incomplete JSON in a complete HTTP message
	Slow                 // sends the body a byte at a time
	Stale                // sends an old list; SetFault sets its age
	NoLeader             // sends the true list with the header that no leader is known
)

// slowByteInterval is the time between two bytes of a body with the fault Slow.
const slowByteInterval = 20 * time.Millisecond

// The headers that Consul defines for requests and responses.
const (
	indexHeader    = "X-Consul-Index"
	leaderHeader   = "X-Consul-KnownLeader"
	contactHeader  = "X-Consul-LastContact"
	filteredHeader = "X-Consul-Results-Filtered-By-ACLs"
	tokenHeader    = "X-Consul-Token"
)

// activeFault is the fault that applies to a response.
type activeFault struct {
	fault Fault
	age   time.Duration // of the lists that the fault Stale sends
}

// write sends a response as JSON, altered as the fault requires.
func (a *Agent) write(w http.ResponseWriter, value any, index uint64, active activeFault) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(indexHeader, strconv.FormatUint(index, 10))
	header.Set(leaderHeader, strconv.FormatBool(active.fault != NoLeader))
	header.Set(contactHeader, "0")
	if active.fault == Stale {
		header.Set(contactHeader, strconv.FormatInt(active.age.Milliseconds(), 10))
	}
	switch active.fault {
	case Truncated:
		_, _ = w.Write(body[:len(body)*2/3])
	case Reset:
		sendHalfAndReset(w, body, index)
	case Slow:
		a.writeSlowly(w, body)
	default:
		_, _ = w.Write(body)
	}
}

// sendHalfAndReset sends a response with half of its body and resets the connection.
func sendHalfAndReset(w http.ResponseWriter, body []byte, index uint64) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", indexHeader, index,
		len(body), body[:len(body)/2])
	_ = buffered.Flush()
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0) // so that Close sends a reset
	}
	_ = conn.Close()
}

// writeSlowly sends a body a byte at a time. When the fault ends, it sends the rest at once.
func (a *Agent) writeSlowly(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	for i := range body {
		if _, err := w.Write(body[i : i+1]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(slowByteInterval)
		if a.active().fault != Slow {
			_, _ = w.Write(body[i+1:])
			return
		}
	}
}
