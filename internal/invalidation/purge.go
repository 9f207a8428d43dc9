package invalidation

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Scope is what a purge names.
type Scope uint8

// The scopes.
const (
	ObjectScope Scope = iota
	GroupScope
)

// Purge is a purge as a store has it.
type Purge struct {
	Scope  Scope
	Object uint64        // of ObjectScope
	Group  int           // of GroupScope
	Issued time.Duration // on the Unix clock
}

const (
	// maxIssuedMillis is the last Unix millisecond that is taken for one, some hundred years from now.
	maxIssuedMillis = 1 << 42
	// objectDigits is the length of an object's name, in hex digits.
	objectDigits = 16
	// groupBits bounds the numbers of groups.
	groupBits = 30
)

// KeyError is returned for a key of a store, or its value, that is no purge.
type KeyError struct {
	Key     string
	Problem string
}

// Error names the key, cut to a length that a log line has room for.
func (e *KeyError) Error() string { return fmt.Sprintf("%.80q: %s", e.Key, e.Problem) }

// ParsePurge reads a purge from a key and its value, as a KV store has it: object/16 hex digits or group/NUMBER below
// the store's prefix, with the Unix millisecond at which it was issued as the value. key is without the prefix. Every
// error is a *KeyError.
func ParsePurge(key, value string) (Purge, error) {
	millis, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	if err != nil || millis < 0 || millis > maxIssuedMillis {
		return Purge{}, &KeyError{key, fmt.Sprintf("the value %.32q is no Unix millisecond", value)}
	}
	issued := time.Duration(millis) * time.Millisecond
	scope, name, _ := strings.Cut(strings.Trim(key, "/"), "/")
	switch scope {
	case "object":
		object, err := strconv.ParseUint(name, 16, 64)
		if err != nil || len(name) != objectDigits {
			return Purge{}, &KeyError{key, fmt.Sprintf("%.32q is no object of %d hex digits", name, objectDigits)}
		}
		return Purge{Scope: ObjectScope, Object: object, Issued: issued}, nil
	case "group":
		group, err := strconv.ParseUint(name, 10, groupBits)
		if err != nil {
			return Purge{}, &KeyError{key, fmt.Sprintf("%.32q is no number of a group", name)}
		}
		return Purge{Scope: GroupScope, Group: int(group), Issued: issued}, nil
	}
	return Purge{}, &KeyError{key, "expected object/... or group/..."}
}
