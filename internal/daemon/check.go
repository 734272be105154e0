package daemon

import (
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/labels"
)

// configValidator checks the syntax of labels and selectors in edits of the
// configuration.
var configValidator = configstore.Validator{
	Labels: labels.Validate,
	Selector: func(text string) error {
		_, err := labels.Parse(text)
		return err
	},
}
