package proxy

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"sloequay/internal/config"
	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
	"sloequay/internal/identity/tlslistener"
)

// identitySettings holds the settings in the block `identity`: how callers authenticate and what they may do.
type identitySettings struct {
	keyDirectory     string // empty: no tokens are accepted
	authenticator    identity.AuthenticatorConfig
	anonymousTenant  string // of callers without a token; empty: they are denied
	tenants          []identity.Tenant
	rulesByRole      map[string][]identity.Rule
	rolesByTenant    map[string][]string
	rights           *identity.Rights    // the rules of all tenants, with those of their roles
	tls              *tlslistener.Config // nil: no TLS listener
	tenantByName     map[string]string   // by a name in a client certificate
	tenantByWildcard map[string]string   // by parent domain: the wildcard name without its "*."
}

// callerFor returns the tenant of the first name in a client certificate that belongs to one, and that name as the
// subject; both are empty if no name does.
func (i *identitySettings) callerFor(names []string) (tenant, subject string) {
	for _, name := range names {
		if tenant := i.tenantByName[name]; tenant != "" {
			return tenant, name
		}
		if _, parent, found := strings.Cut(name, "."); found && i.tenantByWildcard[parent] != "" {
			return i.tenantByWildcard[parent], name
		}
	}
	return "", ""
}

// section returns the directives of the block. The validity of certificates is checked against unixTime.
func (i *identitySettings) section(unixTime func() time.Time) *config.Section {
	i.authenticator = identity.Defaults()
	i.rulesByRole = map[string][]identity.Rule{}
	i.rolesByTenant = map[string][]string{}
	i.tenantByName = map[string]string{}
	i.tenantByWildcard = map[string]string{}
	section := &config.Section{}
	i.addTokenDirectives(section)
	section.Block("tls", false, "TLS 1.3 listener", func([]string) (*config.Section, error) {
		i.tls = &tlslistener.Config{
			Now:               unixTime,
			MaxHandshakes:     64,
			HandshakeTimeout:  3 * time.Second,
			MaxConnections:    64,
			TicketKeyRotation: time.Hour,
		}
		return tlsListenerSection(i.tls), nil
	})
	section.Block("role", true, "rules that tenants can share", i.roleSection)
	section.Block("tenant", true, "rights of a tenant", i.tenantSection)
	section.Check(i.resolve)
	return section
}

// addTokenDirectives adds the directives for tokens, signature checks and the sizes of caches.
func (i *identitySettings) addTokenDirectives(section *config.Section) {
	limits := &i.authenticator
	policy := &limits.Policy
	section.Text("keys", &i.keyDirectory, nil, "directory of keys.json and revoked; default: no tokens are accepted")
	section.Text("audience", &policy.Audience, nil, "audience that a token must name; default: any")
	section.Duration("skew", &policy.Skew, 0, 5*time.Minute, "tolerated skew of callers' clocks, in both directions")
	section.Duration("life-most", &policy.MaxLifetime, 0, 10*365*24*time.Hour, "maximum lifetime of a token; 0s: any")
	section.Text("unsigned", &i.anonymousTenant, nil, "tenant of callers without a token; default: they are denied")
	section.Rate("checks", &limits.ChecksPerSecond, 1, 1e6, "signature checks per second, in all")
	section.Rate("checks-connection", &limits.ChecksPerConnection, 1, 1e6, "signature checks per second per connection")
	section.Rate("checks-source", &limits.ChecksPerSource, 1, 1e6, "signature checks per second per source address")
	section.Int("tokens", &limits.MaxCachedTokens, 1, 10_000_000, "maximum number of verified tokens cached")
	section.Int("keyed", &limits.MaxIdempotencyKeys, 1, 10_000_000, "maximum number of idempotency keys kept")
	section.Int("revocations", &limits.MaxRevocations, 1, 10_000_000, "maximum number of revocations")
}

// addRuleDirectives adds the directives `right` and `deny`, which append to rules.
func addRuleDirectives(section *config.Section, rules *[]identity.Rule) {
	for _, name := range []string{"right", "deny"} {
		section.Repeated(name, func(words []string) error {
			rule, err := identity.ParseRule(name == "deny", words)
			*rules = append(*rules, rule)
			return err
		}, "classes, or * for all; may be restricted by front=, site=, group=, object=")
	}
}

// roleSection returns the directives of a block `role`. Its only word is the name of the role.
func (i *identitySettings) roleSection(words []string) (*config.Section, error) {
	if len(words) != 1 {
		return nil, fmt.Errorf("expected the role's name, got %d words", len(words))
	}
	name := words[0]
	if _, exists := i.rulesByRole[name]; exists {
		return nil, fmt.Errorf("the role %s is defined twice", name)
	}
	i.rulesByRole[name] = nil
	var rules []identity.Rule
	section := &config.Section{}
	addRuleDirectives(section, &rules)
	section.Check(func() error {
		i.rulesByRole[name] = rules
		return nil
	})
	return section, nil
}

// tenantSection returns the directives of a block `tenant`. Its only word is the name of the tenant.
func (i *identitySettings) tenantSection(words []string) (*config.Section, error) {
	if len(words) != 1 {
		return nil, fmt.Errorf("expected the tenant's name, got %d words", len(words))
	}
	tenant := identity.Tenant{Name: words[0]}
	var roles, certificates []string
	section := &config.Section{}
	section.Words("role", &roles, nil, "roles whose rules apply to the tenant too")
	section.Words("certificate", &certificates, nil,
		"names in its client certificates; *.DOMAIN stands for all names one level below DOMAIN")
	addRuleDirectives(section, &tenant.Rules)
	section.Check(func() error { return i.addCertificates(tenant.Name, certificates) })
	section.Check(func() error {
		i.tenants = append(i.tenants, tenant)
		i.rolesByTenant[tenant.Name] = roles
		return nil
	})
	return section, nil
}

// addCertificates assigns the names of client certificates to a tenant.
func (i *identitySettings) addCertificates(tenant string, names []string) error {
	for _, name := range names {
		tenants, key := i.tenantByName, name
		if parent, isWildcard := strings.CutPrefix(name, "*."); isWildcard {
			tenants, key = i.tenantByWildcard, parent
		}
		if other := tenants[key]; other != "" {
			return fmt.Errorf("certificate %s already belongs to tenant %s", name, other)
		}
		tenants[key] = tenant
	}
	return nil
}

// resolve computes the rights of all tenants, and checks the key directory.
func (i *identitySettings) resolve() error {
	if err := i.resolveRoles(); err != nil {
		return err
	}
	rights, err := identity.NewRights(i.tenants, i.anonymousTenant)
	if err != nil {
		return err
	}
	i.rights = rights
	if i.keyDirectory != "" {
		_, err = keydir.Read(i.keyDirectory)
	}
	return err
}

// resolveRoles adds to each tenant the rules of its roles.
func (i *identitySettings) resolveRoles() error {
	for index := range i.tenants {
		tenant := &i.tenants[index]
		for _, role := range i.rolesByTenant[tenant.Name] {
			rules, exists := i.rulesByRole[role]
			if !exists {
				return fmt.Errorf("tenant %s: unknown role %s", tenant.Name, role)
			}
			tenant.Rules = append(tenant.Rules, rules...)
		}
	}
	return nil
}

// tlsListenerSection returns the directives of the block `tls`.
func tlsListenerSection(listener *tlslistener.Config) *config.Section {
	section := &config.Section{}
	section.Text("listen", &listener.Listen, checkAddressPort, "ip:port of the listener")
	section.Text("cert", &listener.Cert, nil, "file with the proxy's certificate")
	section.Text("key", &listener.Key, nil, "file with its private key, readable only by its owner")
	section.Text("client-ca", &listener.ClientCA, nil,
		"file with the CA certificates for clients; default: no client certificates are requested")
	section.Flag("client-needed", &listener.RequireClientCert, "whether clients must present a certificate")
	section.Int("handshakes", &listener.MaxHandshakes, 1, 10_000, "maximum number of concurrent handshakes")
	section.Duration("limit", &listener.HandshakeTimeout, 10*time.Millisecond, time.Minute, "timeout of a handshake")
	section.Int("connections", &listener.MaxConnections, 1, 100_000,
		"maximum number of connections; each takes three descriptors")
	section.Duration("tickets", &listener.TicketKeyRotation, time.Second, 24*time.Hour,
		"rotation interval of the key for session tickets; the last three keys are accepted")
	section.Check(func() error {
		if listener.Listen == "" {
			return errors.New("listen is missing")
		}
		_, err := tlslistener.Load(*listener)
		return err
	})
	return section
}

func checkAddressPort(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("expected ip:port, got %q", address)
	}
	return nil
}
