package digest

import (
	"encoding/binary"
	"errors"
)

// ReplicaStatus is what is known of a replica: its requests, whether streams of it have
// had events lately, and else for how many milliseconds they have stood still.
type ReplicaStatus struct {
	Epoch         uint64
	Load          int
	Active        bool
	StalledMillis int64
}

// ReplicaStatuses are the shares of replicas by epoch. They are most of what nodes tell
// one another, so they travel as a few bytes each: the distance to the epoch
// before, the load, and the state, which is 0 for a flowing replica and else one
// more than the steps of stallUnitMillis that it has stood still for.
type ReplicaStatuses []ReplicaStatus

// stallUnitMillis is the unit of a span of stillness in a message, in milliseconds.
const stallUnitMillis = 50

var errTruncated = errors.New("shares are cut off")

// MarshalBinary implements encoding.BinaryMarshaler.
func (s ReplicaStatuses) MarshalBinary() ([]byte, error) {
	out := make([]byte, 0, 4*len(s))
	last := uint64(0)
	for _, one := range s {
		state := uint64(0)
		if !one.Active {
			state = 1 + uint64(max(one.StalledMillis, 0)+stallUnitMillis-1)/stallUnitMillis
		}
		out = binary.AppendUvarint(out, one.Epoch-last)
		out = binary.AppendUvarint(out, uint64(max(one.Load, 0)))
		out = binary.AppendUvarint(out, state)
		last = one.Epoch
	}
	return out, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (s *ReplicaStatuses) UnmarshalBinary(text []byte) error {
	*s = nil
	last := uint64(0)
	for len(text) > 0 {
		var fields [3]uint64
		for i := range fields {
			value, n := binary.Uvarint(text)
			if n <= 0 {
				return errTruncated
			}
			fields[i], text = value, text[n:]
		}
		last += fields[0]
		one := ReplicaStatus{Epoch: last, Load: int(fields[1]), Active: fields[2] == 0}
		if !one.Active {
			one.StalledMillis = int64(fields[2]-1) * stallUnitMillis
		}
		*s = append(*s, one)
	}
	return nil
}
