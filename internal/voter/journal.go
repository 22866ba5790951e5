package voter

import (
	"encoding/json"
	"fmt"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/quorum"
)

// This file implements the journal records and the image of a member.

// journalName is the name of the log's journal in the data folder.
const journalName = "log"

// record is one journal record; exactly one field is set. An entry replaces the
// entries of earlier records with the same or a higher index.
type record struct {
	Self  *quorum.Member    `json:"self,omitempty"`
	Found *founding         `json:"found,omitempty"`
	Hard  *quorum.HardState `json:"hard,omitempty"`
	Entry *quorum.Entry     `json:"entry,omitempty"`
}

// founding is what a member knows about the founding of its log.
type founding struct {
	// Names are the founders that the settings named at the first start of the fleet. They
	// are set on the disk of a founder until it has adopted a founding membership.
	Names []poplar.Daemon `json:"names,omitempty"`
	// Founders is the founding membership, nil until the member has adopted
	// one. A member, which is one incarnation of a daemon, adopts at most one.
	Founders []quorum.Member `json:"set"`
	// Started is true once all founders are known to have adopted the
	// membership.
	Started bool `json:"on,omitempty"`
}

// image is the journal's snapshot: the state recorded by all earlier records.
type image struct {
	Self     quorum.Member    `json:"self"`
	Found    founding         `json:"found"`
	Hard     quorum.HardState `json:"hard"`
	Snapshot quorum.Snapshot  `json:"snap"`
	Entries  []quorum.Entry   `json:"list,omitempty"`
}

// loadImage applies the records to the snapshot and returns the latest state. A
// new journal yields the zero image.
func loadImage(recovered disk.Recovered) (image, error) {
	var im image
	if data := recovered.Snapshot(); len(data) > 0 {
		if err := json.Unmarshal(data, &im); err != nil {
			return im, corruptError("snapshot", err)
		}
	}
	for i, data := range recovered.Records() {
		var r record
		if err := json.Unmarshal(data, &r); err != nil {
			return im, corruptError(fmt.Sprintf("record %d", i), err)
		}
		if err := im.add(r); err != nil {
			return im, corruptError(fmt.Sprintf("record %d", i), err)
		}
	}
	return im, nil
}

func (im *image) add(r record) error {
	switch {
	case r.Self != nil:
		im.Self = *r.Self
	case r.Found != nil:
		im.Found = *r.Found
	case r.Hard != nil:
		im.Hard = *r.Hard
	case r.Entry != nil:
		return im.addEntry(*r.Entry)
	}
	return nil
}

func (im *image) addEntry(e quorum.Entry) error {
	last := im.Snapshot.Index + poplar.Index(len(im.Entries))
	if e.Index <= im.Snapshot.Index || e.Index > last+1 {
		return fmt.Errorf("entry %d does not follow entry %d", e.Index, last)
	}
	im.Entries = append(im.Entries[:e.Index-im.Snapshot.Index-1], e)
	return nil
}

func corruptError(what string, err error) error {
	return poplar.Failf(poplar.StepDisk, poplar.CodeCorrupt, "%s of the log: %w", what, err)
}

// encode returns the stored form of v. The types in this file always encode.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}

// batchRecords returns the journal records of a batch that contains no
// snapshot.
func batchRecords(r quorum.Ready, last quorum.HardState) [][]byte {
	var records [][]byte
	if hard := r.Hard(); hard != last {
		records = append(records, encode(record{Hard: &hard}))
	}
	for _, e := range r.Entries() {
		records = append(records, encode(record{Entry: &e}))
	}
	return records
}
