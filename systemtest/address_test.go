package systemtest

import (
	"fmt"
	"os"
	"sync/atomic"
	"testing"
)

// firstPort lies below the ports that the system gives to outgoing connections.
const firstPort = 10000

// ports counts the addresses that were given out.
var ports atomic.Int32

// freeAddress returns a loopback address that no other process uses: the IP number is that of this test process.
func freeAddress(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("%s:%d", ownNumber(), firstPort+ports.Add(1))
}

// ownNumber returns the loopback IP number of this test process.
func ownNumber() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}
