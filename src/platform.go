package sesamepitch

import (
	"context"
	"strings"
	"time"
)

// Row is one row of the platform's table. Version is zero for an absent row
// and grows with each write of the key. Deleted marks the removal of a row in
// a Feed's changes.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Name returns the last part of the row's key.
func (r Row) Name() string { return r.Key[strings.LastIndexByte(r.Key, '/')+1:] }

// Check is a condition of a transaction: the row must have this version; zero
// means it must be absent.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied as a whole if all checks hold.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes,omitempty"`
}

// Table is the platform's transactional table. Errors are of the kinds
// KindConflict (a check failed), KindUnavailable (nothing happened) and
// KindUnknown (the commit may have taken effect).
type Table interface {
	// Get reads one row; an absent row has version zero and no error.
	Get(ctx context.Context, key string) (Row, error)
	// List reads all rows whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies txn and returns the table's new revision, which is the
	// version of each row written.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Changes are the rows of a table that changed after a revision, in order, and
// the revision up to which they are complete.
type Changes struct {
	Rows     []Row `json:"rows,omitempty"`
	Revision int64 `json:"revision"`
}

// Feed tells what changes in one table of the platform. A key's first segment
// is its table: "lease//driver" is key "driver" in the empty part of "lease".
type Feed interface {
	// Snapshot reads all rows of a table.
	Snapshot(ctx context.Context, table string) (Changes, error)
	// Changes returns the rows that changed after a revision as soon as there
	// is one, or none after wait. KindGone means that the history is lost and
	// a new snapshot is needed.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// Store is a table that also tells what changes and reads pages of a part.
type Store interface {
	Table
	Feed
	// Range reads at most limit rows of a part, in key order, from a key.
	Range(ctx context.Context, from string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object; storing the same name again replaces it.
	Put(ctx context.Context, name string, content []byte) error
	// Get reads an object; KindNotFound if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object; it is no error if there is none.
	Delete(ctx context.Context, name string) error
}

// EndpointOrder asks the platform to start or stop one endpoint. Fence is the
// epoch of the holder of the orders lease, NotAfter the end of the order's
// life: the platform must not act on it later.
type EndpointOrder struct {
	ID       string    `json:"id"`
	Centre   string    `json:"centre"`
	Endpoint string    `json:"endpoint"`
	Action   string    `json:"action"`
	Holder   string    `json:"holder"`
	Fence    int64     `json:"fence"`
	NotAfter time.Time `json:"not_after"`
}

// The actions of an EndpointOrder.
const (
	ActionStart = "start"
	ActionStop  = "stop"
)

// Orders takes orders for endpoints by data centre.
type Orders interface {
	// Order sends one order; its ID makes it idempotent.
	Order(ctx context.Context, order EndpointOrder) error
	// Ordered tells whether an order with this id took effect.
	Ordered(ctx context.Context, id string) (bool, error)
}

// UsageFigure is the consumption of one workspace in one window. Cost is in
// thousandths of the price of a token on an ordinary endpoint.
type UsageFigure struct {
	Workspace string `json:"workspace"`
	Requests  int64  `json:"requests"`
	Tokens    int64  `json:"tokens"`
	MilliCost int64  `json:"milli_cost"`
}

// UsageReport is the frozen usage of one window.
type UsageReport struct {
	ID      string        `json:"id"`
	Start   time.Time     `json:"start"`
	End     time.Time     `json:"end"`
	Holder  string        `json:"holder"`
	Fence   int64         `json:"fence"`
	Figures []UsageFigure `json:"figures"`
}

// UsageReports takes usage reports.
type UsageReports interface {
	// Report sends a report; its ID makes it idempotent.
	Report(ctx context.Context, report UsageReport) error
	// Reported returns the report with this id; KindNotFound if there is none.
	Reported(ctx context.Context, id string) (UsageReport, error)
}

// The states of the platform's list of instances and endpoints.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Liveness is one row of the platform's lagging list.
type Liveness struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	State  string `json:"state"`
}

// LiveList is the platform's lagging list of live and leaving endpoints.
type LiveList interface {
	// Live returns the list as the platform knows it.
	Live(ctx context.Context) ([]Liveness, error)
}

// Platform is all of the platform's services together.
type Platform interface {
	Table
	Orders
	UsageReports
	LiveList
	// Objects returns the object store.
	Objects() Objects
}

// Sweeper removes what has outlived its use from the platform's table and
// object store. A sweep that stops half way can be repeated by any process.
type Sweeper interface {
	// Name names what is swept, for the log.
	Name() string
	// Sweep removes about limit rows at most and returns how many it removed.
	Sweep(ctx context.Context, limit int) (int, error)
}

// KeysOf lists the keys of rows.
func KeysOf(rows []Row) []string {
	keys := make([]string, len(rows))
	for i, row := range rows {
		keys[i] = row.Key
	}
	return keys
}
