package apricotway

// Stamp is a reading of a hybrid logical clock. Stamps of causally ordered events are ordered.
type Stamp uint64

// Clock is a hybrid logical clock that travels on every message between processes.
type Clock interface {
	// Now returns a stamp above every stamp that the clock has issued or observed.
	Now() Stamp
	// Observe takes the stamp of a received message.
	Observe(stamp Stamp)
}
