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
	poll   = time.Second
	settle = 20 * time.Millisecond // a writer may touch several files
)

// Fingerprint changes when one of the files does, as far as size, times and mode tell. A path that is empty or that
// leads nowhere is passed over.
func Fingerprint(paths ...string) (out string) {
	for _, path := range paths {
		if info, err := os.Stat(path); path != "" && err == nil {
			out += fmt.Sprint(path, info.Size(), info.ModTime().UnixNano(), info.Mode(), ";")
		}
	}
	return out
}

// Watch calls changed whenever signature gives something else than before, within a poll of a second at the latest,
// until stop is closed. Where changed fails by an error of the system, as EIO, it is called again with the next
// poll: nothing may change again. folders are those whose notices are heeded. It blocks.
func Watch(stop <-chan struct{}, folders []string, signature func() string, changed func() error) {
	var events chan fsnotify.Event
	var faults chan error
	w, err := fsnotify.NewWatcher()
	if err == nil {
		defer w.Close()
		events, faults = w.Events, w.Errors
	}
	last, unread := signature(), false
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for first := true; ; first = false {
		if first {
			for _, f := range folders {
				if w != nil && f != "" {
					_ = w.Add(f) // the poll stands in for one that can't be watched
				}
			}
		} else {
			select {
			case <-stop:
				return
			case <-faults: // the poll finds what it did not tell
			case <-events:
				time.Sleep(settle)
			case <-tick.C:
				for _, f := range folders { // it may have been away
					if w != nil && f != "" {
						_ = w.Add(f)
					}
				}
			}
		}
		if now := signature(); now != last || unread {
			last = now
			var errno syscall.Errno
			unread = errors.As(changed(), &errno)
		}
	}
}

// Folders gives the folders of files, each once.
func Folders(paths ...string) (out []string) {
	seen := map[string]bool{}
	for _, path := range paths {
		if dir := filepath.Dir(path); path != "" && !seen[dir] {
			seen[dir] = true
			out = append(out, dir)
		}
	}
	return out
}
