package mothferry

import (
	"fmt"
	"slices"
	"strings"
)

// Feature is a part of the decisions about jobs that a deployment can switch off.
type Feature string

// Features. All are on unless they are switched off; what else each asks of the config
// stands in docs/design.
const (
	// FeatureShares divides a service's room among client accounts, and refuses what
	// can't be in time within its account's share.
	FeatureShares Feature = "shares"
	// FeatureStragglers learns how fast workers are, places tasks by when they would
	// end, and starts tasks again elsewhere that fall behind.
	FeatureStragglers Feature = "stragglers"
	// FeaturePoolSizes sizes pools by whichever of cores and memory binds, and divides a
	// fleet that is too small for all of them.
	FeaturePoolSizes Feature = "rooms"
	// FeatureForwarding passes callers' requests on to a host that the store serves.
	FeatureForwarding Feature = "forwarding"
)

// AllFeatures lists all features.
func AllFeatures() []Feature {
	return []Feature{FeatureShares, FeatureStragglers, FeaturePoolSizes, FeatureForwarding}
}

// FeaturesOff is the set of features that are switched off; nil switches off none.
type FeaturesOff map[Feature]bool

// ErrFeature reports a name that no feature has.
type ErrFeature struct{ Name string }

// Error implements error.
func (e *ErrFeature) Error() string {
	return fmt.Sprintf("there is no feature %q; there are %v", e.Name, AllFeatures())
}

// ParseFeaturesOff reads a list of features, separated by commas; an empty text lists none.
func ParseFeaturesOff(text string) (FeaturesOff, error) {
	off := FeaturesOff{}
	for name := range strings.SplitSeq(text, ",") {
		f := Feature(strings.TrimSpace(name))
		switch {
		case f == "":
		case !slices.Contains(AllFeatures(), f):
			return nil, &ErrFeature{Name: string(f)}
		default:
			off[f] = true
		}
	}
	return off, nil
}
