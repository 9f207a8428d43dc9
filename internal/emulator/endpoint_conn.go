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

// maxBody is the largest request body that an endpoint reads, in bytes.
const maxBody = 64 << 20

// The commands and response codes of the endpoints' protocol that the emulator itself reads or sends.
const (
	commandRequest = "ASK"
	commandCheck   = "NOOP"
	codeServed     = "ACK"
	codeCacheMiss  = "NOENT"
	codeReady      = "READY"
)

// errMalformed is returned for a line that does not follow the protocol.
var errMalformed = errors.New("malformed line")

// ReceivedRequest is one line that an endpoint has read: a request (ASK) or a control line (QUIT, NOOP). Word is its
// command; Fields and Body are those of a request.
type ReceivedRequest struct {
	Endpoint, Word, ID string
	Fields             map[string]string
	Body               string
	At                 time.Time                       // when the line was read
	Answer             func(code, fields, body string) // may be called from any goroutine, and more than once
	Conn               net.Conn
}

// serveConn reads and handles the lines of a connection until it ends or a line is malformed.
func (e *Endpoints) serveConn(id string, conn net.Conn) {
	reader := bufio.NewReader(conn)
	var writeMu sync.Mutex
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		line.Endpoint = id
		line.Conn = conn
		line.Answer = func(code, fields, body string) {
			writeMu.Lock()
			defer writeMu.Unlock()
			_, _ = fmt.Fprintf(conn, "%s %s %s %d\r\n%s\r\n", line.ID, code, fields, len(body), body)
		}
		e.handle(line)
	}
}

// readLine reads a line and, if it is a request, its body.
func readLine(reader *bufio.Reader) (*ReceivedRequest, error) {
	text, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	words := strings.Fields(text)
	if len(words) < 2 {
		return nil, errMalformed
	}
	line := &ReceivedRequest{Word: words[0], ID: words[1], Fields: map[string]string{}, At: time.Now()}
	if line.Word != commandRequest {
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

// handle records a line or, if OnControlLine has set a callback, passes control lines to that. It answers requests and
// health checks.
func (e *Endpoints) handle(line *ReceivedRequest) {
	e.mu.Lock()
	respond, ignoreCheck, onControlLine := e.respond, e.ignoreCheck, e.onControlLine
	if onControlLine == nil {
		e.record(line)
	}
	e.mu.Unlock()
	if onControlLine != nil && line.Word != commandRequest {
		onControlLine(line)
	}
	switch {
	case line.Word == commandCheck && (ignoreCheck == nil || !ignoreCheck(line)):
		line.Answer(codeReady, "-", "")
	case line.Word != commandRequest:
	case respond != nil:
		go respond(line)
	default:
		line.Answer(codeServed, "tag=t1,minted=1,remark=hit", line.Fields["thing"])
	}
}

// record adds a line to those that Received returns. The caller holds the lock.
func (e *Endpoints) record(line *ReceivedRequest) {
	e.received = append(e.received, line)
	if len(e.received) > maxReceived {
		e.received = append([]*ReceivedRequest(nil), e.received[maxReceived/2:]...)
	}
}
