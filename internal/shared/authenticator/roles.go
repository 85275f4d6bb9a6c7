package authenticator

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// methodRoles holds the role that may call each gRPC method. Calls of methods that are not
// listed are denied.
var methodRoles = map[string]Role{
	messenger.Agent_Attempt_FullMethodName:       RoleEntry,
	messenger.Agent_Reserve_FullMethodName:       RoleEntry,
	messenger.Agent_Cancel_FullMethodName:        RoleEntry,
	messenger.Agent_AttemptStatus_FullMethodName: RoleEntry,
	messenger.Agent_ClaimedCalls_FullMethodName:  RoleEntry,
	messenger.Agent_Order_FullMethodName:         RoleEntry,
	messenger.Chunks_Manifest_FullMethodName:     RoleAgent,
	messenger.Chunks_Have_FullMethodName:         RoleAgent,
	messenger.Chunks_Get_FullMethodName:          RoleAgent,
	messenger.Entry_Session_FullMethodName:       RoleAgent,
	messenger.Entry_Exchange_FullMethodName:      RoleEntry,
	messenger.Entry_Revision_FullMethodName:      RoleEntry,
	messenger.Entry_Claim_FullMethodName:         RoleEntry,
	messenger.Entry_CompleteClaim_FullMethodName: RoleEntry,
	messenger.Entry_Suspect_FullMethodName:       RoleEntry,
}

// ServerOptions returns the options of a gRPC server: its credentials and interceptors that
// check the role of the caller.
func (a *Authenticator) ServerOptions() []grpc.ServerOption {
	if !a.Enabled() {
		return nil
	}
	return []grpc.ServerOption{
		grpc.Creds(a.Server()),
		grpc.ChainUnaryInterceptor(authorizeUnary),
		grpc.ChainStreamInterceptor(authorizeStream),
	}
}

// DialOption returns the option of a gRPC client connection.
func (a *Authenticator) DialOption() grpc.DialOption {
	return grpc.WithTransportCredentials(a.Client())
}

func authorizeUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if err := authorizeMethod(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return handler(ctx, req)
}

func authorizeStream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if err := authorizeMethod(stream.Context(), info.FullMethod); err != nil {
		return err
	}
	return handler(srv, stream)
}

// authorizeMethod checks that the certificate of the caller has the role for the method.
func authorizeMethod(ctx context.Context, method string) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return status.Error(codes.Unauthenticated, "peer is not known")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return status.Error(codes.Unauthenticated, "peer has no certificate")
	}
	if err := checkRole(info.State.PeerCertificates[0], methodRoles[method]); err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return nil
}
