package test

import (
	"testing"
)

// TestSurvivesFailedAccepts: accept fails in each documented way for a moment, before the first client and between
// later ones. The program goes on, and clients that connected meanwhile are served.
func TestSurvivesFailedAccepts(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	w.startWithFaults("accept4=ENFILE@1-2,accept4=ENOBUFS@4-5,accept4=ECONNABORTED@7-8,accept4=ENOMEM@10-10," +
		"accept4=EPROTO@12-12,accept4=ENETUNREACH@14-14,accept4=EMFILE@16-18")
	for range 12 {
		client := w.dial()
		if a := client.ask(5, "footage", nil); a.Error != "" || a.Body != "7f3a9c21e0b4d655" {
			t.Fatalf("answer %+v, want the body served", a)
		}
	}
	w.expectRunning()
}
