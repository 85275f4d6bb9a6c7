package framer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a connection that was reset or has timed out. One that the peer has
// ended regularly waits for its other direction.
const tcpClosed = 7

// wasReset reports whether a TCP connection that has ended was reset.
func wasReset(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = infoErr == nil && info.State == tcpClosed
	})
	return err == nil && reset
}
