package test

import (
	"flag"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/emulator"
)

// TestTokenRights: a stolen staff token posts charges by both fronts. All are rejected with the reason, and
// nothing reaches any endpoint; a lane controller's go through, as its own tenant whatever team it names.
func TestTokenRights(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("tenant open {\nright lookup\n}\nunsigned open")
	bed.enableDNS("")
	bed.start()
	staff, lanes := keys.token("terminal-7", "staff", time.Hour), keys.token("lane-3", "lanes", time.Hour)
	client := bed.dial()
	expectChargesDenied(t, client, staff)
	resolver := bed.dialDNS("udp")
	for id := range uint16(100) {
		resolver.query(id, fmt.Sprintf("k-%d.n0.00000000000000aa.charge.lanes", id), dns.TypeTXT)
		if answer := resolver.mustRead(); answer.Rcode != "REFUSED" || answer.Text != "right" {
			t.Fatalf("%+v, want it rejected for want of the right", answer)
		}
	}
	if attempts := bed.attempts(); len(attempts) > 0 {
		t.Errorf("%d attempts reached endpoints, the first %+v, want none", len(attempts), attempts[0])
	}
	for i, c := range []struct{ token, class, err, reason string }{
		{lanes, "charge", "", ""},
		{lanes, "lookup", "", ""},
		{staff, "lookup", "", ""},
		{"", "lookup", "", ""},
		{"", "charge", "Denied", "right"},
		{"junk", "lookup", "Denied", "malformed"},
	} {
		fields := map[string]string{"unique": fmt.Sprint("x", i)}
		if c.token != "" {
			fields["token"] = c.token
		}
		answer := client.call(uint64(9000+i), c.class, fields)
		if answer.Error != c.err || answer.Fields["reason"] != c.reason {
			t.Errorf("%s with %.10q: %+v, want %q for %q", c.class, c.token, answer, c.err, c.reason)
		}
	}
	if line := "event=audit reason=right subject=terminal-7 tenant=staff key=k1 class=charge"; !bed.logged(line) {
		t.Errorf("%q is not in the log", line)
	}
	if n := bed.timesLogged("subject=terminal-7"); n > 20 {
		t.Errorf("%d audit lines of one subject, want at most 20", n)
	}
	private := readFile(t, filepath.Join(keys.dir, "private", "k1.pem"))
	if len(private) < 100 {
		t.Fatalf("the private key has %d bytes, want at least 100", len(private))
	}
	if body := strings.Split(private, "\n")[1]; bed.logged(body) || bed.logged(staff) {
		t.Error("a key or a token is in the log")
	}
}

// expectChargesDenied posts thousands of charges by a token, and fails unless each is denied for want of the right.
func expectChargesDenied(t *testing.T, client *client, token string) {
	t.Helper()
	const count = 2000
	open := make(chan bool, 32) // no more may be open on a connection
	go func() {
		for id := uint64(1); id <= count; id++ {
			open <- true
			fields := map[string]string{"token": token, "team": "lanes", "unique": fmt.Sprint("u", id)}
			_ = client.protocol.Send(request(id, "charge", fields, "post"))
		}
	}()
	for range count {
		if answer := client.mustRead(); answer.Error != "Denied" || answer.Fields["reason"] != "right" {
			t.Fatalf("%+v, want it denied for want of the right", answer)
		}
		<-open
	}
}

// TestTokenExpiresBetweenRetries: the token expires between a charge and its retry. The retry is taken for the same
// subject, and rejected for another.
func TestTokenExpiresBetweenRetries(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.start()
	short := keys.token("lane-1", "lanes", 1500*time.Millisecond)
	other := keys.token("lane-2", "lanes", time.Hour)
	client := bed.dial()
	charge := func(id uint64, token, key string) reply {
		client.send(request(id, "charge", map[string]string{"token": token, "unique": key}, "post"))
		return client.mustRead()
	}
	if answer := charge(1, short, "u1"); answer.Error != "" {
		t.Fatalf("the first attempt: %+v, want it served", answer)
	}
	id := uint64(1)
	bed.waitUntil("the token has expired", func() bool {
		id++
		return client.call(id, "lookup", map[string]string{"token": short}).Fields["reason"] == "expired"
	})
	if answer := charge(1001, short, "u1"); answer.Error != "" {
		t.Errorf("the retry: %+v, want it taken by the first attempt's authority", answer)
	}
	if answer := charge(1002, other, "u1"); answer.Fields["reason"] != "key-in-use" {
		t.Errorf("another subject with the same key: %+v, want it rejected as key-in-use", answer)
	}
	if answer := charge(1003, short, "u2"); answer.Fields["reason"] != "expired" {
		t.Errorf("a new charge by the expired token: %+v, want it rejected as expired", answer)
	}
	for _, attempt := range bed.attemptsOfClass("charge") {
		if attempt.Word == "ASK" && attempt.Fields["replay"] != "u1" {
			t.Errorf("an endpoint was sent %+v, want charges of the key u1 alone", attempt)
		}
	}
}

// TestRevocationUnderLoad: a subject is revoked while requests of it are open. What is open ends once, and nothing
// new of it is taken a second later.
func TestRevocationUnderLoad(t *testing.T) {
	t.Parallel()
	pending := make(chan *receivedRequest, 600)
	bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
	keys := bed.enableIdentity("")
	bed.start()
	token := keys.token("lane-1", "lanes", time.Hour)
	open := bed.sendOpenRequests(pending, "charge", map[string]string{"token": token})
	keys.mustRun("key", "revoke", "subject", "lane-1")
	began := time.Now()
	client := bed.dial()
	id := uint64(0)
	bed.waitUntil("it is revoked", func() bool {
		id++
		fields := map[string]string{"token": token, "limit": "300"}
		return client.call(id, "lookup", fields).Fields["reason"] == "revoked"
	})
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the revocation took %v, want at most 2 s", took)
	}
	open.answerAll()
}

var keyChangeCount = flag.Int("key-changes", 3, "how many changes of the keys' directory are measured")

// TestRevocationLatency measures how long after a change of the directory it holds in the running proxy. -key-changes
// sets how many.
func TestRevocationLatency(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.start()
	client := bed.dial()
	var took []time.Duration
	id := uint64(0)
	for i := range *keyChangeCount {
		subject := fmt.Sprint("lane-", i)
		token := keys.token(subject, "lanes", time.Hour)
		reason := func() string {
			id++
			return client.call(id, "lookup", map[string]string{"token": token, "ram": "1"}).Fields["reason"]
		}
		if got := reason(); got != "" {
			t.Fatalf("before the revocation: rejected for %q, want it served", got)
		}
		keys.mustRun("key", "revoke", "subject", subject)
		began := time.Now()
		bed.waitUntil("the revocation holds", func() bool { return reason() == "revoked" })
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	t.Logf("%d changes: median %v, worst %v", len(took), took[len(took)/2], took[len(took)-1])
}

// signedQuery is a question that a shared key signs.
type signedQuery struct {
	name, key, secret string        // key: empty: it is not signed
	timeOffset        time.Duration // after now
	question          string
	rcode, tsigError  int
	text              string // of the extended error
}

// exchange sends the query, and gives the answer and whether its signature is right.
func (q *signedQuery) exchange(t *testing.T, client *dnsClient, id uint16) (answer *dns.Msg, signature error) {
	t.Helper()
	message := newDNSQuery(id, q.question, dns.TypeTXT)
	packet, mac := []byte(nil), ""
	var err error
	if q.key == "" {
		packet, err = message.Pack()
	} else {
		message.SetTsig(q.key, dns.HmacSHA256, 300, time.Now().Add(q.timeOffset).Unix())
		packet, mac, err = dns.TsigGenerate(message, q.secret, "", false)
	}
	if err == nil {
		_, err = client.conn.Write(packet)
	}
	if err != nil {
		t.Fatalf("%s: %v", q.name, err)
	}
	raw, err := client.conn.ReadMsgHeader(nil)
	if err != nil {
		t.Fatalf("%s: no answer came: %v", q.name, err)
	}
	answer = &dns.Msg{}
	if err := answer.Unpack(raw); err != nil {
		t.Fatalf("%s: %v", q.name, err)
	}
	return answer, dns.TsigVerify(raw, q.secret, mac, false)
}

// TestTSIGSignedQueries: a charge by DNS needs a key with that right; answers are signed, wrong signatures are
// rejected as the RFC says, and the same idempotency key is one subject's.
func TestTSIGSignedQueries(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.enableDNS("")
	secret := func(name, tenant string) string {
		line := keys.mustRun("key", "tsig", name, "--tenant", tenant, "--subject", strings.TrimSuffix(name, "."))
		return line[strings.LastIndex(line, ":")+1:]
	}
	lane, other, staff := secret("lane-3.", "lanes"), secret("lane-4.", "lanes"), secret("terminal-7.", "staff")
	bed.start()
	charge := func(key string) string { return "k-" + key + ".n0.00000000000000aa.charge._" }
	const lookup = "n0.00000000000000aa.lookup._"
	for i, c := range []signedQuery{
		{"a charge of a lane", "lane-3.", lane, 0, charge("u1"), dns.RcodeSuccess, 0, ""},
		{"the same again", "lane-3.", lane, 0, charge("u1"), dns.RcodeSuccess, 0, ""},
		{"another lane with its key", "lane-4.", other, 0, charge("u1"), dns.RcodeRefused, 0, "key-in-use"},
		{"a charge of a terminal", "terminal-7.", staff, 0, charge("u2"), dns.RcodeRefused, 0, "right"},
		{"what a terminal may", "terminal-7.", staff, 0, lookup, dns.RcodeSuccess, 0, ""},
		{"unsigned", "", "", 0, charge("u3"), dns.RcodeRefused, 0, "unsigned"},
		{"another's secret", "lane-3.", staff, 0, charge("u4"), dns.RcodeNotAuth, dns.RcodeBadSig, ""},
		{"an unknown key", "lane-9.", lane, 0, charge("u5"), dns.RcodeNotAuth, dns.RcodeBadKey, ""},
		{"an hour ago", "lane-3.", lane, -time.Hour, charge("u6"), dns.RcodeNotAuth, dns.RcodeBadTime, ""},
	} {
		for _, network := range []string{"udp", "tcp"} {
			answer, signature := c.exchange(t, bed.dialDNS(network), uint16(100+i))
			record, text := answer.IsTsig(), extendedError(answer)
			if answer.Rcode != c.rcode || text != c.text {
				t.Errorf("%s by %s: %s %q, want %s %q", c.name, network, dns.RcodeToString[answer.Rcode], text,
					dns.RcodeToString[c.rcode], c.text)
			}
			if (record != nil) != (c.key != "") || record != nil && int(record.Error) != c.tsigError {
				t.Errorf("%s by %s: the answer is signed with %v, want one where the query has one, with the error %d",
					c.name, network, record, c.tsigError)
			}
			if record != nil && c.tsigError == 0 && signature != nil {
				t.Errorf("%s by %s: the answer's signature: %v, want it right", c.name, network, signature)
			}
		}
	}
	charges := bed.received(func(attempt *receivedRequest) bool {
		return attempt.Word == "ASK" && attempt.Fields["profile"] == "charge"
	})
	if len(charges) != 1 {
		t.Errorf("%d charges reached endpoints, want the lane's one", len(charges))
	}
	if bed.logged(lane) || bed.logged(staff) {
		t.Error("a secret is in the log")
	}
}

var floodDuration = flag.Duration("flood", 300*time.Millisecond, "how long bad tokens are sent, and as long without")

// TestBadTokenFlood: one client sends ten thousand distinct bad tokens a second, as its answers come or without
// looking at them and connecting anew when it is closed, and the others' requests are all served. -flood sets for how
// long; the times are told, and not judged here. With and without the flood take turns, so that the machine's own
// moods weigh on both.
func TestBadTokenFlood(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		reads bool // whether the client takes its answers
	}{{"reading", true}, {"not reading", false}} {
		t.Run(c.name, func(t *testing.T) { expectServedDuringFlood(t, c.reads) })
	}
}

// expectServedDuringFlood sends good tokens in turn without a flood of bad ones and beside it.
func expectServedDuringFlood(t *testing.T, reads bool) {
	t.Helper()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.start()
	token := keys.token("lane-1", "lanes", time.Hour)
	others := &validTokenCaller{client: bed.dial(), token: token}
	flood := &tokenFlood{testbed: bed, token: token, reads: reads}
	var alone, beside []time.Duration
	for range 8 {
		alone = append(alone, others.callFor(*floodDuration/8)...)
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			flood.run(stop)
		}()
		beside = append(beside, others.callFor(*floodDuration/8)...)
		if !reads {
			bed.waitLogged("event=client-rate-limited")
		}
		close(stop)
		<-done
	}
	if reads && (flood.signatureDenied == 0 || flood.rateLimited == 0) {
		t.Errorf("of %d bad tokens %d were checked and %d held off, want some of both", flood.sent, flood.signatureDenied,
			flood.rateLimited)
	}
	if charges := bed.attemptsOfClass("charge"); len(charges) > 0 {
		t.Errorf("%d charges reached endpoints, want none", len(charges))
	}
	percentile := func(took []time.Duration, q int) time.Duration {
		slices.Sort(took)
		return took[min(len(took)-1, len(took)*q/100)]
	}
	t.Logf("%d bad tokens sent, %d checked, %d closes; others' 50th and 99th percentile "+
		"%v and %v beside them (%d), %v and %v without (%d)", flood.sent, flood.signatureDenied, flood.closedConnections,
		percentile(beside, 50), percentile(beside, 99), len(beside),
		percentile(alone, 50), percentile(alone, 99), len(alone))
}

// validTokenCaller asks with a good token.
type validTokenCaller struct {
	client *client
	token  string
	sent   uint64
}

// callFor asks one request after another for a time, one at least, and gives how long each took. It fails if one is
// not served.
func (c *validTokenCaller) callFor(length time.Duration) (took []time.Duration) {
	c.client.t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end) || len(took) == 0; time.Sleep(3 * time.Millisecond) {
		c.sent++
		began := time.Now()
		fields := map[string]string{"token": c.token, "ram": "1", "txn": hexID(began.UnixNano())}
		if answer := c.client.call(c.sent, "lookup", fields); answer.Error != "" {
			c.client.t.Fatalf("one of the others: %+v, want it served", answer)
		}
		took = append(took, time.Since(began))
	}
	return took
}

// tokenFlood sends charges with distinct tokens whose signatures are wrong.
type tokenFlood struct {
	testbed *testbed
	token   string // a good one, which the bad ones are made from
	reads   bool   // it takes its answers

	sent              int
	signatureDenied   int // whose signature was checked
	rateLimited       int // told to come back later
	closedConnections int // connections
}

// run sends ten thousand a second until stop is closed, and connects anew when it is closed.
func (f *tokenFlood) run(stop <-chan struct{}) {
	t := f.testbed.t
	var protocol *emulator.Client
	defer func() {
		if protocol != nil {
			_ = protocol.Conn.Close()
		}
	}()
	open, first, began := 0, f.sent, time.Now()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if protocol == nil {
			var err error
			if protocol, err = emulator.Dial(f.testbed.address); err != nil {
				t.Errorf("the flood can't connect: %v", err)
				return
			}
			open = 0
		}
		if early := time.Duration(f.sent-first)*100*time.Microsecond - time.Since(began); early > time.Millisecond {
			time.Sleep(early)
		}
		var err error
		for ; err == nil && (open < 16 || !f.reads && open%16 != 0); open++ {
			err = f.send(protocol)
		}
		if !f.reads {
			if open++; err != nil {
				_ = protocol.Conn.Close()
				protocol = nil
				f.closedConnections++
			}
			continue
		}
		if err := f.read(protocol); err != nil {
			t.Error(err)
			return
		}
		open--
	}
}

// send sends one charge.
func (f *tokenFlood) send(protocol *emulator.Client) error {
	f.sent++
	bad := fmt.Sprintf("%s%08d", f.token[:len(f.token)-8], f.sent)
	fields := map[string]string{"token": bad, "unique": fmt.Sprint("f", f.sent)}
	return protocol.Send(request(uint64(f.sent), "charge", fields, ""))
}

// read takes one answer.
func (f *tokenFlood) read(protocol *emulator.Client) error {
	answer, err := protocol.Read(waitLimit)
	switch {
	case err != nil:
		return fmt.Errorf("no answer came to a bad token: %w", err)
	case answer.Error == "Denied" && answer.Fields["reason"] == "signature":
		f.signatureDenied++
	case answer.Error == "Overloaded" && answer.Fields["later"] != "":
		f.rateLimited++
	default:
		return fmt.Errorf("a bad token: %+v, want it denied for its signature, or rejected with a wait", answer)
	}
	return nil
}
