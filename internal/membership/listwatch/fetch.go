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

// FetchOnce connects once, for a command that wants to know what the watch has, and returns the events after one: all
// that come before the first line with the last number alone, or within the limit. It blocks.
func (d Decoder) FetchOnce(address string, after int64, limit time.Duration) ([]membership.SourceEvent, error) {
	deadline := time.Now().Add(limit)
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := conn.Write(request(after)); err != nil {
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
