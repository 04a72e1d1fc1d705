package namer

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxKeyBytes is the longest key that a client may choose, in bytes.
const MaxKeyBytes = 128

// Key is what a client chose to name its submission. It may start with its
// home failure domain and a slash, and it shows its age where the rest is a
// UUID of version 7:
//
//	radom/01890a5d-ac96-774b-bcce-b302099a8057
type Key string

var errKeyLength = fmt.Errorf("key is empty or longer than %d bytes", MaxKeyBytes)

var errKeyByte = errors.New("key has a byte that is not a printable ASCII character")

// Check returns an error where the key is empty, too long, or has bytes that
// are not printable ASCII.
func (k Key) Check() error {
	if k == "" || len(k) > MaxKeyBytes {
		return errKeyLength
	}
	for i := 0; i < len(k); i++ {
		if k[i] <= ' ' || k[i] > '~' {
			return errKeyByte
		}
	}
	return nil
}

// Home returns the failure domain that the key names, or "" for a bare key.
func (k Key) Home() Domain {
	home, _, found := strings.Cut(string(k), "/")
	if !found {
		return ""
	}
	return Domain(home)
}

// Issued returns the time at which a UUID of version 7 was made. The second
// result is false where the key does not show its age.
func (k Key) Issued() (time.Time, bool) {
	name := string(k)
	if _, rest, found := strings.Cut(name, "/"); found {
		name = rest
	}
	id, err := uuid.Parse(name)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// NewKey makes a key that names its home, where home is not empty, and shows
// its age.
func NewKey(home Domain) (Key, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("new key: %w", err)
	}
	if home == "" {
		return Key(id.String()), nil
	}
	return Key(string(home) + "/" + id.String()), nil
}
