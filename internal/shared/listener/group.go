package listener

import (
	"context"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

// Group opens the listeners of a process, which share its limits.
type Group struct {
	Process Process
	Reports *Reports
	// Pressure delays the listeners that are opened after it was set, if it is not nil.
	Pressure *Pressure
	// SlowBodyTime is that of the listeners for HTTP. It is set before they are opened.
	SlowBodyTime time.Duration

	headers, messages Pool
}

// NewGroup returns the group of a process.
func NewGroup(p Process, log *logger.Logger) *Group {
	g := &Group{Process: p, Reports: &Reports{Log: log}}
	g.headers.Name, g.headers.Limit = "headers", p.HeaderMemory()
	g.messages.Name, g.messages.Limit = "messages", p.MessageMemory()
	return g
}

// Address is where a listener listens.
type Address struct {
	// Name is the name in metrics and log lines.
	Name string
	// Network is tcp or tcp4.
	Network string
	// Address is host:port.
	Address string
	// Share is the part of the file descriptors that the connections may use.
	Share float64
}

// Listen opens a listener for HTTP. limits may be nil, see Listener.
func (g *Group) Listen(ctx context.Context, a Address, limits func() Limits) (*Listener, error) {
	return g.open(ctx, a, g.New(a.Name, a.Share, limits))
}

// ListenRPC opens a listener for gRPC, with TLS or without.
func (g *Group) ListenRPC(ctx context.Context, a Address, encrypted bool) (*Listener, error) {
	return g.open(ctx, a, &Listener{Name: a.Name, Reports: g.Reports, MaxConnections: g.Process.RPCConnections(a.Share), Pool: &g.messages, Pressure: g.Pressure, RPC: true, Encrypted: encrypted})
}

// New returns a listener for HTTP whose Listener is not set.
func (g *Group) New(name string, share float64, limits func() Limits) *Listener {
	return &Listener{Name: name, MaxConnections: g.Process.Connections(share), Limits: limits, SlowBodyTime: g.SlowBodyTime, Pool: &g.headers, Pressure: g.Pressure, Reports: g.Reports}
}

func (g *Group) open(ctx context.Context, a Address, l *Listener) (*Listener, error) {
	var err error
	if l.Listener, err = g.Process.Listen(ctx, a.Network, a.Address, l.MaxConnections); err != nil {
		return nil, err
	}
	return l, nil
}
