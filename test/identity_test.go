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

// TestTokenRights checks that charges with a stolen staff token are rejected by both frontends with the reason, and
// that none of them reaches an endpoint. Charges of a lane controller are served, as its own tenant whatever team they
// name.
func TestTokenRights(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("tenant open {\nright lookup\n}\nunsigned open")
	bed.enableDNS("")
	bed.start()
	staffToken, laneToken := keys.token("terminal-7", "staff", time.Hour), keys.token("lane-3", "lanes", time.Hour)
	client := bed.dial()
	expectChargesDenied(t, client, staffToken)
	resolver := bed.dialDNS("udp")
	for id := range uint16(100) {
		resolver.query(id, fmt.Sprintf("k-%d.n0.00000000000000aa.charge.lanes", id), dns.TypeTXT)
		if answer := resolver.mustRead(); answer.Rcode != "REFUSED" || answer.Text != "right" {
			t.Fatalf("got response %+v, want a rejection because of the missing right", answer)
		}
	}
	if attempts := bed.attempts(); len(attempts) > 0 {
		t.Errorf("got %d attempts, the first %+v, want none", len(attempts), attempts[0])
	}
	for i, c := range []struct{ token, class, err, reason string }{
		{laneToken, "charge", "", ""},
		{laneToken, "lookup", "", ""},
		{staffToken, "lookup", "", ""},
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
			t.Errorf("%s with token %.10q: got response %+v, want error %q with reason %q", c.class, c.token,
				answer, c.err, c.reason)
		}
	}
	if line := "event=audit reason=right subject=terminal-7 tenant=staff key=k1 class=charge"; !bed.logged(line) {
		t.Errorf("got no %q in the log", line)
	}
	if n := bed.timesLogged("subject=terminal-7"); n > 20 {
		t.Errorf("got %d audit lines for one subject, want at most 20", n)
	}
	private := readFile(t, filepath.Join(keys.dir, "private", "k1.pem"))
	if len(private) < 100 {
		t.Fatalf("got a private key of %d bytes, want at least 100", len(private))
	}
	if body := strings.Split(private, "\n")[1]; bed.logged(body) || bed.logged(staffToken) {
		t.Error("got a private key or a token in the log, want neither")
	}
}

// expectChargesDenied sends 2000 charges with a token, and fails the test unless each is denied because the token lacks
// the right.
func expectChargesDenied(t *testing.T, client *client, token string) {
	t.Helper()
	const count = 2000
	open := make(chan bool, 32) // limits the open requests, as a connection may have no more
	go func() {
		for id := uint64(1); id <= count; id++ {
			open <- true
			fields := map[string]string{"token": token, "team": "lanes", "unique": fmt.Sprint("u", id)}
			_ = client.protocol.Send(request(id, "charge", fields, "post"))
		}
	}()
	for range count {
		if answer := client.mustRead(); answer.Error != "Denied" || answer.Fields["reason"] != "right" {
			t.Fatalf("got response %+v, want it denied because of the missing right", answer)
		}
		<-open
	}
}

// TestTokenExpiresBetweenRetries checks a token that expires between a charge and its retry: the retry is accepted from
// the same subject, and rejected from another.
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
		t.Fatalf("first charge: got response %+v, want it served", answer)
	}
	id := uint64(1)
	bed.waitUntil("the token has expired", func() bool {
		id++
		return client.call(id, "lookup", map[string]string{"token": short}).Fields["reason"] == "expired"
	})
	if answer := charge(1001, short, "u1"); answer.Error != "" {
		t.Errorf("retry: got response %+v, want it accepted as the first charge was", answer)
	}
	if answer := charge(1002, other, "u1"); answer.Fields["reason"] != "key-in-use" {
		t.Errorf("another subject with the same key: got response %+v, want reason key-in-use", answer)
	}
	if answer := charge(1003, short, "u2"); answer.Fields["reason"] != "expired" {
		t.Errorf("new charge with the expired token: got response %+v, want reason expired", answer)
	}
	for _, attempt := range bed.attemptsOfClass("charge") {
		if attempt.Word == "ASK" && attempt.Fields["replay"] != "u1" {
			t.Errorf("got attempt %+v, want only charges with the key u1", attempt)
		}
	}
}

// TestRevocationUnderLoad checks the revocation of a subject that has open requests: each of them must be served
// exactly once, and its new requests must be rejected within 2 s.
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
	bed.waitUntil("the subject is revoked", func() bool {
		id++
		fields := map[string]string{"token": token, "limit": "300"}
		return client.call(id, "lookup", fields).Fields["reason"] == "revoked"
	})
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the revocation took %v, want at most 2 s", took)
	}
	open.answerAll()
}

var keyChangeCount = flag.Int("key-changes", 3, "number of key directory changes to measure")

// TestRevocationLatency measures the time from a change of the key directory until it takes effect in the running
// proxy. The flag -key-changes sets the number of changes.
func TestRevocationLatency(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.start()
	client := bed.dial()
	var latencies []time.Duration
	id := uint64(0)
	for i := range *keyChangeCount {
		subject := fmt.Sprint("lane-", i)
		token := keys.token(subject, "lanes", time.Hour)
		reason := func() string {
			id++
			return client.call(id, "lookup", map[string]string{"token": token, "ram": "1"}).Fields["reason"]
		}
		if got := reason(); got != "" {
			t.Fatalf("before the revocation: got reason %q, want the request served", got)
		}
		keys.mustRun("key", "revoke", "subject", subject)
		began := time.Now()
		bed.waitUntil("the revocation takes effect", func() bool { return reason() == "revoked" })
		latencies = append(latencies, time.Since(began))
	}
	slices.Sort(latencies)
	t.Logf("%d changes: median %v, worst %v", len(latencies), latencies[len(latencies)/2], latencies[len(latencies)-1])
}

// signedQuery is a query that is signed with a shared key (TSIG).
type signedQuery struct {
	name, key, secret string        // empty key: not signed
	timeOffset        time.Duration // of the signature, relative to now
	question          string
	rcode, tsigError  int
	text              string // of the extended error
}

// exchange sends the query, and returns the response and the result of verifying its signature.
func (q *signedQuery) exchange(t *testing.T, client *dnsClient, id uint16) (answer *dns.Msg, signatureErr error) {
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
		t.Fatalf("%s: got no response: %v", q.name, err)
	}
	answer = &dns.Msg{}
	if err := answer.Unpack(raw); err != nil {
		t.Fatalf("%s: %v", q.name, err)
	}
	return answer, dns.TsigVerify(raw, q.secret, mac, false)
}

// TestTSIGSignedQueries checks that a charge over DNS needs a TSIG key with that right, that responses are signed, that
// invalid signatures are rejected as the RFC requires, and that an idempotency key belongs to one subject.
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
		{"the same charge again", "lane-3.", lane, 0, charge("u1"), dns.RcodeSuccess, 0, ""},
		{"another lane with the same key", "lane-4.", other, 0, charge("u1"), dns.RcodeRefused, 0, "key-in-use"},
		{"a charge of a terminal", "terminal-7.", staff, 0, charge("u2"), dns.RcodeRefused, 0, "right"},
		{"a lookup of a terminal", "terminal-7.", staff, 0, lookup, dns.RcodeSuccess, 0, ""},
		{"an unsigned charge", "", "", 0, charge("u3"), dns.RcodeRefused, 0, "unsigned"},
		{"a wrong secret", "lane-3.", staff, 0, charge("u4"), dns.RcodeNotAuth, dns.RcodeBadSig, ""},
		{"an unknown key", "lane-9.", lane, 0, charge("u5"), dns.RcodeNotAuth, dns.RcodeBadKey, ""},
		{"signed an hour ago", "lane-3.", lane, -time.Hour, charge("u6"), dns.RcodeNotAuth, dns.RcodeBadTime, ""},
	} {
		for _, network := range []string{"udp", "tcp"} {
			answer, signatureErr := c.exchange(t, bed.dialDNS(network), uint16(100+i))
			record, text := answer.IsTsig(), extendedError(answer)
			if answer.Rcode != c.rcode || text != c.text {
				t.Errorf("%s over %s: got %s %q, want %s %q", c.name, network, dns.RcodeToString[answer.Rcode], text,
					dns.RcodeToString[c.rcode], c.text)
			}
			if (record != nil) != (c.key != "") || record != nil && int(record.Error) != c.tsigError {
				t.Errorf("%s over %s: got TSIG record %v, want one if the query has one, with the error %d",
					c.name, network, record, c.tsigError)
			}
			if record != nil && c.tsigError == 0 && signatureErr != nil {
				t.Errorf("%s over %s: verifying the response: got error %v, want none", c.name, network, signatureErr)
			}
		}
	}
	charges := bed.received(func(attempt *receivedRequest) bool {
		return attempt.Word == "ASK" && attempt.Fields["profile"] == "charge"
	})
	if len(charges) != 1 {
		t.Errorf("got %d charges at endpoints, want one, that of the lane", len(charges))
	}
	if bed.logged(lane) || bed.logged(staff) {
		t.Error("got a secret in the log, want none")
	}
}

var floodDuration = flag.Duration("flood", 300*time.Millisecond, "duration with bad tokens, and of that without them")

// TestBadTokenFlood checks that the requests of other clients are all served while one client sends ten thousand
// distinct bad tokens a second. That client either reads the responses, or ignores them and connects again when its
// connection is closed. The flag -flood sets the duration. Latencies are logged and not checked. Phases with and
// without the flood alternate, so that other load on the machine affects both.
func TestBadTokenFlood(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		reads bool // whether the client reads the responses
	}{{"reading", true}, {"not reading", false}} {
		t.Run(c.name, func(t *testing.T) { expectServedDuringFlood(t, c.reads) })
	}
}

// expectServedDuringFlood sends requests with a valid token, alternately without and with a flood of bad tokens, and
// fails the test unless all of these requests are served.
func expectServedDuringFlood(t *testing.T, reads bool) {
	t.Helper()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.start()
	token := keys.token("lane-1", "lanes", time.Hour)
	caller := &validTokenCaller{client: bed.dial(), token: token}
	flood := &tokenFlood{testbed: bed, token: token, reads: reads}
	var withoutFlood, duringFlood []time.Duration
	for range 8 {
		withoutFlood = append(withoutFlood, caller.callFor(*floodDuration/8)...)
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			flood.run(stop)
		}()
		duringFlood = append(duringFlood, caller.callFor(*floodDuration/8)...)
		if !reads {
			bed.waitLogged("event=client-rate-limited")
		}
		close(stop)
		<-done
	}
	if reads && (flood.signatureDenied == 0 || flood.rateLimited == 0) {
		t.Errorf("got %d bad tokens, of which %d checked and %d rate-limited, want some of both", flood.sent,
			flood.signatureDenied, flood.rateLimited)
	}
	if charges := bed.attemptsOfClass("charge"); len(charges) > 0 {
		t.Errorf("got %d charges at endpoints, want none", len(charges))
	}
	percentile := func(latencies []time.Duration, q int) time.Duration {
		slices.Sort(latencies)
		return latencies[min(len(latencies)-1, len(latencies)*q/100)]
	}
	t.Logf("%d bad tokens sent, %d checked, %d connections closed; other clients' 50th and 99th percentile "+
		"%v and %v during the flood (%d requests), %v and %v without (%d requests)", flood.sent, flood.signatureDenied,
		flood.closedConnections,
		percentile(duringFlood, 50), percentile(duringFlood, 99), len(duringFlood),
		percentile(withoutFlood, 50), percentile(withoutFlood, 99), len(withoutFlood))
}

// validTokenCaller sends requests with a valid token.
type validTokenCaller struct {
	client *client
	token  string
	sent   uint64
}

// callFor sends requests one after another for the given duration, at least one, and returns their latencies. It fails
// the test if one is not served.
func (c *validTokenCaller) callFor(duration time.Duration) (took []time.Duration) {
	c.client.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end) || len(took) == 0; time.Sleep(3 * time.Millisecond) {
		c.sent++
		began := time.Now()
		fields := map[string]string{"token": c.token, "ram": "1", "txn": hexID(began.UnixNano())}
		if answer := c.client.call(c.sent, "lookup", fields); answer.Error != "" {
			c.client.t.Fatalf("valid token: got response %+v, want the request served", answer)
		}
		took = append(took, time.Since(began))
	}
	return took
}

// tokenFlood sends charges with distinct tokens whose signatures are invalid.
type tokenFlood struct {
	testbed *testbed
	token   string // a valid token, from which the bad ones are made
	reads   bool   // whether it reads the responses

	sent              int
	signatureDenied   int // tokens whose signature was checked
	rateLimited       int // tokens rejected with a time to retry
	closedConnections int // closed by the program
}

// run sends ten thousand charges a second until stop is closed, and connects again when its connection is closed.
func (f *tokenFlood) run(stop <-chan struct{}) {
	t := f.testbed.t
	var connection *emulator.Client
	defer func() {
		if connection != nil {
			_ = connection.Conn.Close()
		}
	}()
	open, first, began := 0, f.sent, time.Now()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if connection == nil {
			var err error
			if connection, err = emulator.Dial(f.testbed.address); err != nil {
				t.Errorf("connecting the client with bad tokens: %v", err)
				return
			}
			open = 0
		}
		if ahead := time.Duration(f.sent-first)*100*time.Microsecond - time.Since(began); ahead > time.Millisecond {
			time.Sleep(ahead)
		}
		var err error
		for ; err == nil && (open < 16 || !f.reads && open%16 != 0); open++ {
			err = f.send(connection)
		}
		if !f.reads {
			if open++; err != nil {
				_ = connection.Conn.Close()
				connection = nil
				f.closedConnections++
			}
			continue
		}
		if err := f.read(connection); err != nil {
			t.Error(err)
			return
		}
		open--
	}
}

// send sends one charge.
func (f *tokenFlood) send(connection *emulator.Client) error {
	f.sent++
	bad := fmt.Sprintf("%s%08d", f.token[:len(f.token)-8], f.sent)
	fields := map[string]string{"token": bad, "unique": fmt.Sprint("f", f.sent)}
	return connection.Send(request(uint64(f.sent), "charge", fields, ""))
}

// read reads and counts one response.
func (f *tokenFlood) read(connection *emulator.Client) error {
	answer, err := connection.Read(waitLimit)
	switch {
	case err != nil:
		return fmt.Errorf("got no response to a bad token: %w", err)
	case answer.Error == "Denied" && answer.Fields["reason"] == "signature":
		f.signatureDenied++
	case answer.Error == "Overloaded" && answer.Fields["later"] != "":
		f.rateLimited++
	default:
		return fmt.Errorf("bad token: got response %+v, want reason signature or a time to retry", answer)
	}
	return nil
}
