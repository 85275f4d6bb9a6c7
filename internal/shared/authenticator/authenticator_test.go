package authenticator_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/shared/authenticator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// issue returns an authenticator with a new certificate for a role.
func issue(c *qt.C, ca *authenticator.Authority, role string, valid time.Duration) *authenticator.Authenticator {
	certFile, keyFile, err := ca.Issue("vm-"+role+valid.String(), authenticator.Role(role), time.Now().Add(valid))
	c.Assert(err, qt.IsNil)
	return &authenticator.Authenticator{CertFile: certFile, KeyFile: keyFile, CAFile: ca.CAFile}
}

func newAuthority(c *qt.C) *authenticator.Authority {
	ca, err := authenticator.NewAuthority(c.TempDir(), time.Now().Add(time.Hour))
	c.Assert(err, qt.IsNil)
	return ca
}

// acceptingAgent is an Agent service that accepts every order.
type acceptingAgent struct {
	messenger.UnimplementedAgentServer
}

func (acceptingAgent) Order(context.Context, *messenger.OrderRequest) (*messenger.OrderReply, error) {
	return &messenger.OrderReply{Accepted: true}, nil
}

type grpcServer struct {
	server   *grpc.Server
	listener net.Listener
}

func (s *grpcServer) run() { _ = s.server.Serve(s.listener) }

// Guards against accepting orders from a process that is not an entry daemon of the same
// deployment.
func TestOnlyEntryDaemonsGiveOrders(t *testing.T) {
	c := qt.New(t)
	ca := newAuthority(c)
	otherCA := newAuthority(c)
	server := &grpcServer{server: grpc.NewServer(issue(c, ca, "agent", time.Hour).ServerOptions()...)}
	messenger.RegisterAgentServer(server.server, acceptingAgent{})
	var err error
	server.listener, err = net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go server.run()
	defer server.server.Stop()

	tests := []struct {
		name string
		dial grpc.DialOption
		want codes.Code
	}{
		{"entry daemon", issue(c, ca, "entry", time.Hour).DialOption(), codes.OK},
		{"agent", issue(c, ca, "agent", time.Hour).DialOption(), codes.PermissionDenied},
		{"no role", issue(c, ca, "other", time.Hour).DialOption(), codes.Unavailable},
		{"expired certificate", issue(c, ca, "entry", -time.Minute).DialOption(), codes.Unavailable},
		{"certificate of another CA", issue(c, otherCA, "entry", time.Hour).DialOption(), codes.Unavailable},
		{"no TLS", grpc.WithTransportCredentials(insecure.NewCredentials()), codes.Unavailable},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			conn, err := grpc.NewClient("passthrough:///"+server.listener.Addr().String(), test.dial)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = messenger.NewAgentClient(conn).Order(c.Context(), &messenger.OrderRequest{})
			c.Assert(status.Code(err), qt.Equals, test.want, qt.Commentf("%v", err))
		})
	}
}

// Guards against starting a daemon without TLS because one of the files is not set or contains
// no certificate.
func TestCheckRejectsIncompleteFiles(t *testing.T) {
	c := qt.New(t)
	ca := newAuthority(c)
	good := issue(c, ca, "entry", time.Hour)
	c.Assert(good.Check(), qt.IsNil)
	tests := []struct {
		name string
		auth *authenticator.Authenticator
	}{
		{"no CA", &authenticator.Authenticator{CertFile: good.CertFile, KeyFile: good.KeyFile}},
		{"no key", &authenticator.Authenticator{CertFile: good.CertFile, CAFile: good.CAFile}},
		{"CA without certificates", &authenticator.Authenticator{CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: good.KeyFile}},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			c.Assert(test.auth.Check(), qt.IsNotNil)
		})
	}
}
