package sesamepitch

import (
	"context"
	"strings"
	"time"
)

// Row is one row of the platform's table. Version is zero for an absent row
// and increases with each write of the key. Deleted marks the removal of a row
// in the changes of a Feed.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Name returns the last segment of the row's key.
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

// Txn is a transaction: its writes are applied atomically if all checks hold.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes,omitempty"`
}

// Table is the platform's transactional table. Errors are of the kinds
// KindConflict (a check failed), KindUnavailable (no effect) and KindUnknown (the
// commit may have taken effect).
type Table interface {
	// Get reads one row; an absent row has version zero and no error.
	Get(ctx context.Context, key string) (Row, error)
	// List reads all rows whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies txn and returns the table's new revision, which is the
	// version of each row written.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Changes contains the rows of a table that changed after a revision, in order,
// and the revision up to which they are complete.
type Changes struct {
	Rows     []Row `json:"rows,omitempty"`
	Revision int64 `json:"revision"`
}

// Feed provides the changes of one table of the platform. Keys have the form
// table/partition/name: "lease//driver" is the row "driver" in the empty partition
// of table "lease".
type Feed interface {
	// Snapshot reads all rows of a table.
	Snapshot(ctx context.Context, table string) (Changes, error)
	// Changes waits until a row changed after a revision and returns the changed
	// rows, or none when wait has passed. KindGone means that the history is no
	// longer kept and a new snapshot is needed.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// Store is a table with a change feed and range reads.
type Store interface {
	Table
	Feed
	// Range reads at most limit rows of a partition in key order, starting at a
	// key.
	Range(ctx context.Context, from string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object, replacing an existing one of the same name.
	Put(ctx context.Context, name string, content []byte) error
	// Get reads an object; it fails with KindNotFound if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object; a missing object is not an error.
	Delete(ctx context.Context, name string) error
}

// EndpointOrder asks the platform to start or stop one endpoint. Fence is the
// epoch of the holder of the orders lease. The platform must not carry out the
// order after NotAfter.
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

// Orders is the platform's service that starts and stops endpoints of the data
// centres.
type Orders interface {
	// Order sends one order; it is idempotent by the order's ID.
	Order(ctx context.Context, order EndpointOrder) error
	// Ordered reports whether the order with this ID took effect.
	Ordered(ctx context.Context, id string) (bool, error)
}

// UsageFigure is the usage of one workspace in one window. MilliCost is in
// thousandths of the price of a token on a regular endpoint.
type UsageFigure struct {
	Workspace string `json:"workspace"`
	Requests  int64  `json:"requests"`
	Tokens    int64  `json:"tokens"`
	MilliCost int64  `json:"milli_cost"`
}

// UsageReport is the final usage of one window.
type UsageReport struct {
	ID      string        `json:"id"`
	Start   time.Time     `json:"start"`
	End     time.Time     `json:"end"`
	Holder  string        `json:"holder"`
	Fence   int64         `json:"fence"`
	Figures []UsageFigure `json:"figures"`
}

// UsageReports is the platform's service that accepts usage reports.
type UsageReports interface {
	// Report sends a report; it is idempotent by the report's ID.
	Report(ctx context.Context, report UsageReport) error
	// Reported returns the report with this ID; it fails with KindNotFound if
	// there is none.
	Reported(ctx context.Context, id string) (UsageReport, error)
}

// The states in the platform's list of instances and endpoints.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Liveness is one entry of the platform's live list.
type Liveness struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	State  string `json:"state"`
}

// LiveList is the platform's list of live and leaving endpoints. It lags behind
// the actual state.
type LiveList interface {
	// Live returns the platform's current list.
	Live(ctx context.Context) ([]Liveness, error)
}

// Platform combines all services of the platform.
type Platform interface {
	Table
	Orders
	UsageReports
	LiveList
	// Objects returns the object store.
	Objects() Objects
}

// Sweeper deletes expired data from the platform's table and object store. Any
// process can repeat an incomplete sweep.
type Sweeper interface {
	// Name returns the name of the swept data for the log.
	Name() string
	// Sweep removes at most about limit rows and returns the number removed.
	Sweep(ctx context.Context, limit int) (int, error)
}

// KeysOf returns the keys of rows.
func KeysOf(rows []Row) []string {
	keys := make([]string, len(rows))
	for i, row := range rows {
		keys[i] = row.Key
	}
	return keys
}
