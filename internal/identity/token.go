package identity

import (
	"errors"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// MaxTokenBytes is the longest token that is looked at, in bytes.
const MaxTokenBytes = 4096

// Claims is what a verified token says. Times are on the Unix clock.
type Claims struct {
	ID, Subject, Tenant string
	KeyID               string
	Site                string
	Thumbprint          string // of the client certificate that it is bound to (RFC 8705); empty: to none
	NotBefore, Expires  time.Duration
	Issued              time.Duration
	audience            []string
}

// body is a token's claims in JSON.
type body struct {
	jwt.RegisteredClaims
	Tenant       string `json:"tenant"`
	Site         string `json:"site,omitempty"`
	Confirmation struct {
		Thumbprint string `json:"x5t#S256,omitempty"`
	} `json:"cnf,omitzero"`
}

// Policy is what tokens are held to beside their signature.
type Policy struct {
	Audience    string
	Skew        time.Duration // of the callers' clocks, either way
	MaxLifetime time.Duration // a token may be valid for so long at most; 0: any time
}

// ParseHeader reads a token's key id and algorithm, read without its signature: it says which key to look for and nothing more.
func ParseHeader(token string) (keyID string, algorithm Algorithm, reason Reason) {
	if token == "" {
		return "", "", Unsigned
	}
	if len(token) > MaxTokenBytes || strings.Count(token, ".") != 2 {
		return "", "", Malformed
	}
	var b body
	parsed, _, err := jwt.NewParser().ParseUnverified(token, &b)
	if err != nil {
		return "", "", Malformed
	}
	id, ok := parsed.Header["kid"].(string)
	if !ok || ValidID(id) != nil || parsed.Header["crit"] != nil {
		return "", "", Malformed
	}
	alg, _ := parsed.Header["alg"].(string)
	if a := Algorithm(alg); a == EdDSA || a == ES256 {
		return id, a, Allowed
	}
	return id, "", WrongAlgorithm
}

// Verify checks a token's signature by a key, and reads its claims. It costs what a signature costs, and may run anywhere:
// it touches nothing but its arguments. Whether the claims hold at a time is Check's to say.
func Verify(token string, k *Key) (Claims, Reason) {
	var b body
	// The algorithm is the key's, whatever the token says.
	parser := jwt.NewParser(jwt.WithValidMethods([]string{string(k.Algorithm)}), jwt.WithoutClaimsValidation())
	_, err := parser.ParseWithClaims(token, &b, func(t *jwt.Token) (any, error) { return k.Public, nil })
	switch {
	case err == nil:
	case errors.Is(err, jwt.ErrTokenSignatureInvalid):
		return Claims{}, Signature
	default:
		return Claims{}, Malformed
	}
	c := Claims{ID: b.ID, Subject: b.Subject, Tenant: b.Tenant, KeyID: k.ID, Site: b.Site, Thumbprint: b.Confirmation.Thumbprint}
	for date, to := range map[*jwt.NumericDate]*time.Duration{b.NotBefore: &c.NotBefore, b.ExpiresAt: &c.Expires, b.IssuedAt: &c.Issued} {
		if date != nil {
			*to = time.Duration(date.UnixNano())
		}
	}
	if c.Subject == "" || c.ID == "" || c.Expires <= 0 || c.Tenant == "" || len(c.Subject) > 256 || len(c.ID) > 128 || len(c.Tenant) > 256 {
		return Claims{}, Malformed
	}
	c.audience = b.Audience
	return c, Allowed
}

// Check says whether claims hold at a time: their own times and audience, their key, and what was revoked.
func (p *Policy) Check(now time.Duration, c *Claims, keys *Keys, revoked *Revocations) Reason {
	return p.check(now, c, keys, revoked, false)
}

// check is Check; begun says that key and token were in force before: a clock that is set back does not undo that.
func (p *Policy) check(now time.Duration, c *Claims, keys *Keys, revoked *Revocations, begun bool) Reason {
	k := keys.Get(c.KeyID)
	switch {
	case k == nil:
		return UnknownKey
	case revoked.Has(now, RevokedKey, c.KeyID), revoked.Has(now, RevokedSubject, c.Subject), revoked.Has(now, RevokedToken, c.ID):
		return Revoked
	case k.State(now) == KeyRetired:
		return Retired
	case k.State(now) == KeyPending && !begun:
		return NotYet
	case p.Audience != "" && !contains(c.audience, p.Audience):
		return Audience
	case now >= c.Expires+p.Skew:
		return Expired
	case c.NotBefore > 0 && now < c.NotBefore-p.Skew && !begun:
		return NotYet
	case p.MaxLifetime > 0 && c.Expires-max(c.Issued, c.NotBefore) > p.MaxLifetime:
		return Malformed
	}
	return Allowed
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Sign makes a token; key is an ed25519.PrivateKey or an *ecdsa.PrivateKey, of the algorithm and id told.
func Sign(c Claims, audience string, algorithm Algorithm, keyID string, key any) (string, error) {
	var method jwt.SigningMethod
	switch algorithm {
	case EdDSA:
		method = jwt.SigningMethodEdDSA
	case ES256:
		method = jwt.SigningMethodES256
	default:
		return "", errors.New("no such algorithm: " + string(algorithm))
	}
	b := body{Tenant: c.Tenant, Site: c.Site}
	b.ID, b.Subject = c.ID, c.Subject
	b.Confirmation.Thumbprint = c.Thumbprint
	if audience != "" {
		b.Audience = jwt.ClaimStrings{audience}
	}
	date := func(d time.Duration) *jwt.NumericDate {
		if d <= 0 {
			return nil
		}
		return jwt.NewNumericDate(time.Unix(0, int64(d)))
	}
	b.NotBefore, b.ExpiresAt, b.IssuedAt = date(c.NotBefore), date(c.Expires), date(c.Issued)
	t := jwt.NewWithClaims(method, b)
	t.Header["kid"] = keyID
	return t.SignedString(key)
}

// ParseUnverified returns what a token says, whether or not its signature holds.
func ParseUnverified(token string) (head, claims map[string]any, err error) {
	if len(token) > MaxTokenBytes {
		return nil, nil, errors.New("the token is too long")
	}
	m := jwt.MapClaims{}
	parsed, _, err := jwt.NewParser().ParseUnverified(token, m)
	if err != nil {
		return nil, nil, err
	}
	return parsed.Header, m, nil
}
