// broken: NOSOUND NOREADY NOEPOCH NOCOPY
// bound: 100000
//
// The pair that holds a domain's ledger: takeover by epoch among three
// replicas, the repair after a lost disk, and a second loss right after it.
// What is acknowledged is never lost, as long as the log finds a holder that it
// knows to have everything; without one nothing is named (short of a forced
// takeover, which counts all shares as spent).
//
// A ledger's content is the number of its records. A replica that pauses takes
// no step for a while. A lost disk is a new incarnation: it holds nothing, knows
// no epoch, and is not the holder that the log knows as sound.
//
// Go code: name and ready are (*state.State).applyLedger and applyReady in
// pkg/state/pairs.go; hear is (*state.Follower).Apply; append, copy, accept and
// ack are the copying of pkg/ledger.
//
// Rules that a macro leaves out:
//   NOSOUND  only a holder of every acknowledged record becomes primary
//   NOREADY  acknowledge nothing at a new backup before the log knows it as whole
//   NOEPOCH  a backup refuses records of an epoch below its own
//   NOCOPY   acknowledge only what the backup of the epoch has as well

#define N       3
#define RECORDS 2
#define EPOCHS  3
#define LOSSES  2
#define NONE    3 // nobody
#define LOST    4 // an incarnation whose disk is lost

#ifdef TRACE
mtype = { append, name, hear, ready, wipe };
#define STEP(what, a, b, c) printf("step %e %d %d %d\n", what, a, b, c)
#else
#define STEP(what, a, b, c) skip
#endif

// The log.
byte epoch = 1;
byte primary = 0;
byte backup = 1;
bool sound[N + 2]; // of NONE and of a lost incarnation it is false

// The replicas.
typedef Replica {
  byte epoch;
  byte primary;
  byte backup;
  byte records;
  byte copied; // what the backup of the epoch has confirmed
  bool go;     // the log knows the backup as whole, or there is none
};
Replica r[N];

byte promised; // records acknowledged to callers
byte losses;

// One record message and one reply, which may be late, come again or be lost.
bool sent;
byte to, sent_epoch, sent_records;
bool replied;
byte back_to, replied_epoch, replied_records;

#define LEADS(x) (r[x].epoch > 0 && r[x].primary == x)

// The primary that all know, once it may acknowledge, has what was promised.
inline check() {
  if
  :: primary != NONE -> assert(!(r[primary].epoch == epoch && r[primary].go) || r[primary].records >= promised)
  :: else
  fi
}

inline promise(x, n) {
  if
  :: n > promised -> promised = n
  :: else
  fi;
  check()
}

inline drop_sent() { sent = false; to = 0; sent_epoch = 0; sent_records = 0 }
inline drop_reply() { replied = false; back_to = 0; replied_epoch = 0; replied_records = 0 }

#ifdef NOSOUND
#define SOUND(x) true
#else
#define SOUND(x) sound[x]
#endif

#ifdef NOREADY
#define GO(x) true
#else
#define GO(x) r[x].go
#endif

#ifdef NOEPOCH
#define ACCEPTS(x) (to == x)
#else
#define ACCEPTS(x) (to == x && (sent_epoch > r[x].epoch || sent_epoch == r[x].epoch && r[x].primary != x))
#endif

// append: the primary syncs a record; alone, it acknowledges it.
#ifdef NOCOPY
#define ALONE(x) true
#else
#define ALONE(x) (r[x].backup == NONE)
#endif
#define APPEND(x) \
  :: atomic { LEADS(x) && r[x].records < RECORDS && r[x].records == promised -> \
       r[x].records++; STEP(append, x, r[x].records, 0); \
       if \
       :: ALONE(x) -> promise(x, r[x].records) \
       :: else \
       fi }

#define COPY(x) \
  :: atomic { LEADS(x) && r[x].backup < N && !sent -> \
       sent = true; to = r[x].backup; sent_epoch = r[x].epoch; sent_records = r[x].records }

// accept: the backup takes the whole state of the primary.
#define ACCEPT(x) \
  :: atomic { sent && ACCEPTS(x) && !replied -> \
       if \
       :: sent_epoch > r[x].epoch -> r[x].epoch = sent_epoch; r[x].primary = NONE; r[x].backup = NONE; r[x].go = false; r[x].copied = 0 \
       :: else \
       fi; \
       r[x].records = sent_records; \
       replied = true; replied_epoch = sent_epoch; replied_records = sent_records; \
       back_to = NONE; check() }

// ack: the backup has everything up to a record.
#define ACK(x) \
  :: atomic { replied && LEADS(x) && r[x].epoch == replied_epoch && r[x].backup != NONE && replied_records <= r[x].records -> \
       r[x].copied = replied_records + 1; \
       if \
       :: GO(x) -> promise(x, replied_records) \
       :: else \
       fi; \
       drop_reply() }

// name: the log names a pair under the next epoch.
#define NAME(x, y) \
  :: atomic { epoch < EPOCHS && SOUND(x) -> \
       epoch++; primary = x; backup = y; STEP(name, x, y, epoch); \
       if \
       :: sound[y] -> sound[N - x - y] = false \
       :: else \
       fi }
#define SOLO(x, y, z) \
  :: atomic { epoch < EPOCHS && SOUND(x) -> \
       epoch++; primary = x; backup = NONE; sound[x] = true; sound[y] = false; sound[z] = false; STEP(name, x, NONE, epoch) }

// hear: a replica hears of the epoch in force.
#define HEAR(x) \
  :: atomic { r[x].epoch < epoch -> \
       r[x].epoch = epoch; r[x].primary = primary; r[x].backup = backup; r[x].copied = 0; \
       r[x].go = false; \
       if \
       :: primary == x && (backup == NONE || sound[x] && sound[backup]) -> r[x].go = true; check() \
       :: else \
       fi; \
       STEP(hear, x, epoch, 0) }

// ready: the primary tells the log that its backup has all of its records.
#define READY(x) \
  :: atomic { primary == x && r[x].epoch == epoch && LEADS(x) && r[x].backup != NONE && !r[x].go && r[x].copied == r[x].records + 1 -> \
       sound[0] = false; sound[1] = false; sound[2] = false; \
       sound[x] = true; r[x].go = true; \
       if \
       :: backup < N -> sound[backup] = true \
       :: else \
       fi; \
       STEP(ready, epoch, 0, 0); check() }

// wipe: a disk is lost and replaced. Losing the last sound holder is not
// modelled: then only a forced takeover helps.
#define WIPE(x, y, z) \
  :: atomic { losses < LOSSES && (sound[y] || sound[z]) -> \
       losses++; r[x].epoch = 0; r[x].primary = NONE; r[x].backup = NONE; r[x].records = 0; r[x].copied = 0; r[x].go = false; \
       sound[x] = false; \
       if \
       :: primary == x -> primary = NONE \
       :: backup == x -> backup = LOST \
       :: else \
       fi; \
       if \
       :: sent && to == x -> drop_sent() \
       :: else \
       fi; \
       if \
       :: r[y].backup == x -> r[y].backup = LOST \
       :: else \
       fi; \
       if \
       :: r[z].backup == x -> r[z].backup = LOST \
       :: else \
       fi; \
       STEP(wipe, x, 0, 0) }

active proctype fleet() {
  atomic {
    sound[0] = true; sound[1] = true;
    r[0].epoch = 1; r[0].primary = 0; r[0].backup = 1; r[0].go = true;
    r[1].epoch = 1; r[1].primary = 0; r[1].backup = 1;
    r[2].primary = NONE; r[2].backup = NONE
  }
end:
  do
  APPEND(0)
  APPEND(1)
  APPEND(2)
  COPY(0)
  COPY(1)
  COPY(2)
  ACCEPT(0)
  ACCEPT(1)
  ACCEPT(2)
  ACK(0)
  ACK(1)
  ACK(2)
  :: atomic { sent -> drop_sent() }
  :: atomic { replied -> drop_reply() }
  NAME(0, 1)
  NAME(0, 2)
  NAME(1, 0)
  NAME(1, 2)
  NAME(2, 0)
  NAME(2, 1)
  SOLO(0, 1, 2)
  SOLO(1, 0, 2)
  SOLO(2, 0, 1)
  HEAR(0)
  HEAR(1)
  HEAR(2)
  READY(0)
  READY(1)
  READY(2)
  WIPE(0, 1, 2)
  WIPE(1, 0, 2)
  WIPE(2, 0, 1)
  od
}
