package membership

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Names holds the names of zones and kinds, in the order of the platform configuration. An Endpoint refers to them by
// index.
type Names struct{ Zones, Kinds []string }

// Entry is a source's report on an endpoint, in the form common to all sources, before it is checked.
type Entry struct {
	ID          string
	Address     string
	Zone        string
	Kind        string
	Cell        int
	State       State
	Weight      float64
	StartedAtMS int64 // start in Unix milliseconds; 0: long ago
	Incarnation uint64
}

const (
	maxStartedAtMS = 1 << 42 // Unix milliseconds: the year 2109
	maxIDBytes     = 255
)

// EntryError says why an entry is rejected.
type EntryError struct {
	ID      string
	Field   EntryField
	Value   string // of the field, as printed in the message
	Problem string // of the value; empty: the message has only the field and its value
}

// EntryField is the name of a rejected field of an Entry, as shown to operators.
type EntryField string

// The fields that Names.Endpoint checks.
const (
	FieldID        EntryField = "host"
	FieldStartedAt EntryField = "born_ms"
	FieldZone      EntryField = "site"
	FieldKind      EntryField = "class"
	FieldAddress   EntryField = "address"
)

// Error returns the message shown to operators.
func (e *EntryError) Error() string {
	text := fmt.Sprintf("%s %s", e.Field, e.Value)
	if e.Problem != "" {
		text += " " + e.Problem
	}
	if e.Field != FieldID {
		text = e.ID + ": " + text
	}
	return text
}

// Endpoint checks an entry and converts it to an Endpoint. An entry whose state is Gone needs only an ID. Errors are of
// type *EntryError.
func (n Names) Endpoint(entry Entry) (Endpoint, error) {
	endpoint := Endpoint{
		ID:          entry.ID,
		Address:     entry.Address,
		Zone:        slices.Index(n.Zones, entry.Zone),
		Kind:        slices.Index(n.Kinds, entry.Kind),
		Cell:        entry.Cell,
		Weight:      entry.Weight,
		StartedAt:   time.Duration(entry.StartedAtMS) * time.Millisecond,
		Incarnation: entry.Incarnation,
		State:       entry.State,
	}
	reject := func(field EntryField, value, problem string) (Endpoint, error) {
		return endpoint, &EntryError{ID: entry.ID, Field: field, Value: value, Problem: problem}
	}
	switch {
	case !isID(entry.ID):
		return reject(FieldID, strconv.Quote(entry.ID), "")
	case entry.StartedAtMS < 0 || entry.StartedAtMS > maxStartedAtMS:
		return reject(FieldStartedAt, strconv.FormatInt(entry.StartedAtMS, 10), "")
	case entry.State == Gone:
		return endpoint, nil
	case endpoint.Zone < 0:
		return reject(FieldZone, strconv.Quote(entry.Zone), "is not in the settings")
	case endpoint.Kind < 0:
		return reject(FieldKind, strconv.Quote(entry.Kind), "is not in the settings")
	case !isAddress(entry.Address):
		return reject(FieldAddress, strconv.Quote(entry.Address), "is not host:port")
	}
	return endpoint, nil
}

// Describes reports whether an endpoint that did not come from Names.Endpoint, such as one from a peer, is valid for
// these settings.
func (n Names) Describes(endpoint Endpoint) bool {
	if endpoint.State == Gone {
		return isID(endpoint.ID)
	}
	isKnownZone := 0 <= endpoint.Zone && endpoint.Zone < len(n.Zones)
	isKnownKind := 0 <= endpoint.Kind && endpoint.Kind < len(n.Kinds)
	return isID(endpoint.ID) && isAddress(endpoint.Address) && isKnownZone && isKnownKind && endpoint.State <= Up
}

// isID reports whether a text is valid as the ID of an endpoint, which must fit into a line of the wire protocols.
func isID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		if c := id[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return true
}

// isAddress reports whether a text is host:port, with an IPv6 address in brackets.
func isAddress(text string) bool {
	colon := strings.LastIndexByte(text, ':')
	if colon <= 0 {
		return false
	}
	host, port := text[:colon], text[colon+1:]
	bracketed := host[0] == '[' && host[len(host)-1] == ']'
	if strings.Contains(host, ":") && !bracketed {
		return false
	}
	_, err := strconv.ParseUint(port, 10, 16)
	return err == nil
}
