package test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// TestUpstreamTLS: boxes of one site are spoken to by TLS and show a certificate for their own id; those of another site are not.
// What shows another's is sent nothing. Our certificate changes in service and no request fails; a torn one changes nothing.
func TestUpstreamTLS(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("y", 200_000)
	w := newTestbed(t, func(a *receivedRequest) { a.Answer("ACK", "tag=t1", large) })
	ca, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	shown := map[string]int{}
	seen := func(name string) {
		mu.Lock()
		shown[name]++
		mu.Unlock()
	}
	w.serveTLS(ca, "c1", "c1.boxes.test", seen)
	w.serveTLS(ca, "c2", "c1.boxes.test", seen) // an impostor
	dir := t.TempDir()
	cert, key := dir+"/our.pem", dir+"/our.key"
	ours, oursKey, err := ca.Make("doorman-1", "doorman-1.test")
	if err != nil {
		t.Fatal(err)
	}
	replaceFile(t, ours, cert)
	replaceFile(t, oursKey, key)
	w.addSettings("box-tls {\nca " + ca.File + "\ncert " + cert + "\nkey " + key + "\nsuffix .boxes.test\nsite hub {\nplain on\n}\n}")
	w.start()
	client := w.dial()
	var id atomic.Uint64
	ask := func() reply {
		n := id.Add(1)
		client.send(request(n, "footage", map[string]string{"item": fmt.Sprintf("%016x", n)}, ""))
		return client.mustRead()
	}
	for range 30 {
		if a := ask(); a.Error != "" || a.Body != large {
			t.Fatalf("by TLS: error %q, %d bytes", a.Error, len(a.Body))
		}
	}
	byBox := map[string]int{}
	for _, a := range w.received(hasWord("ASK")) {
		byBox[a.Endpoint]++
		if a.Fields["via"] == "c2" {
			t.Error("the impostor is named as a source")
		}
	}
	if byBox["c1"] == 0 || byBox["c2"] > 0 {
		t.Errorf("sent by box: %v, want c1 and not c2, whose certificate is another's", byBox)
	}
	w.waitUntil("the impostor is logged", func() bool {
		return matches(`event=upstream-connect-failed endpoint=c2 .*not c2\.boxes\.test`, w.log.String())
	})
	// A new certificate, under load.
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		load := w.dial()
		for n := uint64(1); ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			load.send(request(n, "footage", map[string]string{"txn": "00000000000f" + strings.Repeat("0", 3) + string("0123456789abcdef"[n%16])}, ""))
			if a := load.mustRead(); a.Error != "" {
				t.Errorf("while certificates change: %+v", a.Error)
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	next, nextKey, err := ca.Make("doorman-2", "doorman-2.test")
	if err != nil {
		t.Fatal(err)
	}
	replaceFile(t, next, cert) // the key is still the old one's: not taken over
	w.waitUntil("what does not fit is refused", func() bool { return strings.Contains(w.log.String(), "event=keys-rejected") })
	replaceFile(t, nextKey, key)
	w.waitUntil("it is taken over", func() bool { return strings.Contains(w.log.String(), "event=tls-reloaded") })
	mu.Lock()
	if shown["doorman-1.test"] == 0 || shown["doorman-2.test"] > 0 {
		t.Errorf("shown by then: %v", shown)
	}
	mu.Unlock()
	close(stop)
	<-done
	w.endpoints.Drop("c1") // connections that stand go on by the old one; new ones show the new
	w.waitUntil("the new certificate is shown", func() bool {
		ask()
		mu.Lock()
		defer mu.Unlock()
		return shown["doorman-2.test"] > 0
	})
}
