package limits

// Message is one datagram between the agents of two nodes. It holds one of the pointers, or none in the answer to a probe. It
// is encoded as an array, so the order, number and types of its fields are the format.
type Message struct {
	// Start identifies the start of the sender's process.
	Start uint64
	// FirstLeader is the address of the first leader that the sender has heard since its start or, without one, of the first
	// that another node has told it of, or "".
	FirstLeader string
	// Probe is a time of the sender's clock. The receiver repeats it as ProbeEcho in a message in return, which shows its
	// FirstLeader.
	Probe, ProbeEcho int64
	Query            *Query
	Reply            *Reply
	Return           *Return
	Appointment      *Appointment
	Ack              *Ack
}

// Query asks an owner for tokens of a workspace.
type Query struct {
	// Number differs between the queries and returns of a process, and grows.
	Number    uint64
	Workspace uint64
	// Version is that of the node's configuration, and Rate and Burst are the limits in it.
	Version     int64
	Rate, Burst float64
	// Needs are the weights of waiting requests in order. Extra is what the node could use within GrantTTL besides.
	Needs []int64
	Extra int64
}

// Reply is the decision of an owner.
type Reply struct {
	Number    uint64
	Workspace uint64
	// Refused is set if the receiver is not an owner. Nothing has been decided then.
	Refused bool
	// Interim is set if the owner is not the leader.
	Interim bool
	// Granted is the number of requests, from the first, that may be sent, and Extra what is granted besides.
	Granted int
	Extra   int64
	// Epoch identifies the ledger, and StampMS is the time of the grant since the start of the ledger in milliseconds.
	Epoch   uint32
	StampMS int64
	// WaitMS is the time in milliseconds until the credit for the next request is available, and RetryMS that after which
	// its client should come back.
	WaitMS, RetryMS int64
	// Level is the level of the bucket afterwards.
	Level int64
	// Holders are the holders of the parts that the owner knows of, by part.
	Holders []string
}

// Return gives unused tokens of a grant back to the ledger that granted them.
type Return struct {
	Number    uint64
	Workspace uint64
	Epoch     uint32
	StampMS   int64
	Tokens    int64
}

// Appointment asks a node to hold parts of the quotas and to lend them to the leader, which sends it.
type Appointment struct {
	// Version is that of the leader's lease.
	Version uint64
	// Stamp is the time of the leader's clock, and Echo the last Ack.Stamp of the receiver, or 0.
	Stamp, Echo int64
	// Hold are the parts to hold from now on and Drop those to hold no longer, each with one bit for a part.
	Hold, Drop uint8
}

// Ack answers an Appointment, or tells a new leader of parts that the sender holds.
type Ack struct {
	// Echo is Appointment.Stamp, or 0, and Stamp the time of the sender's clock.
	Echo, Stamp int64
	// Held are the parts that the sender holds, and Initial those among them that it holds since its start as a seed.
	Held, Initial uint8
	// Lent is set if Held is lent to the receiver for loanTTL from the time Echo.
	Lent bool
	// Released is set if the sender stops and will hold no parts any more.
	Released bool
}
