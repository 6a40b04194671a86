package apricotway

// Stamp is a timestamp of a hybrid logical clock: of two events, the one that may have caused the other has the lower stamp.
type Stamp uint64

// Clock is a hybrid logical clock, whose stamps are sent with every message between processes.
type Clock interface {
	// Now returns a stamp that is higher than every stamp that the clock has issued or observed.
	Now() Stamp
	// Observe advances the clock to the stamp of a received message.
	Observe(stamp Stamp)
}
