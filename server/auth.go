package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
)

// Identity is one caller as the settings name it.
type Identity struct {
	Name  string
	House string
	Token string
}

// identities finds callers by token. Tokens are compared by hash, so that neither their length nor their content
// shows in the time that a comparison takes.
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

var errToken = errors.New("expected the header Authorization: Bearer TOKEN with a token from the settings")

// find returns the identity of a request. All identities are compared whether or not one matched already.
func (ids identities) find(r *http.Request) (Identity, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range ids {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(hash[:], ids[i].hash[:]), i, found)
	}
	if !ok || token == "" || found < 0 {
		return Identity{}, errToken
	}
	return ids[found].Identity, nil
}
