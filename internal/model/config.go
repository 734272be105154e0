package model

// ConfigKey names one item of the configuration.
type ConfigKey struct {
	Kind ConfigKind `json:"kind"`
	Name string     `json:"name"`
}

// String formats the key as kind/name.
func (k ConfigKey) String() string { return string(k.Kind) + "/" + k.Name }

// ConfigKind is a kind of configuration item: the labels of one kind of object,
// or a selector.
type ConfigKind string

// Kinds of configuration items. For all but KindSelector the item's name is
// the name of an object of this kind, and its value is the object's labels.
const (
	KindService  ConfigKind = "service"
	KindClass    ConfigKind = "class"
	KindTeam     ConfigKind = "team"
	KindWorker   ConfigKind = "worker"
	KindBackend  ConfigKind = "backend"
	KindJob      ConfigKind = "job"
	KindSelector ConfigKind = "selector"
)

// ConfigVersion numbers the accepted edits of the configuration; 0 is the
// empty configuration before the first edit.
type ConfigVersion uint64

// ConfigItem is the value of a key: labels, or a selector.
type ConfigItem struct {
	Labels   Labels    `json:"labels,omitempty"`
	Selector *Selector `json:"selector,omitempty"`
}

// SelectorKind says what rule a selector expresses.
type SelectorKind string

// Kinds of selectors.
const (
	MayShare      SelectorKind = "may-share"       // subject may share a host only with object
	MustStayApart SelectorKind = "must-stay-apart" // subject and object never share a host
	YieldsFirst   SelectorKind = "yields-first"    // subject is evicted before other work
)

// Selector relates work that Subject matches to work or hosts that Object
// matches. Both use label-selector syntax.
type Selector struct {
	Kind    SelectorKind `json:"kind"`
	Subject string       `json:"subject"`
	Object  string       `json:"object,omitempty"` // unused by YieldsFirst
}

// ConfigChange is one accepted change of one key.
type ConfigChange struct {
	Version ConfigVersion `json:"version"`
	Key     ConfigKey     `json:"key"`
	Item    *ConfigItem   `json:"item,omitempty"` // nil: the key was removed
	Author  string        `json:"author,omitempty"`
}

// LabelTargetP99 is the label of a class with its target for the p99 at the
// backend server, in milliseconds, which tasks on the same host must not
// endanger.
const LabelTargetP99 = "target-p99-ms"

// LabelDrain is the label of a worker that drains it if the value is "true": no
// new tasks start there, and its tasks move to other workers.
const LabelDrain = "drain"
