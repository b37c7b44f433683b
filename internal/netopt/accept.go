package netopt

import (
	"errors"
	"net"
	"time"
)

// acceptPause is the time after a failure to accept, such as a lack of file descriptors, which ends as soon
// as some connection is closed.
const acceptPause = 50 * time.Millisecond

// Serve passes each accepted connection to handle, which must not block, until ln is closed. A failure to
// accept is passed to failed and does not end the service.
func Serve(ln net.Listener, handle func(net.Conn), failed func(error)) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			failed(err)
			time.Sleep(acceptPause)
			continue
		}
		handle(conn)
	}
}
