package digest

import (
	"encoding/binary"
	"errors"
)

// ReplicaStatus is the state of a replica as one or more nodes see it. Load is their
// number of requests there. Active is set if its streams have had events lately;
// otherwise StalledMillis is how long the streams have been stalled, or 0 if none
// has had an event yet.
type ReplicaStatus struct {
	Epoch         uint64
	Load          int
	Active        bool
	StalledMillis int64
}

// ReplicaStatuses are sorted by epoch. They are most of the traffic between
// nodes, so each status is encoded in a few bytes as three varints: the difference
// to the previous epoch, the load, and a number that is 0 for an active replica and
// otherwise 1 plus the stalled time in units of stallUnitMillis, rounded up.
type ReplicaStatuses []ReplicaStatus

// stallUnitMillis is the unit in which a stalled time is encoded.
const stallUnitMillis = 50

// errTruncated means that the encoding ended within a status.
var errTruncated = errors.New("replica statuses are truncated")

// MarshalBinary implements encoding.BinaryMarshaler.
func (s ReplicaStatuses) MarshalBinary() ([]byte, error) {
	out := make([]byte, 0, 4*len(s))
	last := uint64(0)
	for _, status := range s {
		state := uint64(0)
		if !status.Active {
			state = 1 + uint64(max(status.StalledMillis, 0)+stallUnitMillis-1)/stallUnitMillis
		}
		out = binary.AppendUvarint(out, status.Epoch-last)
		out = binary.AppendUvarint(out, uint64(max(status.Load, 0)))
		out = binary.AppendUvarint(out, state)
		last = status.Epoch
	}
	return out, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (s *ReplicaStatuses) UnmarshalBinary(encoded []byte) error {
	*s = nil
	last := uint64(0)
	for len(encoded) > 0 {
		var fields [3]uint64
		for i := range fields {
			value, n := binary.Uvarint(encoded)
			if n <= 0 {
				return errTruncated
			}
			fields[i], encoded = value, encoded[n:]
		}
		last += fields[0]
		status := ReplicaStatus{Epoch: last, Load: int(fields[1]), Active: fields[2] == 0}
		if !status.Active {
			status.StalledMillis = int64(fields[2]-1) * stallUnitMillis
		}
		*s = append(*s, status)
	}
	return nil
}

// BucketChecksums holds a checksum for each bucket of the registry's entries; see BucketCount.
// Every summary has them, so they are encoded in two bytes each.
type BucketChecksums [BucketCount]uint16

// errChecksumsSize means that encoded checksums are not of as many buckets.
var errChecksumsSize = errors.New("bucket checksums have another size")

// MarshalBinary implements encoding.BinaryMarshaler.
func (c BucketChecksums) MarshalBinary() ([]byte, error) {
	out := make([]byte, 0, 2*BucketCount)
	for _, sum := range c {
		out = binary.BigEndian.AppendUint16(out, sum)
	}
	return out, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (c *BucketChecksums) UnmarshalBinary(encoded []byte) error {
	if len(encoded) != 2*BucketCount {
		return errChecksumsSize
	}
	for i := range c {
		c[i] = binary.BigEndian.Uint16(encoded[2*i:])
	}
	return nil
}
