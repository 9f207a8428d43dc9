// Package admin is the operators' socket: a command is one line, the answer is text up to the end of the connection.
// The socket is a file of its owner's alone, so that those who may read the proxy's settings may send commands, and
// nobody on the network.
package admin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"sloequay/internal/eventloop/socket"
)

const (
	maxConnections = 4
	// maxCommandSize is in bytes, the end of the line included.
	maxCommandSize = 1024
	// timeout bounds one exchange; who asks waits for twice as long.
	timeout = 2 * time.Second
	// acceptPause is the time from an accept that failed to the next.
	acceptPause = 100 * time.Millisecond
	// ownerOnly is the umask by which the socket is its owner's alone.
	ownerOnly = 0o177
	// errorPrefix marks an answer that says why there is none.
	errorPrefix = "error: "
)

// ErrInUse says that another process answers on the socket.
var ErrInUse = errors.New("another process answers there")

// Handler gets the words of a command on a goroutine of its own, and sends the answer, without blocking, when it has
// it.
type Handler func(words []string, answer chan<- string)

// Listen opens the socket and answers beside the caller, until the process ends. It blocks while the system has no
// memory or descriptor for that, for some seconds at most. acceptFailed is told, on a goroutine of the socket's, of
// connections that could not be accepted.
func Listen(path string, handler Handler, acceptFailed func(error)) error {
	var listener net.Listener
	err := socket.RetryLocalErrors(func() (err error) {
		listener, err = openSocket(path)
		return err
	})
	if err != nil {
		return err
	}
	go accept(listener, handler, acceptFailed)
	return nil
}

// openSocket tries once to open the socket. What a failed try leaves is stale for the next.
func openSocket(path string) (net.Listener, error) {
	if err := removeStale(path); err != nil {
		return nil, err
	}
	previous := syscall.Umask(ownerOnly)
	defer syscall.Umask(previous)
	return net.Listen("unix", path)
}

// removeStale removes the socket of a process that was killed.
func removeStale(path string) error {
	conn, dialErr := net.DialTimeout("unix", path, timeout)
	if dialErr == nil {
		_ = conn.Close()
		return ErrInUse
	}
	if socket.IsLocalError(dialErr) {
		return dialErr
	}
	info, err := os.Lstat(path)
	if err == nil && info.Mode()&os.ModeSocket != 0 && errors.Is(dialErr, syscall.ECONNREFUSED) {
		_ = os.Remove(path)
	}
	return nil
}

// accept serves connections until the listener is closed, and closes at once those beyond maxConnections.
func accept(listener net.Listener, handler Handler, acceptFailed func(error)) {
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for want of descriptors or memory, which passes
			acceptFailed(err)
			time.Sleep(acceptPause)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				serve(conn, handler)
			}()
		default:
			_ = conn.Close()
		}
	}
}

func serve(conn net.Conn, handler Handler) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	line, err := bufio.NewReader(io.LimitReader(conn, maxCommandSize)).ReadString('\n')
	if err != nil {
		return
	}
	answer := make(chan string, 1) // so that an answer after the time-out blocks nobody
	handler(strings.Fields(line), answer)
	select {
	case text := <-answer:
		_, _ = io.WriteString(conn, text)
	case <-time.After(timeout):
	}
}

// Query sends a command to a running proxy, and writes its answer to out. An answer that says why there is none
// becomes the error.
func Query(out io.Writer, path, command string) error {
	conn, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * timeout))
	if _, err := io.WriteString(conn, command+"\n"); err != nil {
		return err
	}
	text, err := io.ReadAll(conn)
	if reason, failed := strings.CutPrefix(string(text), errorPrefix); failed {
		return errors.New(strings.TrimSpace(reason))
	}
	_, _ = out.Write(text)
	return err
}
