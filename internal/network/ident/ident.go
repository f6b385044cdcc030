// Package ident generates globally unique identifiers.
package ident

import (
	"crypto/rand"
)

// New returns a random identifier of 26 characters.
func New() string { return rand.Text() }
