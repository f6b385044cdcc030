package routes

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func keyed(list ...Account) *Config {
	c := config()
	c.Keyed, c.Accounts = true, list
	return c
}

// An operator must learn which accounts are wrong, and nobody may learn a key from the error.
func TestInvalidAccountsAreRefusedWithoutTheirKeys(t *testing.T) {
	const secret = "s3cret-key"
	tests := []struct {
		name string
		c    *Config
		says []string
	}{
		{"shared key", keyed(Account{Name: "ada", Keys: []string{"k", secret}}, Account{Name: "bo", Keys: []string{secret}}), []string{"ada", "bo"}},
		{"same name", keyed(Account{Name: "ada"}, Account{Name: "ada", Keys: []string{secret}}), []string{"ada"}},
		{"no name", keyed(Account{Keys: []string{secret}}), []string{"accounts[0]"}},
		{"name with a line break", keyed(Account{Name: "a\nb"}), []string{"accounts[0]"}},
		{"empty key", keyed(Account{Name: "ada", Keys: []string{""}}), []string{"ada"}},
		{"key with a line break", keyed(Account{Name: "ada", Keys: []string{secret + "\r\n"}}), []string{"ada"}},
	}
	for _, tt := range tests {
		var invalid *InvalidError
		if err := tt.c.Validate(); !errors.As(err, &invalid) || invalid.Remedy == "" {
			t.Errorf("%s: got %v, want an error with a remedy", tt.name, err)
			continue
		}
		for _, want := range tt.says {
			if !strings.Contains(invalid.Error(), want) {
				t.Errorf("%s: %q does not name %s", tt.name, invalid, want)
			}
		}
		if strings.Contains(invalid.Error(), secret) {
			t.Errorf("%s: %q holds the key", tt.name, invalid)
		}
	}
	if err := keyed(Account{Name: "ada", Keys: []string{"k", "k"}}, Account{Name: "bo"}).Validate(); err != nil {
		t.Errorf("a key that one account lists twice was refused: %v", err)
	}
}

func TestKeysFindTheirAccounts(t *testing.T) {
	table := NewTable(keyed(Account{Name: "ada", Keys: []string{"k1", "k2"}}, Account{Name: "bo", Keys: []string{"k3"}}))
	for key, want := range map[string]string{"k1": "ada", "k2": "ada", "k3": "bo", "k4": "", "": "", "K1": ""} {
		got := ""
		if a := table.Account(key); a != nil {
			got = a.Name
		}
		if got != want {
			t.Errorf("key %q is of %q, want %q", key, got, want)
		}
	}
}

func BenchmarkAccountOfKey(b *testing.B) {
	for _, n := range []int{1, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var list []Account
			for i := range n {
				list = append(list, Account{Name: fmt.Sprint(i), Keys: []string{fmt.Sprintf("key-of-an-account-%032d", i)}})
			}
			table := NewTable(keyed(list...))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if table.Account(list[i%n].Keys[0]) == nil {
					b.Fatal("key not found")
				}
			}
		})
	}
}
