// Package files tells when files that operators replace in service may have changed. The system's notices come at
// once where they come; a poll finds what they miss, such as a folder that was away.
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

// Fingerprint returns a text that changes when one of the files does, as far as size, times and mode tell. A path
// that is empty or that leads nowhere is passed over.
func Fingerprint(paths ...string) string {
	fingerprint := ""
	for _, path := range paths {
		if info, err := os.Stat(path); path != "" && err == nil {
			fingerprint += fmt.Sprint(path, info.Size(), info.ModTime().UnixNano(), info.Mode(), ";")
		}
	}
	return fingerprint
}

// Watch calls changed whenever fingerprint returns something else than before, within a poll of a second at the
// latest, until stop is closed. Where changed fails by an error of the system, as EIO, it is called again with the
// next poll: the files may not change again. Notices come of folders, in which the files are. It blocks.
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
		case <-notices.faults: // the poll finds what the system did not tell
		case <-notices.events:
			time.Sleep(settleTime)
		case <-poll.C:
			notices.watchFolders()
		}
	}
}

// isSystemError reports whether an error comes from the system: another attempt may succeed.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// notifier gets the system's notices of folders. Where there is no such service its channels are nil.
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

// watchFolders asks for the notices of all folders: one may have been away meanwhile.
func (n *notifier) watchFolders() {
	if n.watcher == nil {
		return
	}
	for _, folder := range n.folders {
		if folder != "" {
			_ = n.watcher.Add(folder) // the poll stands in for one that can't be watched
		}
	}
}

func (n *notifier) close() {
	if n.watcher != nil {
		_ = n.watcher.Close()
	}
}

// Folders returns the folders of files, each once. Empty paths are passed over.
func Folders(paths ...string) []string {
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
