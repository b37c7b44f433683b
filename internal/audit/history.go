package audit

import (
	"context"
	"fmt"
	"slices"

	"siskinrouter/internal/platform"
)

// History returns the newest records that match, at most limit, oldest first. A nil match accepts
// every record, and a limit of 0 means all records in the trail. Records that are overwritten during the
// read are omitted.
func (l *Log) History(ctx context.Context, limit int, match func(Record) bool) ([]Record, error) {
	end, err := l.findEnd(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the audit trail: %w", err)
	}
	h := history{log: l}
	oldest := uint64(1)
	if end > l.size {
		oldest = end - l.size
	}
	var records []Record
	for s := end - 1; s >= oldest && (limit == 0 || len(records) < limit); s-- {
		r, ok, err := h.record(ctx, s)
		if err != nil {
			return nil, fmt.Errorf("read the audit trail: %w", err)
		}
		if ok && (match == nil || match(r)) {
			records = append(records, r)
		}
	}
	slices.Reverse(records)
	return records, nil
}

// history reads the trail backwards, one block of objects per call.
type history struct {
	log    *Log
	prefix string
	block  map[string]platform.Object
}

// record returns the record at a sequence number, and false if the number is not in the trail.
func (h *history) record(ctx context.Context, sequence uint64) (Record, bool, error) {
	name, version := h.log.objectVersion(sequence)
	if err := h.load(ctx, h.log.objectIndex(sequence)/blockSize); err != nil {
		return Record{}, false, err
	}
	o := h.block[name]
	if o.Version != version {
		return Record{}, false, nil
	}
	return decodeRecord(sequence, o.Value), true, nil
}

func (h *history) load(ctx context.Context, block uint64) error {
	prefix := fmt.Sprintf(namePrefix+"%03d", block)
	if prefix == h.prefix {
		return nil
	}
	objects, _, err := h.log.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	h.prefix = prefix
	h.block = make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		h.block[o.Name] = o
	}
	return nil
}
