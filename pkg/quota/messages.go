package quota

import "time"

// Request asks an edge for tokens and for its list of edges.
type Request struct {
	From          string // address of the sender
	ConfigVersion uint64
	Members       uint64 // digest of the sender's list of edges
	Starting      bool   // no list of the sender has begun since its process started; see Node.Handle
	Demands       []Demand
}

// Demand is what the sender of a request needs of one workspace.
type Demand struct {
	Workspace uint64 // identifies it; the same at all edges
	Wanted    uint32 // tokens
	Urgent    bool   // a request waits for the reply
	Used      uint32 // tokens of the receiver that were used since the last request
}

// Grant answers a request.
type Grant struct {
	Refused       bool // the edge grants nothing now
	ConfigVersion uint64
	Members       uint64 // digest of the replying edge's list
	Tokens        []Tokens
}

// Tokens is the answer to one demand.
type Tokens struct {
	Workspace uint64
	Granted   uint32
	Life      time.Duration // from the moment at which the request was sent
	Next      time.Duration // if less was granted than wanted: when there will be more
}

// Ask is a request that is to be sent. Its reply goes to Node.Reply, its failure to
// Node.Fail.
type Ask struct {
	To      string
	Request Request

	sentAt     Time
	generation uint64 // of the sender's list of edges
	dropped    uint64 // see Node.dropped
}
