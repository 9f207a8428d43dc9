package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// maxBody is the largest body that an endpoint reads, in bytes.
const maxBody = 64 << 20

// The words of the endpoints' protocol that an endpoint acts on by itself.
const (
	wordRequest = "ASK"
	wordCheck   = "NOOP"
	wordServed  = "ACK"
	wordLacks   = "NOENT"
	wordReady   = "READY"
)

// errMalformed says that a line is not in the protocol.
var errMalformed = errors.New("malformed line")

// ReceivedRequest is one line that an endpoint has read: a request (ASK) or a control line (QUIT, NOOP).
type ReceivedRequest struct {
	Endpoint, Word, ID string
	Fields             map[string]string
	Body               string
	At                 time.Time
	Answer             func(word, fields, body string) // may be called from any goroutine, and more than once
	Conn               net.Conn
}

// serveConn reads one connection's lines until it ends or says what can't be read.
func (e *Endpoints) serveConn(id string, conn net.Conn) {
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		line, err := readRequest(reader)
		if err != nil {
			return
		}
		line.Endpoint = id
		line.Conn = conn
		line.Answer = func(word, fields, body string) {
			writing.Lock()
			defer writing.Unlock()
			_, _ = fmt.Fprintf(conn, "%s %s %s %d\r\n%s\r\n", line.ID, word, fields, len(body), body)
		}
		e.handle(line)
	}
}

// readRequest reads a line and, of a request, its body.
func readRequest(reader *bufio.Reader) (*ReceivedRequest, error) {
	text, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	words := strings.Fields(text)
	if len(words) < 2 {
		return nil, errMalformed
	}
	line := &ReceivedRequest{Word: words[0], ID: words[1], Fields: map[string]string{}, At: time.Now()}
	if line.Word != wordRequest {
		return line, nil
	}
	if len(words) < 4 {
		return nil, errMalformed
	}
	for field := range strings.SplitSeq(words[2], ",") {
		name, value, _ := strings.Cut(field, "=")
		line.Fields[name] = value
	}
	var size int
	if _, err := fmt.Sscan(words[3], &size); err != nil || size < 0 || size > maxBody {
		return nil, errMalformed
	}
	body := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, err
	}
	line.Body = string(body[:size])
	return line, nil
}

// handle records a line and acts on it.
func (e *Endpoints) handle(line *ReceivedRequest) {
	e.mu.Lock()
	respond, ignoreCheck, onControlLine := e.respond, e.ignoreCheck, e.onControlLine
	if onControlLine == nil {
		e.record(line)
	}
	e.mu.Unlock()
	if onControlLine != nil && line.Word != wordRequest {
		onControlLine(line)
	}
	switch {
	case line.Word == wordCheck && (ignoreCheck == nil || !ignoreCheck(line)):
		line.Answer(wordReady, "-", "")
	case line.Word != wordRequest:
	case respond != nil:
		go respond(line)
	default:
		line.Answer(wordServed, "tag=t1,minted=1,remark=hit", line.Fields["thing"])
	}
}

// record keeps a line for Received. The caller holds the lock.
func (e *Endpoints) record(line *ReceivedRequest) {
	e.received = append(e.received, line)
	if len(e.received) > maxReceived {
		e.received = append([]*ReceivedRequest(nil), e.received[maxReceived/2:]...)
	}
}
