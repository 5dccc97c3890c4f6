// Package transport connects the processes of the scheduler: one TCP
// connection per pair of processes carries a yamux session, and each request
// is one stream of length-delimited protobuf envelopes.
//
// A connection that goes silent without a reset is closed within
// SilenceTimeout on both sides. Mutual TLS is required except between loopback
// addresses.
package transport

import "time"

const (
	// MaxMessage is the largest encoded envelope in bytes. A larger one is
	// refused by the sender, and the receiver ends the stream.
	MaxMessage = 8 << 20
	// DefaultKeepAlive is the interval of keep-alive pings on an idle session.
	DefaultKeepAlive = 500 * time.Millisecond
	// SilenceTimeout is the longest time without a byte from the peer, or with
	// a write that makes no progress, before the connection is closed. The
	// design requires 3 s; the rest covers timers that run late.
	SilenceTimeout = 2500 * time.Millisecond
	// handshakeTimeout bounds TLS and the exchange of Hello on a new session.
	handshakeTimeout = 2 * time.Second
	// dialTimeout bounds the TCP connect.
	dialTimeout = 2 * time.Second
	// flushTimeout bounds the final ping with which a closing side makes sure
	// that the peer has read everything sent before.
	flushTimeout = 500 * time.Millisecond
	// acceptBacklog is the number of streams that may wait for acceptance
	// before the session refuses more.
	acceptBacklog = 1024
	// streamCloseTimeout is how long a locally closed stream waits for the
	// peer's close before it is reset.
	streamCloseTimeout = 10 * time.Second
)
