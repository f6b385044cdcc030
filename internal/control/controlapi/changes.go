package controlapi

import (
	"encoding/json"

	"filberthook/internal/engines/instances"
)

// Changes are changes of instances. Decoding leaves out those that cannot be read, which a
// control host of another version may list, and keeps all others.
type Changes []instances.Change

// UnmarshalJSON implements json.Unmarshaler.
func (c *Changes) UnmarshalJSON(text []byte) error {
	var all []instances.Change
	if json.Unmarshal(text, &all) == nil {
		*c = all
		return nil
	}
	var each []json.RawMessage
	if err := json.Unmarshal(text, &each); err != nil {
		return err
	}
	*c = make(Changes, 0, len(each))
	for _, one := range each {
		var change instances.Change
		if json.Unmarshal(one, &change) != nil {
			change = instances.Change{} // invalid, so that Valid counts it
		}
		*c = append(*c, change)
	}
	return nil
}

// Valid returns the valid changes and how many others there are, with the error of one of them.
func (c Changes) Valid() (valid []instances.Change, refused int, err error) {
	valid = c[:0:0]
	for i := range c {
		if problem := c[i].Validate(); problem != nil {
			refused, err = refused+1, problem
			continue
		}
		valid = append(valid, c[i])
	}
	return valid, refused, err
}
