// Package audit stores the ordered audit trail of changes in the platform, and explanations of recent
// requests in the memory of a VM.
package audit

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// The texts of a record are truncated to these lengths, which bounds the size of the full trail.
const (
	maxShortText   = 256      // bytes of each name
	maxLongText    = 4 * 1024 // bytes of the cause and of the evidence
	truncationMark = " [cut]"
)

// Record is one change in the trail.
type Record struct {
	Sequence     uint64    `json:"sequence"` // position in the trail, from 1, set when it is written
	ID           string    `json:"id"`       // unique, set when empty; identifies the record after a lost response
	When         time.Time `json:"when"`     // set when zero
	Who          string    `json:"who"`      // operator, or VM for changes without an operator
	What         string    `json:"what"`     // kind of change
	Object       string    `json:"object"`   // what was changed
	FromRevision uint64    `json:"from_revision"`
	ToRevision   uint64    `json:"to_revision"`
	Cause        string    `json:"cause,omitempty"`
	Evidence     string    `json:"evidence,omitempty"`
}

// WhatUnreadable is the kind of a record whose stored value could not be decoded.
const WhatUnreadable = "unreadable record"

// WhatDropped is the kind of a record that counts records lost to a full buffer.
const WhatDropped = "audit records dropped"

// complete sets the missing fields and truncates long texts.
func (r Record) complete() Record {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if r.When.IsZero() {
		r.When = time.Now().UTC()
	}
	r.Who = truncate(r.Who, maxShortText)
	r.What = truncate(r.What, maxShortText)
	r.Object = truncate(r.Object, maxShortText)
	r.Cause = truncate(r.Cause, maxLongText)
	r.Evidence = truncate(r.Evidence, maxLongText)
	return r
}

func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit-len(truncationMark)], "") + truncationMark
}

// decodeRecord returns the record stored at a sequence number. Unknown fields are allowed because
// VMs of a later release may have written it.
func decodeRecord(sequence uint64, value []byte) Record {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		r = Record{What: WhatUnreadable, Evidence: fmt.Sprint(err)}
	}
	r.Sequence = sequence
	return r
}
