package test

import (
	"strconv"
	"syscall"
	"testing"
	"time"
)

// deadlineSlack is by how much the deadline that an endpoint is given may be over what the client has left.
const deadlineSlack = 150 * time.Millisecond

// TestStandstillShortensDeadlines: requests lie unread while the program stands still. Their time has run since they
// were written, so that endpoints are given what is left of it and no more; what has no time left is answered at once.
func TestStandstillShortensDeadlines(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	w.start()
	client := w.dial()
	client.awaitRound(9)
	w.standStill()
	sent := time.Now()
	client.send(request(1, "lookup", map[string]string{"limit": "2500"}, ""))
	client.send(request(2, "lookup", map[string]string{"limit": "300"}, ""))
	const standstill = 800 * time.Millisecond
	time.Sleep(standstill)
	w.signal(syscall.SIGCONT)
	answers := map[uint64]string{}
	for range 2 {
		a := client.mustRead()
		answers[a.ID] = a.Error
	}
	if took := time.Since(sent); took > 2*time.Second {
		t.Errorf("the answers took %v, want them at once after %v", took, standstill)
	}
	if answers[1] != "" || answers[2] != "Overloaded" {
		t.Errorf("answers %v, want the first served and the second, whose time was over, rejected", answers)
	}
	for _, a := range w.attempts() {
		given, err := strconv.Atoi(a.Fields["max"])
		if err != nil {
			t.Fatal(err)
		}
		limit := 2500 * time.Millisecond
		if a.ID == hexID(2) {
			t.Errorf("the request whose time was over was sent with max=%d", given)
			continue
		}
		if most := limit - standstill + deadlineSlack; time.Duration(given)*time.Millisecond > most {
			t.Errorf("max=%d after %v of %v, want %v at the most", given, standstill, limit, most)
		}
	}
}
