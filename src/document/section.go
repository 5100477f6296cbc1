package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	sesamepitch "sesamepitch/src"
)

// Change sets or removes one named item of one section; a nil Item removes.
type Change struct {
	Section string          `json:"section"`
	Name    string          `json:"name"`
	Item    json.RawMessage `json:"item,omitempty"`
}

// String formats the change for operators.
func (c Change) String() string {
	if c.Item == nil {
		return fmt.Sprintf("- %s/%s", c.Section, c.Name)
	}
	return fmt.Sprintf("+ %s/%s %s", c.Section, c.Name, c.Item)
}

// Delta leads from one version of the document to the next.
type Delta struct {
	Version int64    `json:"version"`
	Digest  string   `json:"digest"`
	Author  string   `json:"author"`
	Changes []Change `json:"changes"`
}

// OmitsChanges tells whether the delta's changes were too large to be kept with it.
func (d Delta) OmitsChanges() bool { return len(d.Changes) == 0 }

// section gives generic access to one section's items by name.
type section struct {
	name  string
	items func(*Document) map[string]json.RawMessage
	put   func(*Document, []Change) error
}

func newSection[T any](name string, list func(*Document) *[]T, nameOf func(T) string) section {
	return section{
		name: name,
		items: func(d *Document) map[string]json.RawMessage {
			items := map[string]json.RawMessage{}
			for _, item := range *list(d) {
				encoded, err := json.Marshal(item)
				if err != nil {
					panic(err)
				}
				items[nameOf(item)] = encoded
			}
			return items
		},
		put: func(d *Document, changes []Change) error {
			return putItems(list(d), nameOf, changes)
		},
	}
}

// putItems makes the changes of one section at once, in a new list.
func putItems[T any](list *[]T, nameOf func(T) string, changes []Change) error {
	changed := make(map[string]bool, len(changes))
	for _, change := range changes {
		changed[change.Name] = true
	}
	kept := make([]T, 0, len(*list)+len(changes))
	for _, item := range *list {
		if !changed[nameOf(item)] {
			kept = append(kept, item)
		}
	}
	for _, change := range changes {
		if change.Item == nil {
			continue
		}
		var item T
		if err := json.Unmarshal(change.Item, &item); err != nil {
			return err
		}
		kept = append(kept, item)
	}
	sort.Slice(kept, func(i, j int) bool { return nameOf(kept[i]) < nameOf(kept[j]) })
	*list = kept
	return nil
}

var sections = []section{
	newSection("workspaces", func(d *Document) *[]Workspace { return &d.Workspaces }, func(w Workspace) string { return w.Name }),
	newSection("keys", func(d *Document) *[]Key { return &d.Keys }, func(k Key) string { return k.Name }),
	newSection("trainers", func(d *Document) *[]Trainer { return &d.Trainers }, func(t Trainer) string { return t.Name }),
	newSection("models", func(d *Document) *[]Model { return &d.Models }, func(m Model) string { return m.Name }),
	newSection("data_centres", func(d *Document) *[]DataCentre { return &d.DataCentres }, func(c DataCentre) string { return c.Name }),
	newSection("endpoints", func(d *Document) *[]Endpoint { return &d.Endpoints }, func(e Endpoint) string { return e.Name }),
	newSection("services", func(d *Document) *[]Service { return &d.Services }, func(s Service) string { return s.Name }),
	newSection("limits", func(d *Document) *[]Limit { return &d.Limits }, func(l Limit) string { return l.Name }),
	newSection("open_routes", func(d *Document) *[]OpenRoute { return &d.OpenRoutes }, func(r OpenRoute) string { return r.Name }),
}

// Diff returns the changes that lead from one document to another.
func Diff(from, to Document) []Change {
	var changes []Change
	for _, s := range sections {
		before, after := s.items(&from), s.items(&to)
		for name, item := range after {
			if !bytes.Equal(before[name], item) {
				changes = append(changes, Change{Section: s.name, Name: name, Item: item})
			}
		}
		for name := range before {
			if _, kept := after[name]; !kept {
				changes = append(changes, Change{Section: s.name, Name: name})
			}
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].Section != changes[j].Section {
			return changes[i].Section < changes[j].Section
		}
		return changes[i].Name < changes[j].Name
	})
	return changes
}

// Apply returns the document with the changes made, each item changed once.
func Apply(d Document, changes []Change) (Document, error) {
	bySection := map[string][]Change{}
	for _, change := range changes {
		bySection[change.Section] = append(bySection[change.Section], change)
	}
	for _, s := range sections {
		mine := bySection[s.name]
		delete(bySection, s.name)
		if len(mine) == 0 {
			continue
		}
		if err := s.put(&d, mine); err != nil {
			return Document{}, &Error{Op: "document.apply", Kind: sesamepitch.KindInvalid, Err: err}
		}
	}
	for name := range bySection {
		return Document{}, &Error{Op: "document.apply", Kind: sesamepitch.KindInvalid, Err: fmt.Errorf("unknown section %q", name)}
	}
	return d, nil
}

// Merge carries the changes from base to mine over to current. It conflicts
// where both changed the same item in different ways.
func Merge(base, mine, current Document) (Document, error) {
	theirs := map[string]Change{}
	for _, change := range Diff(base, current) {
		theirs[change.Section+"/"+change.Name] = change
	}
	changes := Diff(base, mine)
	for _, change := range changes {
		other, both := theirs[change.Section+"/"+change.Name]
		if both && !bytes.Equal(other.Item, change.Item) {
			return Document{}, &Error{
				Op: "document.merge", Kind: sesamepitch.KindConflict,
				Err: fmt.Errorf("%s/%s was changed by another team since your version; run get, redo your change, apply again", change.Section, change.Name),
			}
		}
	}
	return Apply(current, changes)
}

// Sorted returns the document with each section in name order, the form in
// which it is stored.
func (d Document) Sorted() Document {
	sorted, err := Apply(Document{}, Diff(Document{}, d))
	if err != nil {
		panic(err)
	}
	return sorted
}
