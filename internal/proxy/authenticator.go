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
	verifierCount = 2 // goroutines that check signatures
	// maxAuditSubjects is the maximum number of pairs of subject and reason that the audit log limits separately.
	maxAuditSubjects = 4096
	// maxSourceAddresses is the maximum number of client addresses whose budgets for signature checks are kept.
	maxSourceAddresses = 4096
	// expiryBatchSize is the number of cached tokens that one housekeeping run checks for expiry.
	expiryBatchSize = 256
)

// authenticator authenticates and authorizes requests on their way from the frontends to the broker, if identity is on.
// Its methods run on the event loop unless their comments say otherwise; signatures are checked on other goroutines.
type authenticator struct {
	server        *server
	settings      *identitySettings
	stateMachine  *identity.Authenticator
	audit         *identity.AuditLimiter
	sources       *identity.Sources
	jobs          chan *identity.SignatureJob
	tsigKeys      *tsig.Keys            // for DNS
	tls           *tlslistener.Listener // nil: no TLS listener
	keys          keydir.Content        // content of the key directory in force
	lastKeysError string                // last logged error about the key directory; empty once it is valid again
}

// newAuthenticator returns the authenticator of a server whose loop is running, and opens the TLS listener.
func newAuthenticator(server *server, settings *identitySettings) *authenticator {
	created := &authenticator{
		server:       server,
		settings:     settings,
		stateMachine: identity.NewAuthenticator(settings.authenticator, settings.rights),
		audit:        identity.NewAuditLimiter(maxAuditSubjects),
		sources:      identity.NewSources(maxSourceAddresses),
		jobs:         make(chan *identity.SignatureJob, settings.authenticator.MaxWaiting),
	}
	for range verifierCount {
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

// verifySignatures checks signatures until the process ends. It runs on a separate goroutine.
func (a *authenticator) verifySignatures() {
	for job := range a.jobs {
		claims, reason := identity.Verify(job.Token, job.Key)
		a.server.loop.Post(func() {
			now := a.server.clock.Monotonic()
			for _, outcome := range a.stateMachine.SignatureChecked(now, job, claims, reason) {
				a.handleOutcome(outcome)
			}
			a.server.loop.RequestRound()
		})
	}
}

// listenTLS opens the TLS listener. If that fails, the proxy serves without it.
func (a *authenticator) listenTLS() {
	settings := *a.settings.tls
	settings.MaxConnections = a.server.descriptors.TLS
	log := func(event string, fields ...any) {
		a.server.loop.Post(func() { a.server.log.Event(event, fields...) })
	}
	listener, err := tlslistener.Open(settings, a.settings.callerFor, a.adoptConnection, log)
	if err != nil {
		log("tls-listener-failed", "error", err)
	}
	a.tls = listener
}

// adoptConnection passes a client's TLS connection to the event loop, to be served like any other, and reports whether
// that succeeded. It runs on the connection's goroutine.
func (a *authenticator) adoptConnection(conn net.Conn, caller identity.Caller) bool {
	server := a.server
	accepted := make(chan eventloop.Handler, 1)
	server.loop.Post(func() { accepted <- server.frontend.AcceptFrom(conn.RemoteAddr(), caller) })
	handler := <-accepted
	if handler == nil { // the limit on client connections is reached
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

// lookupSource returns the identity.Source of the address from which a client connects.
func (a *authenticator) lookupSource(remote string) *identity.Source {
	address, _ := netip.ParseAddr(remote)
	return a.sources.Of(address)
}

// authenticate starts to authenticate a request from a frontend. The outcome is handled now, or after the signature of
// the request's token has been checked.
func (a *authenticator) authenticate(request *broker.Request) {
	outcome, job := a.stateMachine.Authenticate(a.server.clock.Monotonic(), a.newCall(request))
	switch {
	case outcome != nil:
		a.handleOutcome(outcome)
	case job != nil:
		a.jobs <- job // does not block: the channel has capacity for MaxWaiting jobs
	}
}

// newCall returns the call that describes a request to the authenticator's state machine.
func (a *authenticator) newCall(request *broker.Request) *identity.Call {
	class := a.server.plan.platform.Policy.Classes[request.Class]
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

// handleOutcome passes an admitted request on, or rejects or denies the request. The team of an admitted request is set
// to the caller's tenant, unless the caller is anonymous and names a team.
func (a *authenticator) handleOutcome(outcome *identity.Outcome) {
	request := outcome.Call.Data.(*broker.Request)
	if outcome.Reason != identity.Allowed || outcome.Call.IdempotencyKey != "" {
		a.logDecision(outcome, request)
	}
	if request.Canceled {
		request.ReleaseMemory()
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

// logDecision writes the audit log line of a decision, unless its subject has exceeded the rate for such lines.
func (a *authenticator) logDecision(outcome *identity.Outcome, request *broker.Request) {
	subject := outcome.Subject
	if subject == "" {
		subject = "-"
	}
	omitted, shouldLog := a.audit.ShouldLog(a.server.clock.Monotonic(), subject+" "+outcome.Reason.String())
	if !shouldLog {
		return
	}
	a.server.log.Event("audit", "reason", outcome.Reason, "subject", subject, "tenant", outcome.Tenant,
		"key", outcome.KeyID, "class", outcome.Call.Access.Class, "front", outcome.Call.Caller.Frontend,
		"rule", outcome.Rule, "request", request.ID, "omitted", omitted)
}

// expire removes expired entries, such as cached tokens.
func (a *authenticator) expire(now time.Duration) { a.stateMachine.Expire(now, expiryBatchSize) }

// clockStepped applies the content of the key directory again after a step of the Unix clock: revocations that had
// ended only because the clock was ahead must hold again after it is set back.
func (a *authenticator) clockStepped() {
	if a.settings.keyDirectory != "" {
		a.replaceKeys(a.keys, nil)
	}
}

// keySet holds the keys and revocations made from the content of the key directory.
type keySet struct {
	keys        *identity.Keys
	tsigKeys    *tsig.Keys
	revocations *identity.Revocations
}

// replaceKeys puts the content of the key directory in force. If it is invalid or err is not nil, the old content
// stays in force, and the error is logged unless it is the same as the last one.
func (a *authenticator) replaceKeys(content keydir.Content, err error) {
	var next keySet
	if err == nil {
		next, err = a.makeKeySet(content)
	}
	if err != nil {
		if a.lastKeysError != err.Error() {
			a.lastKeysError = err.Error()
			a.server.log.Event("keys-rejected", "error", err)
		}
		return
	}
	a.lastKeysError = ""
	a.tsigKeys = next.tsigKeys
	a.keys = content
	a.stateMachine.SetKeys(next.keys)
	a.stateMachine.SetRevocations(next.revocations)
	signer := "-"
	if key := next.keys.Signer(a.server.clock.Unix()); key != nil {
		signer = key.ID
	}
	a.server.log.Event("keys-loaded", "keys", len(content.Keys), "signing", signer, "shared", len(content.TSIG),
		"revocations", next.revocations.Len())
}

// makeKeySet checks the content of the key directory against the keys in force, and returns the key set made of it.
func (a *authenticator) makeKeySet(content keydir.Content) (keySet, error) {
	keys, err := a.stateMachine.Keys().Replace(content.Keys)
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

// watchFiles reloads the key directory and the files of the TLS listener when they change, until the process ends.
func (a *authenticator) watchFiles() {
	never := make(chan struct{})
	if directory := a.settings.keyDirectory; directory != "" {
		// Watching the parent directory too shows when the directory is replaced as a whole.
		directories := []string{directory, filepath.Dir(directory)}
		fingerprint := func() string { return keydir.Fingerprint(directory) }
		go files.Watch(never, directories, fingerprint, a.reloadKeys)
	}
	if a.tls != nil {
		paths := []string{a.settings.tls.Cert, a.settings.tls.Key, a.settings.tls.ClientCA}
		fingerprint := func() string { return files.Fingerprint(paths...) }
		go files.Watch(never, files.Directories(paths...), fingerprint, a.reloadCertificate)
	}
}

// reloadKeys reads the key directory and puts its content in force on the event loop. It runs on another goroutine.
func (a *authenticator) reloadKeys() error {
	content, err := keydir.Read(a.settings.keyDirectory)
	a.server.loop.Post(func() {
		a.replaceKeys(content, err)
		a.server.loop.RequestRound()
	})
	return err
}

// reloadCertificate reloads the files of the TLS listener. It runs on another goroutine than the event loop's.
func (a *authenticator) reloadCertificate() error {
	err := a.tls.Reload()
	a.server.certificatesReloaded(a.settings.tls.Cert, err)
	return err
}
