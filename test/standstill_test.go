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

// deadlineSlack is by how much the deadline that an endpoint is given may be over what the client has left.
const deadlineSlack = 150 * time.Millisecond

// TestStandstillShortensDeadlines: requests lie unread while the program stands still. Their time has run since they
// were written, so that endpoints are given what is left of it and no more; what has no time left is answered at once.
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
		t.Errorf("the answers took %v, want them at once after %v", took, standstill)
	}
	if answers[1] != "" || answers[2] != "Overloaded" {
		t.Errorf("answers %v, want the first served and the second, whose time was over, rejected", answers)
	}
	for _, attempt := range bed.attempts() {
		given, err := strconv.Atoi(attempt.Fields["max"])
		if err != nil {
			t.Fatal(err)
		}
		limit := 2500 * time.Millisecond
		if attempt.ID == hexID(2) {
			t.Errorf("the request whose time was over was sent with max=%d", given)
			continue
		}
		if maxGiven := limit - standstill + deadlineSlack; time.Duration(given)*time.Millisecond > maxGiven {
			t.Errorf("max=%d after %v of %v, want %v at the most", given, standstill, limit, maxGiven)
		}
	}
}

// TestNewConnectionsCountFromTheirRequests: a client connects and asks while the program stands still, or while accept
// fails. Its time has run since, though the program learns of it late.
func TestNewConnectionsCountFromTheirRequests(t *testing.T) {
	const limit = 2500 * time.Millisecond
	expectGiven := func(t *testing.T, bed *testbed, waited time.Duration) {
		t.Helper()
		for _, attempt := range bed.attempts() {
			given, err := strconv.Atoi(attempt.Fields["max"])
			maxGiven := limit - waited + deadlineSlack
			if err != nil || time.Duration(given)*time.Millisecond > maxGiven {
				t.Errorf("max=%s (%v) after %v of %v, want %v at the most",
					attempt.Fields["max"], err, waited, limit, maxGiven)
			}
		}
	}
	ask := func(bed *testbed) *client {
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
			clients = append(clients, ask(bed))
		}
		const standstill = 800 * time.Millisecond
		time.Sleep(standstill)
		bed.signal(syscall.SIGCONT)
		for _, client := range clients {
			client.mustRead()
		}
		expectGiven(t, bed, standstill)
	})
	t.Run("accept fails", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t, nil)
		failing := filepath.Join(t.TempDir(), "failing")
		bed.startWithFaults("accept4=ENFILE?" + failing)
		writeFile(t, failing, "")
		sent := time.Now()
		client := ask(bed)
		bed.waitLogged("event=accept-failed")
		const outage = 400 * time.Millisecond
		time.Sleep(time.Until(sent.Add(outage)))
		if err := os.Remove(failing); err != nil {
			t.Fatal(err)
		}
		client.mustRead()
		expectGiven(t, bed, outage)
	})
}

// TestStandstillShortensDeadlinesOfQueries guards against DNS queries that count from when they are read: they lay
// unread while the program stood still, by UDP and on an open connection.
func TestStandstillShortensDeadlinesOfQueries(t *testing.T) {
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
				t.Errorf("%+v, want it served", answer)
			}
			attempts := bed.attempts()[before:]
			if len(attempts) == 0 {
				t.Error("nothing was sent to an endpoint")
			}
			for _, attempt := range attempts {
				given, err := strconv.Atoi(attempt.Fields["max"])
				maxGiven := limit - standstill + deadlineSlack
				if err != nil || time.Duration(given)*time.Millisecond > maxGiven {
					t.Errorf("max=%s (%v) after %v of %v, want %v at the most",
						attempt.Fields["max"], err, standstill, limit, maxGiven)
				}
			}
		})
	}
}
