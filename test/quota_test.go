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

// TestQuotaRejections: what a team has not agreed to is refused with a wait, and attempts are charged to its budget.
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
			w := newTestbed(t, nil)
			w.addSettings("contracts {\nteam lanes {\n" + c.contract + "\n}\n}")
			w.start()
			client := w.dial()
			for i, want := range c.wants {
				client.send(request(uint64(i+1), c.class, map[string]string{"team": "lanes"}, ""))
				if a := client.mustRead(); a.Error != want || want != "" && a.Fields["later"] == "" {
					t.Errorf("request %d: %+v, want the error %q with a wait", i+1, a, want)
				}
			}
		})
	}
}

// TestUnknownTeamOverDNS: a query goes through the contracts like any other request.
func TestUnknownTeamOverDNS(t *testing.T) {
	w := newTestbed(t, nil)
	w.enableDNS("")
	w.addSettings("contracts {\nteam lanes {\n}\n}")
	w.start()
	s := w.dialDNS("udp")
	for id, c := range []struct{ team, want string }{{"lanes", "NOERROR"}, {"others", "REFUSED"}} {
		s.query(uint16(id), "n0.00000000000000aa.lookup."+c.team, dns.TypeA)
		if a := s.mustRead(); a.Rcode != c.want {
			t.Errorf("team %s: %+v, want %s", c.team, a, c.want)
		}
	}
}

// TestNoisyTeamBesideQuietTeam is the first hard case: one team sends three times its budget while all that is contracted is nine
// tenths of what the boxes can do. The quiet team's on-time share is within 5% of what it has alone, and every refusal of the
// other names the budget.
func TestNoisyTeamBesideQuietTeam(t *testing.T) {
	t.Parallel()
	places := make(chan struct{}, 10) // each request takes 40 ms: 250 a second
	w := newTestbed(t, func(a *receivedRequest) {
		places <- struct{}{}
		time.Sleep(40 * time.Millisecond)
		<-places
		a.Answer("ACK", "tag=t1", "done")
	})
	w.addSettings("contracts {\nrequests 225/s\nburst 100ms\nadaptive {\nstart 12\nleast 10\nmost 14\n}\nteam quiet {\nrequests 90/s\nburst 500ms\n}\nteam loud {\nrequests 110/s 130/s\nburst 50ms\n}\n}")
	w.start()
	alone, beside, loud := &loadGenerator{team: "quiet"}, &loadGenerator{team: "quiet"}, &loadGenerator{team: "loud"}
	alone.send(w, 60, 2*time.Second, "000a")
	done := make(chan struct{})
	go func() {
		defer close(done)
		(&loadGenerator{team: "loud"}).send(w, 100, time.Second, "000d") // within its budget: the boxes and the module know the load
		loud.send(w, 390, 3*time.Second, "000b")
	}()
	beside.send(w, 60, 4*time.Second, "000c")
	<-done
	solo, share := float64(alone.onTime)/float64(alone.sent), float64(beside.onTime)/float64(beside.sent)
	t.Logf("quiet: on time %.3f alone, %.3f beside; loud: %d sent, %d served, refused by %v", solo, share, loud.sent, loud.served, loud.budgets)
	if share < 0.95*solo {
		t.Errorf("the quiet team's on-time share is %.3f beside the loud one, %.3f alone", share, solo)
	}
	if loud.rejected == 0 || len(loud.withoutBudget) > 0 || loud.duplicates+alone.duplicates+beside.duplicates > 0 {
		t.Errorf("refused %d, without a budget %d: %v; answered twice %d", loud.rejected, len(loud.withoutBudget), loud.withoutBudget, loud.duplicates)
	}
	for budget := range loud.budgets {
		if !strings.HasPrefix(budget, "loud ") && !strings.HasPrefix(budget, "installation ") {
			t.Errorf("the loud team was refused by the budget %q", budget)
		}
	}
}

// TestQuotaReloadUnderLoad is the second hard case: the contracts change ten times while 500 requests are open, once to nothing. Each
// is answered once, and then as many may be open as before.
func TestQuotaReloadUnderLoad(t *testing.T) {
	t.Parallel()
	held := make(chan *receivedRequest, 2000)
	w := newTestbed(t, func(a *receivedRequest) { held <- a })
	w.addSettings("contracts {\nteam lanes {\nopen 500\n}\n}")
	path := w.settingsPath
	w.start()
	crowd := w.openMany(held, "lookup", map[string]string{"team": "lanes"})
	for i := range 10 {
		text := fmt.Sprintf("contracts {\nteam lanes {\nopen %d\nrequests %d/s\n}\n}", 400+30*i, 1000+i)
		if i == 5 {
			text = "contracts {\n}"
		}
		if i == 9 {
			text = "contracts {\nteam lanes {\nopen 500\n}\n}"
		}
		w.settingsPath, w.flags = "", nil
		w.addSettings(text)
		replaceFile(t, w.settingsPath, path)
		w.signal(syscall.SIGHUP)
		w.waitUntil("the contracts are renewed", func() bool { return strings.Count(w.log.String(), "event=contracts-reloaded") == i+1 })
	}
	probe := w.dial()
	probe.send(request(1, "lookup", map[string]string{"team": "lanes", "txn": "00000000000000aa"}, ""))
	if a := probe.mustRead(); a.Fields["budget"] != "lanes open" {
		t.Errorf("with 500 open of 500: %+v", a)
	}
	crowd.answerAll()
	w.setResponder(nil)
	probe.send(request(2, "lookup", map[string]string{"team": "lanes", "txn": "00000000000000ab"}, ""))
	if a := probe.mustRead(); a.Error != "" {
		t.Errorf("once all have ended: %+v", a)
	}
}

// TestRetryBudgetBoundsAttempts is the third hard case: the boxes fail two requests in five for a time: with all of them the module itself stops sending. What is written stays under first tries
// times 1.2, where without the budget it is more, and afterwards requests are served at once.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	t.Parallel()
	written := func(conf string) (ratio float64) {
		var failing atomic.Bool
		var count atomic.Int64
		w := newTestbed(t, func(a *receivedRequest) {
			if failing.Load() && count.Add(1)%5 < 2 {
				a.Answer("EIO", "-", "")
				return
			}
			a.Answer("ACK", "tag=t1", "done")
		})
		w.addSettings(conf)
		w.start()
		s := &loadGenerator{team: "lanes"}
		s.send(w, 200, 500*time.Millisecond, "000a")
		failing.Store(true)
		before := len(w.received(hasWord("ASK")))
		bad := &loadGenerator{team: "lanes"}
		bad.send(w, 200, 2*time.Second, "000b")
		asks := len(w.received(hasWord("ASK"))) - before
		failing.Store(false)
		w.waitUntil("requests are served again", func() bool {
			again := &loadGenerator{team: "lanes"}
			again.send(w, 100, 200*time.Millisecond, fmt.Sprintf("%04x", time.Now().UnixNano()&0xffff))
			return again.served >= 19
		})
		if bad.sent != bad.served+bad.rejected+len(bad.withoutBudget) {
			t.Errorf("of %d requests %d were answered", bad.sent, bad.served+bad.rejected+len(bad.withoutBudget))
		}
		return float64(asks) / float64(bad.sent)
	}
	with := written("contracts {\nretries {\nteam-share 0.1\n}\nteam lanes {\n}\n}")
	without := written("contracts {\nteam lanes {\n}\n}")
	t.Logf("attempts written a request: %.2f with the budget of repeats, %.2f without", with, without)
	if with > 1.2 || without <= 1.2 {
		t.Errorf("attempts written a request: %.2f with the budget of repeats, %.2f without", with, without)
	}
}
