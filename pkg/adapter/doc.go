// Package adapter holds the narrow interfaces to the outside systems: the
// object API, the source of weights, the list of VMs, model engines and plain
// services, with clients for them over HTTP.
package adapter
