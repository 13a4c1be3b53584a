package ports

import "cmp"

// StoreVersion identifies a state of the platform's store. Versions are ordered by
// era first: a store that was restored from an older copy begins a new era, in which
// its revisions go back and are given out again.
type StoreVersion struct {
	// Era is zero if the store names none.
	Era uint64
	// Revision numbers the changes within an era, from 1.
	Revision uint64
}

// Compare returns a negative number if v is older than other, a positive one if it
// is newer, and zero if both are the same.
func (v StoreVersion) Compare(other StoreVersion) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// IsNewerThan reports whether v is newer than other.
func (v StoreVersion) IsNewerThan(other StoreVersion) bool {
	return v.Compare(other) > 0
}
