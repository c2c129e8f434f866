package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
)

// Identity is one caller of the settings: its name, house and token.
type Identity struct {
	Name  string
	House string
	Token string
}

// identities finds callers by token. Tokens are compared by hash, so that the time of a comparison reveals
// neither their length nor their content.
type identities []hashedIdentity

type hashedIdentity struct {
	Identity
	hash [sha256.Size]byte
}

func newIdentities(ids []Identity) identities {
	out := make(identities, 0, len(ids))
	for _, id := range ids {
		out = append(out, hashedIdentity{Identity: id, hash: sha256.Sum256([]byte(id.Token))})
	}
	return out
}

var errInvalidToken = errors.New("expected the header Authorization: Bearer TOKEN with a token from the settings")

// find returns the identity of a request. It compares all identities even after a match, so that its
// time doesn't depend on which one matched.
func (ids identities) find(r *http.Request) (Identity, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range ids {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(hash[:], ids[i].hash[:]), i, found)
	}
	if !ok || token == "" || found < 0 {
		return Identity{}, errInvalidToken
	}
	return ids[found].Identity, nil
}
