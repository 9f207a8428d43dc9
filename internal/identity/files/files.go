// Package files watches files that operators replace while the program runs. File system notifications arrive at once
// but may be lost; polling finds what they miss, such as a folder that did not exist for a while.
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
	settleTime   = 20 * time.Millisecond // after a notice: a writer may touch several files
)

// Fingerprint returns a text that changes when the size, modification time or mode of one of the files does. Empty
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

// Watch calls changed when fingerprint returns another text than before, at the latest after pollInterval, until stop
// is closed. If changed returns an error of the operating system, such as EIO, it is called again at the next poll,
// since the files may not change again. folders are those with the files. Watch blocks.
func Watch(stop <-chan struct{}, folders []string, fingerprint func() string, changed func() error) {
	notices := newNotifier(folders)
	defer notices.close()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	last := fingerprint()
	unread := false // the last change could not be read
	notices.watchFolders()
	for {
		if current := fingerprint(); current != last || unread {
			last = current
			unread = isSystemError(changed())
		}
		select {
		case <-stop:
			return
		case err := <-notices.faults: // the poll finds what the system did not tell
			if errors.Is(err, syscall.EAGAIN) { // Go's poller could not watch it: it would say so without end
				notices.close()
			}
		case <-notices.events:
			time.Sleep(settleTime)
		case <-poll.C:
			notices.watchFolders()
		}
	}
}

// isSystemError reports whether an error is one of the operating system, so that a retry may succeed.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// notifier receives file system notifications for folders. If there is no such service its channels are nil.
type notifier struct {
	folders []string
	watcher *fsnotify.Watcher // nil: there is no such service
	events  chan fsnotify.Event
	faults  chan error
}

func newNotifier(folders []string) *notifier {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return &notifier{folders: folders}
	}
	return &notifier{folders: folders, watcher: watcher, events: watcher.Events, faults: watcher.Errors}
}

// watchFolders subscribes to all folders again: one may have been deleted and made anew. Without a service it asks for
// one again first, which the system may have lacked memory or descriptors for.
func (n *notifier) watchFolders() {
	if n.watcher == nil {
		*n = *newNotifier(n.folders)
	}
	if n.watcher == nil {
		return
	}
	for _, folder := range n.folders {
		if folder != "" {
			_ = n.watcher.Add(folder) // the poll stands in for one that can't be watched
		}
	}
}

// close ends the service; watchFolders begins another.
func (n *notifier) close() {
	if n.watcher != nil {
		_ = n.watcher.Close()
	}
	*n = notifier{folders: n.folders}
}

// Directories returns the distinct directories of files. Empty paths are skipped.
func Directories(paths ...string) []string {
	var folders []string
	seen := map[string]bool{}
	for _, path := range paths {
		if folder := filepath.Dir(path); path != "" && !seen[folder] {
			seen[folder] = true
			folders = append(folders, folder)
		}
	}
	return folders
}
