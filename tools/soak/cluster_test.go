package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// TestNetworkOfAnotherSoak guards against a soak that does not start because another one uses
// the network of its number.
func TestNetworkOfAnotherSoak(t *testing.T) {
	const number = 7
	var first, second cluster
	first.store, second.store = simulator.NewStore(), simulator.NewStore()
	qt.Assert(t, first.serveStore(number), qt.IsNil)
	defer first.closers[0]()
	qt.Assert(t, second.serveStore(number), qt.IsNil)
	defer second.closers[0]()
	qt.Assert(t, second.networkOctet, qt.Not(qt.Equals), first.networkOctet)
}
