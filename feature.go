package mothferry

import (
	"fmt"
	"slices"
	"strings"
)

// Feature names a part of the job handling that a deployment can disable.
type Feature string

// Features. All are enabled by default; docs/design says what config each of them needs.
const (
	// FeatureShares divides a service's capacity among client accounts, and refuses
	// jobs that can't finish on time within their account's share.
	FeatureShares Feature = "shares"
	// FeatureStragglers estimates the speed of workers, places tasks by their expected
	// end, and restarts stragglers on other workers.
	FeatureStragglers Feature = "stragglers"
	// FeaturePoolSizes sizes pools by the binding resource, cores or memory, and divides
	// a fleet that is too small for all pools.
	FeaturePoolSizes Feature = "rooms"
	// FeatureForwarding forwards callers' requests to a host that the store serves.
	FeatureForwarding Feature = "forwarding"
)

// AllFeatures lists all features.
func AllFeatures() []Feature {
	return []Feature{FeatureShares, FeatureStragglers, FeaturePoolSizes, FeatureForwarding}
}

// FeaturesOff is the set of disabled features; nil disables none.
type FeaturesOff map[Feature]bool

// ErrFeature reports an unknown feature name.
type ErrFeature struct{ Name string }

// Error implements error.
func (e *ErrFeature) Error() string {
	return fmt.Sprintf("unknown feature %q; known features are %v", e.Name, AllFeatures())
}

// ParseFeaturesOff parses a comma-separated list of features; an empty text lists none.
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
