package requesttarget

import "testing"

func TestTargets(t *testing.T) {
	for target, want := range map[string]struct {
		form Form
		path string
	}{
		"/a/b?c=/d":          {FormOrigin, "/a/b"},
		"/a?":                {FormOrigin, "/a"},
		"/http://h/a":        {FormOrigin, "/http://h/a"},
		"/%2F/../a//b":       {FormOrigin, "/%2F/../a//b"},
		"//h/a?b":            {FormLeadingSlashes, "//h/a"},
		"///":                {FormLeadingSlashes, "///"},
		"http://h/a/b?c":     {FormAbsolute, "/a/b"},
		"HTTPS://h:1//a":     {FormAbsolute, "//a"},
		"http://h":           {FormAbsolute, "/"},
		"http://h?a=/b://c/": {FormAbsolute, "/"},
		"*":                  {FormOther, "*"},
		"h:443":              {FormOther, "h:443"},
		"ftp://h/a":          {FormOther, "ftp://h/a"},
		"x?http://h/a":       {FormOther, "x"},
		"/a?b://c":           {FormOrigin, "/a"},
		"http:/a":            {FormOther, "http:/a"},
	} {
		if got := FormOf(target); got != want.form {
			t.Errorf("FormOf(%q) = %q, want %q", target, got, want.form)
		}
		if got := Path(target); got != want.path {
			t.Errorf("Path(%q) = %q, want %q", target, got, want.path)
		}
	}
}
