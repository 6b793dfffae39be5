package mfjob_test

import (
	"testing"

	"mothferry/mfjob"
)

// Any program may have written a stored row: it is decoded or refused without a panic.
func FuzzDecodeProgress(f *testing.F) {
	f.Add([]byte(`{"format":1,"state":"running","steps":[[{"tasks":[[0,2,1,"w-1","c"],[1,1,0]]},{"done":true}]]}`))
	f.Add([]byte(`{"format":1,"steps":[[{"tasks":[null]}]]}`))
	f.Add([]byte(`{"format":2,"state":"running","steps":[[{"tasks":[[0,3,0,"","",2,1,3]]}]]}`))
	f.Add([]byte(`{"format":5,"state":"running","steps":[[{"tasks":[[0,1,0,"w-1"]]}],[{}]],"open":{"begun":9,"numbers":[3,8]}}`))
	f.Add([]byte(`{"format":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := mfjob.DecodeProgress(data)
		if err != nil {
			return
		}
		if _, err := mfjob.DecodeProgress(mfjob.EncodeProgress(p)); err != nil {
			t.Fatal(err)
		}
	})
}
