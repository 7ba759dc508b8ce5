package agent

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// drainListener is a TCP listener that can be closed without resetting the connections that
// the kernel has established but Accept has not returned yet. Closing a plain listener resets
// those.
type drainListener struct {
	*net.TCPListener
	draining atomic.Bool
	// pending holds the established connections that were not accepted when the listener was
	// closed. drained is set once pending has been filled. Only Accept uses both.
	pending   []net.Conn
	drained   bool
	done      chan struct{}
	closeOnce sync.Once
}

func newDrainListener(l *net.TCPListener) *drainListener {
	return &drainListener{TCPListener: l, done: make(chan struct{})}
}

// Close implements net.Listener. Closing it again is not an error: http.Server.Shutdown closes
// its listeners too, and an error from that would be reported as a failed drain.
func (l *drainListener) Close() error {
	var err error
	l.closeOnce.Do(func() { err = l.TCPListener.Close() })
	return err
}

// drain closes the listener and waits until Accept has returned all pending connections.
func (l *drainListener) drain() error {
	l.draining.Store(true)
	if err := l.SetDeadline(time.Now()); err != nil {
		return errors.Wrap(err, "drain listener")
	}
	<-l.done
	return nil
}

// Accept implements net.Listener. After drain it returns the pending connections and then
// net.ErrClosed.
func (l *drainListener) Accept() (net.Conn, error) {
	if !l.drained {
		c, err := l.TCPListener.Accept()
		switch {
		case l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			l.pending = acceptPending(l.TCPListener)
			l.Close()
		case l.draining.Load() && errors.Is(err, net.ErrClosed):
			// Kill has closed the listener: drain must not wait any longer.
		default:
			return c, err
		}
		l.drained = true
	}
	if len(l.pending) == 0 {
		close(l.done)
		return nil, net.ErrClosed
	}
	c := l.pending[0]
	l.pending = l.pending[1:]
	return c, nil
}
