// broken: COMPLETE ONCE OWNTERM DURABLE OPENED SINGLE STALE INCARNATION
// bound: 4000
//
// The replicated log: election, commit, membership change and step-down.
//
// Describes pkg/quorum. The steps name their code:
//   elect    Machine.campaign        vote    Machine.stepVote
//   complete Machine.complete        lead    Machine.lead
//   append   Machine.appendOwn       change  Machine.Change
//   accept   Machine.stepAppend      commit  Machine.countCommit
//   durable  Machine.sendDurable     leave   Machine.leaveIfRemoved
//   stepdown Machine.follow          crash   New, from what is durable
//
// Claims: one leader in a term; a committed entry, and with it a committed
// membership, is never lost or replaced; a new leader holds all of them; nobody
// who lacks one could be elected.
//
// Bounds: 3 or 4 founders, of which member 0 campaigns up to term MAXTERM and
// member 1 up to the term before; MAXLOG entries (the empty entries of leaders
// and changes of membership), MAXCHANGE changes.
//
// A message that is lost or late is a step that is not taken or is taken late; a
// leader keeps the answers that it has got while the member moves on. A member
// that is down or has lost its disk takes no step: the daemon on a new disk is
// another member.
//
// Each macro leaves one rule out.

#define N 4
#ifndef MAXTERM
#ifdef OPENED
#define MAXTERM 2 // the fault shows at once, but only in a part that is searched late
#endif
#endif
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 3
#endif
#ifndef MAXCHANGE
#define MAXCHANGE 2
#endif
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

// An entry is term*16 + the new membership, a set of members, or term*16 when
// it is empty.
#define TERM(e) ((e) >> 4)
#define SET(e) ((e) & 15)
#define AT(i, k) log[(i)*MAXLOG + (k)]
#define HAS(s, i) (((s) >> (i)) & 1)
#define COUNT(s) (HAS(s,0) + HAS(s,1) + HAS(s,2) + HAS(s,3))
#define MAJORITY(yes, s) (COUNT((yes) & (s)) * 2 > COUNT(s))

byte term[N];
byte voted[N];          // member + 1
byte role[N];
byte votes[N];          // of a candidate
byte size[N];
byte log[N * MAXLOG];
byte stable[N];         // of a leader: entries that are durable
byte held[N * N];       // of a leader: entries that a member has acknowledged
byte done[N];           // of a leader: committed entries
byte changes;
byte founders;          // the founding membership

// What was ever committed, and in which term the last commit was counted.
byte kept[MAXLOG];
byte top;
byte topterm;

// Scratch, zero between steps.
byte k, n, set, yes;

// config sets set to the membership in force at i, and n to its entry + 1.
inline config(i) {
  set = founders; n = 0; k = 0;
  do
  :: k < size[i] -> if :: SET(AT(i, k)) -> set = SET(AT(i, k)); n = k + 1 :: else fi; k++
  :: else -> break
  od;
  k = 0
}

// With TRACE a leader counts at once and sends to members only, as the code does
// (a late message may reach a member that was removed), members campaign and
// crash less often, and a random run prints each step with the state after it.
// pkg/quorum/testdata/trace-N.txt is such a run, made by
//   spin -DTRACE -DMAXTERM=14 -DMAXLOG=14 -DMAXCHANGE=5 -T -nN -u9000 log.pml |
//   sed -n 's/^ *\(founders\|step\|state\)/\1/p'
#ifdef TRACE
#define EAGER(i) count(i); left(i)
#define SENDS(j) HAS(set, j)
#define MAYELECT(i) (role[i] == FOLLOWER && (role[1-i] != LEADER || done[1-i] > 1))
#define MAYCRASH(i) (done[i] > 1 || (role[i] == CANDIDATE && term[1-i] > term[i]))
#define END(i) (size[i] == 0 -> 0 : AT(i, size[i]-1))
#define SHOW printf("state %d %d %d %d  %d %d %d %d  %d %d %d %d  %d %d %d %d  %d %d\n", \
  term[0], term[1], term[2], term[3], role[0], role[1], role[2], role[3], \
  size[0], size[1], size[2], size[3], END(0), END(1), END(2), END(3), done[0], done[1])
#else
#define EAGER(i) skip
#define SENDS(j) true
#define MAYELECT(i) true
#define MAYCRASH(i) true
#define SHOW skip
#endif

inline clear() { k = 0; n = 0; set = 0; yes = 0 }

inline follow(i) { // [stepdown]
  role[i] = FOLLOWER; votes[i] = 0; stable[i] = 0; done[i] = 0;
  held[i*N] = 0; held[i*N+1] = 0; held[i*N+2] = 0; held[i*N+3] = 0
}

inline adopt(i, t) {
  if
  :: term[i] < t -> term[i] = t; voted[i] = 0; follow(i)
  :: else
  fi
}

#define LAST(i) (size[i] == 0 -> 0 : TERM(AT(i, size[i]-1)))
#ifdef COMPLETE
#define COMPLETEAT(i, j) true
#else
#define COMPLETEAT(i, j) (LAST(i) > LAST(j) || (LAST(i) == LAST(j) && size[i] >= size[j]))
#endif

inline elect(i) {
  d_step {
    role[i] != LEADER && term[i] + i < MAXTERM && MAYELECT(i);
    config(i);
    if
    :: HAS(set, i) ->
       follow(i);
       term[i]++; voted[i] = i + 1; role[i] = CANDIDATE; votes[i] = 1 << i;
       printf("step elect %d\n", i); SHOW
    :: else
    fi;
    clear()
  }
}

inline vote(i, j) {
  d_step {
    role[i] == CANDIDATE && term[j] <= term[i] && !HAS(votes[i], j);
    adopt(j, term[i]);
    if
    :: (voted[j] == 0 || voted[j] == i + 1) && COMPLETEAT(i, j) ->
       voted[j] = i + 1; votes[i] = votes[i] | (1 << j)
    :: else
    fi;
    printf("step vote %d %d\n", i, j); SHOW
  }
}

inline lead(i) {
  d_step {
    role[i] == CANDIDATE && size[i] < MAXLOG;
    config(i);
    if
    :: MAJORITY(votes[i], set) ->
       assert(role[1-i] != LEADER || term[1-i] != term[i]);
       if
       :: term[i] >= topterm ->
          do
          :: k < top -> assert(k < size[i] && AT(i, k) == kept[k]); k++
          :: else -> break
          od
       :: else
       fi;
       role[i] = LEADER; votes[i] = 0; stable[i] = size[i];
       AT(i, size[i]) = term[i] * 16; size[i]++;
       printf("step lead %d\n", i); SHOW
    :: else
    fi;
    clear()
  }
}

#ifdef OPENED
#define OPENEDAT(i) true
#else
#define OPENEDAT(i) (done[i] > 0 && TERM(AT(i, done[i]-1)) == term[i])
#endif
#ifdef SINGLE
#define SETTLEDAT(i) true
#else
#define SETTLEDAT(i) (n <= done[i])
#endif

inline change(i, x) { // adds or removes the member x
  d_step {
    role[i] == LEADER && size[i] < MAXLOG && changes < MAXCHANGE;
    config(i);
    if
    :: OPENEDAT(i) && SETTLEDAT(i) && (set ^ (1 << x)) != 0 ->
       AT(i, size[i]) = term[i] * 16 + (set ^ (1 << x)); size[i]++; changes++;
       printf("step change %d %d\n", i, x); SHOW
    :: else
    fi;
    clear()
  }
}

inline persist(i) {
  d_step {
    role[i] == LEADER && stable[i] < size[i];
    stable[i] = size[i];
    printf("step persist %d\n", i);
    EAGER(i); SHOW
  }
}

#ifdef STALE
#define CURRENT(i, j) true
#else
#define CURRENT(i, j) (term[j] <= term[i])
#endif

inline accept(i, j) { // one entry after the common prefix, durable and answered
  d_step {
    role[i] == LEADER && CURRENT(i, j) && held[i*N+j] < size[i];
    config(i);
    if
    :: SENDS(j) ->
       clear();
       adopt(j, term[i]);
       if :: role[j] == CANDIDATE -> follow(j) :: else fi;
       do
       :: k < size[i] && k < size[j] && AT(i, k) == AT(j, k) -> k++
       :: else -> break
       od;
       if
       :: k < size[i] ->
          AT(j, k) = AT(i, k);
          n = k + 1;
          do
          :: n < size[j] -> AT(j, n) = 0; n++
          :: else -> break
          od;
          size[j] = k + 1; held[i*N+j] = k + 1
       :: else -> held[i*N+j] = k
       fi;
       clear();
       printf("step accept %d %d\n", i, j);
       EAGER(i); SHOW
    :: else -> clear()
    fi
  }
}

#ifdef DURABLE
#define OWN(i) size[i]
#else
#define OWN(i) stable[i]
#endif
#ifdef OWNTERM
#define COUNTED(i) true
#else
#define COUNTED(i) (TERM(AT(i, yes-1)) == term[i])
#endif
#define HOLDS(i, j) (((i) == (j) -> OWN(i) : held[(i)*N+(j)]) >= yes)

// unrivalled asserts that no majority would elect c while c lacks what is
// committed.
inline unrivalled(c) {
  config(c);
  yes = (COMPLETEAT(c, 0) -> 1 : 0) + (COMPLETEAT(c, 1) -> 2 : 0) + (COMPLETEAT(c, 2) -> 4 : 0) + (COMPLETEAT(c, 3) -> 8 : 0);
  do
  :: k < top && k < size[c] && AT(c, k) == kept[k] -> k++
  :: else -> break
  od;
  assert(k == top || !HAS(set, c) || !MAJORITY(yes, set))
}

// count commits the longest prefix that a majority holds. It uses yes for the
// length that is tried.
inline count(i) {
  config(i);
  yes = size[i];
  do
  :: yes > done[i] && !MAJORITY(HOLDS(i,0) + 2*HOLDS(i,1) + 4*HOLDS(i,2) + 8*HOLDS(i,3), set) -> yes--
  :: else -> break
  od;
  if
  :: yes > done[i] && COUNTED(i) ->
     done[i] = yes; k = 0;
     do
     :: k < yes ->
        assert(k >= top || kept[k] == AT(i, k));
        kept[k] = AT(i, k); k++
     :: else -> break
     od;
     if :: yes > top -> top = yes :: else fi;
     if :: term[i] > topterm -> topterm = term[i] :: else fi;
     unrivalled(1-i)
  :: else
  fi;
  clear()
}

inline commit(i) {
  d_step {
    role[i] == LEADER && done[i] < size[i];
    count(i)
  }
}

inline left(i) {
  config(i);
  if
  :: role[i] == LEADER && n <= done[i] && !HAS(set, i) -> follow(i)
  :: else
  fi;
  clear()
}

inline leave(i) {
  d_step { role[i] == LEADER; left(i) }
}

// A leader loses what is not durable. Others have promised only what is.
inline crash(i) {
  d_step {
    role[i] != FOLLOWER && MAYCRASH(i);
    if
    :: role[i] == LEADER ->
       do
       :: size[i] > stable[i] -> size[i]--; AT(i, size[i]) = 0
       :: else -> break
       od
    :: else
    fi;
#ifdef ONCE
    voted[i] = 0;
#endif
    follow(i);
    printf("step crash %d\n", i); SHOW
  }
}

#ifdef ONCE
// The vote is not durable: a crash of a voter forgets it.
inline forget(i) {
  d_step { voted[i] != 0 && role[i] == FOLLOWER; voted[i] = 0 }
}
#endif

#ifdef INCARNATION
// The daemon on a new disk takes the place of the lost member.
inline replace(i) {
  d_step {
    term[i] > 0;
    follow(i);
    term[i] = 0; voted[i] = 0; size[i] = 0; k = 0;
    do
    :: k < MAXLOG -> AT(i, k) = 0; k++
    :: else -> break
    od;
    k = 0
  }
}
#endif

active proctype members() {
  if
  :: founders = 7
  :: founders = 15
  fi;
  printf("founders %d\n", founders);
  do
  :: elect(0)     :: elect(1)
  :: vote(0, 1)   :: vote(0, 2)   :: vote(0, 3)
  :: vote(1, 0)   :: vote(1, 2)   :: vote(1, 3)
  :: lead(0)      :: lead(1)
  :: change(0, 0) :: change(0, 1) :: change(0, 3)
  :: change(1, 0) :: change(1, 1) :: change(1, 3)
  :: persist(0)   :: persist(1)
  :: accept(0, 1) :: accept(0, 2) :: accept(0, 3)
  :: accept(1, 0) :: accept(1, 2) :: accept(1, 3)
#ifndef TRACE
  :: commit(0)    :: commit(1)
  :: leave(0)     :: leave(1)
#endif
  :: crash(0)     :: crash(1)
#ifdef INCARNATION
  :: replace(2)   :: replace(3)
#endif
#ifdef ONCE
  :: forget(2)    :: forget(3)
#endif
  :: term[0] == MAXTERM && role[0] == FOLLOWER && role[1] == FOLLOWER -> break
  od
}
