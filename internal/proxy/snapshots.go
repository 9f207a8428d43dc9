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

// snapshotSettings holds the settings in the block `snapshot`.
type snapshotSettings struct {
	File     string
	Interval time.Duration // minimum time between two writes
	MaxAge   time.Duration // an older snapshot is not used
}

// section returns the directives of the block.
func (s *snapshotSettings) section() *config.Section {
	section := &config.Section{}
	section.Text("file", &s.File, func(path string) error {
		directory := filepath.Dir(path)
		if info, err := os.Stat(directory); err != nil || !info.IsDir() {
			return fmt.Errorf("%s is not a directory", directory)
		}
		return nil
	}, "path of the snapshot")
	section.Duration("every", &s.Interval, 100*time.Millisecond, time.Hour, "minimum time between two writes")
	section.Duration("oldest", &s.MaxAge, time.Second, 30*24*time.Hour, "maximum age of a snapshot that is used")
	section.Check(func() error {
		if s.File == "" {
			return errors.New("file is missing")
		}
		return nil
	})
	return section
}

// refreshesPerMaxAge is how many times an unchanged snapshot is written again within its maximum age. Otherwise it
// would become too old to use because the endpoints have not changed for long.
const refreshesPerMaxAge = 10

// noRevision differs from every revision of the endpoints. It means that the last snapshot could not be written.
const noRevision = math.MaxUint64

// snapshotWriter reads the snapshot at the start and writes it while the proxy runs. Its methods run on the event loop.
type snapshotWriter struct {
	server    *server
	writtenAt time.Duration // when the last write started
	revision  uint64        // of the endpoints in the last snapshot, or noRevision
	isWriting bool
}

// restore reads the snapshot, publishes its endpoints, and reports whether there was a snapshot that can be used.
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

// tick writes a snapshot if one is due: Interval after the last one if the endpoints have changed, later if not. A
// separate goroutine waits for the disk. The exit of the process does not wait for that goroutine, because the file
// always holds either the old snapshot or the new one.
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
	unixNow := server.clock.Unix()
	go func() {
		data, err := snapshot.Encode(unixNow, reports)
		if err == nil {
			err = disk.Write(settings.File, data)
		}
		server.loop.Post(func() {
			w.isWriting = false
			if err != nil {
				w.revision = noRevision // the file is out of date: the next write is due after Interval
				server.log.Event("snapshot-write-failed", "error", err)
			}
		})
	}()
}
