// Package mfwire holds the generated protobuf messages between daemons. The generator only
// writes exported types, so they have a separate package, which only mfpeer uses.
package mfwire

//go:generate protoc --go_out=../.. --go_opt=module=mothferry --proto_path=../.. mfpeer/mfwire/peer.proto
