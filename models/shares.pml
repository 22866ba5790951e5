// broken: NOLIMIT NOCOPY NOEPOCH NOSOUND EARLY ADD NOKEY
// bound: 100000
//
// Shares of one budget in two failure domains: issue, reserve, settle, give
// back, and takeover by epoch, under loss, duplication, delay and crash.
//
// Domain 0 is held by the replicas 0 and 1. A replica that crashes takes no
// step for a while and goes on with what it has synced; a message that is lost
// is one that is never received, and one that is not taken off comes again.
// Domain 1 is one ledger without a copy.
//
// The choice of pairs among more replicas, and lost disks, are in pairs.pml.
//
// Go code: step issue is (*state.State).issueShare, report is returnShare,
// takeover and ready are applyLedger and applyReady in pkg/state/pairs.go, hear is
// (*state.Follower).Apply; reserve, settle, giveback and learn are Reserve,
// Settle, Return and Issue of budget.Accounts; copy, accept and ack are the copying
// of pkg/ledger.
//
// Rules that a macro leaves out:
//   NOLIMIT  issue only while issued - returned < granted
//   NOCOPY   acknowledge only what the backup of the epoch has as well
//   NOEPOCH  a backup refuses records of an epoch below its own
//   NOSOUND  only a holder of every acknowledged record becomes primary
//   EARLY    report a return only once it is acknowledged
//   ADD      a report is a maximum, not a difference
//   NOKEY    a request that is settled is not reserved again

#define GRANTED 2
#define ISSUES  3 // issues to domain 0, at most; to domain 1 no more than GRANTED
#define EPOCHS  3 // the last epoch

#ifdef TRACE
mtype = { issue, learn, reserve, settle, giveback, report, copy, accept, ack, takeover, hear, ready, spend };
#define STEP(what, a, b, c) printf("step %e %d %d %d\n", what, a, b, c)
#else
#define STEP(what, a, b, c) skip
#endif

// The log.
byte issued[2];
byte returned[2];
byte epoch = 1;
byte primary;
bool backup = true;
bool sound[2];

// A replica of domain 0: what it has synced, and what it waits for.
typedef Replica {
  byte epoch;   // the highest that it knows, and the pair of that epoch
  byte primary;
  bool backup;
  byte issued;
  byte back;    // returned
  byte key[2];  // of two requests: 0 none, 1 open, 2 settled
  byte op;      // 0 none, 1 learn, 2 reserve, 3 settle, 4 giveback
  byte arg;
  bool whole;   // the backup of this epoch has acknowledged this state
  bool go;      // the log knows the backup as whole, or there is none
};
Replica r[2];

// A record from a primary to its backup, and an acknowledgement. Both hold the
// whole state, so that taking them late or twice is harmless.
typedef Message {
  bool there;
  byte to;
  byte epoch;
  byte issued;
  byte back;
  byte key[2];
};
Message record;
Message reply;

// Domain 1.
byte issued1, back1, used1;

// What was promised to callers.
bool promised[2];
byte bills[2];
byte reported; // the highest return that domain 0 reports

#define SPENT0 (promised[0] + promised[1])
#define LEFT(x) (r[x].issued - r[x].back - (r[x].key[0] > 0) - (r[x].key[1] > 0))
#define IDLE(x) (r[x].primary == x && r[x].op == 0)
#define OUT (issued[0] - returned[0] + issued[1] - returned[1])
#define BOTH (sound[0] && sound[1])
#define SAME(x, m) (m.issued == r[x].issued && m.back == r[x].back && m.key[0] == r[x].key[0] && m.key[1] == r[x].key[1])

inline check() {
  assert(SPENT0 + used1 <= GRANTED);
  assert(SPENT0 <= issued[0] - returned[0]);
  assert(used1 <= issued[1] - returned[1]);
  assert(OUT <= GRANTED);
  assert(bills[0] <= 1 && bills[1] <= 1)
}

inline report_up_to(n) {
  if
  :: n > reported -> reported = n
  :: else
  fi
}

// The operation of x is acknowledged to its caller.
inline acknowledge(x) {
  if
  :: r[x].op == 2 -> promised[r[x].arg] = true
  :: r[x].op == 3 -> bills[r[x].arg]++
  :: r[x].op == 4 -> report_up_to(r[x].back)
  :: else
  fi;
  r[x].op = 0;
  r[x].arg = 0
}

// An operation is synced at x and waits for the backup, if there is one.
inline begin(x, what, which) {
  r[x].op = what;
  r[x].arg = which;
  r[x].whole = false;
  if
#ifdef NOCOPY
  :: true -> acknowledge(x)
#else
  :: !r[x].backup -> acknowledge(x)
  :: else
#endif
  fi;
  check()
}

inline fill(m, x, who) {
  m.there = true;
  m.to = who;
  m.epoch = r[x].epoch;
  m.issued = r[x].issued;
  m.back = r[x].back;
  m.key[0] = r[x].key[0];
  m.key[1] = r[x].key[1]
}

inline clear(m) {
  m.there = false;
  m.to = 0;
  m.epoch = 0;
  m.issued = 0;
  m.back = 0;
  m.key[0] = 0;
  m.key[1] = 0
}

#define RESERVE(x, k) \
  :: atomic { IDLE(x) && LEFT(x) > 0 && r[x].key[k] == 0 -> \
       r[x].key[k] = 1; STEP(reserve, x, k, 0); begin(x, 2, k) }

#define SETTLE(x, k) \
  :: atomic { IDLE(x) && r[x].key[k] == 1 && promised[k] -> \
       r[x].key[k] = 2; STEP(settle, x, k, 0); begin(x, 3, k) }

#ifdef NOLIMIT
#define FITS true
#else
#define FITS (OUT < GRANTED)
#endif

#ifdef NOSOUND
#define SOUND(x) true
#else
#define SOUND(x) sound[x]
#endif

#ifdef NOEPOCH
#define ACCEPTS(x) (record.to == x)
#else
#define ACCEPTS(x) (record.to == x && (record.epoch > r[x].epoch || record.epoch == r[x].epoch && r[x].primary != x))
#endif

active proctype fleet() {
  atomic {
    sound[0] = true; sound[1] = true;
    r[0].epoch = 1; r[0].backup = true; r[0].go = true;
    r[1].epoch = 1; r[1].backup = true; r[1].go = true
  }
end:
  do
  // issue: the log gives a domain one token more.
  :: atomic { issued[0] < ISSUES && FITS -> issued[0]++; STEP(issue, 0, issued[0], 0); check() }
  :: atomic { issued[1] < GRANTED && FITS -> issued[1]++; STEP(issue, 1, issued[1], 0); check() }

  // learn: the primary hears what was issued.
  :: atomic { IDLE(0) && r[0].issued < issued[0] -> r[0].issued = issued[0]; STEP(learn, 0, issued[0], 0); begin(0, 1, 0) }
  :: atomic { IDLE(1) && r[1].issued < issued[0] -> r[1].issued = issued[0]; STEP(learn, 1, issued[0], 0); begin(1, 1, 0) }

  RESERVE(0, 0)
  RESERVE(0, 1)
  RESERVE(1, 0)
  RESERVE(1, 1)
  SETTLE(0, 0)
  SETTLE(0, 1)
  SETTLE(1, 0)
  SETTLE(1, 1)
#ifdef NOKEY
  :: atomic { IDLE(0) && r[0].key[0] == 2 -> r[0].key[0] = 1; begin(0, 2, 0) }
#endif

  // giveback: the primary returns one unspent token.
  :: atomic { IDLE(0) && LEFT(0) > 0 -> r[0].back++; STEP(giveback, 0, r[0].back, 0);
#ifdef EARLY
       report_up_to(r[0].back);
#endif
       begin(0, 4, 0) }
  :: atomic { IDLE(1) && LEFT(1) > 0 -> r[1].back++; STEP(giveback, 1, r[1].back, 0);
#ifdef EARLY
       report_up_to(r[1].back);
#endif
       begin(1, 4, 0) }

  // report: a report reaches the log, late or again.
#ifdef ADD
  :: atomic { reported > 0 && returned[0] < ISSUES -> returned[0] = returned[0] + reported; check() }
#else
  :: atomic { returned[0] < reported -> returned[0]++; STEP(report, 0, returned[0], 0); check() }
#endif

  // copy: the primary sends its state, until it is acknowledged.
  :: atomic { r[0].primary == 0 && r[0].backup && !r[0].whole && !record.there -> fill(record, 0, 1); STEP(copy, 0, r[0].epoch, 0) }
  :: atomic { r[1].primary == 1 && r[1].backup && !r[1].whole && !record.there -> fill(record, 1, 0); STEP(copy, 1, r[1].epoch, 0) }
  :: atomic { r[0].primary == 0 && r[0].backup && r[0].op != 0 && r[0].whole && !record.there -> fill(record, 0, 1); STEP(copy, 0, r[0].epoch, 0) }
  :: atomic { r[1].primary == 1 && r[1].backup && r[1].op != 0 && r[1].whole && !record.there -> fill(record, 1, 0); STEP(copy, 1, r[1].epoch, 0) }

#define ACCEPT(x) \
  :: atomic { record.there && ACCEPTS(x) && !reply.there -> \
       if \
       :: record.epoch > r[x].epoch -> \
          r[x].epoch = record.epoch; r[x].primary = 1 - x; r[x].backup = true; \
          r[x].op = 0; r[x].arg = 0; r[x].whole = false; r[x].go = false \
       :: else \
       fi; \
       r[x].issued = record.issued; r[x].back = record.back; \
       r[x].key[0] = record.key[0]; r[x].key[1] = record.key[1]; \
       STEP(accept, x, record.epoch, 0); \
       fill(reply, x, 1 - x); reply.epoch = record.epoch; \
       check() }

  ACCEPT(0)
  ACCEPT(1)

#define ACK(x) \
  :: atomic { reply.there && reply.to == x && reply.epoch == r[x].epoch && r[x].primary == x && SAME(x, reply) -> \
       r[x].whole = true; \
       if \
       :: r[x].op != 0 && r[x].go -> STEP(ack, x, r[x].epoch, 0); acknowledge(x) \
       :: else \
       fi; \
       clear(reply); check() }

  ACK(0)
  ACK(1)

  // A message is lost, or was taken for the last time.
  :: atomic { record.there -> clear(record) }
  :: atomic { reply.there -> clear(reply) }

#define TAKEOVER(x) \
  :: atomic { epoch < EPOCHS && SOUND(x) -> \
       epoch++; primary = x; backup = true; STEP(takeover, x, 1, epoch) } \
  :: atomic { epoch < EPOCHS && SOUND(x) -> \
       epoch++; primary = x; backup = false; sound[x] = true; sound[1 - x] = false; STEP(takeover, x, 0, epoch) }

  // takeover: the log names a pair under the next epoch.
  TAKEOVER(0)
  TAKEOVER(1)

#define HEAR(x) \
  :: atomic { r[x].epoch < epoch -> \
       r[x].epoch = epoch; r[x].primary = primary; r[x].backup = backup; \
       r[x].op = 0; r[x].arg = 0; r[x].whole = false; r[x].go = (!backup || BOTH); \
       STEP(hear, x, epoch, 0) }

  // hear: a replica hears of the epoch in force.
  HEAR(0)
  HEAR(1)

#define READY(x) \
  :: atomic { primary == x && backup && r[x].epoch == epoch && r[x].primary == x && r[x].whole && !r[x].go -> \
       sound[0] = true; sound[1] = true; r[x].go = true; STEP(ready, epoch, 0, 0) }

  // ready: the primary tells the log that its backup is whole.
  READY(0)
  READY(1)

  // Domain 1 learns, spends, gives back and reports.
  :: atomic { issued1 < issued[1] -> issued1 = issued[1]; check() }
  :: atomic { issued1 - back1 - used1 > 0 -> used1++; STEP(spend, 1, used1, 0); check() }
  :: atomic { issued1 - back1 - used1 > 0 -> back1++; check() }
  :: atomic { returned[1] < back1 -> returned[1] = back1; STEP(report, 1, back1, 0); check() }
  od
}
