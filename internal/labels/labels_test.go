package labels

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Guards against a selector that matches labels that its text excludes, or the
// reverse.
func TestMatches(t *testing.T) {
	l := model.Labels{"class": "priming", "team": "wick", "empty": ""}
	for text, want := range map[string]bool{
		"": true, "class=priming": true, "class==priming": true, "class=tension": false,
		"class!=priming": false, "zone!=a": true, "class in (priming, tension)": true,
		"class in (a,b)": false, "class notin (a,b)": true, "class notin (priming)": false,
		"zone in (a)": false, "zone notin (a)": true, "team": true, "zone": false,
		"!zone": true, "!team": false, "team , class = priming": true, "team,zone": false,
		"empty=": true, "in=x": false, "in": false, "example.org/x=1": false,
	} {
		s, err := Parse(text)
		require.NoError(t, err, text)
		require.Equal(t, want, s.Matches(l), text)
	}
}

// Guards against a wrong or missing position in a syntax error.
func TestParseErrorsHaveThePosition(t *testing.T) {
	for text, column := range map[string]int{
		"class=a,": 9, "class ~ a": 7, "=a": 1, "class in a": 10, "class in (a": 12,
		"class in (a b)": 13, "a,,b": 3, "-a=b": 1, "a=b c": 5, "a=-b": 3, "x y=1": 3, "/a": 1,
	} {
		_, err := Parse(text)
		var syntax *SyntaxError
		require.ErrorAs(t, err, &syntax, text)
		require.Equal(t, column, syntax.Column, "%s: %v", text, err)
	}
}

// Guards against a formatted selector that parses to a different one.
func TestStringRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z0-9]([a-z0-9_.-]{0,5}[a-z0-9])?`)
		var s Selector
		for range rapid.IntRange(0, 4).Draw(t, "requirements") {
			r := Requirement{Key: word.Draw(t, "key"), Operator: Operator(rapid.IntRange(0, 3).Draw(t, "operator"))}
			if r.Operator == In || r.Operator == NotIn {
				r.Values = rapid.SliceOfN(word, 1, 3).Draw(t, "values")
			}
			s.requirements = append(s.requirements, r)
		}
		parsed, err := Parse(s.String())
		require.NoError(t, err)
		require.Equal(t, s, parsed)
	})
}

// Guards against a panic on malformed input from an operator.
func TestParseAcceptsAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, _ = Parse(rapid.StringMatching(`[a!=(), /.in-]{0,20}`).Draw(t, "text"))
	})
}

// Guards against an allocation for each comparison of labels during placement.
func TestMatchesDoesNotAllocate(t *testing.T) {
	s, err := Parse("class in (a,priming),team!=x,!zone")
	require.NoError(t, err)
	l := model.Labels{"class": "priming", "team": "wick"}
	require.Zero(t, testing.AllocsPerRun(100, func() { s.Matches(l) }))
}

// Guards against accepting an edit with invalid labels, or with a selector that
// has no effect or selects everything.
func TestValidate(t *testing.T) {
	require.NoError(t, Validate(model.Labels{"a": "", "example.org/b": "c-d"}).Err())
	require.Len(t, Validate(model.Labels{"": "x", "a b": "x", "c": "-"}), 3)
	ok := model.Selector{Kind: model.MustStayApart, Subject: "a=b", Object: "c"}
	require.NoError(t, ValidateSelector(ok).Err())
	require.NoError(t, ValidateSelector(model.Selector{Kind: model.YieldsFirst, Subject: "a"}).Err())
	require.Len(t, ValidateSelector(model.Selector{Kind: model.MayShare, Subject: "a==", Object: "~"}), 1)
	require.Len(t, ValidateSelector(model.Selector{Kind: model.MayShare}), 2)
	require.Len(t, ValidateSelector(model.Selector{Kind: model.YieldsFirst, Subject: "a", Object: "b"}), 1)
	require.Len(t, ValidateSelector(model.Selector{Kind: "stays"}), 1)
}
