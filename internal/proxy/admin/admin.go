// Package admin implements the operators' socket, a Unix domain socket. A connection carries one command, which is a
// line of text, and one answer, which is text that ends with the connection. Only the owner of the socket's file has
// access to it, so nobody can send commands over the network.
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
	// maxCommandSize is the maximum length of a command in bytes, including the newline.
	maxCommandSize = 1024
	// timeout limits one exchange on the proxy's side; Query waits twice as long for the answer.
	timeout = 2 * time.Second
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 100 * time.Millisecond
	// ownerOnlyUmask is the umask with which only the owner can read and write the socket.
	ownerOnlyUmask = 0o177
	// errorPrefix marks an answer that is an error message.
	errorPrefix = "error: "
)

// ErrInUse is returned if another process listens on the socket.
var ErrInUse = errors.New("another process is listening on the socket")

// Handler handles a command, given as its words, and sends the answer to the channel, then or later. The channel is
// buffered, so the one send does not block. Each call runs on its own goroutine.
type Handler func(words []string, answer chan<- string)

// Listen opens the socket and serves it on other goroutines until the process ends. While the system is out of memory
// or file descriptors, Listen blocks and retries for a few seconds. acceptFailed is called on the accepting goroutine
// with the error of each failed accept.
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

// openSocket tries once to open the socket. If it fails after creating the file, the next try removes that file as
// stale.
func openSocket(path string) (net.Listener, error) {
	if err := removeStale(path); err != nil {
		return nil, err
	}
	previous := syscall.Umask(ownerOnlyUmask)
	defer syscall.Umask(previous)
	return net.Listen("unix", path)
}

// removeStale removes a socket file that nobody listens on, such as that of a killed process.
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

// accept serves connections until the listener is closed. Connections beyond maxConnections are closed immediately.
func accept(listener net.Listener, handler Handler, acceptFailed func(error)) {
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the system is out of descriptors or memory, which is temporary
			acceptFailed(err)
			time.Sleep(acceptRetryDelay)
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
	answer := make(chan string, 1) // buffered, so that a handler that answers after the timeout does not block
	handler(strings.Fields(line), answer)
	select {
	case text := <-answer:
		_, _ = io.WriteString(conn, text)
	case <-time.After(timeout):
	}
}

// Query sends a command to a running proxy and writes the answer to out. If the answer is an error message, Query
// returns it as an error instead.
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
