// Package adapter defines the interfaces to external systems and their HTTP
// clients: the object API, the weight source, the VM list, model engines and plain
// services.
package adapter
