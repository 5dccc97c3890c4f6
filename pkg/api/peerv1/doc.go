// Package peerv1 holds the protobuf messages that the processes of the
// scheduler exchange and the stored form of the journal. peer.pb.go is
// generated from peer.proto and committed:
//
//	protoc --go_out=. --go_opt=paths=source_relative peer.proto
package peerv1
