package idempotency

import "github.com/fxamacker/cbor/v2"

// InvalidRecordsError reports records that can't be encoded or decoded.
type InvalidRecordsError struct {
	Cause error
}

// Error implements error.
func (e *InvalidRecordsError) Error() string {
	return "invalid idempotency records: " + e.Cause.Error()
}

// Unwrap returns the error that made the records invalid.
func (e *InvalidRecordsError) Unwrap() error {
	return e.Cause
}

// encodedRange is the stored form of the records of one range. Records[i] belongs
// to Keys[i].
type encodedRange struct {
	Keys    []Digest `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

// Encode returns the value of the platform object that stores the records. An
// error is an *InvalidRecordsError.
func Encode(records Records) ([]byte, error) {
	var encoded encodedRange
	for key, record := range records {
		encoded.Keys = append(encoded.Keys, key)
		encoded.Records = append(encoded.Records, record)
	}
	value, err := cbor.Marshal(encoded)
	if err != nil {
		return nil, &InvalidRecordsError{Cause: err}
	}
	return value, nil
}

// Decode returns the records stored in the value of a platform object. An error
// is an *InvalidRecordsError.
func Decode(value []byte) (Records, error) {
	var encoded encodedRange
	if err := cbor.Unmarshal(value, &encoded); err != nil {
		return nil, &InvalidRecordsError{Cause: err}
	}
	if len(encoded.Keys) != len(encoded.Records) {
		return nil, &InvalidRecordsError{Cause: &countMismatchError{}}
	}
	records := make(Records, len(encoded.Keys))
	for i, key := range encoded.Keys {
		records[key] = encoded.Records[i]
	}
	return records, nil
}

// countMismatchError reports a value whose numbers of keys and records differ.
type countMismatchError struct{}

// Error implements error.
func (*countMismatchError) Error() string {
	return "the numbers of keys and records differ"
}
