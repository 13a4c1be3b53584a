// Package requesttarget reads the targets of HTTP requests (RFC 9112, section 3.2) without
// changing them. It is imported by the adapters and by package platform.
package requesttarget

import "strings"

// Form is the form of a request target.
type Form string

// The forms.
const (
	// FormOrigin is a path that begins with one slash, and a query.
	FormOrigin Form = "origin"
	// FormLeadingSlashes is a path that begins with several slashes. Libraries take what
	// follows them for a host.
	FormLeadingSlashes Form = "leading-slashes"
	// FormAbsolute is a URI with "http" or "https".
	FormAbsolute Form = "absolute"
	// FormOther is any other target, such as "*".
	FormOther Form = "other"
)

// FormOf returns the form of a target.
func FormOf(target string) Form {
	if _, isAbsolute := afterScheme(target); isAbsolute {
		return FormAbsolute
	}
	switch {
	case strings.HasPrefix(target, "//"):
		return FormLeadingSlashes
	case strings.HasPrefix(target, "/"):
		return FormOrigin
	default:
		return FormOther
	}
}

// Path returns the path of a target as it was written, without the query. The empty path of
// a URI is "/". A target without a path, such as "*", is returned whole.
func Path(target string) string {
	path, _, _ := strings.Cut(target, "?")
	rest, isAbsolute := afterScheme(path)
	if !isAbsolute {
		return path
	}
	if begin := strings.IndexByte(rest, '/'); begin >= 0 {
		return rest[begin:]
	}
	return "/"
}

// afterScheme returns what follows "http://" or "https://", in upper or lower case.
func afterScheme(target string) (rest string, found bool) {
	scheme, rest, found := strings.Cut(target, "://")
	return rest, found && (strings.EqualFold(scheme, "http") || strings.EqualFold(scheme, "https"))
}
