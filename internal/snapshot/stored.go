package snapshot

import (
	"fmt"
	"time"

	"sloequay/internal/membership"
)

// storedSnapshot is the JSON of a snapshot. The JSON names in this type and those below are part of the format. Times
// are Unix milliseconds.
type storedSnapshot struct {
	WrittenMS int64          `json:"written_ms"`
	Sources   []storedSource `json:"sources"`
}

type storedSource struct {
	Name       string           `json:"source"`
	Version    uint64           `json:"version"`
	LastSeenMS int64            `json:"heard_ms"`
	Endpoints  []storedEndpoint `json:"boxes"`
}

type storedEndpoint struct {
	ID          string  `json:"id"`
	Address     string  `json:"address"`
	Zone        int     `json:"zone"`
	Kind        int     `json:"kind"`
	Cell        int     `json:"cell,omitempty"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"born_ms,omitempty"`
	Incarnation uint64  `json:"incarnation,omitempty"`
	State       string  `json:"state"`
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func storeSource(report *membership.SourceReport) storedSource {
	stored := storedSource{
		Name:       report.Source,
		Version:    report.Version,
		LastSeenMS: report.LastSeen.Milliseconds(),
	}
	for i := range report.Endpoints {
		stored.Endpoints = append(stored.Endpoints, storeEndpoint(&report.Endpoints[i]))
	}
	return stored
}

func storeEndpoint(endpoint *membership.Endpoint) storedEndpoint {
	return storedEndpoint{
		ID:          endpoint.ID,
		Address:     endpoint.Address,
		Zone:        endpoint.Zone,
		Kind:        endpoint.Kind,
		Cell:        endpoint.Cell,
		Weight:      endpoint.Weight,
		StartedAtMS: endpoint.StartedAt.Milliseconds(),
		Incarnation: endpoint.Incarnation,
		State:       endpoint.State.String(),
	}
}

func (s *storedSource) load() (membership.SourceReport, error) {
	report := membership.SourceReport{
		Source:   s.Name,
		Version:  s.Version,
		LastSeen: milliseconds(s.LastSeenMS),
	}
	for i := range s.Endpoints {
		endpoint, err := s.Endpoints[i].load()
		if err != nil {
			return membership.SourceReport{}, err
		}
		report.Endpoints = append(report.Endpoints, endpoint)
	}
	return report, nil
}

func (e *storedEndpoint) load() (membership.Endpoint, error) {
	state, err := e.loadState()
	if err != nil {
		return membership.Endpoint{}, err
	}
	return membership.Endpoint{
		ID:          e.ID,
		Address:     e.Address,
		Zone:        e.Zone,
		Kind:        e.Kind,
		Cell:        e.Cell,
		Weight:      e.Weight,
		StartedAt:   milliseconds(e.StartedAtMS),
		Incarnation: e.Incarnation,
		State:       state,
	}, nil
}

// loadState returns the endpoint's state. It also rejects "gone", since membership.Table.Export
// omits endpoints that are gone.
func (e *storedEndpoint) loadState() (membership.State, error) {
	for _, state := range [...]membership.State{membership.Up, membership.Draining} {
		if e.State == state.String() {
			return state, nil
		}
	}
	return membership.Gone, fmt.Errorf("%w: endpoint %.64q has state %.32q, want up or draining",
		ErrInvalid, e.ID, e.State)
}
