package invalidation

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Scope is what a purge applies to.
type Scope uint8

// The scopes.
const (
	ObjectScope Scope = iota
	GroupScope
)

// Purge is a purge as kept in a store.
type Purge struct {
	Scope  Scope
	Object uint64        // for ObjectScope
	Group  int           // for GroupScope
	Issued time.Duration // Unix time
}

const (
	// maxIssuedMillis is the latest issue time accepted, in Unix milliseconds: about a hundred years from now.
	maxIssuedMillis = 1 << 42
	// objectDigits is the number of hex digits of an object's name.
	objectDigits = 16
	// groupBits is the number of bits of the largest group number.
	groupBits = 30
)

// KeyError is returned for a key or a value of a store that does not describe a purge.
type KeyError struct {
	Key     string
	Problem string
}

// Error names the key, truncated to fit a log line, and the problem.
func (e *KeyError) Error() string { return fmt.Sprintf("%.80q: %s", e.Key, e.Problem) }

// ParsePurge parses a purge from a key and a value of a KV store. The key, without the store's prefix, is object/ and
// 16 hex digits, or group/ and a number. The value is the Unix time in milliseconds at which the purge was issued.
// Every error is a *KeyError.
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
