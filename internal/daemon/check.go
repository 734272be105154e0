package daemon

import (
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/labels"
)

// configCheck is the syntax that edits of the configuration must have.
var configValidator = configstore.Validator{
	Labels: labels.Validate,
	Selector: func(text string) error {
		_, err := labels.Parse(text)
		return err
	},
}
