// Package mothferry holds what the packages of the fleet manager share: typed
// ids and units, the errors that cross package boundaries, the final states of
// a request, and the interfaces that have several implementations (the clock,
// randomness and the platform's services). The implementations are in the mf…
// packages below it.
package mothferry
