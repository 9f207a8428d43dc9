package test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/emulator"
)

// TestRightsOfTokens is the third hard case: a stolen staff token posts charges by both fronts. All are refused with the reason,
// and nothing reaches any box; a lane controller's go through, as its own tenant whatever team it names.
func TestRightsOfTokens(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	k := w.enableIdentity("tenant open {\nright lookup\n}\nunsigned open")
	w.enableDNS("")
	w.start()
	staff, lanes := k.token("terminal-7", "staff", time.Hour), k.token("lane-3", "lanes", time.Hour)
	client := w.dial()
	const many = 2000
	go func() {
		for id := uint64(1); id <= many; id++ {
			_ = client.protocol.Send(request(id, "charge", map[string]string{"token": staff, "team": "lanes", "unique": fmt.Sprint("u", id)}, "post"))
			if id%16 == 0 {
				time.Sleep(time.Millisecond) // no more than 32 may be open
			}
		}
	}()
	for range many {
		if a := client.mustRead(); a.Error != "Denied" || a.Fields["reason"] != "right" {
			t.Fatalf("%+v, want it denied for want of the right", a)
		}
	}
	s := w.dialDNS("udp")
	for id := range uint16(100) {
		s.query(id, fmt.Sprintf("k-%d.n0.00000000000000aa.charge.lanes", id), dns.TypeTXT)
		if a := s.mustRead(); a.Rcode != "REFUSED" || a.Text != "right" {
			t.Fatalf("%+v, want it refused for want of the right", a)
		}
	}
	if asks := w.received(hasWord("ASK")); len(asks) > 0 {
		t.Errorf("%d lines reached a box, the first %+v", len(asks), asks[0])
	}
	for i, c := range []struct{ token, method, err, reason string }{{lanes, "charge", "", ""}, {lanes, "lookup", "", ""}, {staff, "lookup", "", ""}, {"", "lookup", "", ""},
		{"", "charge", "Denied", "right"}, {"junk", "lookup", "Denied", "malformed"}} {
		fields := map[string]string{"unique": fmt.Sprint("x", i)}
		if c.token != "" {
			fields["token"] = c.token
		}
		client.send(request(uint64(9000+i), c.method, fields, ""))
		if a := client.mustRead(); a.Error != c.err || a.Fields["reason"] != c.reason {
			t.Errorf("%s with %.10q: %+v, want %q for %q", c.method, c.token, a, c.err, c.reason)
		}
	}
	log := w.log.String()
	if !strings.Contains(log, "event=audit reason=right subject=terminal-7 tenant=staff key=k1 class=charge") {
		t.Error("the audit does not name the subject")
	}
	if n := strings.Count(log, "subject=terminal-7"); n > 20 {
		t.Errorf("%d audit lines of one subject", n)
	}
	private, err := os.ReadFile(filepath.Join(k.dir, "private", "k1.pem"))
	if err != nil || len(private) < 100 {
		t.Fatal(err)
	}
	if body := strings.Split(string(private), "\n")[1]; strings.Contains(log, body) || strings.Contains(log, staff) {
		t.Error("a key or a token is in the log")
	}
}

// TestTokenExpiresBetweenRetries is the second hard case: the token expires between a charge and its retry. The retry is taken for
// the same subject, and refused for another.
func TestTokenExpiresBetweenRetries(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	k := w.enableIdentity("")
	w.start()
	soon, other := k.token("lane-1", "lanes", 1500*time.Millisecond), k.token("lane-2", "lanes", time.Hour)
	client := w.dial()
	charge := func(id uint64, token, unique string) reply {
		client.send(request(id, "charge", map[string]string{"token": token, "unique": unique}, "post"))
		return client.mustRead()
	}
	if a := charge(1, soon, "u1"); a.Error != "" {
		t.Fatalf("the first try: %+v", a)
	}
	id := uint64(1)
	w.waitUntil("the token has expired", func() bool {
		id++
		client.send(request(id, "lookup", map[string]string{"token": soon}, ""))
		return client.mustRead().Fields["reason"] == "expired"
	})
	if a := charge(1001, soon, "u1"); a.Error != "" {
		t.Errorf("the retry: %+v, want it taken by the first try's authority", a)
	}
	if a := charge(1002, other, "u1"); a.Fields["reason"] != "key-in-use" {
		t.Errorf("another subject with the same key: %+v", a)
	}
	if a := charge(1003, soon, "u2"); a.Fields["reason"] != "expired" {
		t.Errorf("a new charge by the expired token: %+v", a)
	}
	for _, a := range w.received(hasWord("ASK")) {
		if a.Fields["profile"] == "charge" && a.Fields["replay"] != "u1" {
			t.Errorf("a box was sent %+v", a)
		}
	}
}

// TestRevocationUnderLoad is the fourth hard case: a subject is revoked while requests of it are open. What is open ends once, and
// nothing new of it is taken a second later.
func TestRevocationUnderLoad(t *testing.T) {
	t.Parallel()
	held := make(chan *receivedRequest, 600)
	w := newTestbed(t, func(a *receivedRequest) { held <- a })
	k := w.enableIdentity("")
	w.start()
	token := k.token("lane-1", "lanes", time.Hour)
	crowd := w.openMany(held, "charge", map[string]string{"token": token})
	k.must("key", "revoke", "subject", "lane-1")
	began := time.Now()
	probe := w.dial()
	id := uint64(0)
	w.waitUntil("it is revoked", func() bool {
		id++
		probe.send(request(id, "lookup", map[string]string{"token": token, "limit": "300"}, ""))
		return probe.mustRead().Fields["reason"] == "revoked"
	})
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the revocation took %v", took)
	}
	crowd.answerAll()
}

var keyChanges = flag.Int("key-changes", 3, "how many changes of the keys' directory are measured")

// TestRevocationLatency measures how long after a change of the directory it holds in the running doorman. -key-changes sets how
// many.
func TestRevocationLatency(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	k := w.enableIdentity("")
	w.start()
	c := w.dial()
	var took []time.Duration
	id := uint64(0)
	for i := range *keyChanges {
		subject := fmt.Sprint("lane-", i)
		token := k.token(subject, "lanes", time.Hour)
		reason := func() string {
			id++
			c.send(request(id, "lookup", map[string]string{"token": token, "ram": "1"}, ""))
			return c.mustRead().Fields["reason"]
		}
		if got := reason(); got != "" {
			t.Fatalf("at first refused for %s", got)
		}
		k.must("key", "revoke", "subject", subject)
		began := time.Now()
		w.waitUntil("the revocation holds", func() bool { return reason() == "revoked" })
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	t.Logf("%d changes: median %v, worst %v", len(took), took[len(took)/2], took[len(took)-1])
}

// TestTSIGSignedQueries: a charge by DNS needs a key with that right; answers are signed, wrong signatures are refused as the RFC
// says, and the same idempotency key is one subject's.
func TestTSIGSignedQueries(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	k := w.enableIdentity("")
	w.enableDNS("")
	secret := func(name, tenant string) string {
		line := k.must("key", "tsig", name, "--tenant", tenant, "--subject", strings.TrimSuffix(name, "."))
		return line[strings.LastIndex(line, ":")+1:]
	}
	lane, other, staff := secret("lane-3.", "lanes"), secret("lane-4.", "lanes"), secret("terminal-7.", "staff")
	w.start()
	for i, c := range []struct {
		name, key, secret string
		signed            time.Duration // after now
		question          string
		rcode, tsig       int
		text              string
	}{
		{"a charge of a lane", "lane-3.", lane, 0, "k-u1.n0.00000000000000aa.charge._", dns.RcodeSuccess, 0, ""},
		{"the same again", "lane-3.", lane, 0, "k-u1.n0.00000000000000aa.charge._", dns.RcodeSuccess, 0, ""},
		{"another lane with its key", "lane-4.", other, 0, "k-u1.n0.00000000000000aa.charge._", dns.RcodeRefused, 0, "key-in-use"},
		{"a charge of a terminal", "terminal-7.", staff, 0, "k-u2.n0.00000000000000aa.charge._", dns.RcodeRefused, 0, "right"},
		{"what a terminal may", "terminal-7.", staff, 0, "n0.00000000000000aa.lookup._", dns.RcodeSuccess, 0, ""},
		{"unsigned", "", "", 0, "k-u3.n0.00000000000000aa.charge._", dns.RcodeRefused, 0, "unsigned"},
		{"another's secret", "lane-3.", staff, 0, "k-u4.n0.00000000000000aa.charge._", dns.RcodeNotAuth, dns.RcodeBadSig, ""},
		{"an unknown key", "lane-9.", lane, 0, "k-u5.n0.00000000000000aa.charge._", dns.RcodeNotAuth, dns.RcodeBadKey, ""},
		{"an hour ago", "lane-3.", lane, -time.Hour, "k-u6.n0.00000000000000aa.charge._", dns.RcodeNotAuth, dns.RcodeBadTime, ""},
	} {
		for _, network := range []string{"udp", "tcp"} {
			s := w.dialDNS(network)
			m := new(dns.Msg).SetQuestion(c.question+"."+zone, dns.TypeTXT)
			m.Id = uint16(100 + i)
			m.SetEdns0(1232, false)
			packet, mac := []byte(nil), ""
			var err error
			if c.key == "" {
				packet, err = m.Pack()
			} else {
				m.SetTsig(c.key, dns.HmacSHA256, 300, time.Now().Add(c.signed).Unix())
				packet, mac, err = dns.TsigGenerate(m, c.secret, "", false)
			}
			if err == nil {
				_, err = s.conn.Write(packet)
			}
			if err != nil {
				t.Fatal(err)
			}
			raw, err := s.conn.ReadMsgHeader(nil)
			if err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			a := &dns.Msg{}
			if err := a.Unpack(raw); err != nil {
				t.Fatal(err)
			}
			record, text := a.IsTsig(), ""
			for _, o := range a.IsEdns0().Option {
				if e, ok := o.(*dns.EDNS0_EDE); ok {
					text = e.ExtraText
				}
			}
			if a.Rcode != c.rcode || text != c.text || (record != nil) != (c.key != "") || record != nil && int(record.Error) != c.tsig {
				t.Errorf("%s by %s: %s %q with %v", c.name, network, dns.RcodeToString[a.Rcode], text, record)
			}
			if record != nil && c.tsig == 0 {
				if err := dns.TsigVerify(raw, c.secret, mac, false); err != nil {
					t.Errorf("%s by %s: the answer's signature: %v", c.name, network, err)
				}
			}
		}
	}
	charges := w.received(func(a *receivedRequest) bool { return a.Word == "ASK" && a.Fields["profile"] == "charge" })
	if len(charges) != 1 {
		t.Errorf("%d charges reached a box, want the lane's one", len(charges))
	}
	if log := w.log.String(); strings.Contains(log, lane) || strings.Contains(log, staff) {
		t.Error("a secret is in the log")
	}
}

var floodFor = flag.Duration("flood", 300*time.Millisecond, "how long bad tokens are sent, and as long without")

// TestBadTokenFlood is the fifth hard case: one client sends ten thousand distinct bad tokens a second, as its answers come or
// without looking at them and connecting anew when it is closed, and the others' requests are all served. -flood sets for how
// long; the times are told, and not judged here. With and without the flood take turns, so that the machine's own moods weigh
// on both.
func TestBadTokenFlood(t *testing.T) {
	t.Parallel()
	for _, reads := range []bool{true, false} {
		t.Run(map[bool]string{true: "reading", false: "deaf"}[reads], func(t *testing.T) { testBadTokenFlood(t, reads) })
	}
}

func testBadTokenFlood(t *testing.T, reads bool) {
	w := newTestbed(t, nil)
	k := w.enableIdentity("")
	w.start()
	token := k.token("lane-1", "lanes", time.Hour)
	c := w.dial()
	n := 0
	others := func(took *[]time.Duration, least int) {
		for end := time.Now().Add(*floodFor / 8); time.Now().Before(end) || least > 0; time.Sleep(3 * time.Millisecond) {
			n++
			least--
			began := time.Now()
			c.send(request(uint64(n), "lookup", map[string]string{"token": token, "ram": "1", "txn": fmt.Sprintf("%016x", began.UnixNano())}, ""))
			if a := c.mustRead(); a.Error != "" {
				t.Fatalf("one of the others: %+v", a)
			}
			*took = append(*took, time.Since(began))
		}
	}
	var alone, under []time.Duration
	var sent, denied, busy, closed int
	for range 8 {
		others(&alone, 1)
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			var open int
			var flood *emulator.Client
			first, began := sent, time.Now()
			for {
				select {
				case <-stop:
					if flood != nil {
						_ = flood.Conn.Close()
					}
					return
				default:
				}
				if flood == nil {
					var err error
					if flood, err = emulator.Dial(w.address); err != nil {
						t.Errorf("the flood finds no door: %v", err)
						return
					}
					open = 0
				}
				if early := time.Duration(sent-first)*100*time.Microsecond - time.Since(began); early > time.Millisecond {
					time.Sleep(early) // ten thousand a second
				}
				var err error
				for ; err == nil && (open < 16 || !reads && open%16 != 0); open++ {
					sent++
					bad := fmt.Sprintf("%s%08d", token[:len(token)-8], sent)
					err = flood.Send(request(uint64(sent), "charge", map[string]string{"token": bad, "unique": fmt.Sprint("f", sent)}, ""))
				}
				if !reads {
					if open++; err != nil {
						_ = flood.Conn.Close()
						flood, closed = nil, closed+1
					}
					continue
				}
				a, err := flood.Read(waitLimit)
				if err != nil {
					t.Errorf("no answer to a bad token: %v", err)
					return
				}
				open--
				switch {
				case a.Error == "Denied" && a.Fields["reason"] == "signature":
					denied++
				case a.Error == "Overloaded" && a.Fields["later"] != "":
					busy++
				default:
					t.Errorf("a bad token: %+v", a)
					return
				}
			}
		}()
		others(&under, 1)
		if !reads {
			w.waitUntil("the flood is closed", func() bool { return strings.Contains(w.log.String(), "event=client-rate-limited") })
		}
		close(stop)
		<-done
	}
	if reads && (denied == 0 || busy == 0) {
		t.Errorf("of %d bad tokens %d were checked and %d held off", sent, denied, busy)
	}
	if asks := w.received(func(a *receivedRequest) bool { return a.Fields["profile"] == "charge" }); len(asks) > 0 {
		t.Errorf("%d charges reached a box", len(asks))
	}
	p := func(took []time.Duration, q int) time.Duration {
		slices.Sort(took)
		return took[min(len(took)-1, len(took)*q/100)]
	}
	t.Logf("%d bad tokens sent, %d checked, %d closes; others' 50th and 99th percentile %v and %v beside them (%d), %v and %v without (%d)",
		sent, denied, closed, p(under, 50), p(under, 99), len(under), p(alone, 50), p(alone, 99), len(alone))
}
