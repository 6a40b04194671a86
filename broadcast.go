package apricotway

// Topic names a kind of broadcast entry.
type Topic string

// Broadcast spreads small entries to all processes of the system, without a promise of time or order.
type Broadcast interface {
	// Offer spreads an entry. An entry replaces those of lower versions with the same topic and key.
	Offer(topic Topic, key string, version uint64, payload []byte)
	// Subscribe registers the function that receives the entries of other processes. It must not block. Functions are
	// registered before the process starts.
	Subscribe(topic Topic, receive func(key string, version uint64, payload []byte))
}
