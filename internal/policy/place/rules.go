package place

import (
	"math/bits"
	"slices"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/labels"
	"github.com/bambooscale/bambooscale/internal/model"
)

// Rules holds the compiled selectors of a configuration. It is immutable.
type Rules struct {
	source      []NamedSelector
	list        []rule
	share       ruleSet // the rules of kind may-share
	apart       ruleSet // the rules of kind must-stay-apart
	yieldsFirst []labels.Selector
	findings    finding.List
}

// rule is a compiled may-share or must-stay-apart selector.
type rule struct {
	name            string
	kind            model.SelectorKind
	subject, object labels.Selector
	// matchesHosts is true if the object also selects hosts. A selector that
	// requires no label would match every host, so it selects work only.
	matchesHosts bool
}

// CompileRules parses selectors. It ignores selectors that do not parse and
// returns a finding for each of their defects.
func CompileRules(selectors []NamedSelector) (*Rules, finding.List) {
	r := &Rules{source: selectors}
	for _, s := range selectors {
		if defects := labels.ValidateSelector(s.Selector); len(defects) > 0 {
			for _, d := range defects {
				r.findings.Add("selector/"+s.Name, 0, d.Element, "%s", d.Text)
			}
			continue
		}
		subject, _ := labels.Parse(s.Subject)
		object, _ := labels.Parse(s.Object)
		if s.Kind == model.YieldsFirst {
			r.yieldsFirst = append(r.yieldsFirst, subject)
			continue
		}
		r.list = append(r.list, rule{s.Name, s.Kind, subject, object, object.RequiresLabel()})
	}
	r.share, r.apart = newRuleSet(len(r.list)), newRuleSet(len(r.list))
	for i := range r.list {
		if r.list[i].kind == model.MayShare {
			r.share.add(i)
		} else {
			r.apart.add(i)
		}
	}
	return r, r.findings
}

// compiledFrom reports whether the rules were compiled from equal selectors.
func (r *Rules) compiledFrom(selectors []NamedSelector) bool {
	if r == nil || len(r.source) != len(selectors) {
		return false
	}
	for i := range selectors {
		if r.source[i] != selectors[i] {
			return false
		}
	}
	return true
}

// YieldRank returns the index of the first yields-first selector that matches
// the labels, or the number of these selectors if none does. Work with a lower
// rank is throttled and evicted first.
func (r *Rules) YieldRank(l model.Labels) int {
	for i, s := range r.yieldsFirst {
		if s.Matches(l) {
			return i
		}
	}
	return len(r.yieldsFirst)
}

// profile holds the rules that select one task or service.
type profile struct {
	subject, object ruleSet // rules whose subject or object selects the work
}

func (r *Rules) newProfile(l model.Labels) profile {
	p := profile{newRuleSet(len(r.list)), newRuleSet(len(r.list))}
	r.fillProfile(&p, l)
	return p
}

// fillProfile overwrites p, which must come from the same rules.
func (r *Rules) fillProfile(p *profile, l model.Labels) {
	clear(p.subject)
	clear(p.object)
	for i := range r.list {
		if r.list[i].subject.Matches(l) {
			p.subject.add(i)
		}
		if r.list[i].object.Matches(l) {
			p.object.add(i)
		}
	}
}

// hostRules returns the rules whose object selects a host with these labels.
func (r *Rules) hostRules(l model.Labels) ruleSet {
	set := newRuleSet(len(r.list))
	for i := range r.list {
		if r.list[i].matchesHosts && r.list[i].object.Matches(l) {
			set.add(i)
		}
	}
	return set
}

// occupancy summarises the profiles of all work on a worker: the rules whose
// object selects the host, and the rules whose subject or object selects any
// or all of the work.
type occupancy struct {
	host                             ruleSet
	anySubject, anyObject, allObject ruleSet
}

// newOccupancy returns the occupancy of a worker without work.
func (r *Rules) newOccupancy(host ruleSet) occupancy {
	o := occupancy{host, newRuleSet(len(r.list)), newRuleSet(len(r.list)), newRuleSet(len(r.list))}
	for i := range o.allObject {
		o.allObject[i] = ^uint64(0)
	}
	return o
}

func (o *occupancy) clone() occupancy {
	return occupancy{o.host, slices.Clone(o.anySubject), slices.Clone(o.anyObject), slices.Clone(o.allObject)}
}

func (o *occupancy) add(p profile) {
	for i := range o.host {
		o.anySubject[i] |= p.subject[i]
		o.anyObject[i] |= p.object[i]
		o.allObject[i] &= p.object[i]
	}
}

// conflict returns the reason why work may not join the work on a worker, and
// the index of the rule; it returns ReasonNone, -1 if it may. On hosts that
// the object of a may-share rule selects, the subject may share with any work;
// on other hosts only with work that the object selects. Rules of both kinds
// apply regardless of which work was placed first.
func (r *Rules) conflict(o *occupancy, p *profile) (Reason, int) {
	for i := range o.host {
		apart := r.apart[i] & (p.subject[i]&(o.anyObject[i]|o.host[i]) | o.anySubject[i]&p.object[i])
		if apart != 0 {
			return ReasonMustStayApart, i*64 + bits.TrailingZeros64(apart)
		}
		share := r.share[i] &^ o.host[i] & (p.subject[i]&^o.allObject[i] | o.anySubject[i]&^p.object[i])
		if share != 0 {
			return ReasonMayShare, i*64 + bits.TrailingZeros64(share)
		}
	}
	return ReasonNone, -1
}

// ruleSet is a bit set of rule indexes.
type ruleSet []uint64

func newRuleSet(rules int) ruleSet { return make(ruleSet, (rules+63)/64) }

func (s ruleSet) add(i int) { s[i/64] |= 1 << (i % 64) }
