package mothferry_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
)

func TestParseFeaturesOff(t *testing.T) {
	off, err := mothferry.ParseFeaturesOff("shares, rooms")
	assert.NilError(t, err)
	assert.DeepEqual(t, off, mothferry.FeaturesOff{mothferry.FeatureShares: true, mothferry.FeaturePoolSizes: true})
	off, err = mothferry.ParseFeaturesOff("")
	assert.NilError(t, err)
	assert.Equal(t, len(off), 0)
	_, err = mothferry.ParseFeaturesOff("speed")
	var unknown *mothferry.ErrFeature
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.Name, "speed")
}
