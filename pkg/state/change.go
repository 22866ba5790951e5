package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"poplarbend.example/poplar"
)

// ChangeWindow is the number of changes whose replies are stored. A resend of an
// older change is refused, since its body can no longer be compared.
const ChangeWindow = 1024

// pastChange is the stored reply to one change.
type pastChange struct {
	Number   poplar.Revision
	Digest   string
	Operator string
}

// Digest returns a fingerprint of the body of a change. The budgets are derived
// from the files, so only the files are included.
func Digest(files map[string]string) string {
	// Maps are encoded in key order, so equal bodies have equal encodings.
	// Encoding a map of strings never fails.
	body, _ := json.Marshal(files)
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// applyChange enforces rule P8: numbers are consecutive, and the first body
// applied under a number is final.
func (s *State) applyChange(c Change) Reply {
	digest := Digest(c.Files)
	if c.Digest != "" && c.Digest != digest {
		return refuse(poplar.CodeInvalid, "digest %.16s does not match digest %s of the files", c.Digest, digest)
	}
	if c.Number <= s.revision {
		return s.replyToDecided(c.Number, digest)
	}
	if c.Number != s.revision+1 {
		r := refuse(poplar.CodeStale, "change %d is not applied: the next number is %d", c.Number, s.revision+1)
		r.Revision = s.revision
		return r
	}
	if r := s.checkChange(c); r.Code != "" {
		return r
	}
	s.setFiles(c)
	s.setBudgets(c)
	s.changeHistory = append(s.changeHistory, pastChange{Number: c.Number, Digest: digest, Operator: c.Operator})
	if n := len(s.changeHistory) - ChangeWindow; n > 0 {
		s.changeHistory = slices.Delete(s.changeHistory, 0, n)
	}
	return Reply{Revision: c.Number, Operator: c.Operator, Digest: digest}
}

// replyToDecided answers a change whose number is already applied.
func (s *State) replyToDecided(number poplar.Revision, digest string) Reply {
	i, ok := slices.BinarySearchFunc(s.changeHistory, number, func(p pastChange, n poplar.Revision) int {
		return int(int64(p.Number) - int64(n))
	})
	if !ok {
		r := refuse(poplar.CodeExpired, "change %d is not applied: its reply is no longer stored, revision %d is in force", number, s.revision)
		r.Revision = s.revision
		return r
	}
	winner := s.changeHistory[i]
	if winner.Digest == digest {
		return Reply{Duplicate: true, Revision: number, Operator: winner.Operator, Digest: winner.Digest}
	}
	r := refuse(poplar.CodeConflict, "change %d is not applied: %q won the number with body %s", number, winner.Operator, winner.Digest)
	r.Revision, r.Operator, r.Digest = number, winner.Operator, winner.Digest
	return r
}

func (s *State) checkChange(c Change) Reply {
	for name, content := range c.Files {
		if name == "" || len(name) > MaxName {
			return refuse(poplar.CodeInvalid, "file name is empty or too long: %d bytes", len(name))
		}
		if len(content) > MaxFile {
			return refuse(poplar.CodeLarge, "file %q has %d bytes, at most %d", name, len(content), MaxFile)
		}
	}
	seen := make(map[poplar.Budget]bool, len(c.Budgets))
	for _, b := range c.Budgets {
		if b.Name == "" || len(b.Name) > MaxName || len(b.Workspace) > MaxName || seen[b.Name] {
			return refuse(poplar.CodeInvalid, "budget %.64q is empty, too long or declared twice", b.Name)
		}
		if b.Tokens < 0 || b.Tokens > MaxTokens {
			return refuse(poplar.CodeLarge, "budget %q declares %d tokens, out of range", b.Name, b.Tokens)
		}
		if id := s.table.find(b.Name); id >= 0 && s.table.rows[id].workspace != b.Workspace {
			return refuse(poplar.CodeConflict, "budget %q belongs to workspace %q or is a tombstone of it", b.Name, s.table.rows[id].workspace)
		}
		seen[b.Name] = true
	}
	return Reply{}
}

func (s *State) setFiles(c Change) {
	s.revision, s.configAt = c.Number, s.index
	for name, content := range c.Files {
		if content == "" {
			if _, ok := s.files[name]; !ok {
				continue
			}
		}
		s.files[name] = file{Content: content, At: s.index}
	}
	s.prune()
}

// setBudgets creates, changes and deletes budgets in the order of the command
// and of the table. Map order would differ between replicas.
func (s *State) setBudgets(c Change) {
	declared := make(map[poplar.Budget]bool, len(c.Budgets))
	for _, b := range c.Budgets {
		declared[b.Name] = true
		s.declareBudget(b)
	}
	if c.Patch {
		for _, name := range c.Drops {
			if id := s.table.find(name); id >= 0 && !declared[name] {
				s.deleteBudget(id)
			}
		}
		return
	}
	for id := range s.table.rows {
		if name := s.table.rows[id].name; name != "" && !declared[name] {
			s.deleteBudget(id)
		}
	}
}

func (s *State) declareBudget(b Declared) {
	id := s.table.find(b.Name)
	if id < 0 {
		s.table.create(row{name: b.Name, workspace: b.Workspace, serial: s.index, base: b.Tokens})
		return
	}
	r := &s.table.rows[id]
	if r.base == b.Tokens && !r.deleted {
		return
	}
	r.base = b.Tokens
	if r.deleted {
		s.undeleteBudget(id)
	}
	s.table.markChanged(id, s.index)
}

// undeleteBudget turns a tombstone back into a budget. Spent tokens stay spent.
func (s *State) undeleteBudget(id int) {
	s.table.rows[id].deleted = false
	for _, c := range s.table.columns {
		c.close(id, false)
	}
}

// deleteBudget turns a budget into a tombstone, which stays until every domain
// that holds a share has sent its final return.
func (s *State) deleteBudget(id int) {
	r := &s.table.rows[id]
	if r.deleted {
		return
	}
	r.deleted = true
	s.table.markChanged(id, s.index)
	s.table.freeIfClosed(id)
}
