// Package mfwire holds the generated protobuf messages of forwarding. The generator only writes
// exported types, so they have a separate package, which only mfforward uses.
package mfwire

//go:generate protoc --go_out=../.. --go_opt=module=mothferry --proto_path=../.. mfforward/mfwire/forward.proto
