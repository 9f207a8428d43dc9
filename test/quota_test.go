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

// TestQuotaRejections checks that requests outside a team's contract are rejected with a Retry-After, and that attempts
// are charged to the team's budget.
func TestQuotaRejections(t *testing.T) {
	for _, c := range []struct {
		name, contract, class string
		wants                 []string // errors of consecutive requests
	}{
		{"class not in the contract", "class lookup", "footage", []string{"Overloaded"}},
		{"request rate exceeded", "requests 0.01/s\nburst 200s", "footage", []string{"", "", "Overloaded"}},
		{"attempt budget exceeded", "attempts 0.01/s", "footage", []string{"", "Overloaded"}},
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
					t.Errorf("request %d: got %+v, want the error %q, and with an error a Retry-After",
						i+1, answer, want)
				}
			}
		})
	}
}

// TestUnknownTeamOverDNS checks that contracts apply to DNS queries as to other requests.
func TestUnknownTeamOverDNS(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.enableDNS("")
	bed.addSettings("contracts {", "team lanes {", "}", "}")
	bed.start()
	resolver := bed.dialDNS("udp")
	for id, c := range []struct{ team, want string }{{"lanes", "NOERROR"}, {"others", "REFUSED"}} {
		resolver.query(uint16(id), "n0.00000000000000aa.lookup."+c.team, dns.TypeA)
		if answer := resolver.mustRead(); answer.Rcode != c.want {
			t.Errorf("team %s: got %+v, want %s", c.team, answer, c.want)
		}
	}
}

// TestNoisyTeamBesideQuietTeam makes one team send three times its budget, while the contracts add up to nine tenths of
// the endpoints' capacity. The quiet team's on-time share must stay within 5% of its share without the other team, and
// every rejection of the noisy team must name the budget.
func TestNoisyTeamBesideQuietTeam(t *testing.T) {
	t.Parallel()
	slots := make(chan struct{}, 10) // each request takes 40 ms: 250 requests/s
	bed := newTestbed(t, func(attempt *receivedRequest) {
		slots <- struct{}{}
		time.Sleep(40 * time.Millisecond)
		<-slots
		answerDone(attempt)
	})
	bed.addSettings("contracts {", "requests 225/s", "burst 100ms",
		"adaptive {", "start 12", "least 10", "most 14", "}",
		"team quiet {", "requests 90/s", "burst 500ms", "}",
		"team noisy {", "requests 110/s 130/s", "burst 50ms", "}", "}")
	bed.start()
	alone, mixed, noisy := &teamLoad{team: "quiet"}, &teamLoad{team: "quiet"}, &teamLoad{team: "noisy"}
	alone.send(bed, 60, 2*time.Second, "000a")
	done := make(chan struct{})
	go func() {
		defer close(done)
		// First within its budget, so that the endpoints and the policy module have seen the load.
		(&teamLoad{team: "noisy"}).send(bed, 100, time.Second, "000d")
		noisy.send(bed, 390, 3*time.Second, "000b")
	}()
	mixed.send(bed, 60, 4*time.Second, "000c")
	<-done
	shareAlone, shareMixed := float64(alone.onTime)/float64(alone.sent), float64(mixed.onTime)/float64(mixed.sent)
	t.Logf("quiet team: on-time share %.3f alone, %.3f with noisy team; noisy team: %d sent, %d served, rejected by %v",
		shareAlone, shareMixed, noisy.sent, noisy.served, noisy.budgets)
	if shareMixed < 0.95*shareAlone {
		t.Errorf("quiet team: got on-time share %.3f with the noisy team, want at least %.3f, 0.95 of that alone",
			shareMixed, 0.95*shareAlone)
	}
	if noisy.rejected == 0 || len(noisy.withoutBudget) > 0 {
		t.Errorf("noisy team: got %d rejections by a budget and %d others: %v, want some and none", noisy.rejected,
			len(noisy.withoutBudget), noisy.withoutBudget)
	}
	if n := noisy.duplicates + alone.duplicates + mixed.duplicates; n > 0 {
		t.Errorf("got %d answers to requests that were not open, want none", n)
	}
	for budget := range noisy.budgets {
		if !strings.HasPrefix(budget, "noisy ") && !strings.HasPrefix(budget, "installation ") {
			t.Errorf("noisy team: rejected by the budget %q, want one of its own or of the installation", budget)
		}
	}
}

// TestQuotaReloadUnderLoad changes the contracts ten times, once to none at all, while 500 requests are open. Each
// request is answered once, and afterwards as many may be open as before.
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
		t.Errorf("with 500 open of 500: got %+v, want it rejected by the budget %q", answer, "lanes open")
	}
	open.answerAll()
	bed.setResponder(nil)
	answer = client.call(2, "lookup", map[string]string{"team": "lanes", "txn": "00000000000000ab"})
	if answer.Error != "" {
		t.Errorf("after all requests have ended: got %+v, want it served", answer)
	}
}

// attemptsPerRequest sends requests while endpoints fail two attempts in five, waits until requests are served again,
// and returns how many attempts were sent per request during the failures.
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
		t.Errorf("answered requests: got %d of %d, want all", answered, load.sent)
	}
	return float64(attempts) / float64(load.sent)
}

// TestRetryBudgetBoundsAttempts makes endpoints fail two attempts in five for a while. They do not fail all, because
// the policy module itself would then stop sending. The proxy must write at most 1.2 attempts per request with a retry
// budget, and more than 1.2 without one. Afterwards requests must be served again.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	t.Parallel()
	with := attemptsPerRequest(t, "contracts {", "retries {", "team-share 0.1", "}", "team lanes {", "}", "}")
	without := attemptsPerRequest(t, "contracts {", "team lanes {", "}", "}")
	t.Logf("attempts per request: %.2f with the retry budget, %.2f without", with, without)
	if with > 1.2 || without <= 1.2 {
		t.Errorf("attempts per request: got %.2f with the retry budget, want at most 1.2; got %.2f without, want more",
			with, without)
	}
}
