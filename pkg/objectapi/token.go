package objectapi

import (
	"bytes"
	"crypto/rand"
)

// A stored value starts with a header that names the write that produced it:
// tokenMagic and a random token. A client that lost the answer of a write reads
// the value back and compares the token with its own. Values without the
// header, written by other programs, are passed through unchanged.
const (
	tokenMagic  = "\x00yt1"
	tokenBytes  = 16
	headerBytes = len(tokenMagic) + tokenBytes
)

type token [tokenBytes]byte

func newToken() token {
	var t token
	rand.Read(t[:]) // never fails, see crypto/rand
	return t
}

// seal puts the header of a write before the value.
func (t token) seal(value []byte) []byte {
	out := make([]byte, 0, headerBytes+len(value))
	out = append(out, tokenMagic...)
	out = append(out, t[:]...)
	return append(out, value...)
}

// open divides a stored value into its token and the value proper.
func open(stored []byte) (t token, value []byte) {
	if len(stored) < headerBytes || !bytes.HasPrefix(stored, []byte(tokenMagic)) {
		return token{}, stored
	}
	copy(t[:], stored[len(tokenMagic):])
	return t, stored[headerBytes:]
}
