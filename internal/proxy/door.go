package proxy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/config"
	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/rpc"
	"sloequay/internal/identity"
	"sloequay/internal/identity/files"
	"sloequay/internal/identity/keydir"
	"sloequay/internal/identity/tlslistener"
	"sloequay/internal/identity/tsig"
)

// identityConfig is the block `identity` of the settings.
type identityConfig struct {
	Keys     string // directory; empty: no tokens are taken
	Gate     identity.AuthenticatorConfig
	unsigned string
	tenants  []identity.Tenant
	roles    map[string][]identity.Rule
	uses     map[string][]string // roles by tenant
	rights   *identity.Rights
	tls      *tlslistener.Config // nil: no such listener
	exact    map[string]string   // tenants by the names of client certificates
	wild     map[string]string   // the same by what follows "*."
}

// who gives the tenant and subject that a client certificate's names stand for.
func (c *identityConfig) who(names []string) (tenant, subject string) {
	for _, name := range names {
		if t := c.exact[name]; t != "" {
			return t, name
		}
		if _, parent, found := strings.Cut(name, "."); found && c.wild[parent] != "" {
			return c.wild[parent], name
		}
	}
	return "", ""
}

func (c *identityConfig) section(unixTime func() time.Time) *config.Section {
	c.Gate, c.roles, c.uses = identity.Defaults(), map[string][]identity.Rule{}, map[string][]string{}
	c.exact, c.wild = map[string]string{}, map[string]string{}
	p := &c.Gate.Policy
	s := &config.Section{}
	s.Text("keys", &c.Keys, nil, "directory of keys.json and revoked; without it no tokens are taken")
	s.Text("audience", &p.Audience, nil, "that a token must name; any without it")
	s.Duration("skew", &p.Skew, 0, 5*time.Minute, "of the callers' clocks, either way")
	s.Duration("life-most", &p.MaxLifetime, 0, 10*365*24*time.Hour, "longest life of a token; 0s: any")
	s.Text("unsigned", &c.unsigned, nil, "tenant of callers without a token; they are refused without it")
	s.Rate("checks", &c.Gate.ChecksPerSecond, 1, 1e6, "signatures checked a second")
	s.Rate("checks-connection", &c.Gate.ChecksPerConnection, 1, 1e6, "for one connection")
	s.Rate("checks-source", &c.Gate.ChecksPerSource, 1, 1e6, "and for all connections from one address")
	s.Int("tokens", &c.Gate.MaxCachedTokens, 1, 10_000_000, "verified tokens remembered")
	s.Int("keyed", &c.Gate.MaxIdempotencyKeys, 1, 10_000_000, "idempotency keys remembered")
	s.Int("revocations", &c.Gate.MaxRevocations, 1, 10_000_000, "revocations held")
	rule := func(section *config.Section, to *[]identity.Rule) {
		for _, name := range []string{"right", "deny"} {
			section.Each(name, func(words []string) error {
				r, err := identity.ParseRule(name == "deny", words)
				*to = append(*to, r)
				return err
			}, "classes, or * for all, with front=, site=, group=, object=")
		}
	}
	s.Block("tls", false, "a listener for TLS 1.3", func([]string) (*config.Section, error) {
		c.tls = &tlslistener.Config{Now: unixTime, MaxHandshakes: 64, HandshakeTimeout: 3 * time.Second, MaxConnections: 64, TicketKeyRotation: time.Hour}
		return c.tlsSection(), nil
	})
	s.Block("role", true, "rules that several tenants share", func(words []string) (*config.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the role's name, got %d words", len(words))
		}
		if _, there := c.roles[words[0]]; there {
			return nil, fmt.Errorf("the role %s is named twice", words[0])
		}
		var list []identity.Rule
		section := &config.Section{}
		rule(section, &list)
		section.Check(func() error { c.roles[words[0]] = list; return nil })
		c.roles[words[0]] = nil
		return section, nil
	})
	s.Block("tenant", true, "what one tenant may do", func(words []string) (*config.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the tenant's name, got %d words", len(words))
		}
		var list []identity.Rule
		var roles []string
		section := &config.Section{}
		section.Words("role", &roles, nil, "roles whose rules it has too")
		var names []string
		section.Words("certificate", &names, nil, "names of client certificates that are of it, or *.DOMAIN for all right below")
		section.Check(func() error {
			for _, name := range names {
				to, key := c.exact, name
				if parent, wild := strings.CutPrefix(name, "*."); wild {
					to, key = c.wild, parent
				}
				if other := to[key]; other != "" {
					return fmt.Errorf("certificate %s is of the tenant %s already", name, other)
				}
				to[key] = words[0]
			}
			return nil
		})
		rule(section, &list)
		section.Check(func() error {
			c.tenants = append(c.tenants, identity.Tenant{Name: words[0], Rules: list})
			c.uses[words[0]] = roles
			return nil
		})
		return section, nil
	})
	s.Check(func() error {
		for i := range c.tenants {
			t := &c.tenants[i]
			for _, role := range c.uses[t.Name] {
				list, there := c.roles[role]
				if !there {
					return fmt.Errorf("tenant %s: there is no role %s", t.Name, role)
				}
				t.Rules = append(t.Rules, list...)
			}
		}
		var err error
		if c.rights, err = identity.NewRights(c.tenants, c.unsigned); err != nil {
			return err
		}
		if c.Keys != "" {
			_, err = keydir.Read(c.Keys)
		}
		return err
	})
	return s
}

func (c *identityConfig) tlsSection() *config.Section {
	d, s := c.tls, &config.Section{}
	s.Text("listen", &d.Listen, func(a string) error {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("expected ip:port, got %q", a)
		}
		return nil
	}, "where clients connect by TLS")
	s.Text("cert", &d.Cert, nil, "file of our certificate")
	s.Text("key", &d.Key, nil, "file of its key, readable by its owner alone")
	s.Text("client-ca", &d.ClientCA, nil, "file of the authorities that sign clients; they show no certificates without it")
	s.Flag("client-needed", &d.RequireClientCert, "whether a client must show a certificate")
	s.Int("handshakes", &d.MaxHandshakes, 1, 10_000, "handshakes at once")
	s.Duration("limit", &d.HandshakeTimeout, 10*time.Millisecond, time.Minute, "for one")
	s.Int("connections", &d.MaxConnections, 1, 100_000, "connections; each takes three descriptors")
	s.Duration("tickets", &d.TicketKeyRotation, time.Second, 24*time.Hour, "how often the key of session tickets changes; three are taken")
	s.Check(func() error {
		if d.Listen == "" {
			return errors.New("listen is missing")
		}
		_, err := tlslistener.Load(*d)
		return err
	})
	return s
}

const (
	verifiers   = 2 // goroutines that check signatures
	keysPoll    = time.Second
	keysSettle  = 20 * time.Millisecond // a writer may touch several files
	auditMost   = 4096
	sourcesMost = 4096 // addresses whose bad signatures are remembered
	gateSweep   = 256  // remembered tokens looked at each housekeeping
)

// door stands between the fronts and the broker where identity is on: who calls, and whether it may. Its methods run on the
// loop; signatures are checked beside it.
type door struct {
	doorman *server
	cfg     *identityConfig
	gate    *identity.Authenticator
	audit   *identity.Audit
	jobs    chan *identity.SignatureJob
	sources *identity.Sources
	tsig    *tsig.Keys            // of DNS
	tls     *tlslistener.Listener // nil: none
	bad     string                // the fault that was logged last
	content keydir.Content        // that is in force
}

func (d *server) newDoor(cfg *identityConfig) *door {
	g := &door{doorman: d, cfg: cfg, gate: identity.NewAuthenticator(cfg.Gate, cfg.rights), audit: identity.NewAudit(auditMost),
		sources: identity.NewSources(sourcesMost),
		jobs:    make(chan *identity.SignatureJob, cfg.Gate.MaxWaiting)}
	for range verifiers {
		go func() {
			for j := range g.jobs {
				claims, reason := identity.Verify(j.Token, j.Key)
				d.loop.Post(func() {
					for _, o := range g.gate.SignatureChecked(d.clock.Monotonic(), j, claims, reason) {
						g.settle(o)
					}
					d.loop.RequestRound()
				})
			}
		}()
	}
	if cfg.Keys != "" {
		g.take(keydir.Read(cfg.Keys))
	}
	if cfg.tls != nil {
		log := func(event string, fields ...any) { d.loop.Post(func() { d.log.Event(event, fields...) }) }
		var err error
		if g.tls, err = tlslistener.Open(*cfg.tls, cfg.who, g.adopt, log); err != nil {
			log("tls-listener-failed", "error", err)
		}
	}
	g.watch()
	return g
}

// adopt has a connection of the TLS door served like any other client's. It is called on a goroutine of the connection's.
func (g *door) adopt(conn net.Conn, caller identity.Caller) bool {
	d, made := g.doorman, make(chan eventloop.Handler, 1)
	d.loop.Post(func() { made <- d.front.AcceptFrom(conn.RemoteAddr(), caller) })
	h := <-made
	if h == nil { // no place is left
		_ = conn.Close()
		return false
	}
	if err := d.loop.Adopt(conn, h); err != nil {
		d.loop.Post(func() { rpc.Abandon(h) })
		return false
	}
	return true
}

// source gives what is known of a host that clients call from.
func (g *door) source(remote string) *identity.Source {
	address, _ := netip.ParseAddr(remote)
	return g.sources.Of(address)
}

// arrive takes a request of a front.
func (g *door) arrive(r *broker.Request) {
	class := g.doorman.plan.settings.Control.Classes[r.Class]
	c := &identity.Call{Caller: r.Caller, Token: r.Token, Data: r,
		Access: identity.Access{Class: class.Name, Group: r.Group, Object: r.Object}}
	if c.Caller == nil {
		c.Caller = &identity.Caller{}
	}
	if r.Key != "" {
		c.Key, c.Window = class.Name+" "+r.Key, class.DedupWindow
	}
	o, j := g.gate.Authenticate(g.doorman.clock.Monotonic(), c)
	switch {
	case o != nil:
		g.settle(o)
	case j != nil:
		g.jobs <- j // there is room for all that may wait
	}
}

// settle passes a request on, or answers it. Whoever is admitted is its tenant, whatever it calls itself.
func (g *door) settle(o *identity.Outcome) {
	r := o.Call.Data.(*broker.Request)
	if o.Reason != identity.Allowed || o.Call.Key != "" {
		g.tell(o, r)
	}
	if r.Canceled {
		return
	}
	switch o.Reason {
	case identity.Allowed:
		if o.KeyID != "" || o.Subject != "" || r.Team == "" {
			r.Team = o.Tenant
		}
		g.doorman.emit(broker.RequestReceived{Request: r})
	case identity.Busy, identity.IdempotencyKeysFull:
		r.Frontend.Respond(r, broker.Response{Kind: broker.ResponseRejected, RetryAfter: o.Wait, Reason: o.Reason.String()})
	default:
		r.Frontend.Respond(r, broker.Response{Kind: broker.ResponseDenied, Reason: o.Reason.String()})
	}
}

// tell writes the audit line of a refused or keyed decision, where its subject is due one.
func (g *door) tell(o *identity.Outcome, r *broker.Request) {
	who := o.Subject
	if who == "" {
		who = "-"
	}
	missed, ok := g.audit.ShouldLog(g.doorman.clock.Monotonic(), who+" "+o.Reason.String())
	if !ok {
		return
	}
	g.doorman.log.Event("audit", "reason", o.Reason, "subject", who, "tenant", o.Tenant, "key", o.KeyID, "class", o.Call.Access.Class,
		"front", o.Call.Caller.Front, "rule", o.Rule, "request", r.ID, "omitted", missed)
}

// stepped takes the directory's content over anew after the Unix clock was set: revocations that a clock set forward had
// ended hold again once it is set back.
func (g *door) stepped() {
	if g.cfg.Keys != "" {
		g.take(g.content, nil)
	}
}

// take takes over what the directory says; with a fault the old set stays in force.
func (g *door) take(c keydir.Content, err error) {
	var keys *identity.Keys
	revoked := identity.NewRevocations(g.cfg.Gate.MaxRevocations)
	if err == nil {
		keys, err = g.gate.Keys().Replace(c.Keys)
	}
	var shared *tsig.Keys
	if err == nil {
		shared, err = tsig.New(c.TSIG)
	}
	for _, r := range c.Revoked {
		if err == nil && r.Until > g.doorman.clock.Unix() {
			err = revoked.Add(r.What, r.Name, r.Until)
		}
	}
	if err != nil {
		if g.bad != err.Error() {
			g.bad = err.Error()
			g.doorman.log.Event("keys-rejected", "error", err)
		}
		return
	}
	g.bad, g.tsig, g.content = "", shared, c
	g.gate.SetKeys(keys)
	g.gate.SetRevocations(revoked)
	signer := "-"
	if k := keys.Signer(g.doorman.clock.Unix()); k != nil {
		signer = k.ID
	}
	g.doorman.log.Event("keys-loaded", "keys", len(c.Keys), "signing", signer, "shared", len(c.TSIG), "revocations", revoked.Len())
}

// watch takes over what changes: the directory of keys, and the files of the TLS door. It runs until the program ends.
func (g *door) watch() {
	never := make(chan struct{})
	if g.cfg.Keys != "" {
		// The folder above tells of one that is replaced whole.
		go files.Watch(never, []string{g.cfg.Keys, filepath.Dir(g.cfg.Keys)}, func() string { return keydir.Fingerprint(g.cfg.Keys) }, func() error {
			content, err := keydir.Read(g.cfg.Keys)
			g.doorman.loop.Post(func() {
				g.take(content, err)
				g.doorman.loop.RequestRound()
			})
			return err
		})
	}
	if g.tls != nil {
		paths := []string{g.cfg.tls.Cert, g.cfg.tls.Key, g.cfg.tls.ClientCA}
		go files.Watch(never, files.Folders(paths...), func() string { return files.Fingerprint(paths...) }, func() error {
			err := g.tls.Reload()
			g.doorman.renewed(g.cfg.tls.Cert, err)
			return err
		})
	}
}

// renewed tells that files of certificates were taken over, or why not. It may be called beside the loop.
func (d *server) renewed(cert string, err error) {
	d.loop.Post(func() {
		if err != nil {
			d.log.Event("keys-rejected", "error", err)
		} else {
			d.log.Event("tls-reloaded", "cert", cert)
		}
	})
}

// tick drops what has ended.
func (g *door) tick(now time.Duration) { g.gate.Expire(now, gateSweep) }
