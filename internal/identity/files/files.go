// Package files watches files that operators replace while the program runs. File system notifications arrive promptly
// but may be lost; polling detects what they miss, such as changes in a directory that did not exist for a while.
package files

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/fsnotify/fsnotify"
)

const (
	pollInterval = time.Second
	settleTime   = 20 * time.Millisecond // delay after a notification, since a writer may change several files
)

// Fingerprint returns a string that changes when the size, modification time or mode of one of the files changes. Empty
// paths and missing files are skipped.
func Fingerprint(paths ...string) string {
	fingerprint := ""
	for _, path := range paths {
		if info, err := os.Stat(path); path != "" && err == nil {
			fingerprint += fmt.Sprint(path, info.Size(), info.ModTime().UnixNano(), info.Mode(), ";")
		}
	}
	return fingerprint
}

// Watch calls changed whenever the result of fingerprint changes, within pollInterval, until stop is closed. If changed
// returns an operating system error such as EIO, Watch calls it again at the next poll, since the files may not change
// again. directories are those that contain the files. Watch blocks.
func Watch(stop <-chan struct{}, directories []string, fingerprint func() string, changed func() error) {
	notifications := newNotifier(directories)
	defer notifications.close()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	last := fingerprint()
	retry := false // the last call of changed failed with an operating system error
	notifications.watchDirectories()
	for {
		if current := fingerprint(); current != last || retry {
			last = current
			retry = isSystemError(changed())
		}
		select {
		case <-stop:
			return
		case err := <-notifications.watchErrors: // polling detects unreported changes
			if errors.Is(err, syscall.EAGAIN) { // Go's poller cannot watch it and would repeat the error
				notifications.close()
			}
		case <-notifications.events:
			time.Sleep(settleTime)
		case <-poll.C:
			notifications.watchDirectories()
		}
	}
}

// isSystemError reports whether an error comes from the operating system, so that a retry may succeed.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// notifier receives file system notifications for directories. Its channels are nil if notifications are unavailable.
type notifier struct {
	directories []string
	watcher     *fsnotify.Watcher // nil if notifications are unavailable
	events      chan fsnotify.Event
	watchErrors chan error
}

func newNotifier(directories []string) *notifier {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return &notifier{directories: directories}
	}
	return &notifier{directories: directories, watcher: watcher, events: watcher.Events, watchErrors: watcher.Errors}
}

// watchDirectories subscribes to all directories again, since one may have been deleted and recreated. If notifications
// are unavailable, it first tries to set them up again: the system may have lacked memory or descriptors before.
func (n *notifier) watchDirectories() {
	if n.watcher == nil {
		*n = *newNotifier(n.directories)
	}
	if n.watcher == nil {
		return
	}
	for _, directory := range n.directories {
		if directory != "" {
			_ = n.watcher.Add(directory) // polling covers a directory that cannot be watched
		}
	}
}

// close stops the notifications; watchDirectories sets them up again.
func (n *notifier) close() {
	if n.watcher != nil {
		_ = n.watcher.Close()
	}
	*n = notifier{directories: n.directories}
}

// Directories returns the distinct directories of files. Empty paths are skipped.
func Directories(paths ...string) []string {
	var directories []string
	seen := map[string]bool{}
	for _, path := range paths {
		if directory := filepath.Dir(path); path != "" && !seen[directory] {
			seen[directory] = true
			directories = append(directories, directory)
		}
	}
	return directories
}
