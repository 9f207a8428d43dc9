package test

import (
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// deadlineSlack is how much the deadline that an endpoint receives may exceed the time that the client has left.
const deadlineSlack = 150 * time.Millisecond

// TestStandstillShortensDeadlines sends requests while the program stands still. Their time runs from when they were
// sent: endpoints must receive only what is left of it, and a request without time left must be answered at once.
func TestStandstillShortensDeadlines(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.start()
	client := bed.dial()
	client.waitRequestsRead(9)
	bed.suspend()
	sent := time.Now()
	client.send(request(1, "lookup", map[string]string{"limit": "2500"}, ""))
	client.send(request(2, "lookup", map[string]string{"limit": "300"}, ""))
	const standstill = 800 * time.Millisecond
	time.Sleep(standstill)
	bed.signal(syscall.SIGCONT)
	answers := map[uint64]string{}
	for range 2 {
		answer := client.mustRead()
		answers[answer.ID] = answer.Error
	}
	if took := time.Since(sent); took > 2*time.Second {
		t.Errorf("the answers took %v, want them at once after a standstill of %v", took, standstill)
	}
	if answers[1] != "" || answers[2] != "Overloaded" {
		t.Errorf("errors by request: got %v, want 1 served and 2, whose time was over, rejected", answers)
	}
	for _, attempt := range bed.attempts() {
		deadline, err := strconv.Atoi(attempt.Fields["max"])
		if err != nil {
			t.Fatal(err)
		}
		limit := 2500 * time.Millisecond
		if attempt.ID == hexID(2) {
			t.Errorf("the request whose time was over was sent with max=%d, want it not sent", deadline)
			continue
		}
		if maxDeadline := limit - standstill + deadlineSlack; time.Duration(deadline)*time.Millisecond > maxDeadline {
			t.Errorf("deadline: got max=%d after %v of %v, want at most %v", deadline, standstill, limit, maxDeadline)
		}
	}
}

// TestWaitBeforeAcceptShortensDeadlines makes clients connect and send requests while the program stands still, or
// while accept fails. The time of the requests must run from when they were sent, although the program accepts them
// later.
func TestWaitBeforeAcceptShortensDeadlines(t *testing.T) {
	const limit = 2500 * time.Millisecond
	expectDeadlines := func(t *testing.T, bed *testbed, waited time.Duration) {
		t.Helper()
		for _, attempt := range bed.attempts() {
			deadline, err := strconv.Atoi(attempt.Fields["max"])
			maxDeadline := limit - waited + deadlineSlack
			if err != nil || time.Duration(deadline)*time.Millisecond > maxDeadline {
				t.Errorf("deadline: got max=%s (%v) after %v of %v, want at most %v",
					attempt.Fields["max"], err, waited, limit, maxDeadline)
			}
		}
	}
	sendLookup := func(bed *testbed) *client {
		client := bed.dial()
		client.send(request(1, "lookup", map[string]string{"limit": strconv.Itoa(int(limit.Milliseconds()))}, ""))
		return client
	}
	t.Run("standstill", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t, nil)
		bed.start()
		bed.suspend()
		var clients []*client
		for range 20 {
			clients = append(clients, sendLookup(bed))
		}
		const standstill = 800 * time.Millisecond
		time.Sleep(standstill)
		bed.signal(syscall.SIGCONT)
		for _, client := range clients {
			client.mustRead()
		}
		expectDeadlines(t, bed, standstill)
	})
	t.Run("accept fails", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t, nil)
		failing := filepath.Join(t.TempDir(), "failing")
		bed.startWithFaults("accept4=ENFILE?" + failing)
		writeFile(t, failing, "")
		sent := time.Now()
		client := sendLookup(bed)
		bed.waitLogged("event=accept-failed")
		const outage = 400 * time.Millisecond
		time.Sleep(time.Until(sent.Add(outage)))
		if err := os.Remove(failing); err != nil {
			t.Fatal(err)
		}
		client.mustRead()
		expectDeadlines(t, bed, outage)
	})
}

// TestStandstillShortensDNSDeadlines guards against a DNS query whose time starts only when the program reads it after
// a standstill. It covers UDP and an open TCP connection.
func TestStandstillShortensDNSDeadlines(t *testing.T) {
	for _, network := range []string{"udp", "tcp"} {
		t.Run(network, func(t *testing.T) {
			t.Parallel()
			const limit, standstill = 2 * time.Second, 800 * time.Millisecond
			bed := newTestbed(t, nil)
			bed.enableDNS("limit 2s")
			bed.start()
			client := bed.dialDNS(network)
			client.query(1, "n0.00000000000000aa.lookup._", dns.TypeA)
			client.mustRead()
			before := len(bed.attempts())
			bed.suspend()
			client.query(2, "n0.00000000000000bb.lookup._", dns.TypeA)
			time.Sleep(standstill)
			bed.signal(syscall.SIGCONT)
			if answer := client.mustRead(); answer.Rcode != "NOERROR" {
				t.Errorf("answer: got %+v, want it served", answer)
			}
			attempts := bed.attempts()[before:]
			if len(attempts) == 0 {
				t.Error("got no attempts, want at least one")
			}
			for _, attempt := range attempts {
				deadline, err := strconv.Atoi(attempt.Fields["max"])
				maxDeadline := limit - standstill + deadlineSlack
				if err != nil || time.Duration(deadline)*time.Millisecond > maxDeadline {
					t.Errorf("deadline: got max=%s (%v) after %v of %v, want at most %v",
						attempt.Fields["max"], err, standstill, limit, maxDeadline)
				}
			}
		})
	}
}
