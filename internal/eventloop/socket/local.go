package socket

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	localRetryPause = 20 * time.Millisecond
	localRetryLimit = 5 * time.Second // after which what should pass is taken to stay
)

// localErrors are how system calls on sockets fail for want of something on this machine. None says anything of the
// peer.
var localErrors = []error{
	unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EINTR, unix.EADDRNOTAVAIL,
	unix.ENETDOWN, unix.ECONNABORTED,
}

// IsLocal says whether a system call on a socket failed for want of something on this machine: descriptors, memory,
// watches, ports. Such errors pass, and say nothing of the peer.
func IsLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// RetryLocal blocks and calls try until it succeeds, fails for another reason than one that IsLocal or a route that is
// missing, or localRetryLimit is over.
func RetryLocal(try func() error) error {
	began := time.Now()
	for {
		err := try()
		if err == nil || !IsLocal(err) && !errors.Is(err, unix.ENETUNREACH) || time.Since(began) > localRetryLimit {
			return err
		}
		time.Sleep(localRetryPause)
	}
}
