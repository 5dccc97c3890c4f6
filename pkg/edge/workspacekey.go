package edge

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

const (
	keySaltBytes = 32
	// keyDigestBytes is the length of a digest in a log line: enough to distinguish the
	// keys of a deployment.
	keyDigestBytes = 8
)

// keyDigests makes digests of keys for log lines. The salt is random and not kept, so that
// nobody who reads the log can try keys, and digests of different processes differ.
type keyDigests struct{ salt [keySaltBytes]byte }

func newKeyDigests() keyDigests {
	var d keyDigests
	_, _ = rand.Read(d.salt[:]) // never fails, see crypto/rand
	return d
}

// text returns the digest of a key; empty without a key.
func (d *keyDigests) text(key string) string {
	if key == "" {
		return ""
	}
	h := hmac.New(sha256.New, d.salt[:])
	_, _ = h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil)[:keyDigestBytes])
}
