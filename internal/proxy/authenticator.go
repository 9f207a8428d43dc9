package proxy

import (
	"net"
	"net/netip"
	"path/filepath"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/rpc"
	"sloequay/internal/identity"
	"sloequay/internal/identity/files"
	"sloequay/internal/identity/keydir"
	"sloequay/internal/identity/tlslistener"
	"sloequay/internal/identity/tsig"
)

const (
	verifiers = 2 // goroutines that check signatures
	// maxAuditSubjects is how many subjects and reasons the audit log keeps apart.
	maxAuditSubjects = 4096
	// maxSources is how many addresses are remembered for their bad signatures.
	maxSources = 4096
	// expireBatch is how many remembered tokens one housekeeping looks at.
	expireBatch = 256
)

// authenticator stands between the front ends and the broker where identity is on: it decides who calls, and whether
// the caller may. Its methods run on the loop, unless they say otherwise; signatures are checked beside it.
type authenticator struct {
	server        *server
	settings      *identitySettings
	machine       *identity.Authenticator
	audit         *identity.AuditLimiter
	sources       *identity.Sources
	jobs          chan *identity.SignatureJob
	tsigKeys      *tsig.Keys            // of DNS
	tls           *tlslistener.Listener // nil: none
	keys          keydir.Content        // that is in force
	lastKeysFault string                // that was logged last
}

// newAuthenticator makes the authenticator of a server whose loop runs, and opens the listener for TLS.
func newAuthenticator(server *server, settings *identitySettings) *authenticator {
	created := &authenticator{
		server:   server,
		settings: settings,
		machine:  identity.NewAuthenticator(settings.authenticator, settings.rights),
		audit:    identity.NewAuditLimiter(maxAuditSubjects),
		sources:  identity.NewSources(maxSources),
		jobs:     make(chan *identity.SignatureJob, settings.authenticator.MaxWaiting),
	}
	for range verifiers {
		go created.verifySignatures()
	}
	if settings.keyDirectory != "" {
		created.replaceKeys(keydir.Read(settings.keyDirectory))
	}
	if settings.tls != nil {
		created.listenTLS()
	}
	created.watchFiles()
	return created
}

// verifySignatures checks signatures until the process ends. It runs on a goroutine of its own.
func (a *authenticator) verifySignatures() {
	for job := range a.jobs {
		claims, reason := identity.Verify(job.Token, job.Key)
		a.server.loop.Post(func() {
			now := a.server.clock.Monotonic()
			for _, outcome := range a.machine.SignatureChecked(now, job, claims, reason) {
				a.resolve(outcome)
			}
			a.server.loop.RequestRound()
		})
	}
}

// listenTLS opens the listener for TLS. The proxy serves without it where that fails.
func (a *authenticator) listenTLS() {
	settings := *a.settings.tls
	settings.MaxConnections = a.server.descriptors.TLS
	log := func(event string, fields ...any) {
		a.server.loop.Post(func() { a.server.log.Event(event, fields...) })
	}
	listener, err := tlslistener.Open(settings, a.settings.callerOf, a.adopt, log)
	if err != nil {
		log("tls-listener-failed", "error", err)
	}
	a.tls = listener
}

// adopt has a connection by TLS served like any other client's, and reports whether it is. It is called on a goroutine
// of the connection's.
func (a *authenticator) adopt(conn net.Conn, caller identity.Caller) bool {
	server := a.server
	accepted := make(chan eventloop.Handler, 1)
	server.loop.Post(func() { accepted <- server.frontend.AcceptFrom(conn.RemoteAddr(), caller) })
	handler := <-accepted
	if handler == nil { // there are as many clients as may be
		_ = conn.Close()
		return false
	}
	if err := server.loop.Adopt(conn, handler); err != nil {
		server.loop.Post(func() {
			server.log.Event("accept-failed", "error", err)
			rpc.Abandon(handler)
		})
		return false
	}
	return true
}

// source returns what is known of a host that clients connect from.
func (a *authenticator) source(remote string) *identity.Source {
	address, _ := netip.ParseAddr(remote)
	return a.sources.Of(address)
}

// authenticate takes a request of a front end, and resolves it now or once its signature is checked.
func (a *authenticator) authenticate(request *broker.Request) {
	outcome, job := a.machine.Authenticate(a.server.clock.Monotonic(), a.call(request))
	switch {
	case outcome != nil:
		a.resolve(outcome)
	case job != nil:
		a.jobs <- job // does not block: there is capacity for all that may wait
	}
}

// call returns what the decision needs of a request.
func (a *authenticator) call(request *broker.Request) *identity.Call {
	class := a.server.plan.platform.Control.Classes[request.Class]
	call := &identity.Call{
		Caller: request.Caller,
		Token:  request.Token,
		Data:   request,
		Access: identity.Access{Class: class.Name, Group: request.Group, Object: request.Object},
	}
	if call.Caller == nil {
		call.Caller = &identity.Caller{}
	}
	if request.Key != "" {
		call.IdempotencyKey = class.Name + " " + request.Key
		call.IdempotencyWindow = class.DedupWindow
	}
	return call
}

// resolve passes a request on, or responds to it. An admitted request is its tenant's, whatever team it names.
func (a *authenticator) resolve(outcome *identity.Outcome) {
	request := outcome.Call.Data.(*broker.Request)
	if outcome.Reason != identity.Allowed || outcome.Call.IdempotencyKey != "" {
		a.logDecision(outcome, request)
	}
	if request.Canceled {
		return
	}
	switch outcome.Reason {
	case identity.Allowed:
		if outcome.KeyID != "" || outcome.Subject != "" || request.Team == "" {
			request.Team = outcome.Tenant
		}
		a.server.publish(broker.RequestReceived{Request: request})
	case identity.Busy, identity.IdempotencyKeysFull:
		request.Frontend.Respond(request, broker.Response{
			Kind:       broker.ResponseRejected,
			RetryAfter: outcome.RetryAfter,
			Reason:     outcome.Reason.String(),
		})
	default:
		request.Frontend.Respond(request, broker.Response{
			Kind:   broker.ResponseDenied,
			Reason: outcome.Reason.String(),
		})
	}
}

// logDecision writes the audit line of a decision, unless its subject has had too many.
func (a *authenticator) logDecision(outcome *identity.Outcome, request *broker.Request) {
	subject := outcome.Subject
	if subject == "" {
		subject = "-"
	}
	omitted, isDue := a.audit.ShouldLog(a.server.clock.Monotonic(), subject+" "+outcome.Reason.String())
	if !isDue {
		return
	}
	a.server.log.Event("audit", "reason", outcome.Reason, "subject", subject, "tenant", outcome.Tenant,
		"key", outcome.KeyID, "class", outcome.Call.Access.Class, "front", outcome.Call.Caller.Frontend,
		"rule", outcome.Rule, "request", request.ID, "omitted", omitted)
}

// expire drops what has expired.
func (a *authenticator) expire(now time.Duration) { a.machine.Expire(now, expireBatch) }

// clockStepped takes over the directory's content anew after the Unix clock was set: revocations that a clock set
// forward had ended hold again once it is set back.
func (a *authenticator) clockStepped() {
	if a.settings.keyDirectory != "" {
		a.replaceKeys(a.keys, nil)
	}
}

// keySet is what the content of the directory of keys comes to.
type keySet struct {
	keys        *identity.Keys
	tsigKeys    *tsig.Keys
	revocations *identity.Revocations
}

// replaceKeys takes over the content of the directory of keys. With a fault the old content stays in force; each fault
// is logged once.
func (a *authenticator) replaceKeys(content keydir.Content, err error) {
	var next keySet
	if err == nil {
		next, err = a.makeKeySet(content)
	}
	if err != nil {
		if a.lastKeysFault != err.Error() {
			a.lastKeysFault = err.Error()
			a.server.log.Event("keys-rejected", "error", err)
		}
		return
	}
	a.lastKeysFault = ""
	a.tsigKeys = next.tsigKeys
	a.keys = content
	a.machine.SetKeys(next.keys)
	a.machine.SetRevocations(next.revocations)
	signer := "-"
	if key := next.keys.Signer(a.server.clock.Unix()); key != nil {
		signer = key.ID
	}
	a.server.log.Event("keys-loaded", "keys", len(content.Keys), "signing", signer, "shared", len(content.TSIG),
		"revocations", next.revocations.Len())
}

// makeKeySet checks the content of the directory of keys against the keys in force.
func (a *authenticator) makeKeySet(content keydir.Content) (keySet, error) {
	keys, err := a.machine.Keys().Replace(content.Keys)
	if err != nil {
		return keySet{}, err
	}
	tsigKeys, err := tsig.New(content.TSIG)
	if err != nil {
		return keySet{}, err
	}
	revocations, err := a.revocationsInForce(content.Revoked)
	if err != nil {
		return keySet{}, err
	}
	return keySet{keys: keys, tsigKeys: tsigKeys, revocations: revocations}, nil
}

// revocationsInForce returns the revocations that have not ended.
func (a *authenticator) revocationsInForce(revoked []keydir.Revocation) (*identity.Revocations, error) {
	inForce := identity.NewRevocations(a.settings.authenticator.MaxRevocations)
	for _, revocation := range revoked {
		if revocation.Until <= a.server.clock.Unix() {
			continue
		}
		if err := inForce.Add(revocation.Kind, revocation.Name, revocation.Until); err != nil {
			return nil, err
		}
	}
	return inForce, nil
}

// watchFiles takes over what changes, until the process ends: the directory of keys, and the files of the listener for
// TLS.
func (a *authenticator) watchFiles() {
	never := make(chan struct{})
	if directory := a.settings.keyDirectory; directory != "" {
		// The folder above reports a directory that is replaced as a whole.
		folders := []string{directory, filepath.Dir(directory)}
		fingerprint := func() string { return keydir.Fingerprint(directory) }
		go files.Watch(never, folders, fingerprint, a.reloadKeys)
	}
	if a.tls != nil {
		paths := []string{a.settings.tls.Cert, a.settings.tls.Key, a.settings.tls.ClientCA}
		fingerprint := func() string { return files.Fingerprint(paths...) }
		go files.Watch(never, files.Directories(paths...), fingerprint, a.reloadCertificate)
	}
}

// reloadKeys reads the directory of keys beside the loop, and takes its content over there.
func (a *authenticator) reloadKeys() error {
	content, err := keydir.Read(a.settings.keyDirectory)
	a.server.loop.Post(func() {
		a.replaceKeys(content, err)
		a.server.loop.RequestRound()
	})
	return err
}

// reloadCertificate reads the files of the listener for TLS. It is called beside the loop.
func (a *authenticator) reloadCertificate() error {
	err := a.tls.Reload()
	a.server.certificatesReloaded(a.settings.tls.Cert, err)
	return err
}
