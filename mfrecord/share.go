package mfrecord

import (
	"math"
	"time"

	"mothferry"
	"mothferry/mfshare"
)

// storedShares is the stored form of an allocation. By service and account it holds the wait
// in milliseconds, the rate and the accepted work in millicores, 1 if the wait is due to the
// account's limit, and the mean work of a job in core-milliseconds. An array takes a third of
// the bytes of named fields.
type storedShares map[mothferry.ServiceID]map[mothferry.AccountID][5]int64

func encodeShares(s mfshare.Allocation) *storedShares {
	out := storedShares{}
	for flow, e := range s {
		if out[flow.Service] == nil {
			out[flow.Service] = map[mothferry.AccountID][5]int64{}
		}
		limit := int64(0)
		if e.AtLimit {
			limit = 1
		}
		out[flow.Service][flow.Account] = [5]int64{e.Wait.Milliseconds(), toMilli(e.Rate), toMilli(e.AcceptedRate), limit, toMilli(e.MeanJobWork)}
	}
	return &out
}

func toMilli(cores float64) int64 { return int64(math.Round(cores * 1000)) }

func (s storedShares) decode() mfshare.Allocation {
	out := mfshare.Allocation{}
	for service, accounts := range s {
		for id, row := range accounts {
			out[mfshare.Flow{Service: service, Account: id}] = mfshare.FlowShare{
				Wait: time.Duration(row[0]) * time.Millisecond, Rate: float64(row[1]) / 1000, AcceptedRate: float64(row[2]) / 1000, AtLimit: row[3] == 1,
				MeanJobWork: float64(row[4]) / 1000,
			}
		}
	}
	return out
}
