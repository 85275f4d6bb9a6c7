package piper

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestListener guards against a client that waits forever for a listener that is closed or that nobody
// accepts from, and against reads without the delay.
func TestListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := New()
		l.ReadDelay = time.Second
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := l.DialContext(ctx, "")
		c.Check(err, qt.ErrorIs, context.DeadlineExceeded)

		var accepted net.Conn
		done := make(chan struct{})
		go func() {
			defer close(done)
			if accepted, err = l.Accept(); err == nil {
				_, err = accepted.Write([]byte("x"))
			}
		}()
		conn, dialErr := l.Dial()
		c.Assert(dialErr, qt.IsNil)
		began := time.Now()
		n, readErr := conn.Read(make([]byte, 1))
		c.Check(readErr, qt.IsNil)
		c.Check(n, qt.Equals, 1)
		c.Check(time.Since(began), qt.Equals, time.Second)
		<-done
		c.Check(err, qt.IsNil)
		_, _ = conn.Close(), accepted.Close()

		c.Check(l.Close(), qt.IsNil)
		c.Check(l.Close(), qt.IsNil)
		_, err = l.Accept()
		c.Check(err, qt.ErrorIs, net.ErrClosed)
		_, err = l.Dial()
		c.Check(err, qt.ErrorIs, net.ErrClosed)
	})
}
