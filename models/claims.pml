// broken: CLAIM NONCE PROVISION EPOCH SYNC RUN TOMB JUDGE COPY
// bound: 100000
//
// Claims over failure domains: a non-idempotent request runs at most once,
// wherever its retries arrive.
//
// Code: pkg/claim/claim.go (Decide, Apply), pkg/ledger/decide.go (Reserve),
// pkg/ledger/home.go (DecideClaim, DecideClaimReply), feed.go and replica.go (the pair of
// the home domain), internal/holder/claim.go (the order of the steps).
//
// Two domains ask for one key at the home domain's ledger, which is a pair of
// members. A message stays in the network for good once it is sent: it may be
// delivered late, twice, crossed with others, or never, which is a cut. The
// first domain asks up to twice, the second once; any answer but "yours" is like
// none.
//
// Each macro of the first line leaves one rule out:
//   CLAIM      a dispatch needs the home's "yours"
//   NONCE      a release frees only a claim that is not newer
//   PROVISION  a non-idempotent request never runs without a claim
//   EPOCH      a backup refuses the copies of an older epoch
//   SYNC       a dispatch needs a durable reservation
//   RUN        a nonce is never used again after a crash
//   TOMB       a forgotten key leaves a fingerprint
//   JUDGE      a request that may have run is not run again
//   COPY       the home answers once its backup holds the claim

#define DOMAINS 2
#define SLOTS 3
#define EPOCHS 2
// The first domain's nonces 1 and 2 have slots 0 and 1, the second's 1 has 2.
#define SLOT(d, n) ((d) * 2 + (n) - 1)
#define NONCES(d) (2 - (d))

// States of the request's record at an asking domain.
#define NONE 0
#define CLAIMING 1
#define RUNNING 2
#define DONE 3
#define FORGOTTEN 4

// Holders of the claim at a home member: 0 none, 1 + domain, TOMBED.
#define TOMBED 9

byte state[DOMAINS];
byte nonce[DOMAINS];
bit durable[DOMAINS];

// The network.
bit claimed[SLOTS];
bit dropped[SLOTS];
bit yours[SLOTS];
bit kept[DOMAINS];

// The home's members.
byte holder[2];
byte hnonce[2];
bit settled[2];
byte epoch[2];  // highest epoch accepted
bit primary[2]; // in the member's own view
bit alone[2];   // its epoch has no backup
bit due[SLOTS]; // answers of the decider that wait for the copy
bit decider;

// The log.
byte named;
bit leader;
bit solo;
bit sound[2];

bit ran;

inline dispatch(d) {
	assert(!ran);
	ran = 1;
	state[d] = RUNNING;
	printf("step dispatch %d\n", d)
}

// Model step Ask: pkg/ledger Machine.Reserve.
inline ask(d) {
	nonce[d]++;
	state[d] = CLAIMING;
	durable[d] = 0;
	claimed[SLOT(d, nonce[d])] = 1;
	printf("step ask %d\n", d)
}

// grant gives the claim to domain d under nonce n, once it is copied.
inline grant(d, n) {
#ifdef COPY
	yours[SLOT(d, n)] = 1
#else
	due[SLOT(d, n)] = 1
#endif
}

// Model step Claim: claim.Store.Decide with OpClaim.
inline rule(m, d, n) {
	printf("step claim %d %d %d\n", m, d, n);
	if
	:: holder[m] == 0 ->
		holder[m] = 1 + d;
		hnonce[m] = n;
		grant(d, n)
	:: holder[m] == 1 + d && !settled[m] ->
		hnonce[m] = (n > hnonce[m] -> n : hnonce[m]);
		grant(d, n)
	:: else
	fi
}

// Model step Release: claim.Store.Decide with OpRelease.
inline release(m, d, n) {
	printf("step release %d %d %d\n", m, d, n);
	if
#ifdef NONCE
	:: holder[m] == 1 + d && !settled[m] ->
#else
	:: holder[m] == 1 + d && !settled[m] && n >= hnonce[m] ->
#endif
		holder[m] = 0;
		hnonce[m] = 0
	:: else
	fi
}

inline clear() {
	due[0] = 0;
	due[1] = 0;
	due[2] = 0
}

// Model step Copy: ledger.Feed and ledger.Replica; then what waits is answered.
inline copy(m) {
	printf("step copy %d\n", m);
	if
#ifndef EPOCH
	:: !alone[m] && epoch[1 - m] > epoch[m] ->
		primary[m] = 0
#endif
	:: else ->
		if
		:: !alone[m] ->
			holder[1 - m] = holder[m];
			hnonce[1 - m] = hnonce[m];
			settled[1 - m] = settled[m];
#ifndef EPOCH
			epoch[1 - m] = epoch[m];
			primary[1 - m] = 0;
			alone[1 - m] = 0;
#endif
			sound[1 - m] = (epoch[m] == named -> 1 : sound[1 - m])
		:: else
		fi;
		yours[0] = yours[0] | due[0];
		yours[1] = yours[1] | due[1];
		yours[2] = yours[2] | due[2]
	fi;
	clear()
}

// A member decides. What the other one decided and did not copy is dropped.
inline decide(m) {
	if
	:: decider != m -> clear(); decider = m
	:: else
	fi
}

proctype Domain(byte d) {
end:
	do
	:: atomic { state[d] == NONE && nonce[d] < NONCES(d) -> ask(d) }
#ifdef JUDGE
	:: atomic { (state[d] == RUNNING || state[d] == DONE) && nonce[d] < NONCES(d) -> ask(d) }
#endif
	:: atomic { state[d] == CLAIMING && !durable[d] -> durable[d] = 1; printf("step sync %d\n", d) }
	// Model step Dispatch: holder.Replica.resolveClaim.
#ifdef SYNC
	:: atomic { state[d] == CLAIMING && yours[SLOT(d, nonce[d])] -> dispatch(d) }
#else
	:: atomic { state[d] == CLAIMING && durable[d] && yours[SLOT(d, nonce[d])] -> dispatch(d) }
#endif
#ifdef CLAIM
	:: atomic { state[d] == CLAIMING && durable[d] -> dispatch(d) }
#endif
	// The answer is no, or does not come: holder.Replica.releaseReservation, then the release.
	:: atomic { state[d] == CLAIMING ->
#ifdef PROVISION
		dispatch(d)
#else
		printf("step undo %d\n", d);
		state[d] = NONE;
		dropped[SLOT(d, nonce[d])] = 1
#ifdef RUN
		;
		if
		:: !durable[d] -> nonce[d]--
		:: else
		fi
#endif
#endif
	   }
	// Model step Crash: what is not durable is lost; what is may have run.
	:: atomic { state[d] == CLAIMING || state[d] == RUNNING ->
		printf("step crash %d\n", d);
		state[d] = (durable[d] -> DONE : NONE)
	   }
	:: atomic { state[d] == RUNNING && durable[d] -> state[d] = DONE; kept[d] = 1; printf("step settle %d\n", d) }
	// Model step Expire: claim.Store.Expire.
	:: atomic { state[d] == DONE && kept[d] ->
		printf("step expire %d\n", d);
#ifdef TOMB
		state[d] = NONE
#else
		state[d] = FORGOTTEN
#endif
	   }
	od
}

proctype Home(byte m) {
end:
	do
	:: atomic { primary[m] && claimed[0] -> decide(m); rule(m, 0, 1) }
	:: atomic { primary[m] && claimed[1] -> decide(m); rule(m, 0, 2) }
	:: atomic { primary[m] && claimed[2] -> decide(m); rule(m, 1, 1) }
	:: atomic { primary[m] && dropped[0] -> decide(m); release(m, 0, 1) }
	:: atomic { primary[m] && dropped[1] -> decide(m); release(m, 0, 2) }
	:: atomic { primary[m] && dropped[2] -> decide(m); release(m, 1, 1) }
	// Model step Merge: claim.Store.Decide with OpSettle.
	:: atomic { primary[m] && kept[0] && holder[m] == 1 -> decide(m); settled[m] = 1; printf("step merge %d 0\n", m) }
	:: atomic { primary[m] && kept[1] && holder[m] == 2 -> decide(m); settled[m] = 1; printf("step merge %d 1\n", m) }
	// Model step Expire at the home.
	:: atomic { primary[m] && settled[m] && holder[m] != TOMBED ->
		decide(m);
		printf("step forget %d\n", m);
#ifdef TOMB
		holder[m] = 0;
		settled[m] = 0;
#else
		holder[m] = TOMBED;
#endif
		hnonce[m] = 0
	   }
	:: atomic { primary[m] && decider == m -> copy(m) }
	// Model step Hear: holder.Replica.applyPair.
	:: atomic { epoch[m] < named ->
		epoch[m] = named;
		primary[m] = (leader == m);
		alone[m] = (leader == m && solo);
		printf("step hear %d\n", m)
	   }
	od
}

// Model step Name: the log names a sound member under the next epoch.
proctype Log() {
end:
	do
	:: atomic { named < EPOCHS ->
		if
		:: sound[0] -> leader = 0
		:: sound[1] -> leader = 1
		fi;
		named++;
		if
		:: solo = 1; sound[1 - leader] = 0
		:: solo = 0
		fi;
		printf("step name %d %d\n", leader, solo)
	   }
	od
}

init {
	atomic {
		named = 1;
		sound[0] = 1;
		sound[1] = 1;
		epoch[0] = 1;
		epoch[1] = 1;
		primary[0] = 1;
		run Domain(0);
		run Domain(1);
		run Home(0);
		run Home(1);
		run Log()
	}
}
