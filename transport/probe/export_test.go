package probe

import "math/rand/v2"

// Seal returns a packet with a valid MAC for an arbitrary body.
func Seal(key, body []byte) []byte {
	c := &Codec{key: key}

	return append(append([]byte{version}, c.mac(body)...), body...)
}

// NewRandom returns a random source with a fixed seed.
func NewRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
