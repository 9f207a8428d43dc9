package membership

import (
	"testing"
	"time"
)

// TestRestore checks that restored reports count as those of a silent source, and that a list that lacks most of their
// endpoints is suspected.
func TestRestore(t *testing.T) {
	cfg := Config{Sources: []Source{{Name: "consul", ConfirmLosses: true, FirstSeenIsStart: true}}, MaxLossShare: 0.3}
	old := newFollower(cfg)
	endpoints := upEndpoints(numberedIDs(10)...)
	for i := range endpoints {
		endpoints[i].Incarnation = 5
	}
	old.ReplaceList(start, 0, List{Version: 70, Endpoints: endpoints})
	endpoints[3].Incarnation = 6
	endpoints[4].State = Gone
	old.ReplaceList(start+time.Second, 0, List{Version: 71, Endpoints: endpoints})
	f := newFollower(cfg)
	now := start + time.Minute
	if n := f.Restore(now, old.Export()); n != 9 {
		t.Errorf("got %d endpoints restored, want the 9 that were not gone", n)
	}
	f.advance(now)
	if s := f.Sources()[0]; !s.Silent || s.LastSeen != start+time.Second || s.Version != 71 {
		t.Errorf("got source %+v, want it silent, last seen when it last reported, at version 71", s)
	}
	if f.published["3"].StartedAt != start+time.Second || f.published["2"].StartedAt != 0 {
		t.Errorf("got restored starts %v and %v, want that of the second list and 0",
			f.published["3"].StartedAt, f.published["2"].StartedAt)
	}
	f.ReplaceList(now, 0, List{Endpoints: endpoints[:1]})
	if f.advance(now); len(f.published) != 9 || len(f.SourcesToRefetch()) != 1 {
		t.Errorf("got %d endpoints after a list of one, want 9 and one refetch", len(f.published))
	}
	endpoints[4].State = Up
	endpoints[5].Incarnation = 6
	f.ReplaceList(now, 0, List{Endpoints: endpoints})
	f.advance(now)
	for id, want := range map[string]time.Duration{"2": 0, "3": start + time.Second, "4": now, "5": now} {
		if got := f.published[id].StartedAt; got != want {
			t.Errorf("endpoint %s: got start %v, want %v", id, got, want)
		}
	}
}
