package consul

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// maxValue is the largest value of a key, in bytes; longer values are truncated.
const maxValue = 512 << 10

// kvEntry is one key in a response to /v1/kv. Its fields are in alphabetical order.
type kvEntry struct {
	CreateIndex uint64 `json:"CreateIndex"`
	Key         string `json:"Key"`
	ModifyIndex uint64 `json:"ModifyIndex"`
	Value       []byte `json:"Value"`
}

// serveKV answers /v1/kv/KEY.
func (a *Agent) serveKV(w http.ResponseWriter, r *http.Request, key string) {
	c := a.cluster
	switch r.Method {
	case http.MethodPut:
		value, err := io.ReadAll(io.LimitReader(r.Body, maxValue))
		if err == nil {
			c.SetKV(key, value)
		}
		_, _ = io.WriteString(w, strconv.FormatBool(err == nil))
		return
	case http.MethodDelete:
		c.SetKV(key, nil)
		_, _ = io.WriteString(w, "true")
		return
	}
	index := a.wait(r, func() uint64 { return c.kvIndex })
	matches := func(name string) bool { return name == key }
	if r.URL.Query().Has("recurse") {
		matches = func(name string) bool { return strings.HasPrefix(name, key) }
	}
	entries := c.kvEntries(matches)
	active := a.active()
	if len(entries) == 0 {
		w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	a.write(w, entries, index, active)
}

// kvEntries returns the entries of the keys that match, sorted by key.
func (c *Cluster) kvEntries(matches func(name string) bool) []kvEntry {
	var entries []kvEntry
	c.mu.Lock()
	for name, entry := range c.kv {
		if matches(name) {
			entries = append(entries, kvEntry{entry.createIndex, name, entry.modifyIndex, entry.value})
		}
	}
	c.mu.Unlock()
	slices.SortFunc(entries, func(x, y kvEntry) int { return strings.Compare(x.Key, y.Key) })
	return entries
}
