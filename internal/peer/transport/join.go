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
	// takes in one after another, each with all that it knows of the others.
	joinSpreadPerProxy = 3 * time.Millisecond
	minJoinBackoff     = 100 * time.Millisecond
	maxJoinBackoff     = 2 * time.Second
	// maxBackoffDoublings is beyond what takes minJoinBackoff to maxJoinBackoff.
	maxBackoffDoublings = 8
	// earlyJoinPeriod after the start is how long seeds are joined at short backoffs.
	earlyJoinPeriod = 10 * time.Second
	// maxEarlyJoins bounds them: each costs the seed an exchange of all that it knows.
	maxEarlyJoins = 3
	// rejoinInterval is the backoff between joins of seeds that are not in view, so that two halves of a fleet that
	// lost each other meet again. Each backoff is drawn from a quarter to five quarters of its value.
	rejoinInterval = 15 * time.Second

	maxRememberedMembers = 32
	minRememberInterval  = 2 * time.Second
)

// joinSchedule decides which seed is joined next, and how long the backoff after that is. One join is not enough at
// first: proxies that start together after a power cut are each other's seeds, and would be an island beside those that
// stayed alive, even where they are half of the fleet. Later a seed is joined now and then that is not in view.
//
// Invariants: no seed is joined again while another one of the candidates was not tried in the same pass; those of the
// settings come before those remembered, whose addresses may be gone; the backoff grows only from one pass to the next.
type joinSchedule struct {
	joins  int             // seeds that answered
	passes int             // that were begun
	tried  map[string]bool // in this pass
}

// seedView is what a proxy sees of its fleet.
type seedView struct {
	seeds    []string // without its own address
	missing  []string // those of them that no member has
	isHalf   bool     // half of the fleet is in view
	hasPeers bool
}

// next returns the seeds of which one may be joined at a time after the start, and the backoff.
func (s *joinSchedule) next(elapsed time.Duration, view seedView) (candidates []string, backoff time.Duration) {
	early := s.joins < maxEarlyJoins && elapsed < earlyJoinPeriod
	candidates = view.missing
	if early && len(candidates) == 0 && !view.isHalf {
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

// untried returns the candidates that were not tried in this pass.
func (s *joinSchedule) untried(candidates []string) []string {
	return slices.DeleteFunc(slices.Clone(candidates), func(seed string) bool { return s.tried[seed] })
}

// pick returns the candidate to be joined, of those that next returned, and notes that it was tried; "": there is none.
// Of equal ones it is drawn by random, which returns a number below its argument.
func (s *joinSchedule) pick(candidates, configured []string, random func(int) int) string {
	choices := s.untried(candidates)
	isRemembered := func(seed string) bool { return !slices.Contains(configured, seed) }
	if preferred := slices.DeleteFunc(slices.Clone(choices), isRemembered); len(preferred) > 0 {
		choices = preferred
	}
	if len(choices) == 0 {
		return ""
	}
	seed := choices[random(len(choices))]
	s.tried[seed] = true
	return seed
}

// join joins seeds until Close.
func (t *Transport) join() {
	startedAt := time.Now()
	spread := time.Duration(max(1, t.self.FleetSize)) * joinSpreadPerProxy
	if len(t.seeds) == 0 || !t.sleep(randomDuration(spread)) {
		return
	}
	var schedule joinSchedule
	for {
		candidates, backoff := schedule.next(time.Since(startedAt), t.viewSeeds())
		if t.joinOne(schedule.pick(candidates, t.config.Seeds, mathrand.IntN)) {
			schedule.joins++
		}
		// Jitter: proxies that start together do not join the seeds together again.
		if !t.sleep(backoff/4 + randomDuration(backoff)) {
			return
		}
	}
}

// viewSeeds returns what this proxy sees of its fleet now.
func (t *Transport) viewSeeds() seedView {
	seeds := t.otherSeeds()
	return seedView{
		seeds:    seeds,
		missing:  t.notInView(seeds),
		isHalf:   t.isHalfInView(),
		hasPeers: t.list.NumMembers() > 1,
	}
}

func (t *Transport) isHalfInView() bool { return 2*t.list.NumMembers() >= t.self.FleetSize }

// joinOne joins an address, and reports whether it answered; "": there is none to join.
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

// notInView returns the addresses that no member has.
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

// readMembersFile reads the addresses that an earlier incarnation remembered; what can't be used is skipped.
func readMembersFile(path string) []string {
	if path == "" {
		return nil
	}
	var addresses []string
	text, _ := os.ReadFile(path)
	for _, word := range strings.Fields(string(text)) {
		if checkAddress(word) == nil && len(addresses) < maxRememberedMembers {
			addresses = append(addresses, word)
		}
	}
	return addresses
}

// rememberMembers writes addresses of present members, drawn at random so that not all proxies return to the same
// ones.
func (t *Transport) rememberMembers() {
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
	addresses = addresses[:min(len(addresses), maxRememberedMembers)]
	if err := atomicfile.Replace(t.config.MembersFile, []byte(strings.Join(addresses, "\n")+"\n"), 0o600); err != nil {
		t.receiver.Log("peer-transport-failed", "error", err)
	}
}

// randomDuration draws from 0 up to a limit.
func randomDuration(limit time.Duration) time.Duration {
	return time.Duration(mathrand.Int64N(int64(limit)))
}
