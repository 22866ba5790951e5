package voter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/quorum"
)

// maxInbox bounds the messages that wait for the loop. Further ones are
// dropped, as on a lossy network.
const maxInbox = 4096

// Voter is a running member of the replicated log. Its methods are safe for
// concurrent use.
type Voter struct {
	config  Config
	group   *disk.Group
	status  atomic.Pointer[Status]
	wake    chan struct{}
	done    chan struct{} // invariant: closed when loop has returned
	stopped atomic.Bool

	mu    sync.Mutex
	inbox inbox // invariant: guarded by mu

	// The fields below are owned by the loop.
	founder         *founder
	machine         *quorum.Machine // invariant: nil until the log is founded
	recovered       quorum.RecoveredState
	now             time.Time
	nextHelloAt     time.Time
	hardState       quorum.HardState // invariant: hard state in the last batch
	foundingDurable bool             // invariant: true when the founding is durable and may be sent
	compacting      bool
	compactAt       int64 // invariant: size of the journal that starts the next compaction
	joiners         joinerSet
	referrals       referralSet
	heard           map[quorum.Member]time.Time // invariant: when the last message of each member of the log arrived
	helloTargets    []poplar.Daemon             // invariant: daemons that a member asks for the log
	applied         poplar.Index
	refused         []poplar.Index               // invariant: entries after the snapshot whose commands could not be applied
	proposals       map[poplar.Index][]*proposal // invariant: by index of the entry
	reads           map[uint64][]*readRequest    // invariant: by ID of the read
	catchUpIn       session                      // invariant: the last session in which the machine had all that the leader had committed
	catchUpIndex    poplar.Index                 // invariant: what the leader had committed then
	lastReadID      uint64
	watchers        []*readRequest // invariant: wait until the entry at their index is applied
	failure         error          // invariant: set at most once, by a disk failure or a snapshot that cannot be restored
}

// inbox is the input that waits for the loop.
type inbox struct {
	messages           []quorum.Message
	proposals          []*proposal
	reads              []*readRequest
	persistedBatch     uint64
	foundingDurable    bool
	helloTargets       []poplar.Daemon // invariant: set when the daemons to ask for the log change
	compactAt          int64           // invariant: set when a compaction has ended
	failure            error
	transferLeadership bool
	stop               bool
}

func newVoter(config Config, im image, group *disk.Group) *Voter {
	v := &Voter{
		config:          config,
		group:           group,
		wake:            make(chan struct{}, 1),
		done:            make(chan struct{}),
		helloTargets:    config.Founders,
		founder:         newFounder(im.Self, config.Founders, im.Found),
		recovered:       im.recovered(),
		now:             config.Clock.Now(),
		hardState:       im.Hard,
		foundingDurable: true,
		applied:         im.Snapshot.Index,
		compactAt:       config.CompactSize,
		proposals:       map[poplar.Index][]*proposal{},
		reads:           map[uint64][]*readRequest{},
		heard:           map[quorum.Member]time.Time{},
	}
	v.founder.joinOnly = !config.isFounder() && !im.Found.founds(im.Self)
	if im.Found.Founders == nil && v.founder.advance() {
		v.saveFounding()
	}
	v.startMachine()
	v.processReady() // applies the entries known to be committed
	v.publish()
	return v
}

// Receive passes a message from the network to the member. It does not block.
func (v *Voter) Receive(msg quorum.Message) {
	v.enqueue(func(in *inbox) {
		if len(in.messages) < maxInbox {
			in.messages = append(in.messages, msg)
		}
	})
}

// SetHelloTargets replaces the daemons that a member asks for the log until it is admitted.
func (v *Voter) SetHelloTargets(names []poplar.Daemon) {
	v.enqueue(func(in *inbox) { in.helloTargets = names })
}

// Done returns a channel that is closed when the voter has stopped, because of
// Stop or a failure.
func (v *Voter) Done() <-chan struct{} { return v.done }

// Err returns the failure that stopped the voter, or nil. It is set once the
// channel of Done is closed.
func (v *Voter) Err() error {
	select {
	case <-v.done:
		return v.failure
	default:
		return nil
	}
}

// Stop transfers leadership if possible before ctx ends or an election timeout
// passes, and stops the voter. Proposals that are appended but not applied fail
// with an unknown outcome. Stop returns the failure of the voter, if any.
func (v *Voter) Stop(ctx context.Context) error {
	poll := time.NewTicker(v.config.Heartbeat / ticksPerHeartbeat)
	defer poll.Stop()
	limit := time.NewTimer(v.config.Election)
	defer limit.Stop()
	v.enqueue(func(in *inbox) { in.transferLeadership = true })
	for waiting := v.leads() && len(v.Status().Members().Voters) > 1; waiting; {
		select {
		case <-poll.C:
			waiting = v.leads()
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		case <-v.done:
			waiting = false
		}
	}
	v.enqueue(func(in *inbox) { in.stop = true })
	<-v.done
	return v.failure
}

func (v *Voter) leads() bool { return v.Status().Role() == quorum.RoleLeader }

// enqueue changes the inbox and wakes the loop.
func (v *Voter) enqueue(add func(*inbox)) {
	v.mu.Lock()
	add(&v.inbox)
	v.mu.Unlock()
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

func (v *Voter) drainInbox() inbox {
	v.mu.Lock()
	defer v.mu.Unlock()
	in := v.inbox
	v.inbox = inbox{}
	return in
}

func (v *Voter) loop() {
	defer v.close()
	ticker := time.NewTicker(v.config.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-v.wake:
		}
		in := v.drainInbox()
		v.now = v.config.Clock.Now()
		v.processInput(in)
		v.processReady()
		v.publish()
		if v.failure != nil || in.stop {
			return
		}
	}
}

// processInput passes all input to the machine.
func (v *Voter) processInput(in inbox) {
	if v.failure == nil {
		v.failure = in.failure
	}
	if v.failure != nil {
		return
	}
	if in.compactAt > 0 {
		v.compacting, v.compactAt = false, in.compactAt
	}
	v.foundingDurable = v.foundingDurable || in.foundingDurable
	if in.helloTargets != nil {
		v.helloTargets = in.helloTargets
	}
	v.startMachine()
	if v.machine != nil {
		v.machine.Persisted(in.persistedBatch)
		v.machine.Tick(v.now)
	}
	for _, msg := range in.messages {
		v.receive(msg)
	}
	for _, p := range in.proposals {
		v.propose(p)
	}
	v.startReads(in.reads)
	if in.transferLeadership && v.machine != nil {
		v.machine.TransferLeadership()
	}
	v.sendHellos()
	v.repairMembership()
}

func (v *Voter) receive(msg quorum.Message) {
	if msg.To != v.founder.self {
		// A leader goes on sending to the former disk of this daemon.
		v.referrals.add([]poplar.Daemon{msg.From.Name}, v.now.Add(v.config.RepairTimeout))
	}
	switch {
	case msg.Type == quorum.TypeHello && msg.Hello != nil:
		v.receiveHello(msg)
	case v.machine != nil:
		v.noteHeard(msg)
		v.machine.Step(msg, v.now)
	}
}

// processReady processes all output of the machine. Messages are sent first:
// the machine withholds those that must wait for the disk.
func (v *Voter) processReady() {
	if v.machine == nil || v.failure != nil {
		return
	}
	r := v.machine.Ready()
	for _, msg := range r.Messages() {
		v.config.Sender.Send(msg.To.Name, msg)
	}
	if v.config.Ballot != nil {
		for _, b := range r.Ballots() {
			v.config.Ballot(b)
		}
	}
	v.persist(r)
	if s := r.Snapshot(); s != nil {
		v.restore(*s)
	}
	for _, e := range r.Committed() {
		if v.apply(e); v.failure != nil {
			return
		}
	}
	for _, read := range r.Reads() {
		v.completeReads(read)
	}
	v.releaseReads()
	v.compact()
}

// persist submits a batch to the disk.
func (v *Voter) persist(r quorum.Ready) {
	batch := r.Batch()
	if batch == 0 {
		return
	}
	done := func(err error) {
		v.enqueue(func(in *inbox) {
			if err != nil {
				in.failure = err
				return
			}
			in.persistedBatch = max(in.persistedBatch, batch)
		})
	}
	if r.Snapshot() != nil {
		v.group.SubmitCompact(done, v.image())
	} else {
		v.group.Submit(done, batchRecords(r, v.hardState)...)
	}
	v.hardState = r.Hard()
}

// image returns the encoded image of the member, as a snapshot of the journal.
func (v *Voter) image() []byte {
	return encode(image{
		Self:     v.founder.self,
		Found:    v.founder.founding,
		Hard:     v.machine.Hard(),
		Snapshot: v.machine.Snapshot(),
		Entries:  v.machine.Entries(),
	})
}

func (v *Voter) restore(s quorum.Snapshot) {
	if err := v.config.Applier.Restore(s.Data); err != nil {
		v.failure = poplar.Failf(poplar.StepDisk, poplar.CodeCorrupt, "restore snapshot at entry %d: %w", s.Index, err)
		return
	}
	v.applied = s.Index
	for index, list := range v.proposals {
		if index > s.Index {
			continue
		}
		delete(v.proposals, index)
		for _, p := range list {
			p.fail(unknownOutcome(poplar.CodeUnreachable, "entry is covered by a snapshot from the leader"))
		}
	}
}

func (v *Voter) apply(e quorum.Entry) {
	var reply []byte
	var refusal error
	if e.Kind == quorum.KindCommand {
		reply, refusal = v.execute(e)
	}
	if v.failure != nil {
		return
	}
	v.applied = e.Index
	for _, p := range v.proposals[e.Index] {
		switch {
		case p.term == e.Term && refusal != nil:
			p.fail(refusal)
		case p.term == e.Term:
			p.reply(reply)
		default:
			p.fail(poplar.Failf(poplar.StepPropose, poplar.CodeStale, "entry was replaced by an entry of another leader").Ran(poplar.RunNo))
		}
	}
	delete(v.proposals, e.Index)
}

// compact takes a snapshot when the journal has reached the size limit, or when it holds
// a refused entry.
func (v *Voter) compact() {
	if v.compacting || v.failure != nil || v.group.Size() < v.compactAt && len(v.refused) == 0 {
		return
	}
	if v.applied <= v.machine.Snapshot().Index || !v.machine.Compact(v.applied, v.config.Applier.Snapshot()) {
		return
	}
	v.compacting = true
	v.forgetRefused()
	image := v.image()
	v.group.SubmitCompact(func(err error) {
		// With a large state, a snapshot costs more than the records that it
		// replaces, so there are at least as many bytes of those.
		next := max(v.config.CompactSize, int64(len(image)))
		if err != nil {
			// The journal is either unchanged, or rejects the next record,
			// which stops the voter.
			next += v.group.Size()
		}
		v.enqueue(func(in *inbox) { in.compactAt = next })
	}, image)
}

// close stores the commit index, so that a restart continues from there, fails
// all pending calls, and closes the journal.
func (v *Voter) close() {
	v.stopped.Store(true)
	if v.failure == nil && v.machine != nil {
		hard := v.machine.Hard()
		v.failure = v.group.Commit(encode(record{Hard: &hard}))
	}
	err := v.group.Close()
	if v.failure == nil {
		v.failure = err
	}
	in := v.drainInbox()
	for _, p := range in.proposals {
		p.fail(v.stoppedError().Ran(poplar.RunNo))
	}
	for _, list := range v.proposals {
		for _, p := range list {
			p.fail(v.stoppedError())
		}
	}
	v.rejectReads(in.reads)
	for _, list := range v.reads {
		v.rejectReads(list)
	}
	v.rejectReads(v.watchers)
	close(v.done)
}

// stoppedError returns the error of calls that were pending when the voter
// stopped.
func (v *Voter) stoppedError() *poplar.Error {
	if v.failure != nil {
		return poplar.Fail(poplar.StepPropose, poplar.CodeOf(v.failure), v.failure)
	}
	return poplar.Failf(poplar.StepPropose, poplar.CodeDrain, "voter has stopped")
}
