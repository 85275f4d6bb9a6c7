package router

import (
	"context"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// entryServer serves the gRPC calls of agents and other entry daemons.
type entryServer struct {
	messenger.UnimplementedEntryServer
	daemon *daemon
}

// Session implements messenger.EntryServer.
func (s *entryServer) Session(stream messenger.Entry_SessionServer) error {
	return s.daemon.membership.Session(stream)
}

// Exchange implements messenger.EntryServer.
func (s *entryServer) Exchange(stream messenger.Entry_ExchangeServer) error {
	return s.daemon.membership.Exchange(stream)
}

// Revision implements messenger.EntryServer.
func (s *entryServer) Revision(ctx context.Context, req *messenger.RevisionRequest) (*messenger.RevisionReply, error) {
	return s.daemon.configuration.Revision(ctx, req)
}

// Claim implements messenger.EntryServer.
func (s *entryServer) Claim(ctx context.Context, req *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	return s.daemon.claims.ClaimLocally(ctx, req)
}

// CompleteClaim implements messenger.EntryServer.
func (s *entryServer) CompleteClaim(ctx context.Context, req *messenger.CompleteClaimRequest) (*messenger.CompleteClaimReply, error) {
	return s.daemon.claims.CompleteClaimLocally(ctx, req)
}

// Suspect implements messenger.EntryServer.
func (s *entryServer) Suspect(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	return s.daemon.isolation.SuspectHere(ctx, req)
}
