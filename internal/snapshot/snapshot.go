// Package snapshot keeps the last words of the sources of boxes across a restart: a versioned, checksummed form, and when
// one is believed. Writing and reading files is in snapshot/disk.
//
// The form: a line "sloequay-list VERSION LENGTH CRC32C", then LENGTH bytes of JSON. The checksum is over the JSON. A
// snapshot is believed whole or not at all.
package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"sloequay/internal/membership"
)

// Version is the form's version. A reader refuses any other.
const Version = 1

// MaxBytes is the largest snapshot that is read, in bytes.
const MaxBytes = 64 << 20

// Reasons for refusing a snapshot; errors.Is tells them apart.
var (
	ErrForeign = errors.New("it is no snapshot of this program")
	ErrVersion = errors.New("it has another version")
	ErrCorrupt = errors.New("it is torn")
	ErrTooOld  = errors.New("it is too old")
	ErrFuture  = errors.New("it is from the future")
)

const magic = "sloequay-list"

// body is the JSON. Names are part of the form.
type body struct {
	Written int64   `json:"written_ms"`
	Sources []words `json:"sources"`
}

type words struct {
	Source  string `json:"source"`
	Version uint64 `json:"version"`
	Heard   int64  `json:"heard_ms"`
	Boxes   []box  `json:"boxes"`
}

type box struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Zone    int     `json:"zone"`
	Kind    int     `json:"kind"`
	Cell    int     `json:"cell,omitempty"`
	Weight  float64 `json:"weight"`
	Born    int64   `json:"born_ms,omitempty"`
	Inc     uint64  `json:"incarnation,omitempty"`
	State   string  `json:"state"`
}

var table = crc32.MakeTable(crc32.Castagnoli)

func ms(d time.Duration) int64 { return d.Milliseconds() }

// Encode gives the form of what the sources have said by now.
func Encode(now time.Duration, all []membership.SourceReport) ([]byte, error) {
	b := body{Written: ms(now)}
	for _, w := range all {
		out := words{Source: w.Source, Version: w.Version, Heard: ms(w.LastSeen)}
		for _, x := range w.Endpoints {
			out.Boxes = append(out.Boxes, box{x.ID, x.Address, x.Zone, x.Kind, x.Cell, x.Weight, ms(x.StartedAt), x.Incarnation,
				x.State.String()})
		}
		b.Sources = append(b.Sources, out)
	}
	text, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return append(fmt.Appendf(nil, "%s %d %d %08x\n", magic, Version, len(text), crc32.Checksum(text, table)), text...), nil
}

// Decode reads the form. It refuses what was written longer than oldest before now, or after now by more than a minute,
// which is left to two clocks, and leaves out sources that had not been heard for so long. The age is that of its writing.
func Decode(data []byte, now, oldest time.Duration) (all []membership.SourceReport, age time.Duration, err error) {
	if !bytes.HasPrefix(data, []byte(magic+" ")) {
		if len(data) < len(magic) && bytes.HasPrefix([]byte(magic), data) {
			return nil, 0, ErrCorrupt
		}
		return nil, 0, ErrForeign
	}
	head, text, whole := bytes.Cut(data, []byte("\n"))
	if !whole {
		return nil, 0, ErrCorrupt
	}
	var version, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(head), magic+" %d %d %x", &version, &length, &sum); n < 1 {
		return nil, 0, fmt.Errorf("%w: %v", ErrForeign, err)
	} else if version != Version {
		return nil, 0, fmt.Errorf("%w: %d, and this program reads %d", ErrVersion, version, Version)
	} else if n < 3 {
		return nil, 0, ErrCorrupt
	}
	if len(text) != length || crc32.Checksum(text, table) != sum {
		return nil, 0, fmt.Errorf("%w: %d bytes of %d, or bytes that were changed", ErrCorrupt, len(text), length)
	}
	var b body
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, 0, fmt.Errorf("%w: %v", ErrForeign, err)
	}
	age = now - time.Duration(b.Written)*time.Millisecond
	switch {
	case age > oldest:
		return nil, age, fmt.Errorf("%w: %v, at most %v is taken", ErrTooOld, age.Round(time.Second), oldest)
	case age < -time.Minute:
		return nil, age, fmt.Errorf("%w: by %v", ErrFuture, -age.Round(time.Second))
	}
	for _, w := range b.Sources {
		if now-time.Duration(w.Heard)*time.Millisecond > oldest {
			continue // a source that was not heard for so long may have been given up
		}
		out := membership.SourceReport{Source: w.Source, Version: w.Version, LastSeen: time.Duration(w.Heard) * time.Millisecond}
		for _, x := range w.Boxes {
			state := membership.Up
			switch x.State {
			case membership.Up.String():
			case membership.Draining.String():
				state = membership.Draining
			default:
				return nil, age, fmt.Errorf("%w: box %.64q is %.32q", ErrForeign, x.ID, x.State)
			}
			out.Endpoints = append(out.Endpoints, membership.Endpoint{ID: x.ID, Address: x.Address, Zone: x.Zone, Kind: x.Kind, Cell: x.Cell,
				Weight: x.Weight, StartedAt: time.Duration(x.Born) * time.Millisecond, Incarnation: x.Inc, State: state})
		}
		all = append(all, out)
	}
	return all, age, nil
}

// Check says whether a snapshot's boxes fit the settings of now, which may have changed meanwhile: places and kinds are
// numbers in lists of that size.
func Check(all []membership.SourceReport, zones, kinds int) error {
	for _, w := range all {
		for _, b := range w.Endpoints {
			if b.Zone < 0 || b.Zone >= zones || b.Kind < 0 || b.Kind >= kinds {
				return fmt.Errorf("%w: box %.64q has place %d and kind %d, which the settings do not have", ErrForeign, b.ID,
					b.Zone, b.Kind)
			}
		}
	}
	return nil
}
