package mfdemand

import "mothferry"

// Amount is an amount of a machine's resources.
type Amount struct {
	// Cores is in cores and Memory in GiB; for work they are in core-seconds and GiB-seconds.
	Cores, Memory float64
}

// AmountOf returns resources as an amount.
func AmountOf(r mothferry.Resources) Amount {
	return Amount{Cores: float64(r.Cores) / 1000, Memory: float64(r.Memory) / float64(mothferry.Gibibyte)}
}

// Add returns the sum of a and b.
func (a Amount) Add(b Amount) Amount {
	return Amount{Cores: a.Cores + b.Cores, Memory: a.Memory + b.Memory}
}

// Times returns a multiplied by a factor.
func (a Amount) Times(factor float64) Amount {
	return Amount{Cores: a.Cores * factor, Memory: a.Memory * factor}
}

// Max returns the larger of a and b in each resource.
func (a Amount) Max(b Amount) Amount {
	return Amount{Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory)}
}

// Min returns the smaller of a and b in each resource.
func (a Amount) Min(b Amount) Amount {
	return Amount{Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory)}
}

// UsableCores returns how many of an amount's cores work with the given mix of resources can
// use: memory may run out first.
func (a Amount) UsableCores(mix Amount) float64 {
	if mix.Cores <= 0 || mix.Memory <= 0 || a.Memory <= 0 {
		return a.Cores
	}
	byMemory := a.Memory * mix.Cores / mix.Memory
	if a.Cores <= 0 {
		return byMemory
	}
	return min(a.Cores, byMemory)
}
