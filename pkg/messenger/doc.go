// Package messenger contains the gRPC services and messages of entry daemons and
// agents. buf generates its code from lentil.proto.
package messenger
