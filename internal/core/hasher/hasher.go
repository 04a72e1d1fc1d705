// Package hasher provides the hashes that all instances compute alike.
package hasher

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// String returns the hash of a name.
func String(name string) uint64 { return xxhash.Sum64String(name) }

// Addr returns the hash of an IP address.
func Addr(addr netip.Addr) uint64 {
	b := addr.As16()
	return xxhash.Sum64(b[:])
}

// Mix combines two hashes with the finalizer of SplitMix64.
func Mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
