package routes

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"strings"
)

// Account is a client account. Its requests carry one of its keys.
type Account struct {
	Name     string
	Keys     []string // secret: never logged, never sent to an instance
	Priority int      // replaces the route's; 0 is the most urgent
}

// maxAccountNameBytes bounds the name of an account, which instances receive in a header.
const maxAccountNameBytes = 256

// validateAccounts returns an *InvalidError for the first problem. Errors never hold a key,
// as they are logged and sent to operators.
func (c *Config) validateAccounts() error {
	names, holders := make(map[string]int, len(c.Accounts)), map[string]int{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		field := accountField(i, a.Name)
		if !headerText(a.Name) || len(a.Name) > maxAccountNameBytes {
			return &InvalidError{field, "has no name that fits a header", fmt.Sprintf("use 1 to %d bytes without control characters, and no space at either end", maxAccountNameBytes)}
		}
		if first, ok := names[a.Name]; ok {
			return &InvalidError{field, fmt.Sprintf("accounts %d and %d have the same name", first, i), "give each account a name of its own"}
		}
		names[a.Name] = i
		for n, key := range a.Keys {
			if !headerText(key) {
				return &InvalidError{field, fmt.Sprintf("its key %d cannot be sent in a header", n), "use at least one byte, no control characters and no space at either end"}
			}
			if first, ok := holders[key]; ok && first != i {
				return &InvalidError{field, fmt.Sprintf("it shares a key with %s", accountField(first, c.Accounts[first].Name)), "issue a new key to one of both accounts"}
			}
			holders[key] = i
		}
	}
	return nil
}

func accountField(i int, name string) string {
	return fmt.Sprintf("accounts[%d] %q", i, name[:min(len(name), maxAccountNameBytes)])
}

// headerText reports whether a text passes unchanged through a header field.
func headerText(s string) bool {
	return s != "" && strings.TrimSpace(s) == s && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// keyDigest is the name under which a key is looked up.
type keyDigest [sha256.Size]byte

// keyIndex finds the account of a key. It looks up digests with a random salt: how long a
// lookup takes depends on the length of the key, and on its content only through the digest,
// which callers can neither calculate nor choose.
type keyIndex struct {
	salt     [sha256.Size]byte
	accounts map[keyDigest]*Account
}

func newKeyIndex(accounts []Account) keyIndex {
	x := keyIndex{accounts: map[keyDigest]*Account{}}
	_, _ = rand.Read(x.salt[:]) // never fails
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			x.accounts[x.digest(key)] = &accounts[i]
		}
	}
	return x
}

func (x *keyIndex) digest(key string) keyDigest {
	buffer := make([]byte, 0, 128) // on the stack for keys of the usual length
	return sha256.Sum256(append(append(buffer, x.salt[:]...), key...))
}

// Account returns the account that holds a key, nil if none does.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.keys.accounts[t.keys.digest(key)]
}
