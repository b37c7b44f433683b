package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Messages are encoded as CBOR with integer keys. The CBOR codec compiles each type once per process. gob does
// so for each link, which takes 80 times as long as a message and 60 KB of memory, and a VM of a large fleet
// has hundreds of links.
var (
	encoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.UserBufferEncMode())
	// Statements are forwarded unchanged even if they are not valid UTF-8.
	decoding = must(cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode())
)

// must panics if the CBOR options, which are constant, are invalid.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(fmt.Sprintf("invalid CBOR options: %v", err))
	}
	return mode
}
