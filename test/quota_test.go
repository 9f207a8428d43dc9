package test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// TestQuotaRejections: what a team has not agreed to is rejected with a wait, and attempts are charged to its budget.
func TestQuotaRejections(t *testing.T) {
	for _, c := range []struct {
		name, contract, class string
		wants                 []string // errors of requests in turn
	}{
		{"a class it may not use", "class lookup", "footage", []string{"Overloaded"}},
		{"its rate", "requests 0.01/s\nburst 200s", "footage", []string{"", "", "Overloaded"}},
		{"its budget of attempts", "attempts 0.01/s", "footage", []string{"", "Overloaded"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, nil)
			bed.addSettings("contracts {", "team lanes {", c.contract, "}", "}")
			bed.start()
			client := bed.dial()
			for i, want := range c.wants {
				answer := client.call(uint64(i+1), c.class, map[string]string{"team": "lanes"})
				if answer.Error != want || want != "" && answer.Fields["later"] == "" {
					t.Errorf("request %d: %+v, want the error %q with a wait", i+1, answer, want)
				}
			}
		})
	}
}

// TestUnknownTeamOverDNS: a query goes through the contracts like any other request.
func TestUnknownTeamOverDNS(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.enableDNS("")
	bed.addSettings("contracts {", "team lanes {", "}", "}")
	bed.start()
	resolver := bed.dialDNS("udp")
	for id, c := range []struct{ team, want string }{{"lanes", "NOERROR"}, {"others", "REFUSED"}} {
		resolver.query(uint16(id), "n0.00000000000000aa.lookup."+c.team, dns.TypeA)
		if answer := resolver.mustRead(); answer.Rcode != c.want {
			t.Errorf("team %s: %+v, want %s", c.team, answer, c.want)
		}
	}
}

// TestNoisyTeamBesideQuietTeam: one team sends three times its budget while all that is contracted is nine tenths of
// what the endpoints can do. The quiet team's on-time share is within 5% of what it has alone, and every rejection of
// the other names the budget.
func TestNoisyTeamBesideQuietTeam(t *testing.T) {
	t.Parallel()
	places := make(chan struct{}, 10) // each request takes 40 ms: 250 a second
	bed := newTestbed(t, func(attempt *receivedRequest) {
		places <- struct{}{}
		time.Sleep(40 * time.Millisecond)
		<-places
		answerDone(attempt)
	})
	bed.addSettings("contracts {", "requests 225/s", "burst 100ms",
		"adaptive {", "start 12", "least 10", "most 14", "}",
		"team quiet {", "requests 90/s", "burst 500ms", "}",
		"team loud {", "requests 110/s 130/s", "burst 50ms", "}", "}")
	bed.start()
	alone, beside, loud := &teamLoad{team: "quiet"}, &teamLoad{team: "quiet"}, &teamLoad{team: "loud"}
	alone.send(bed, 60, 2*time.Second, "000a")
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Within its budget: the endpoints and the module know the load.
		(&teamLoad{team: "loud"}).send(bed, 100, time.Second, "000d")
		loud.send(bed, 390, 3*time.Second, "000b")
	}()
	beside.send(bed, 60, 4*time.Second, "000c")
	<-done
	solo, share := float64(alone.onTime)/float64(alone.sent), float64(beside.onTime)/float64(beside.sent)
	t.Logf("quiet: on time %.3f alone, %.3f beside; loud: %d sent, %d served, rejected by %v",
		solo, share, loud.sent, loud.served, loud.budgets)
	if share < 0.95*solo {
		t.Errorf("the quiet team's on-time share is %.3f beside the loud one, want at least %.3f, 0.95 of that alone",
			share, 0.95*solo)
	}
	if loud.rejected == 0 || len(loud.withoutBudget) > 0 {
		t.Errorf("%d rejected by a budget, %d otherwise: %v, want some and none", loud.rejected,
			len(loud.withoutBudget), loud.withoutBudget)
	}
	if n := loud.duplicates + alone.duplicates + beside.duplicates; n > 0 {
		t.Errorf("%d answers to nothing that was open, want none", n)
	}
	for budget := range loud.budgets {
		if !strings.HasPrefix(budget, "loud ") && !strings.HasPrefix(budget, "installation ") {
			t.Errorf("the loud team was rejected by the budget %q, want one of its own or the installation's", budget)
		}
	}
}

// TestQuotaReloadUnderLoad: the contracts change ten times while 500 requests are open, once to nothing. Each is
// answered once, and then as many may be open as before.
func TestQuotaReloadUnderLoad(t *testing.T) {
	t.Parallel()
	const before = "contracts {\nteam lanes {\nopen 500\n}\n}\n"
	pending := make(chan *receivedRequest, 2000)
	bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
	bed.addSettings(before)
	bed.start()
	open := bed.sendOpenRequests(pending, "lookup", map[string]string{"team": "lanes"})
	for i := range 10 {
		text := fmt.Sprintf("contracts {\nteam lanes {\nopen %d\nrequests %d/s\n}\n}\n", 400+30*i, 1000+i)
		switch i {
		case 5:
			text = "contracts {\n}\n"
		case 9:
			text = before
		}
		next := bed.settingsPath + ".next"
		writeFile(t, next, text)
		replaceFile(t, next, bed.settingsPath)
		bed.signal(syscall.SIGHUP)
		bed.waitLoggedTimes("event=contracts-reloaded", i+1)
	}
	client := bed.dial()
	answer := client.call(1, "lookup", map[string]string{"team": "lanes", "txn": "00000000000000aa"})
	if answer.Fields["budget"] != "lanes open" {
		t.Errorf("with 500 open of 500: %+v, want it rejected by the budget %q", answer, "lanes open")
	}
	open.answerAll()
	bed.setResponder(nil)
	answer = client.call(2, "lookup", map[string]string{"team": "lanes", "txn": "00000000000000ab"})
	if answer.Error != "" {
		t.Errorf("once all have ended: %+v, want it served", answer)
	}
}

// attemptsPerRequest sends requests while endpoints fail two attempts in five, and gives how many attempts went out
// for each; then it waits until requests are served again.
func attemptsPerRequest(t *testing.T, settings ...string) float64 {
	t.Helper()
	var failing atomic.Bool
	var count atomic.Int64
	bed := newTestbed(t, func(attempt *receivedRequest) {
		if failing.Load() && count.Add(1)%5 < 2 {
			attempt.Answer("EIO", "-", "")
			return
		}
		answerDone(attempt)
	})
	bed.addSettings(settings...)
	bed.start()
	(&teamLoad{team: "lanes"}).send(bed, 200, 500*time.Millisecond, "000a")
	failing.Store(true)
	before := len(bed.attempts())
	load := &teamLoad{team: "lanes"}
	load.send(bed, 200, 2*time.Second, "000b")
	attempts := len(bed.attempts()) - before
	failing.Store(false)
	bed.waitUntil("requests are served again", func() bool {
		again := &teamLoad{team: "lanes"}
		again.send(bed, 100, 200*time.Millisecond, fmt.Sprintf("%04x", time.Now().UnixNano()&0xffff))
		return again.served >= 19
	})
	if answered := load.served + load.rejected + len(load.withoutBudget); answered != load.sent {
		t.Errorf("%d of %d requests were answered, want all", answered, load.sent)
	}
	return float64(attempts) / float64(load.sent)
}

// TestRetryBudgetBoundsAttempts: endpoints fail two attempts in five for a time; if they failed all, the module
// itself would stop sending. What is written stays under the requests times 1.2, where without the budget it is more,
// and afterwards requests are served at once.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	t.Parallel()
	with := attemptsPerRequest(t, "contracts {", "retries {", "team-share 0.1", "}", "team lanes {", "}", "}")
	without := attemptsPerRequest(t, "contracts {", "team lanes {", "}", "}")
	t.Logf("attempts written a request: %.2f with the retry budget, %.2f without", with, without)
	if with > 1.2 || without <= 1.2 {
		t.Errorf("attempts written a request: %.2f with the retry budget, want at most 1.2; %.2f without, want more",
			with, without)
	}
}
