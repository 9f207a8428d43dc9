package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// lossStep is one answer of a source whose losses need confirmation, and its expected effect.
type lossStep struct {
	list      List
	published int  // number of published endpoints after it
	refetch   bool // whether it requests another fetch of the source
	notes     []NoteKind
}

func listOf(endpoints ...Endpoint) List { return List{Endpoints: endpoints} }

func confirming(endpoints ...Endpoint) List { return List{Endpoints: endpoints, Confirms: true} }

func incomplete(endpoints ...Endpoint) List { return List{Endpoints: endpoints, Incomplete: true} }

func partOf(endpoints ...Endpoint) List { return List{Endpoints: endpoints, Part: true} }

func TestLoss(t *testing.T) {
	ten := upEndpoints(numberedIDs(10)...)
	gone := func(id string) Endpoint { return testEndpoint(id, Gone) }
	suspected := []NoteKind{LossSuspected}
	confirmed := []NoteKind{LossConfirmed}
	refuted := []NoteKind{LossRefuted}
	initial := lossStep{list: listOf(ten...), published: 10}
	lossOfNine := lossStep{list: listOf(ten[0]), published: 10, refetch: true, notes: suspected}
	for _, c := range []struct {
		name  string
		steps []lossStep
	}{
		{"a small loss is accepted at once", []lossStep{
			initial,
			{list: listOf(ten[:8]...), published: 8},
		}},
		{"a large loss is suspected, then confirmed", []lossStep{
			initial,
			lossOfNine,
			{list: confirming(ten[0]), published: 1, notes: confirmed},
		}},
		{"a large loss is suspected, then refuted", []lossStep{
			initial,
			lossOfNine,
			{list: confirming(ten...), published: 10, notes: refuted},
		}},
		{"the confirming answer lacks fewer", []lossStep{
			initial,
			lossOfNine,
			{list: confirming(ten[:9]...), published: 9, notes: confirmed},
		}},
		{"a repeated answer without Confirms confirms nothing", []lossStep{
			initial,
			lossOfNine,
			{list: listOf(ten[0]), published: 10},
		}},
		{"an empty list is never accepted", []lossStep{
			initial,
			{list: listOf(), published: 10, refetch: true, notes: suspected},
			{list: confirming(), published: 10},
			{list: confirming(), published: 10},
			{list: listOf(ten...), published: 10, notes: refuted},
		}},
		{"endpoints reported as gone are not protected", []lossStep{
			initial,
			{
				list:      listOf(ten[0], gone("1"), testEndpoint("2", Draining)),
				published: 9,
				refetch:   true,
				notes:     suspected,
			},
			{list: listOf(gone("0"), gone("1"), gone("2")), published: 7},
		}},
		{"all endpoints reported as gone, then deregistered", []lossStep{
			{list: listOf(ten[1], ten[2]), published: 2},
			{list: listOf(gone("1"), gone("2"))},
			{list: listOf()},
		}},
		{"an incomplete list loses no endpoints", []lossStep{
			initial,
			{list: incomplete(ten[3]), published: 10},
			{list: incomplete(gone("3")), published: 9},
			{list: listOf(ten...), published: 10},
		}},
		{"a list in parts", []lossStep{
			{list: partOf(ten[:4]...), published: 4},
			{list: partOf(ten[4:]...), published: 10},
			{list: listOf(ten[:9]...), published: 9},
		}},
		{"a duplicate ID counts once", []lossStep{
			{list: listOf(ten[1], ten[1], ten[2]), published: 2, notes: []NoteKind{DuplicateID}},
		}},
	} {
		t.Run(c.name, func(t *testing.T) { runLossSteps(t, c.steps) })
	}
}

func runLossSteps(t *testing.T, steps []lossStep) {
	t.Helper()
	f := newFollower(Config{Sources: []Source{{Name: "consul", ConfirmLosses: true}}, MaxLossShare: 0.3, MinLoss: 2})
	now := start
	for i, step := range steps {
		now += 50 * ms
		f.ReplaceList(now, 0, step.list)
		f.advance(now)
		if len(f.published) != step.published {
			t.Errorf("got %d endpoints after step %d, want %d", len(f.published), i, step.published)
		}
		if refetch := len(f.SourcesToRefetch()) > 0; refetch != step.refetch {
			t.Errorf("step %d: got refetch requested = %v, want the opposite", i, refetch)
		}
		if diff := cmp.Diff(step.notes, f.noteKinds()); diff != "" {
			t.Errorf("step %d: notes (-want +got):\n%s", i, diff)
		}
	}
}

// TestSuspicionRefetches checks that a suspected source is fetched again at a bounded rate until a second answer ends
// the suspicion.
func TestSuspicionRefetches(t *testing.T) {
	f := newFollower(Config{Sources: []Source{{ConfirmLosses: true}}, MaxLossShare: 0.3})
	f.ReplaceList(start, 0, List{Endpoints: upEndpoints(numberedIDs(10)...)})
	f.ReplaceList(start, 0, List{Endpoints: upEndpoints("1")})
	refetches := 0
	for now := start; now < start+3*time.Second; now += 10 * ms {
		f.advance(now)
		refetches += len(f.SourcesToRefetch())
	}
	if refetches != 10 {
		t.Errorf("got %d refetches in 3 s, want 10: one every %v", refetches, DefaultConfirmInterval)
	}
	f.ReplaceList(start+3*time.Second, 0, List{Endpoints: upEndpoints("1"), Confirms: true})
	f.advance(start + time.Minute)
	if len(f.SourcesToRefetch()) > 0 || f.Next() != 0 && f.Next() < start+time.Minute {
		t.Error("the source is still fetched after the suspicion has ended")
	}
}

// TestEmptyListRefetchesOnce checks that an empty list causes one refetch only, since it is never accepted as a loss.
func TestEmptyListRefetchesOnce(t *testing.T) {
	f := newFollower(Config{Sources: []Source{{ConfirmLosses: true}}, MaxLossShare: 0.3})
	f.replace(start, upEndpoints("1", "2")...)
	f.replace(start)
	refetches := 0
	for now := start; now < start+3*time.Second; now += 10 * ms {
		f.advance(now)
		refetches += len(f.SourcesToRefetch())
	}
	if refetches != 1 {
		t.Errorf("got %d refetches in 3 s, want 1", refetches)
	}
}
