package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// loadGenerator sends requests of a team at a rate, without waiting for answers, and counts what comes.
type loadGenerator struct {
	team                           string
	sent, onTime, served, rejected int
	budgets                        map[string]int
	withoutBudget                  []reply
	duplicates                     int
}

// send sends for a time, each request with a limit, and waits for all answers. One connection has at most 32 open, so several
// are used in turn.
func (s *loadGenerator) send(w *testbed, perSecond float64, length time.Duration, prefix string) {
	w.t.Helper()
	if s.budgets == nil {
		s.budgets = map[string]int{}
	}
	const connections = 16
	var mu sync.Mutex
	var wg sync.WaitGroup
	var clients [connections]*client
	var began [connections]map[uint64]time.Time
	for i := range clients {
		clients[i], began[i] = w.dial(), map[uint64]time.Time{}
	}
	n := int(perSecond * length.Seconds())
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := i; k < n; k += connections {
				a, err := clients[i].read()
				if err != nil {
					w.t.Errorf("%s: no answer: %v", s.team, err)
					return
				}
				mu.Lock()
				at, open := began[i][a.ID]
				delete(began[i], a.ID)
				switch took := time.Since(at); {
				case !open:
					s.duplicates++
				case a.Error == "":
					if s.served++; took < 500*time.Millisecond {
						s.onTime++
					}
				case a.Fields["budget"] != "":
					s.rejected++
					s.budgets[a.Fields["budget"]]++
				default:
					s.withoutBudget = append(s.withoutBudget, a)
				}
				mu.Unlock()
			}
		}()
	}
	start := time.Now()
	for k := range n {
		if early := time.Duration(float64(k)/perSecond*1e9) - time.Since(start); early > time.Millisecond {
			time.Sleep(early)
		}
		i := k % connections
		mu.Lock()
		began[i][uint64(k)] = time.Now()
		s.sent++
		mu.Unlock()
		clients[i].send(request(uint64(k), "lookup", map[string]string{"team": s.team, "ram": "1", "limit": "3000",
			"txn": fmt.Sprintf("%s%012x", prefix, k), "item": fmt.Sprintf("%016x", k%997+1)}, ""))
	}
	wg.Wait()
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

// TestContractsCommand: what is over-committed is told with figures, and a running doorman says how its contracts stand.
func TestContractsCommand(t *testing.T) {
	t.Parallel()
	held := make(chan *receivedRequest, 10)
	w := newTestbed(t, func(a *receivedRequest) { held <- a })
	socket := filepath.Join(t.TempDir(), "s")
	w.addSettings("control " + socket + "\ncontracts {\nrequests 100/s\nadaptive {\n}\nteam lanes {\nrequests 60/s 90/s\nopen 7\nfor lookup {\nrequests 50/s\n}\n}\nteam other {\nrequests 50/s\n}\n}")
	run := func(args ...string) (string, error) {
		out, err := exec.Command(program, append([]string{"contracts", "--conf", w.settingsPath}, args...)...).CombinedOutput()
		return string(out), err
	}
	if out, err := run("--check"); err == nil || !strings.Contains(out, "installation requests: 110/s are guaranteed below, of 100/s") {
		t.Errorf("%v: %s", err, out)
	}
	if _, err := run("--show"); err == nil {
		t.Error("a doorman that does not run has answered")
	}
	w.start()
	client := w.dial()
	client.send(request(1, "lookup", map[string]string{"team": "lanes", "limit": "60000"}, ""))
	a := <-held
	out, err := run("--show")
	for _, want := range []string{"version 1, 1 open, 1 of 1 tenants", "capacity 200 open", `lanes +open +- +7 +6 +-`, `installation +requests +100/s`, "lanes has 1 open"} {
		if err != nil || !matches(want, out) {
			t.Errorf("%v, no %q in\n%s", err, want, out)
		}
	}
	if out, err = run("--explain", "lanes", "lookup"); err != nil || !matches(`lanes/lookup +requests +50/s +50/s +(49|50)`, out) || !matches(`lanes +requests +60/s +90/s`, out) {
		t.Errorf("%v: %s", err, out)
	}
	if out, err = run("--explain", "nobody", "lookup"); err != nil || !strings.Contains(out, "refused: no contract for nobody") {
		t.Errorf("%v: %s", err, out)
	}
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v, %v", info.Mode(), err)
	}
	a.Answer("ACK", "tag=t1", "done")
	client.mustRead()
	w.kill()
	w.start() // the socket that a killed doorman left is no hindrance
	if out, err := run("--show"); err != nil || !strings.Contains(out, "version 1, 0 open") {
		t.Errorf("after a kill: %v: %s", err, out)
	}
}
