// Package mothferry holds what every part of the fleet manager shares: named
// ids and units, the typed errors that cross package borders, the ends a
// request can have, and the interfaces of everything that varies (the clock,
// randomness and the platform's services). Implementations live in the mf…
// packages below it.
package mothferry
