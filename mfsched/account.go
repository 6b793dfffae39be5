package mfsched

import "mothferry"

// Account is what the config in force says of a client account.
type Account struct {
	// Weight is how many jobs a second the account is owed.
	Weight float64
	// Most bounds what its tasks may have running over all workers; a resource that is
	// zero is not bounded.
	Most mothferry.Resources
}
