package link

import (
	"errors"
	"syscall"
)

// alive reports whether the target has neither closed an idle link nor sent anything on it.
// Finding a closed link before a request is sent keeps the verdict of the request at NotRun.
func (l *Link) alive() bool {
	if l.Broken() || l.front.ReadBufferLen() > 0 {
		return false
	}
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Control takes no lock, unlike Read, which would wait for a read that is in progress.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(rerr, syscall.EAGAIN)
	})
	return err == nil && open
}
