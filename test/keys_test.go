package test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestKeyCommands tries the steps of the run-book, each as an operator would.
func TestKeyCommands(t *testing.T) {
	t.Parallel()
	k := keyring{t, filepath.Join(t.TempDir(), "keys")}
	k.must("key", "new", "--id", "a")
	if out, err := k.run("key", "new"); err == nil || !strings.Contains(out, "rotate") {
		t.Errorf("a second first key: %s", out)
	}
	token := k.token("s1", "staff", time.Hour)
	if out := k.must("token", "verify", token, "--audience", "doorman"); !strings.HasPrefix(out, "good: subject s1 of tenant staff, by key a") {
		t.Error(out)
	}
	if out := k.must("token", "show", token); !strings.Contains(out, `"tenant": "staff"`) || !strings.Contains(out, `"kid": "a"`) {
		t.Error(out)
	}
	if out, err := k.run("token", "verify", token, "--audience", "other"); err == nil || !strings.Contains(out, "refused: audience") {
		t.Errorf("for another audience: %s", out)
	}
	if out := k.must("key", "rotate", "--id", "b", "--algorithm", "ES256"); !matches("b +ES256 +coming", out) || !matches("a +EdDSA +signing", out) {
		t.Error(out)
	}
	k.must("key", "revoke", "token", "t123", "--for", "1h")
	k.must("key", "retire", "a")
	if out, err := k.run("token", "verify", token); err == nil || !strings.Contains(out, "refused: retired") {
		t.Errorf("after its key retired: %s", out)
	}
	if out, err := k.run("token", "sign", "--subject", "x", "--tenant", "y"); err == nil || !strings.Contains(out, "no key signs now") {
		t.Errorf("with no signer: %s", out)
	}
	if out, err := k.run("key", "revoke", "team", "x"); err == nil || !strings.Contains(out, "expected token, subject or key") {
		t.Error(out)
	}
}

// TestKeyRotationUnderLoad is the first hard case: rotations while requests are in flight. No request whose token is good is
// refused, and after the overlap every one of the retired key is, with that reason.
func TestKeyRotationUnderLoad(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	k := w.enableIdentity("")
	w.start()
	first := k.token("lane-1", "lanes", time.Hour)
	var token atomic.Value
	token.Store(first)
	client := w.dial()
	stop, sent := make(chan struct{}), make(chan int, 1)
	go func() {
		tick := time.NewTicker(time.Second / 300)
		defer tick.Stop()
		for id := 1; ; id++ {
			select {
			case <-stop:
				sent <- id - 1
				return
			case <-tick.C:
			}
			_ = client.protocol.Send(request(uint64(id), "charge", map[string]string{"token": token.Load().(string), "unique": fmt.Sprint("u", id), "ram": "1"}, ""))
		}
	}()
	ended := make(chan error, 1)
	go func() {
		total, got := -1, 0
		for got != total {
			if a, err := client.protocol.Read(200 * time.Millisecond); err == nil {
				got++
				if a.Error != "" {
					ended <- fmt.Errorf("request %d: %+v", a.ID, a)
					return
				}
				continue
			}
			select {
			case total = <-sent:
			default:
			}
		}
		ended <- nil
	}()
	const rotations = 3
	for i := range rotations {
		next := fmt.Sprint("k", i+2)
		k.must("key", "rotate", "--id", next, "--publish", "400ms", "--accept", "100ms", "--overlap", "900ms")
		w.waitUntil("the next key signs", func() bool {
			out := k.must("key", "list")
			return matches(next+" +EdDSA +signing", out)
		})
		token.Store(k.token("lane-1", "lanes", time.Hour)) // tokens of the old key are in flight still
		w.waitUntil("the old key is retired", func() bool { return matches(fmt.Sprint("k", i+1)+" +EdDSA +retired", k.must("key", "list")) })
	}
	close(stop)
	if err := <-ended; err != nil {
		t.Errorf("a good request was refused: %v", err)
	}
	client.send(request(1_000_000, "lookup", map[string]string{"token": first}, ""))
	if a := client.mustRead(); a.Error != "Denied" || a.Fields["reason"] != "retired" {
		t.Errorf("%+v, want the retired key's token refused as such", a)
	}
}

// TestUnreadableKeysKeepOldSet is the seventh hard case: the directory vanishes, comes back empty, half-written, and right. Until it is right
// the old set is in force.
func TestUnreadableKeysKeepOldSet(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	k := w.enableIdentity("")
	w.start()
	token := k.token("lane-1", "lanes", time.Hour)
	client := w.dial()
	id := uint64(0)
	taken := func() bool {
		id++
		client.send(request(id, "lookup", map[string]string{"token": token}, ""))
		return client.mustRead().Error == ""
	}
	if !taken() {
		t.Fatal("the token is refused at first")
	}
	sound, err := os.ReadFile(filepath.Join(k.dir, "keys.json"))
	if err != nil {
		t.Fatal(err)
	}
	keysFile, private, away := filepath.Join(k.dir, "keys.json"), filepath.Join(k.dir, "private"), k.dir+".away"
	for _, c := range []struct {
		name   string
		change func() error
		fault  string
	}{
		{"gone", func() error { return os.Rename(k.dir, away) }, "no such file"},
		{"empty", func() error { return os.Mkdir(k.dir, 0o755) }, ""},
		{"half-written", func() error { return os.WriteFile(keysFile, sound[:len(sound)/2], 0o644) }, "not a whole JWK set"},
		{"writable by others", func() error { return errors.Join(os.WriteFile(keysFile, sound, 0o644), os.Chmod(keysFile, 0o666)) }, "lets others write it"},
	} {
		if err := c.change(); err != nil {
			t.Fatal(err)
		}
		if c.fault != "" {
			w.waitUntil(c.name+" is logged", func() bool { return strings.Contains(w.log.String(), c.fault) })
		}
		if !taken() {
			t.Errorf("%s: the old set is not in force", c.name)
		}
	}
	if err := errors.Join(os.Chmod(keysFile, 0o644), os.Rename(filepath.Join(away, "private"), private)); err != nil {
		t.Fatal(err)
	}
	k.must("key", "rotate", "--id", "k9", "--publish", "0s", "--accept", "0s", "--overlap", "1h")
	token = k.token("lane-1", "lanes", time.Hour)
	w.waitUntil("a token of the next key is taken", taken)
}
