// Package snapshot gives the last reports of all endpoint sources a stored form, so that a proxy that restarts while
// its sources are unreachable still has endpoints. It does no I/O; package disk writes and reads the file.
//
// Invariants: a snapshot is believed completely or not at all, for its header states the version, the length and the
// CRC-32C checksum of what follows; a snapshot of this version that any build wrote reads as the same reports, and is
// written again as the same bytes; a decoded report names no endpoint that is gone.
//
// Bounds: Decode refuses a snapshot that is older than the caller accepts, and leaves out sources that were last seen
// longer ago than that. At most MaxBytes are read.
//
// The form is a line "sloequay-list VERSION LENGTH CHECKSUM", then LENGTH bytes of JSON, which the checksum covers.
package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sloequay/internal/membership"
)

const (
	// Version is the version of the form. A reader refuses any other.
	Version = 1
	// MaxBytes is the size of the largest snapshot that is read.
	MaxBytes = 64 << 20
	// maxClockSkew is how far in the future a snapshot may have been written, as two clocks may differ.
	maxClockSkew = time.Minute
)

// The errors by which a snapshot is refused. They come wrapped.
var (
	ErrInvalid = errors.New("it is no snapshot of this program")
	ErrVersion = errors.New("it has another version")
	ErrCorrupt = errors.New("it is torn")
	ErrTooOld  = errors.New("it is too old")
	ErrFuture  = errors.New("it is from the future")
)

// Limits is what a snapshot must keep to. The settings may have changed since it was written.
type Limits struct {
	MaxAge time.Duration
	Zones  int // the number of zones in the settings; an endpoint's zone is an index into them
	Kinds  int // the number of kinds in the settings; an endpoint's kind is an index into them
}

// Encode gives the stored form of reports, written at a time on the Unix clock.
func Encode(now time.Duration, reports []membership.SourceReport) ([]byte, error) {
	stored := storedSnapshot{WrittenMS: now.Milliseconds()}
	for i := range reports {
		stored.Sources = append(stored.Sources, storeSource(&reports[i]))
	}
	text, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return append(header(text), text...), nil
}

// Decode reads the stored form. It refuses what was written longer than maxAge before now or more than a minute after
// it, and leaves out sources that had last been seen longer than maxAge before now. The age is that of the snapshot.
func Decode(data []byte, now, maxAge time.Duration) (reports []membership.SourceReport, age time.Duration, err error) {
	text, err := verify(data)
	if err != nil {
		return nil, 0, err
	}
	var stored storedSnapshot
	if err = json.Unmarshal(text, &stored); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	age = now - milliseconds(stored.WrittenMS)
	if age > maxAge {
		return nil, age, fmt.Errorf("%w: %v, at most %v is taken", ErrTooOld, age.Round(time.Second), maxAge)
	}
	if age < -maxClockSkew {
		return nil, age, fmt.Errorf("%w: by %v", ErrFuture, -age.Round(time.Second))
	}
	for i := range stored.Sources {
		source := &stored.Sources[i]
		if now-milliseconds(source.LastSeenMS) > maxAge {
			continue // a source that has not been seen for so long may have been given up
		}
		report, err := source.load()
		if err != nil {
			return nil, age, err
		}
		reports = append(reports, report)
	}
	return reports, age, nil
}

// Check returns an error where an endpoint's zone or kind is not in the settings.
func Check(reports []membership.SourceReport, limits Limits) error {
	for _, report := range reports {
		for _, endpoint := range report.Endpoints {
			zoneKnown := 0 <= endpoint.Zone && endpoint.Zone < limits.Zones
			kindKnown := 0 <= endpoint.Kind && endpoint.Kind < limits.Kinds
			if !zoneKnown || !kindKnown {
				return fmt.Errorf("%w: endpoint %.64q has zone %d and kind %d, which the settings do not have",
					ErrInvalid, endpoint.ID, endpoint.Zone, endpoint.Kind)
			}
		}
	}
	return nil
}
