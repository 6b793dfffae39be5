// Package mfwire holds the generated protobuf messages of relays. The generator only writes
// exported types, so they have a separate package, which only mfrelay uses.
package mfwire

//go:generate protoc --go_out=../.. --go_opt=module=mothferry --proto_path=../.. mfrelay/mfwire/relay.proto
