package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	sesamepitch "sesamepitch/src"
)

// Change sets or removes a named item of a section. A nil Item removes it.
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

// Delta holds the changes from one version of the document to the next.
type Delta struct {
	Version int64    `json:"version"`
	Digest  string   `json:"digest"`
	Author  string   `json:"author"`
	Changes []Change `json:"changes"`
}

// OmitsChanges reports whether the changes were too large to be stored in the
// delta.
func (d Delta) OmitsChanges() bool { return len(d.Changes) == 0 }

// sectionAccessor gives access to the items of a section regardless of their type.
type sectionAccessor struct {
	name  string
	items func(*Document) map[string]json.RawMessage
	put   func(*Document, []Change) error
}

func newSection[T any](name string, list func(*Document) *[]T, nameOf func(T) string) sectionAccessor {
	return sectionAccessor{
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
			return applyChanges(list(d), nameOf, changes)
		},
	}
}

// applyChanges applies all changes of one section at once to a copy of its list.
func applyChanges[T any](list *[]T, nameOf func(T) string, changes []Change) error {
	changed := make(map[string]bool, len(changes))
	for _, change := range changes {
		changed[change.Name] = true
	}
	items := make([]T, 0, len(*list)+len(changes))
	for _, item := range *list {
		if !changed[nameOf(item)] {
			items = append(items, item)
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
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool { return nameOf(items[i]) < nameOf(items[j]) })
	*list = items
	return nil
}

var sections = []sectionAccessor{
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

// Diff returns the changes from one document to another, sorted by section and
// name.
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

// Apply returns the document with the changes applied. There must be at most one
// change for each item.
func Apply(d Document, changes []Change) (Document, error) {
	bySection := map[string][]Change{}
	for _, change := range changes {
		bySection[change.Section] = append(bySection[change.Section], change)
	}
	for _, s := range sections {
		pending := bySection[s.name]
		delete(bySection, s.name)
		if len(pending) == 0 {
			continue
		}
		if err := s.put(&d, pending); err != nil {
			return Document{}, &Error{Op: "document.apply", Kind: sesamepitch.KindInvalid, Err: err}
		}
	}
	for name := range bySection {
		return Document{}, &Error{Op: "document.apply", Kind: sesamepitch.KindInvalid, Err: fmt.Errorf("unknown section %q", name)}
	}
	return d, nil
}

// Merge applies the changes from base to edited to current. It fails with
// KindConflict if edited and current changed the same item differently.
func Merge(base, edited, current Document) (Document, error) {
	concurrent := map[string]Change{}
	for _, change := range Diff(base, current) {
		concurrent[change.Section+"/"+change.Name] = change
	}
	changes := Diff(base, edited)
	for _, change := range changes {
		other, both := concurrent[change.Section+"/"+change.Name]
		if both && !bytes.Equal(other.Item, change.Item) {
			return Document{}, &Error{
				Op: "document.merge", Kind: sesamepitch.KindConflict,
				Err: fmt.Errorf("%s/%s was changed by another team since your version; run get, redo your change, apply again", change.Section, change.Name),
			}
		}
	}
	return Apply(current, changes)
}

// Sorted returns the document with each section sorted by name, which is the
// stored form.
func (d Document) Sorted() Document {
	sorted, err := Apply(Document{}, Diff(Document{}, d))
	if err != nil {
		panic(err)
	}
	return sorted
}
