package router

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/request/isolator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// maxClaimKeyBytes limits the keys of claims: the names of a team and of a service, and a key of at
// most identifier.MaxKeyBytes. Each is kept for hours.
const maxClaimKeyBytes = 1 << 10

func checkClaimKey(key string) error {
	if len(key) > maxClaimKeyBytes {
		return status.Errorf(codes.InvalidArgument, "the key of a claim has more than %d bytes", maxClaimKeyBytes)
	}
	return nil
}

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
	if err := checkClaimKey(req.GetKey()); err != nil {
		return nil, err
	}
	return s.daemon.claims.ClaimLocally(ctx, req)
}

// CompleteClaim implements messenger.EntryServer.
func (s *entryServer) CompleteClaim(ctx context.Context, req *messenger.CompleteClaimRequest) (*messenger.CompleteClaimReply, error) {
	if err := checkClaimKey(req.GetKey()); err != nil {
		return nil, err
	}
	return s.daemon.claims.CompleteClaimLocally(ctx, req)
}

// Suspect implements messenger.EntryServer.
func (s *entryServer) Suspect(ctx context.Context, req *messenger.SuspectRequest) (*messenger.SuspectReply, error) {
	if max(len(req.GetFingerprint()), len(req.GetVm()), len(req.GetTrial())) > isolator.MaxTextBytes {
		return nil, status.Errorf(codes.InvalidArgument, "a fingerprint, VM or permit has more than %d bytes", isolator.MaxTextBytes)
	}
	return s.daemon.isolation.SuspectHere(ctx, req)
}
