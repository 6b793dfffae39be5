// Package mfwire holds the generated protobuf messages of relays. The generator can
// only write exported types, so they have a package of their own beside mfrelay, the
// one package that uses them.
package mfwire

//go:generate protoc --go_out=../.. --go_opt=module=mothferry --proto_path=../.. mfrelay/mfwire/relay.proto
