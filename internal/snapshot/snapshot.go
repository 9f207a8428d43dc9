// Package snapshot encodes the last reports of all endpoint sources, so that a proxy that restarts while its sources
// are unreachable still has endpoints. It does no I/O; package disk writes and reads the file.
//
// Invariants: a snapshot is accepted completely or not at all, since its header has the version, the length and the
// CRC-32C checksum of what follows; a snapshot of this version decodes to the same reports, whichever build wrote it,
// and the reports are encoded to the same bytes again; a decoded report has no endpoint that is gone.
//
// Bounds: Decode rejects a snapshot that is older than the caller accepts, and omits sources that were last seen longer
// ago than that. At most MaxBytes are read.
//
// The format is a line "sloequay-list VERSION LENGTH CHECKSUM", followed by LENGTH bytes of JSON, which the checksum
// covers.
package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sloequay/internal/membership"
)

const (
	// Version is the version of the format. Decode rejects any other.
	Version = 1
	// MaxBytes is the size in bytes of the largest snapshot that is read.
	MaxBytes = 64 << 20
	// maxClockSkew is how far in the future a snapshot may have been written, since the clocks at writing and at
	// reading may differ.
	maxClockSkew = time.Minute
)

// Errors for which a snapshot is rejected. They may be wrapped.
var (
	ErrInvalid = errors.New("not a valid snapshot")
	ErrVersion = errors.New("unsupported snapshot version")
	ErrCorrupt = errors.New("truncated or corrupt snapshot")
	ErrTooOld  = errors.New("snapshot too old")
	ErrFuture  = errors.New("snapshot from the future")
)

// Limits is what the current settings require of a snapshot. They may have changed since it was written.
type Limits struct {
	MaxAge time.Duration // how old the snapshot may be, and how long ago a source may have been last seen
	Zones  int           // the number of zones in the settings; an endpoint's zone is an index into them
	Kinds  int           // the number of kinds in the settings; an endpoint's kind is an index into them
}

// Encode returns a snapshot of the reports, written at now, which is Unix time.
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

// Decode returns the reports in a snapshot and the snapshot's age. It rejects a snapshot that was written more than
// maxAge before now or more than a minute after it, and omits sources that were last seen more than maxAge before now.
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
		return nil, age, fmt.Errorf("%w: age %v, limit %v", ErrTooOld, age.Round(time.Second), maxAge)
	}
	if age < -maxClockSkew {
		return nil, age, fmt.Errorf("%w: written %v ahead of this clock", ErrFuture, -age.Round(time.Second))
	}
	for i := range stored.Sources {
		source := &stored.Sources[i]
		if now-milliseconds(source.LastSeenMS) > maxAge {
			continue // a source that was last seen so long ago may have been removed
		}
		report, err := source.load()
		if err != nil {
			return nil, age, err
		}
		reports = append(reports, report)
	}
	return reports, age, nil
}

// Check returns an error if an endpoint's zone or kind is not in the settings.
func Check(reports []membership.SourceReport, limits Limits) error {
	for _, report := range reports {
		for _, endpoint := range report.Endpoints {
			zoneKnown := 0 <= endpoint.Zone && endpoint.Zone < limits.Zones
			kindKnown := 0 <= endpoint.Kind && endpoint.Kind < limits.Kinds
			if !zoneKnown || !kindKnown {
				return fmt.Errorf("%w: endpoint %.64q has zone %d and kind %d, which are not both in the settings",
					ErrInvalid, endpoint.ID, endpoint.Zone, endpoint.Kind)
			}
		}
	}
	return nil
}
