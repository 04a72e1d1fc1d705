package namer

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxKeyBytes is the maximum length of a key in bytes.
const MaxKeyBytes = 128

// Key is the idempotency key that a client chose for its submission. It may
// start with the submission's home failure domain and a slash. If the rest is a
// UUID of version 7, the key also contains its creation time:
//
//	radom/01890a5d-ac96-774b-bcce-b302099a8057
type Key string

var errKeyLength = fmt.Errorf("key is empty or longer than %d bytes", MaxKeyBytes)

var errKeyCharacter = errors.New("key has a byte that is not a printable ASCII character")

// Validate returns an error if the key is empty, longer than MaxKeyBytes, or
// contains a byte that is not a printable ASCII character other than the space.
func (k Key) Validate() error {
	if k == "" || len(k) > MaxKeyBytes {
		return errKeyLength
	}
	for i := 0; i < len(k); i++ {
		if k[i] <= ' ' || k[i] > '~' {
			return errKeyCharacter
		}
	}
	return nil
}

// HomeDomain returns the failure domain that the key starts with, or "" for a bare
// key.
func (k Key) HomeDomain() Domain {
	domain, _, found := strings.Cut(string(k), "/")
	if !found {
		return ""
	}
	return Domain(domain)
}

// IssuedAt returns the creation time in the key's UUID of version 7, to the
// millisecond. The second result is false if the key has no such UUID.
func (k Key) IssuedAt() (time.Time, bool) {
	text := string(k)
	if _, rest, found := strings.Cut(text, "/"); found {
		text = rest
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// NewKey returns a new key with a UUID of version 7. The key starts with home
// unless home is empty.
func NewKey(home Domain) (Key, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("generate UUID: %w", err)
	}
	if home == "" {
		return Key(id.String()), nil
	}
	return Key(string(home) + "/" + id.String()), nil
}
