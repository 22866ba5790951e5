package core

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/roster"
	"poplarbend.example/poplar/pkg/wallet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestRestoredStateTakesEveryCommand guards against a state that does not survive its own
// snapshot: a budget without accounts came back without a map, and the first draw of it ended
// every member at every start.
func TestRestoredStateTakesEveryCommand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &settable{now: time.UnixMilli(1_000_000)}
		kept, restored := newReplica(clock, noLeaves), newReplica(clock, noLeaves)
		for n := range 60 {
			data := encode(drawCommand(t))
			index := poplar.Index(n + 1)
			want := kept.Apply(index, data)
			assert.Equal(t, string(restored.Apply(index, data)), string(want), "entry %d", index)
			if n%3 == 2 {
				next := newReplica(clock, noLeaves)
				assert.NilError(t, next.Restore(restored.Snapshot()))
				restored = next
			}
			assert.Equal(t, string(restored.Snapshot()), string(kept.Snapshot()), "after entry %d", index)
		}
	})
}

// drawCommand draws a command: a configuration, in which a workspace may have a budget or none,
// a leave of an upstream, or a draw of a router that may have restarted.
func drawCommand(t *rapid.T) command {
	workspaces := []poplar.Workspace{"a", "b", "c", "d"}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 1:
		a := &roster.Announcement{
			Name:  poplar.Upstream(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "upstream")),
			State: rapid.SampledFrom([]roster.State{roster.StateLeaving, roster.StateRemoved}).Draw(t, "state"), StartedAt: rapid.Int64Range(0, 5).Draw(t, "born"),
		}
		return command{Leave: a, At: rapid.Int64Range(0, 900_000).Draw(t, "at")}
	case 0:
		p := &put{Revision: poplar.Revision(rapid.IntRange(1, 40).Draw(t, "revision")), Document: []byte("{}"), Grants: map[poplar.Workspace]wallet.Grant{}}
		p.Digest = fmt.Sprint("digest ", p.Revision)
		for _, w := range workspaces {
			if rapid.Bool().Draw(t, "declared") {
				p.Grants[w] = wallet.Grant{Tokens: poplar.Tokens(rapid.IntRange(0, 1000).Draw(t, "grant")), Bound: rapid.Bool().Draw(t, "bound")}
			}
		}
		return command{Put: p}
	}
	tokens := func(name string) poplar.Tokens { return poplar.Tokens(rapid.IntRange(0, 60).Draw(t, name)) }
	d := &wallet.DrawRequest{
		Holder: wallet.Holder{
			Name: poplar.Daemon(rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "router")), Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
		},
		Number: rapid.Uint64Range(1, 40).Draw(t, "number"), Entries: map[poplar.Workspace]wallet.DrawEntry{},
		Uptime: rapid.Int64Range(0, 30_000).Draw(t, "uptime"), UnlockStart: rapid.Int64Range(0, 30_000).Draw(t, "unlock"),
	}
	for _, w := range workspaces {
		if rapid.Bool().Draw(t, "named") {
			d.Entries[w] = wallet.DrawEntry{
				Needed: tokens("needed"), Desired: tokens("desired"), Issued: tokens("issued"), Returned: tokens("returned"), Spent: tokens("spent"),
				Open: tokens("open"), Reserve: tokens("reserve"), Urgent: wallet.UrgentUse{tokens("urgent"), tokens("normal")},
			}
		}
	}
	return command{Draw: d, At: rapid.Int64Range(0, 60_000).Draw(t, "at")}
}

// TestDiskWithBudgetThatNobodyDrewStarts starts a daemon on the disk that an earlier version
// left: its snapshot holds a budget without accounts, and the first draw of it follows.
func TestDiskWithBudgetThatNobodyDrewStarts(t *testing.T) {
	path := t.TempDir()
	assert.NilError(t, os.CopyFS(path, os.DirFS("testdata/disk-before-inc-51a")))
	folder, err := disk.OpenFolder(path)
	assert.NilError(t, err)
	defer folder.Close()
	logger, err := trace.New(io.Discard, "error", "core")
	assert.NilError(t, err)
	pool := peer.NewPool("core", "", nil)
	defer pool.Close()
	c, err := Start(Settings{
		Address: "127.0.0.1:1", Seeds: []string{"127.0.0.1:1"}, Files: folder, Losses: 1, Quiet: time.Second, Clock: poplar.System{}, Log: logger,
	}, pool)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, c.Stop(context.Background())) }()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	draw := wallet.DrawRequest{
		Holder: wallet.Holder{Name: "router", Incarnation: 1}, Number: 2, Entries: map[poplar.Workspace]wallet.DrawEntry{"fresh": {Issued: 100}},
	}
	out, err := c.propose(ctx, command{Draw: &draw, At: 2})
	assert.NilError(t, err)
	assert.Equal(t, out.Drawn.Statuses["fresh"].Issued, poplar.Tokens(100), "the draw in the log was applied")
	assert.Equal(t, out.Drawn.Statuses["fresh"].Free, poplar.Tokens(400))
	assert.Equal(t, out.Revision, poplar.Revision(5))
}
