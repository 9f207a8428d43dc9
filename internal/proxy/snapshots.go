package proxy

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/config"
	"sloequay/internal/snapshot"
	"sloequay/internal/snapshot/disk"
)

// snapshotSettings is the block `snapshot`.
type snapshotSettings struct {
	File     string
	Interval time.Duration // the least between two writes
	MaxAge   time.Duration // from which one is not used
}

// section returns the directives of the block.
func (s *snapshotSettings) section() *config.Section {
	section := &config.Section{}
	section.Text("file", &s.File, func(path string) error {
		folder := filepath.Dir(path)
		if info, err := os.Stat(folder); err != nil || !info.IsDir() {
			return fmt.Errorf("%s is no folder", folder)
		}
		return nil
	}, "where it is written")
	section.Duration("every", &s.Interval, 100*time.Millisecond, time.Hour, "least time between two")
	section.Duration("oldest", &s.MaxAge, time.Second, 30*24*time.Hour, "age from which one is refused")
	section.Check(func() error {
		if s.File == "" {
			return errors.New("file is missing")
		}
		return nil
	})
	return section
}

// refreshesPerMaxAge is how often an unchanged snapshot is written within its oldest usable age: how old it is must
// not count from the last change.
const refreshesPerMaxAge = 10

// noRevision is no revision of the endpoints: nothing is on the disk.
const noRevision = math.MaxUint64

// snapshotWriter reads the snapshot at the start and writes it while the proxy runs. Its methods run on the loop.
type snapshotWriter struct {
	server    *server
	writtenAt time.Duration // when the last snapshot was begun
	revision  uint64        // of the endpoints in it
	isWriting bool
}

// restore reads the snapshot and reports whether there was one to use.
func (w *snapshotWriter) restore() bool {
	server := w.server
	settings := server.plan.settings.Snapshot
	if settings == nil {
		return false
	}
	disk.Clean(settings.File)
	control := server.plan.platform.Policy
	limits := snapshot.Limits{
		MaxAge: settings.MaxAge,
		Zones:  len(control.ZoneNames),
		Kinds:  len(control.KindNames),
	}
	reports, age, err := disk.Read(settings.File, server.clock.Unix(), limits)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return false
	case err != nil:
		server.log.Event("snapshot-rejected", "file", settings.File, "error", err)
		return false
	}
	server.log.Event("snapshot-loaded", "file", settings.File, "age", age.Round(time.Millisecond))
	server.publish(broker.SnapshotRestored{Reports: reports})
	return true
}

// tick writes a snapshot when the endpoints have changed and its time has come. A goroutine waits for the disk. The
// exit does not wait for it: the file holds the old snapshot or the new one, whenever the process ends.
func (w *snapshotWriter) tick(now time.Duration) {
	server := w.server
	settings := server.plan.settings.Snapshot
	if settings == nil || w.isWriting {
		return
	}
	interval := settings.Interval
	revision := server.plan.members.Revision()
	if revision == w.revision {
		interval = max(interval, settings.MaxAge/refreshesPerMaxAge)
	}
	if now-w.writtenAt < interval {
		return
	}
	reports := server.plan.members.Export()
	if len(reports) == 0 {
		return
	}
	w.isWriting = true
	w.writtenAt = now
	w.revision = revision
	at := server.clock.Unix()
	go func() {
		data, err := snapshot.Encode(at, reports)
		if err == nil {
			err = disk.Write(settings.File, data)
		}
		server.loop.Post(func() {
			w.isWriting = false
			if err != nil {
				w.revision = noRevision // what is on the disk is old, so that the next one is due after the usual time
				server.log.Event("snapshot-write-failed", "error", err)
			}
		})
	}()
}
