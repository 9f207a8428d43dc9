package identity

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// Size limits of tokens in bytes.
const (
	MaxTokenBytes = 4096 // longer tokens are not parsed

	maxSubjectBytes = 256
	maxTenantBytes  = 256
	maxTokenIDBytes = 128
)

// Header parameters of a token (RFC 7515, section 4.1).
const (
	headerKeyID     = "kid"
	headerAlgorithm = "alg"
	headerCritical  = "crit"
)

// Claims holds the claims of a verified token. Times are Unix time.
type Claims struct {
	ID         string
	Subject    string
	Tenant     string
	KeyID      string        // of the key that signed the token
	Site       string        // that the subject calls from; empty if absent
	Thumbprint string        // of the client certificate that the token is bound to (RFC 8705); empty if none
	NotBefore  time.Duration // 0 if absent
	Expires    time.Duration
	Issued     time.Duration // 0 if absent
	audience   []string
}

// tokenBody is the JSON form of a token's claims.
type tokenBody struct {
	jwt.RegisteredClaims
	Tenant       string `json:"tenant"`
	Site         string `json:"site,omitempty"`
	Confirmation struct {
		Thumbprint string `json:"x5t#S256,omitempty"`
	} `json:"cnf,omitzero"`
}

// Policy holds the requirements on tokens besides a valid signature.
type Policy struct {
	Audience    string        // that tokens must name; empty: any
	Skew        time.Duration // tolerated clock difference in either direction
	MaxLifetime time.Duration // longest validity period of a token; 0: unlimited
}

// ParseHeader returns a token's key id and algorithm without checking its signature. The result may be used only to
// look up the key.
func ParseHeader(token string) (keyID string, algorithm Algorithm, reason Reason) {
	if token == "" {
		return "", "", Unsigned
	}
	if len(token) > MaxTokenBytes || strings.Count(token, ".") != 2 {
		return "", "", Malformed
	}
	var body tokenBody
	parsed, _, err := jwt.NewParser().ParseUnverified(token, &body)
	if err != nil {
		return "", "", Malformed
	}
	id, ok := parsed.Header[headerKeyID].(string)
	if !ok || ValidID(id) != nil || parsed.Header[headerCritical] != nil {
		return "", "", Malformed
	}
	name, _ := parsed.Header[headerAlgorithm].(string)
	if algorithm := Algorithm(name); algorithm == EdDSA || algorithm == ES256 {
		return id, algorithm, Allowed
	}
	return id, "", WrongAlgorithm
}

// Verify verifies a token's signature with a key and returns its claims. It is expensive, uses only its arguments, and
// may run on any goroutine. Policy.Check decides whether the claims are valid at a time.
func Verify(token string, key *Key) (Claims, Reason) {
	var body tokenBody
	// The key determines the algorithm, whatever the token's header says.
	methods := jwt.WithValidMethods([]string{string(key.Algorithm)})
	parser := jwt.NewParser(methods, jwt.WithoutClaimsValidation())
	_, err := parser.ParseWithClaims(token, &body, func(*jwt.Token) (any, error) { return key.Public, nil })
	if errors.Is(err, jwt.ErrTokenSignatureInvalid) {
		return Claims{}, BadSignature
	}
	if err != nil || !body.isComplete() {
		return Claims{}, Malformed
	}
	return Claims{
		ID:         body.ID,
		Subject:    body.Subject,
		Tenant:     body.Tenant,
		KeyID:      key.ID,
		Site:       body.Site,
		Thumbprint: body.Confirmation.Thumbprint,
		NotBefore:  sinceEpoch(body.NotBefore),
		Expires:    sinceEpoch(body.ExpiresAt),
		Issued:     sinceEpoch(body.IssuedAt),
		audience:   body.Audience,
	}, Allowed
}

// isComplete reports whether a token has all required claims within the size limits.
func (b *tokenBody) isComplete() bool {
	return b.Subject != "" && len(b.Subject) <= maxSubjectBytes &&
		b.ID != "" && len(b.ID) <= maxTokenIDBytes &&
		b.Tenant != "" && len(b.Tenant) <= maxTenantBytes &&
		sinceEpoch(b.ExpiresAt) > 0
}

// sinceEpoch returns a date as Unix time, or 0 if there is none.
func sinceEpoch(date *jwt.NumericDate) time.Duration {
	if date == nil {
		return 0
	}
	return time.Duration(date.UnixNano())
}

// numericDate is the inverse of sinceEpoch.
func numericDate(sinceEpoch time.Duration) *jwt.NumericDate {
	if sinceEpoch <= 0 {
		return nil
	}
	return jwt.NewNumericDate(time.Unix(0, int64(sinceEpoch)))
}

// Check decides whether claims are valid at a time, by their validity period, audience, key and the revocations. now is
// Unix time.
func (p *Policy) Check(now time.Duration, claims *Claims, keys *Keys, revoked *Revocations) Reason {
	return p.check(now, claims, keys, revoked, false)
}

// check implements Check. wasValid says that key and token have been valid before; they do not become pending again
// when the clock is set back.
func (p *Policy) check(now time.Duration, claims *Claims, keys *Keys, revoked *Revocations, wasValid bool) Reason {
	key := keys.Get(claims.KeyID)
	switch {
	case key == nil:
		return UnknownKey
	case revoked.hasToken(now, claims):
		return Revoked
	case key.State(now) == KeyRetired:
		return RetiredKey
	case key.State(now) == KeyPending && !wasValid:
		return NotYetValid
	case p.Audience != "" && !slices.Contains(claims.audience, p.Audience):
		return WrongAudience
	case now >= claims.Expires+p.Skew:
		return Expired
	case claims.NotBefore > 0 && now < claims.NotBefore-p.Skew && !wasValid:
		return NotYetValid
	case p.MaxLifetime > 0 && claims.Expires-max(claims.Issued, claims.NotBefore) > p.MaxLifetime:
		return Malformed
	}
	return Allowed
}

// Sign returns a signed token. key is the private key with the id keyID, an ed25519.PrivateKey for EdDSA or an
// *ecdsa.PrivateKey for ES256.
func Sign(claims Claims, audience string, algorithm Algorithm, keyID string, key any) (string, error) {
	var method jwt.SigningMethod
	switch algorithm {
	case EdDSA:
		method = jwt.SigningMethodEdDSA
	case ES256:
		method = jwt.SigningMethodES256
	default:
		return "", errors.New("unknown algorithm: " + string(algorithm))
	}
	body := tokenBody{Tenant: claims.Tenant, Site: claims.Site}
	body.ID = claims.ID
	body.Subject = claims.Subject
	body.Confirmation.Thumbprint = claims.Thumbprint
	if audience != "" {
		body.Audience = jwt.ClaimStrings{audience}
	}
	body.NotBefore = numericDate(claims.NotBefore)
	body.ExpiresAt = numericDate(claims.Expires)
	body.IssuedAt = numericDate(claims.Issued)
	token := jwt.NewWithClaims(method, body)
	token.Header[headerKeyID] = keyID
	return token.SignedString(key)
}

// ParseUnverified returns a token's header and claims without verifying its signature.
func ParseUnverified(token string) (header, claims map[string]any, err error) {
	if len(token) > MaxTokenBytes {
		return nil, nil, errors.New("token exceeds the maximum length")
	}
	body := jwt.MapClaims{}
	parsed, _, err := jwt.NewParser().ParseUnverified(token, body)
	if err != nil {
		return nil, nil, err
	}
	return parsed.Header, body, nil
}
