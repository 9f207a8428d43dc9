package transport

import (
	mathrand "math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"sloequay/internal/atomicfile"
)

const (
	// joinSpreadPerProxy is what each proxy of the fleet adds to the time over which first joins are spread: a seed
	// serves one join after another, each with an exchange of its full state.
	joinSpreadPerProxy = 3 * time.Millisecond
	minJoinBackoff     = 100 * time.Millisecond
	maxJoinBackoff     = 2 * time.Second
	// maxBackoffDoublings bounds the doublings of minJoinBackoff. It is more than maxJoinBackoff needs.
	maxBackoffDoublings = 8
	// earlyJoinPeriod is how long after the start seeds are joined at short backoffs.
	earlyJoinPeriod = 10 * time.Second
	// maxEarlyJoins bounds these joins, since each costs the seed an exchange of its full state.
	maxEarlyJoins = 3
	// rejoinInterval is the backoff between later joins of seeds that are not in view, so that the parts of a
	// partitioned fleet find each other again. The time waited is drawn from a quarter to five quarters of a backoff.
	rejoinInterval = 15 * time.Second

	maxSavedMembers = 32
	minSaveInterval = 2 * time.Second
)

// joinSchedule decides which seed is joined next, and the backoff after it. A single join at the start is not enough:
// proxies that start together after a power failure are each other's seeds, and would form a cluster separate from the
// members that stayed alive, even if they are half of the fleet. Later, a seed that is not in view is joined from
// time to time.
//
// Invariants: no seed is joined again while another candidate is untried in the same pass; configured seeds come before
// those from the members file, whose addresses may be out of date; the backoff grows only from one pass to the next.
type joinSchedule struct {
	joins  int             // joins that succeeded
	passes int             // over the candidates, with the current one
	tried  map[string]bool // seeds tried in this pass
}

// seedView is what a proxy knows about its seeds and its fleet when it chooses a seed.
type seedView struct {
	seeds        []string // without its own address
	missing      []string // seeds whose address no member in view has
	isHalfInView bool     // at least half of the fleet is in view
	hasPeers     bool
}

// next returns the seeds of which one may be joined, and the backoff after that join, given the time since the start.
func (s *joinSchedule) next(elapsed time.Duration, view seedView) (candidates []string, backoff time.Duration) {
	early := s.joins < maxEarlyJoins && elapsed < earlyJoinPeriod
	candidates = view.missing
	if early && len(candidates) == 0 && !view.isHalfInView {
		candidates = view.seeds
	}
	if s.tried == nil || len(s.untried(candidates)) == 0 {
		s.tried = map[string]bool{}
		s.passes++
	}
	if !early && view.hasPeers {
		return candidates, rejoinInterval
	}
	return candidates, min(maxJoinBackoff, minJoinBackoff<<min(s.passes, maxBackoffDoublings))
}

// untried returns the candidates that have not been tried in this pass.
func (s *joinSchedule) untried(candidates []string) []string {
	return slices.DeleteFunc(slices.Clone(candidates), func(seed string) bool { return s.tried[seed] })
}

// pick returns one of the candidates that next returned and marks it as tried, or returns "" if there are none. It
// prefers configured seeds, and draws one of several by random, which returns a number from 0 to below its argument.
func (s *joinSchedule) pick(candidates, configured []string, random func(int) int) string {
	choices := s.untried(candidates)
	isSaved := func(seed string) bool { return !slices.Contains(configured, seed) }
	if preferred := slices.DeleteFunc(slices.Clone(choices), isSaved); len(preferred) > 0 {
		choices = preferred
	}
	if len(choices) == 0 {
		return ""
	}
	seed := choices[random(len(choices))]
	s.tried[seed] = true
	return seed
}

// join joins seeds as scheduled until Close, or returns at once if there are none.
func (t *Transport) join() {
	startedAt := time.Now()
	spread := time.Duration(max(1, t.self.FleetSize)) * joinSpreadPerProxy
	if len(t.seeds) == 0 || !t.sleep(randomDuration(spread)) {
		return
	}
	var schedule joinSchedule
	for {
		candidates, backoff := schedule.next(time.Since(startedAt), t.currentSeedView())
		if t.joinOne(schedule.pick(candidates, t.config.Seeds, mathrand.IntN)) {
			schedule.joins++
		}
		// Jitter, so that proxies that started together do not join the seeds at the same times again.
		if !t.sleep(backoff/4 + randomDuration(backoff)) {
			return
		}
	}
}

// currentSeedView returns what this proxy knows now.
func (t *Transport) currentSeedView() seedView {
	seeds := t.otherSeeds()
	return seedView{
		seeds:        seeds,
		missing:      t.notInView(seeds),
		isHalfInView: t.isHalfInView(),
		hasPeers:     t.list.NumMembers() > 1,
	}
}

func (t *Transport) isHalfInView() bool { return 2*t.list.NumMembers() >= t.self.FleetSize }

// joinOne joins the member at an address, and reports whether that succeeded. An empty address means no member.
func (t *Transport) joinOne(address string) bool {
	if address == "" {
		return false
	}
	joined, _ := t.list.Join([]string{address})
	return joined > 0
}

// otherSeeds returns the seeds without this proxy's own address.
func (t *Transport) otherSeeds() []string {
	var others []string
	for _, seed := range t.seeds {
		if seed != t.config.Advertise && seed != t.config.Listen {
			others = append(others, seed)
		}
	}
	return others
}

// notInView returns the addresses that no member in view has.
func (t *Transport) notInView(addresses []string) []string {
	inView := map[string]bool{}
	for _, member := range t.list.Members() {
		inView[member.Address()] = true
	}
	var missing []string
	for _, address := range addresses {
		if !inView[address] {
			missing = append(missing, address)
		}
	}
	return missing
}

// readMembersFile reads at most maxSavedMembers addresses that an earlier incarnation saved, and skips invalid ones.
func readMembersFile(path string) []string {
	if path == "" {
		return nil
	}
	var addresses []string
	text, _ := os.ReadFile(path)
	for _, word := range strings.Fields(string(text)) {
		if checkAddress(word) == nil && len(addresses) < maxSavedMembers {
			addresses = append(addresses, word)
		}
	}
	return addresses
}

// saveMembers writes addresses of current members to the members file. They are drawn at random, so that not all
// proxies join the same members after a restart.
func (t *Transport) saveMembers() {
	var addresses []string
	for _, member := range t.list.Members() {
		if member.Name != t.self.Name {
			addresses = append(addresses, member.Address())
		}
	}
	if len(addresses) == 0 {
		return
	}
	mathrand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxSavedMembers)]
	if err := atomicfile.Replace(t.config.MembersFile, []byte(strings.Join(addresses, "\n")+"\n"), 0o600); err != nil {
		t.receiver.Log("peer-transport-failed", "error", err)
	}
}

// randomDuration returns a random duration from 0 to below the limit.
func randomDuration(limit time.Duration) time.Duration {
	return time.Duration(mathrand.Int64N(int64(limit)))
}
