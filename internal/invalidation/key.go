package invalidation

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// latest is the last Unix millisecond that is taken for one, some hundred years from now.
const latest = 1 << 42

// ParseKey reads a purge from a key and its value, as a KV store has it: PREFIX/object/16 hex digits or PREFIX/group/NUMBER,
// with the Unix millisecond at which it was issued as the value. key is without the prefix. isObject tells which of the
// two it is.
func ParseKey(key, value string) (object uint64, group int, isObject bool, issued time.Duration, err error) {
	ms, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	if err != nil || ms < 0 || ms > latest {
		return 0, 0, false, 0, fmt.Errorf("%.80q: the value %.32q is no Unix millisecond", key, value)
	}
	kind, name, _ := strings.Cut(strings.Trim(key, "/"), "/")
	switch kind {
	case "object":
		if object, err = strconv.ParseUint(name, 16, 64); err == nil && len(name) == 16 {
			return object, 0, true, time.Duration(ms) * time.Millisecond, nil
		}
		return 0, 0, false, 0, fmt.Errorf("%.80q: %.32q is no object of 16 hex digits", key, name)
	case "group":
		if n, err := strconv.ParseUint(name, 10, 30); err == nil {
			return 0, int(n), false, time.Duration(ms) * time.Millisecond, nil
		}
		return 0, 0, false, 0, fmt.Errorf("%.80q: %.32q is no number of a group", key, name)
	}
	return 0, 0, false, 0, fmt.Errorf("%.80q: expected object/... or group/...", key)
}
