package drill

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// The random number streams from which plans are drawn.
const (
	planStream = 7
	soakStream = 11
)

// The numbers of fault kinds; they equal the numbers of cases in the switches below.
const (
	planFaultKinds = 9
	soakFaultKinds = 9
)

// soakProxies is the number of proxies in soak and restart plans.
const soakProxies = 8

// planText builds the text of a randomly drawn plan.
type planText struct{ strings.Builder }

func (t *planText) line(format string, values ...any) { fmt.Fprintf(t, format+"\n", values...) }

// parse parses the drawn plan and stores its text in it.
func (t *planText) parse(name string) (*Plan, error) {
	plan, err := Parse(name, []byte(t.String()))
	if err != nil {
		return nil, fmt.Errorf("%w in\n%s", err, t.String())
	}
	plan.Text = t.String()
	return plan, nil
}

// Draw draws a plan at random. Its invariants must hold in any cluster.
func Draw(seed uint64) (*Plan, error) {
	rng := rand.New(rand.NewPCG(seed, planStream))
	text := &planText{}
	text.line("# drawn by the seed %d", seed)
	text.line("plazas %d\ncaches %d\ntrunks %d", 1+rng.IntN(3), 2+rng.IntN(3), 1+rng.IntN(2))
	text.line("rate %d/s\nobjects %d\ncharges %.2f\nlasts 16s", 8+rng.IntN(16), 50+rng.IntN(300), rng.Float64()*0.2)
	text.line("list %s", drawWord(rng, listWatchService, catalogueService))
	text.line("at 0s start doormans")
	for range 2 + rng.IntN(4) {
		drawPlanFault(rng, text)
	}
	text.line("hold answers\nhold repeats\nhold alive\nhold served 0.9 from 2s to 3s")
	return text.parse(fmt.Sprintf("seed %d", seed))
}

// drawPlanFault adds one fault. The order of the random draws must not change: a seed must keep giving the same plan.
func drawPlanFault(rng *rand.Rand, text *planText) {
	drawSelector := func() string {
		return drawWord(rng, "plaza:1", "doormans:0.3", "doorman:1", "boxes", "list", "hub", "clients")
	}
	at := time.Duration(3000+rng.IntN(7000)) * time.Millisecond
	faultDuration := time.Duration(500+rng.IntN(2500)) * time.Millisecond
	switch rng.IntN(planFaultKinds) {
	case 0:
		text.line("at %v cut %s doormans for %v", at, drawSelector(), faultDuration)
	case 1:
		text.line("at %v cut doormans:0.4 %s one-way for %v", at, drawSelector(), faultDuration)
	case 2:
		text.line("at %v delay doormans boxes %dms %dms for %v", at, 5+rng.IntN(60), 1+rng.IntN(60), faultDuration)
	case 3:
		text.line("at %v reset doormans boxes", at)
	case 4:
		text.line("at %v stop doorman:0 for %v", at, faultDuration)
	case 5:
		text.line("at %v kill doormans:0.3\nat %v start doormans:0.3", at, at+faultDuration)
	case 6:
		text.line("at %v die box:c1-1 for %v", at, faultDuration)
	case 7:
		text.line("at %v drain box:c1-2 for %v", at, faultDuration)
	case 8:
		text.line("at %v list %s for %v", at, drawWord(rng, "hang", "refuse"), faultDuration)
	}
}

// DrawSoak draws a random plan in which two or three faults overlap at any time: processes are paused, terminated,
// killed, started and reloaded, endpoints drain, crash and have their connections reset, the list service fails, and
// clients cancel.
func DrawSoak(seed uint64, duration time.Duration) (*Plan, error) {
	rng := rand.New(rand.NewPCG(seed, soakStream))
	text := &planText{}
	text.line("# drawn for a soak by the seed %d", seed)
	text.line("doormans %d\nplazas 2\ncaches 3\ntrunks 2", soakProxies)
	text.line("rate %d/s\nobjects %d\ncharges %.2f\nleaves %.2f\nlasts %v", 10+rng.IntN(20), 50+rng.IntN(300),
		rng.Float64()*0.2, 0.1+rng.Float64()*0.3, duration)
	text.line("list %s", drawWord(rng, listWatchService, catalogueService))
	if rng.IntN(2) == 0 {
		text.line("at 0s clock doormans:0.4 %v", time.Duration(rng.IntN(7200)-3600)*time.Second)
	}
	text.line("at 0s start doormans")
	for at := 2 * time.Second; at < duration-5*time.Second; {
		at += time.Duration(rng.IntN(700)) * time.Millisecond
		drawSoakFault(rng, text, at)
	}
	for _, check := range []string{"answers", "repeats", "ledger", "drains 9s", "alive", "left 0.1s", "deadlines 0.15s",
		"monitors"} {
		text.line("hold %s", check)
	}
	return text.parse(fmt.Sprintf("soak, seed %d", seed))
}

// drawSoakFault adds one fault that begins at a time. The order of the random draws must not change: a seed must keep
// giving the same plan.
func drawSoakFault(rng *rand.Rand, text *planText, at time.Duration) {
	faultDuration := time.Duration(200+rng.IntN(1800)) * time.Millisecond
	proxy := rng.IntN(soakProxies)
	cache := fmt.Sprintf("box:c%d-%d", 1+rng.IntN(2), 1+rng.IntN(3))
	switch rng.IntN(soakFaultKinds) {
	case 0:
		text.line("at %v stop doorman:%d for %v", at, proxy, faultDuration)
	case 1:
		text.line("at %v kill doorman:%d\nat %v start doorman:%d", at, proxy, at+faultDuration/2, proxy)
	case 2:
		text.line("at %v term doorman:%d\nat %v start doorman:%d", at, proxy, at+faultDuration+2*time.Second, proxy)
	case 3:
		text.line("at %v hup doormans:0.5\nat %v hup doormans", at, at+50*time.Millisecond)
	case 4:
		text.line("at %v reset doormans boxes", at)
	case 5:
		text.line("at %v die %s for %v", at, cache, faultDuration)
	case 6:
		text.line("at %v drain %s for %v", at, cache, faultDuration)
	case 7:
		text.line("at %v list %s for %v", at, drawWord(rng, "hang", "refuse"), faultDuration)
	case 8:
		text.line("at %v refuse doormans %s for %v", at, cache, faultDuration)
	}
}

// drawWord returns one of the words at random.
func drawWord(rng *rand.Rand, words ...string) string { return words[rng.IntN(len(words))] }
