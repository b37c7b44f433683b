package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Messages are CBOR with integer keys. Its types are compiled once in a process; gob compiles them for each
// link, which takes 80 times as long as a message and 60 KB, and a VM of a large fleet has hundreds of links.
var (
	encoding = mustEncoding(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	// Statements are passed on unchanged even if they are not valid UTF-8.
	decoding = mustEncoding(cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode())
)

// mustEncoding panics if the constant options are not valid.
func mustEncoding[M any](mode M, err error) M {
	if err != nil {
		panic(fmt.Sprintf("encoding of messages between VMs: %v", err))
	}
	return mode
}
