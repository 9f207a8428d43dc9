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

// identitySettings is the block `identity`: who may do what, and how callers show who they are.
type identitySettings struct {
	keyDirectory     string // empty: no tokens are accepted
	authenticator    identity.AuthenticatorConfig
	anonymousTenant  string // of callers without a token; empty: they are denied
	tenants          []identity.Tenant
	rulesByRole      map[string][]identity.Rule
	rolesByTenant    map[string][]string
	rights           *identity.Rights    // what the rules of tenants and roles come to
	tls              *tlslistener.Config // nil: no listener for TLS
	tenantByName     map[string]string   // by a name of a client certificate
	tenantByWildcard map[string]string   // by what follows "*." in such a name
}

// callerOf returns the tenant and the subject that the names of a client certificate stand for.
func (i *identitySettings) callerOf(names []string) (tenant, subject string) {
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

// section returns the directives of the block. Certificates are checked at the time that unixTime gives.
func (i *identitySettings) section(unixTime func() time.Time) *config.Section {
	i.authenticator = identity.Defaults()
	i.rulesByRole = map[string][]identity.Rule{}
	i.rolesByTenant = map[string][]string{}
	i.tenantByName = map[string]string{}
	i.tenantByWildcard = map[string]string{}
	section := &config.Section{}
	i.addTokenDirectives(section)
	section.Block("tls", false, "a listener for TLS 1.3", func([]string) (*config.Section, error) {
		i.tls = &tlslistener.Config{
			Now:               unixTime,
			MaxHandshakes:     64,
			HandshakeTimeout:  3 * time.Second,
			MaxConnections:    64,
			TicketKeyRotation: time.Hour,
		}
		return tlsListenerSection(i.tls), nil
	})
	section.Block("role", true, "rules that several tenants share", i.roleSection)
	section.Block("tenant", true, "what one tenant may do", i.tenantSection)
	section.Check(i.resolve)
	return section
}

// addTokenDirectives adds the directives of tokens, their checks and what is remembered of them.
func (i *identitySettings) addTokenDirectives(section *config.Section) {
	limits := &i.authenticator
	policy := &limits.Policy
	section.Text("keys", &i.keyDirectory, nil, "directory of keys.json and revoked; without it no tokens are taken")
	section.Text("audience", &policy.Audience, nil, "that a token must name; any without it")
	section.Duration("skew", &policy.Skew, 0, 5*time.Minute, "of the callers' clocks, either way")
	section.Duration("life-most", &policy.MaxLifetime, 0, 10*365*24*time.Hour, "longest life of a token; 0s: any")
	section.Text("unsigned", &i.anonymousTenant, nil, "tenant of callers without a token; they are refused without it")
	section.Rate("checks", &limits.ChecksPerSecond, 1, 1e6, "signatures checked a second")
	section.Rate("checks-connection", &limits.ChecksPerConnection, 1, 1e6, "for one connection")
	section.Rate("checks-source", &limits.ChecksPerSource, 1, 1e6, "and for all connections from one address")
	section.Int("tokens", &limits.MaxCachedTokens, 1, 10_000_000, "verified tokens remembered")
	section.Int("keyed", &limits.MaxIdempotencyKeys, 1, 10_000_000, "idempotency keys remembered")
	section.Int("revocations", &limits.MaxRevocations, 1, 10_000_000, "revocations held")
}

// addRuleDirectives adds the directives of rules.
func addRuleDirectives(section *config.Section, rules *[]identity.Rule) {
	for _, name := range []string{"right", "deny"} {
		section.Repeated(name, func(words []string) error {
			rule, err := identity.ParseRule(name == "deny", words)
			*rules = append(*rules, rule)
			return err
		}, "classes, or * for all, with front=, site=, group=, object=")
	}
}

// roleSection opens a block `role`.
func (i *identitySettings) roleSection(words []string) (*config.Section, error) {
	if len(words) != 1 {
		return nil, fmt.Errorf("expected the role's name, got %d words", len(words))
	}
	name := words[0]
	if _, exists := i.rulesByRole[name]; exists {
		return nil, fmt.Errorf("the role %s is named twice", name)
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

// tenantSection opens a block `tenant`.
func (i *identitySettings) tenantSection(words []string) (*config.Section, error) {
	if len(words) != 1 {
		return nil, fmt.Errorf("expected the tenant's name, got %d words", len(words))
	}
	tenant := identity.Tenant{Name: words[0]}
	var roles, certificates []string
	section := &config.Section{}
	section.Words("role", &roles, nil, "roles whose rules it has too")
	section.Words("certificate", &certificates, nil,
		"names of client certificates that are of it, or *.DOMAIN for all right below")
	addRuleDirectives(section, &tenant.Rules)
	section.Check(func() error { return i.addCertificates(tenant.Name, certificates) })
	section.Check(func() error {
		i.tenants = append(i.tenants, tenant)
		i.rolesByTenant[tenant.Name] = roles
		return nil
	})
	return section, nil
}

// addCertificates makes the names of client certificates a tenant's.
func (i *identitySettings) addCertificates(tenant string, names []string) error {
	for _, name := range names {
		tenants, key := i.tenantByName, name
		if parent, isWildcard := strings.CutPrefix(name, "*."); isWildcard {
			tenants, key = i.tenantByWildcard, parent
		}
		if other := tenants[key]; other != "" {
			return fmt.Errorf("certificate %s is of the tenant %s already", name, other)
		}
		tenants[key] = tenant
	}
	return nil
}

// resolve makes the rights of all tenants, and checks the directory of keys.
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

// resolveRoles adds the rules of its roles to each tenant.
func (i *identitySettings) resolveRoles() error {
	for index := range i.tenants {
		tenant := &i.tenants[index]
		for _, role := range i.rolesByTenant[tenant.Name] {
			rules, exists := i.rulesByRole[role]
			if !exists {
				return fmt.Errorf("tenant %s: there is no role %s", tenant.Name, role)
			}
			tenant.Rules = append(tenant.Rules, rules...)
		}
	}
	return nil
}

// tlsListenerSection returns the directives of the block `tls`.
func tlsListenerSection(listener *tlslistener.Config) *config.Section {
	section := &config.Section{}
	section.Text("listen", &listener.Listen, checkAddressPort, "where clients connect by TLS")
	section.Text("cert", &listener.Cert, nil, "file of our certificate")
	section.Text("key", &listener.Key, nil, "file of its key, readable by its owner alone")
	section.Text("client-ca", &listener.ClientCA, nil,
		"file of the authorities that sign clients; they show no certificates without it")
	section.Flag("client-needed", &listener.RequireClientCert, "whether a client must show a certificate")
	section.Int("handshakes", &listener.MaxHandshakes, 1, 10_000, "handshakes at once")
	section.Duration("limit", &listener.HandshakeTimeout, 10*time.Millisecond, time.Minute, "for one")
	section.Int("connections", &listener.MaxConnections, 1, 100_000, "connections; each takes three descriptors")
	section.Duration("tickets", &listener.TicketKeyRotation, time.Second, 24*time.Hour,
		"how often the key of session tickets changes; three are taken")
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
