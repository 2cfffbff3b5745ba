package digest

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

func TestReplicaStatusesRoundTripInAtMostFourBytesEach(t *testing.T) {
	is := is.New(t)
	want := Report{Name: "n", Nodes: 3, Replicas: ReplicaStatuses{
		{Epoch: 5 << 20, Load: 12, Active: true},
		{Epoch: 5<<20 + 1, StalledMillis: 450},
		{Epoch: 5<<20 + 9, Load: 300, StalledMillis: 0},
		{Epoch: 9 << 40, Load: 1, Active: true},
	}}
	encoded, err := cbor.Marshal(Message{Report: &want})
	is.NoErr(err)
	var got Message
	is.NoErr(cbor.Unmarshal(encoded, &got))
	is.Equal(got.Report.Replicas, want.Replicas)
	many := ReplicaStatuses{}
	for i := range 25 {
		many = append(many, ReplicaStatus{Epoch: uint64(7<<20 + 3*i), Load: 30, Active: true})
	}
	encodedMany, err := many.MarshalBinary()
	is.NoErr(err)
	is.True(len(encodedMany) <= 4*len(many))
}

func TestStalledTimeIsRoundedUp(t *testing.T) {
	is := is.New(t)
	encoded, err := ReplicaStatuses{{Epoch: 1, StalledMillis: 451}}.MarshalBinary()
	is.NoErr(err)
	var got ReplicaStatuses
	is.NoErr(got.UnmarshalBinary(encoded))
	is.Equal(got[0].StalledMillis, int64(500))
}

func TestBucketChecksumsRoundTrip(t *testing.T) {
	is := is.New(t)
	want := Summary{Root: "n", Checksums: BucketChecksums{1, 0, 65535, 7, 8, 9, 10, 256}}
	encoded, err := cbor.Marshal(Message{Summary: &want})
	is.NoErr(err)
	var got Message
	is.NoErr(cbor.Unmarshal(encoded, &got))
	is.Equal(got.Summary.Checksums, want.Checksums)
	var sums BucketChecksums
	is.True(sums.UnmarshalBinary(make([]byte, 15)) != nil)
}

// FuzzReplicaStatuses decodes arbitrary bytes and checks that the resulting statuses
// can be encoded and decoded again without a loss.
func FuzzReplicaStatuses(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 0})
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var s ReplicaStatuses
		if s.UnmarshalBinary(encoded) != nil {
			return
		}
		reencoded, err := s.MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		var decoded ReplicaStatuses
		if err := decoded.UnmarshalBinary(reencoded); err != nil || len(decoded) != len(s) {
			t.Fatalf("round trip changed %v to %v: %v", s, decoded, err)
		}
	})
}
