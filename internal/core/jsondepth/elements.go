package jsondepth

// elementDepth is the nesting of the elements of a list that is a field of the text's object.
const elementDepth = 2

// CountElements returns an upper bound of the number of elements of all lists that are fields of
// the object that is the text.
func CountElements(data []byte) int {
	count, depth := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i+1)
		case '{', '[':
			if depth++; depth == elementDepth {
				count++
			}
		case '}', ']':
			depth--
		case ',':
			if depth == elementDepth {
				count++
			}
		}
	}
	return count
}

// endOfString returns the index of the quote that ends the string whose text begins at start.
func endOfString(data []byte, start int) int {
	for i := start; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}
