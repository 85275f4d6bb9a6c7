// Package listener bounds what the clients of a listener can use: connections, header blocks,
// bodies, and the memory and file descriptors of the process. Clients outside of the project's
// control connect to every listener, so all listeners of a process share its limits.
package listener

import (
	"context"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors is the part of the descriptor limit that is left unused.
	reservedDescriptors = 200
	// minConnections is the least number of connections of a listener.
	minConnections = 16
	// connectionBytes is about the memory of a connection with a request that waits for its body:
	// two buffers of 4 KiB and the stacks of its goroutines.
	connectionBytes = 24 << 10
	// connectionShare, headerShare and bodyShare are the parts of the process's memory that
	// connections, header blocks and bodies may use. The soft limit of the runtime is 0.7, and the
	// process needs about 0.2 for itself on the smallest VM.
	connectionShare = 0.25
	headerShare     = 0.08
	bodyShare       = 0.2
	// minHeaderMemory is enough for four header blocks of 16 KiB in the form that needs most.
	minHeaderMemory = 4 << 20
	// minBodyMemory is enough for four bodies of the common limit.
	minBodyMemory = 16 << 20
	// minKernelBuffer and maxKernelBuffer bound the buffers of a connection in the kernel.
	minKernelBuffer = 16 << 10
	maxKernelBuffer = 256 << 10
)

// Limits of the settings of a process.
const (
	MinMemoryMB    = 64
	MaxMemoryMB    = 1 << 20
	MinDescriptors = reservedDescriptors + 56
)

// Process holds the limits of a process. Zero means none.
type Process struct {
	MemoryBytes int64
	Descriptors int
	// IsAssumed is set if MemoryBytes is no limit that the process has to keep.
	IsAssumed bool
}

const (
	// AssumedMemory is the memory of a process without a limit of its own: that of the smallest
	// VMs.
	AssumedMemory = 184 << 20
	// maxSystemLimit is the highest limit of the system that counts. Higher ones are those of
	// machines with other programs.
	maxSystemLimit = 1 << 30
)

// cgroupLimit is the file with the memory limit of the control group of the process.
const cgroupLimit = "/sys/fs/cgroup/memory.max"

// ThisProcess returns the limits of this process. Values of 0 are replaced by those that the
// system sets, or by AssumedMemory.
func ThisProcess(memoryMB, descriptors int) Process {
	p := Process{MemoryBytes: int64(memoryMB) << 20, Descriptors: descriptors}
	if p.Descriptors == 0 {
		p.Descriptors = int(min(resourceLimit(unix.RLIMIT_NOFILE), 1<<20))
	}
	if p.MemoryBytes == 0 {
		p.MemoryBytes = systemMemoryLimit()
	}
	if p.MemoryBytes == 0 {
		p.MemoryBytes, p.IsAssumed = AssumedMemory, true
	}
	return p
}

// systemMemoryLimit returns the lowest of the limits of the memory of this process, or 0.
func systemMemoryLimit() int64 {
	limit := uint64(math.MaxInt64)
	for _, resource := range []int{unix.RLIMIT_AS, unix.RLIMIT_DATA} {
		limit = min(limit, resourceLimit(resource))
	}
	if text, err := os.ReadFile(cgroupLimit); err == nil {
		if n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err == nil {
			limit = min(limit, n)
		}
	}
	if limit > maxSystemLimit {
		return 0
	}
	return int64(limit)
}

// resourceLimit returns the limit of a resource, or the highest number.
func resourceLimit(resource int) uint64 {
	var r unix.Rlimit
	if err := unix.Getrlimit(resource, &r); err != nil {
		return math.MaxUint64
	}
	return r.Cur
}

// runtimeShare is the part of the memory that is the soft limit of the Go runtime. The rest is
// for stacks, for what the collector has not returned yet, and for the buffers of the kernel.
const runtimeShare = 0.7

// LimitRuntime sets the soft memory limit of the Go runtime, unless the environment does.
func (p Process) LimitRuntime() {
	if p.MemoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(p.share(runtimeShare))
	}
}

// Connections returns the limit of a listener that may use a share of the file descriptors and
// of the memory for connections.
func (p Process) Connections(share float64) int {
	n := 1 << 16
	if p.Descriptors > 0 {
		n = min(n, int(share*float64(p.Descriptors-reservedDescriptors)))
	}
	if p.MemoryBytes > 0 {
		n = min(n, int(connectionShare*float64(p.MemoryBytes))/connectionBytes)
	}
	return max(n, minConnections)
}

// HeaderMemory returns the memory for header blocks.
func (p Process) HeaderMemory() int64 { return max(p.share(headerShare), minHeaderMemory) }

// BodyMemory returns the memory for bodies.
func (p Process) BodyMemory() int64 { return max(p.share(bodyShare), minBodyMemory) }

func (p Process) share(share float64) int64 { return int64(share * float64(p.MemoryBytes)) }

// kernelBuffer returns the size of the receive and of the send buffer of each connection. The
// kernel would let them grow to megabytes, which count as memory of the VM.
func (p Process) kernelBuffer(connections int) int {
	if p.MemoryBytes <= 0 {
		return maxKernelBuffer
	}
	return int(min(max(p.MemoryBytes/int64(2*max(connections, 1)), minKernelBuffer), maxKernelBuffer))
}

// Keep-alive probes detect dead connections.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Listen listens on a TCP address. network is tcp or tcp4, and connections the limit of the
// listener.
func (p Process) Listen(ctx context.Context, network, address string, connections int) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         bufferLimit(p.kernelBuffer(connections)).set,
	}
	return config.Listen(ctx, network, address)
}

// bufferLimit is the size of the kernel's buffers of a connection.
type bufferLimit int

// set sets the sizes on a listening socket, whose connections inherit them.
func (b bufferLimit) set(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(b)); err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, int(b))
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
