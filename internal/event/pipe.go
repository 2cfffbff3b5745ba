package event

import (
	"os"

	"golang.org/x/sys/unix"
)

// EnlargePipe makes room in a full pipe whose reader is slow, up to size bytes in all. Its
// writers go on. It does nothing to a file that is not a pipe, or without permission.
func EnlargePipe(f *os.File, size int) {
	raw, err := f.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _, _ = unix.FcntlInt(fd, unix.F_SETPIPE_SZ, size) })
}
