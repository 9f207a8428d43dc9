package socket

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	localRetryPause = 20 * time.Millisecond
	localRetryLimit = 5 * time.Second // afterwards the error counts as permanent
)

// localErrors are the errors of system calls on sockets for which IsLocalError returns true. None says anything about
// the peer.
var localErrors = []error{
	unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EINTR, unix.EADDRNOTAVAIL,
	unix.ENETDOWN, unix.ECONNABORTED,
}

// IsLocalError reports whether a system call on a socket failed because this machine lacks a resource, such as
// descriptors, memory, epoll watches or ports. Such errors are temporary and say nothing about the peer.
func IsLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// RetryLocalErrors calls try until it succeeds, fails with an error that is neither an IsLocalError nor a missing
// route, or localRetryLimit has passed. It blocks.
func RetryLocalErrors(try func() error) error {
	began := time.Now()
	for {
		err := try()
		if err == nil || !IsLocalError(err) && !errors.Is(err, unix.ENETUNREACH) ||
			time.Since(began) > localRetryLimit {
			return err
		}
		time.Sleep(localRetryPause)
	}
}
