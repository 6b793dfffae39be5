package mfowner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"mothferry"
	"mothferry/mffeed"
	"mothferry/mfrecord"
)

// Status is what the store holds of a shard, for operators.
type Status struct {
	// Head is the head row and Version its version. Version 0 means that the shard never had
	// an owner.
	Head    mfrecord.Head
	Version mothferry.Version
	// Waves holds the maintenance waves, sorted by ID.
	Waves []WaveStatus
}

// WaveStatus is the stored state of one wave.
type WaveStatus struct {
	Wave      mothferry.WaveID
	StartedAt time.Time
	// Done holds the machines taken out of service in the wave.
	Done []mothferry.MachineID
}

// ReadStatus reads what the store holds of the shard. It changes nothing.
func ReadStatus(ctx context.Context, store mothferry.RowStore) (Status, error) {
	rows, _, err := mffeed.ReadAll(ctx, store, mothferry.RowRange{Table: mfrecord.TableOwner, Part: mfrecord.PartShard})
	if err != nil {
		return Status{}, err
	}
	var s Status
	for _, r := range rows {
		switch {
		case r.Key == mfrecord.KeyHead:
			s.Version = r.Version
			if s.Head, err = mfrecord.DecodeHead(r.Value); err != nil {
				return s, err
			}
		case isWaveRow(r):
			id, w, err := decodeWaveRow(r)
			if err != nil {
				return s, err
			}
			s.Waves = append(s.Waves, WaveStatus{Wave: id, StartedAt: w.Begun, Done: w.Done})
		}
	}
	slices.SortFunc(s.Waves, func(a, b WaveStatus) int { return cmp.Compare(a.Wave, b.Wave) })
	return s, nil
}
