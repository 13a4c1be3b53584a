package peer

import "encoding/binary"

const (
	// bytesPerContainer is the memory of an element that is decoded to a struct: the largest one
	// in a message. A null takes as much.
	bytesPerContainer = 160
	// bytesPerScalar is the memory of any other element beside its text.
	bytesPerScalar = 8
)

// The parts of the first byte of a CBOR item.
const (
	cborMajorShift    = 5
	cborInfoMask      = 1<<cborMajorShift - 1
	cborMajorBytes    = 2
	cborMajorText     = 3
	cborMajorArray    = 4
	cborMajorMap      = 5
	cborInfoOneByte   = 24
	cborInfoEightByte = 27
	cborNull          = 0xf6
	cborUndefined     = 0xf7
)

// decodedBytes estimates the memory that the items of CBOR text need once they are decoded.
func decodedBytes(data []byte) (total int64) {
	for len(data) > 0 {
		first := data[0]
		argument, rest := cborArgument(data)
		data = rest
		switch major := first >> cborMajorShift; {
		case major == cborMajorArray, major == cborMajorMap, first == cborNull, first == cborUndefined:
			total += bytesPerContainer
		case major == cborMajorBytes, major == cborMajorText:
			length := min(argument, uint64(len(data)))
			total += bytesPerScalar + int64(length)
			data = data[length:]
		default:
			total += bytesPerScalar
		}
	}
	return total
}

// cborArgument returns the argument of the first item and what follows its head.
func cborArgument(data []byte) (uint64, []byte) {
	info := data[0] & cborInfoMask
	data = data[1:]
	if info < cborInfoOneByte || info > cborInfoEightByte {
		return uint64(info), data
	}
	length := min(1<<(info-cborInfoOneByte), len(data))
	var argument [8]byte
	copy(argument[len(argument)-length:], data[:length])
	return binary.BigEndian.Uint64(argument[:]), data[length:]
}
