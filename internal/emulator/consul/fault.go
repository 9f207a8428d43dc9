package consul

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Fault is a scripted way in which an agent fails.
type Fault int

// The faults.
const (
	None           Fault = iota
	Hang                 // takes requests and says nothing, until the fault is over
	Refuse               // takes no connections, and resets those that stand
	Reset                // resets the connection in the middle of the body
	Status500            // answers that it can't
	EmptyList            // answers with an empty list, as an agent without rights or with no data does
	FilteredByACLs       // the same with the header that says that results were filtered
	IndexWentBack        // the true list with the index 1
	Truncated            // JSON that ends too soon, with the length that fits
	Slow                 // a byte at a time
	Stale                // the list of some time ago
	NoLeader             // the true list, with no leader known
)

// slowByteInterval is the time between two bytes of Slow.
const slowByteInterval = 20 * time.Millisecond

// The headers of answers, beside those that package http names.
const (
	indexHeader    = "X-Consul-Index"
	leaderHeader   = "X-Consul-KnownLeader"
	contactHeader  = "X-Consul-LastContact"
	filteredHeader = "X-Consul-Results-Filtered-By-ACLs"
	tokenHeader    = "X-Consul-Token"
)

// activeFault is the fault that an answer is given by.
type activeFault struct {
	fault Fault
	age   time.Duration // of the answers, with StaleBy
}

// write sends an answer, well or by the fault.
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
		resetWithin(w, body, index)
	case Slow:
		a.writeSlowly(w, body)
	default:
		_, _ = w.Write(body)
	}
}

// resetWithin sends half of an answer and resets the connection.
func resetWithin(w http.ResponseWriter, body []byte, index uint64) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", indexHeader, index,
		len(body), body[:len(body)/2])
	_ = buffered.Flush()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// writeSlowly sends an answer a byte at a time, and the rest at once when the fault is over.
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
