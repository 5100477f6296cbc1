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

// section gives generic access to one section's items by name.
type section struct {
	name  string
	items func(*Document) map[string]json.RawMessage
	put   func(*Document, string, json.RawMessage) error
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
		put: func(d *Document, name string, raw json.RawMessage) error {
			return putItem(list(d), nameOf, name, raw)
		},
	}
}

func putItem[T any](list *[]T, nameOf func(T) string, name string, raw json.RawMessage) error {
	kept := make([]T, 0, len(*list)+1)
	for _, item := range *list {
		if nameOf(item) != name {
			kept = append(kept, item)
		}
	}
	if raw != nil {
		var item T
		if err := json.Unmarshal(raw, &item); err != nil {
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

// Apply returns the document with the changes made.
func Apply(d Document, changes []Change) (Document, error) {
	for _, change := range changes {
		if err := applyOne(&d, change); err != nil {
			return Document{}, err
		}
	}
	return d, nil
}

func applyOne(d *Document, change Change) error {
	for _, s := range sections {
		if s.name != change.Section {
			continue
		}
		if err := s.put(d, change.Name, change.Item); err != nil {
			return &Error{Op: "document.apply", Kind: sesamepitch.KindInvalid, Err: err}
		}
		return nil
	}
	return &Error{Op: "document.apply", Kind: sesamepitch.KindInvalid, Err: fmt.Errorf("unknown section %q", change.Section)}
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
