package listwatch

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"time"

	"sloequay/internal/membership"
)

// FetchOnce connects once and returns the events after the given number, for commands that show what the watch has. It
// blocks until it receives a line that consists only of the last number, the connection ends or the timeout expires,
// and returns the events received until then.
func (d Decoder) FetchOnce(address string, after int64, timeout time.Duration) ([]membership.SourceEvent, error) {
	deadline := time.Now().Add(timeout)
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := conn.Write(requestLine(after)); err != nil {
		return nil, err
	}
	var events []membership.SourceEvent
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if _, ok := parseLastNumber(line); ok {
			return events, nil
		}
		_, decoded, err := d.decodeLine(line)
		if err != nil {
			return events, err
		}
		events = append(events, decoded...)
	}
	if err := lines.Err(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return events, err
	}
	return events, nil
}
