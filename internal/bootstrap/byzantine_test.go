package bootstrap

import (
	"fmt"
	"slices"

	"sloequay/internal/membership"
)

// tamperings are the ways in which a byzantine node falsifies its messages.
var tamperings = []struct {
	name   string
	tamper func(m Message) Message
}{
	{"an empty list of a much later version", func(m Message) Message {
		empty := VersionOf(0, 1<<40, nil)
		switch {
		case m.Digest != nil:
			m.Digest = []Advertisement{{ListVersion: empty}}
		case m.Part != nil, m.Delta != nil, m.Busy != nil:
			m.Part, m.Delta, m.Busy = &Part{ListVersion: empty, Total: 1}, nil, nil
		}
		return m
	}},
	{"every endpoint is draining", func(m Message) Message {
		var endpoints []membership.Endpoint
		for i := range 20 {
			endpoints = append(endpoints, membership.Endpoint{
				ID: fmt.Sprintf("c%02d", i), Address: "10.0.0.1", State: membership.Draining,
			})
		}
		forged := newEndpointList(0, 1<<40, endpoints)
		switch {
		case m.Digest != nil:
			m.Digest = []Advertisement{{ListVersion: forged.ListVersion}}
		case m.Part != nil, m.Delta != nil, m.Busy != nil:
			m.Part = &Part{ListVersion: forged.ListVersion, Total: 1, Endpoints: forged.endpoints}
			m.Delta, m.Busy = nil, nil
		}
		return m
	}},
	{"content that differs from the advertised one", func(m Message) Message {
		if m.Part != nil {
			part := *m.Part
			part.Endpoints = nil
			m.Part = &part
		}
		if m.Delta != nil {
			delta := *m.Delta
			delta.Removed = []string{"c01", "c02"}
			m.Delta = &delta
		}
		return m
	}},
	{"far too many parts", func(m Message) Message {
		if m.Part != nil {
			part := *m.Part
			part.Total = 1 << 30
			m.Part = &part
		}
		return m
	}},
	{"lists that do not exist", func(m Message) Message {
		if m.Digest != nil {
			m.Digest = []Advertisement{
				{ListVersion: ListVersion{List: -1, Version: 1, Sum: 1}},
				{ListVersion: ListVersion{List: 99, Version: 1, Sum: 1}},
			}
		}
		return m
	}},
	{"a false claim of recent contact to the service", func(m Message) Message {
		if m.Digest != nil {
			m.Digest = slices.Clone(m.Digest)
			for i := range m.Digest {
				m.Digest[i].LastSeen = 0
			}
		}
		return m
	}},
}
