// Package tuner sets the options of sockets.
//
// The kernel keeps what a peer sent and this process hasn't read yet, by default up to some megabytes for a connection. Over many
// connections to peers that send ahead, or behind callers that don't read, that is more than the process itself takes.
//
// # Usage
//
//	buffers := tuner.New(16 << 10)
//	l, err := (&net.ListenConfig{Control: buffers.Control}).Listen(ctx, "tcp4", address)
//	d := net.Dialer{Control: buffers.Control}
package tuner

import (
	"syscall"

	"golang.org/x/sys/unix"

	"carobbend.example/carobbend/logger"
)

// Buffers bounds the receive buffers of connections. The zero value leaves them to the kernel. It is safe for concurrent use.
type Buffers struct {
	receive int
	failed  logger.Once
}

// New returns Buffers for receive buffers of n bytes. The kernel doubles n and counts its own overhead against it.
func New(n int) *Buffers { return &Buffers{receive: n} }

// Control sets the options of a socket before it is connected or bound; accepted connections have those of their listener. It has
// the type of net.Dialer.Control and net.ListenConfig.Control. If the system doesn't support the option, the connection is used without.
func (b *Buffers) Control(_, _ string, c syscall.RawConn) error {
	if b.receive == 0 {
		return nil
	}
	var err error
	cerr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, b.receive) })
	if err != nil && b.failed.First("") {
		logger.New("tuner").Error(err, "the receive buffer of connections can't be bounded")
	}
	return cerr
}
