// broken: NOLOCK NOPENDING NOLIFE ALLBACK WALL LENDLOCKED
// bound: 100000
//
// Tokens of one budget at routers without disks: the log issues and takes back, a
// router promises reserves, spends, lends, loses its memory and starts again.
// Another router has only what it borrows, and lends it back.
//
// Draws are lost when they are never taken, come late from two places, and twice
// when they are not taken off; answers are lost with a kill or a later draw. Time
// passes in ticks; a reserve of a router unlocks evenly over UNLOCK ticks. The
// steady clocks of routers and the time of the log are the tick; the time of day of
// a router that starts again is set back.
//
// Go code, package pkg/wallet: step draw is Wallet.NextDraw, hear is
// Wallet.ApplyDraw, take is Budgets.HandleDraw with startIncarnation, spend is
// Wallet.Reserve, lend is Wallet.Lend and Wallet.ApplyLoan.
//
// Rules that a macro leaves out:
//   NOLOCK     what is promised as a reserve is used only as it unlocks
//   NOPENDING  a promise that was not answered is retained, too
//   NOLIFE     a draw of an earlier incarnation changes nothing
//   ALLBACK    of the tokens of an ended incarnation only the locked part is taken back
//   WALL       the age of a promise is not measured by the time of day alone
//   LENDLOCKED what is locked is not lent

#define GRANT  2
#define UNLOCK 2
#define LAST   2 // tick
#define LIVES  2 // incarnations of router 0; the other router has one
#define DRAWS  2 // of one incarnation

// A draw on its way.
typedef Draw {
  bool there;
  byte life, num, had, back, spent, res, from, up;
#ifdef WALL
  byte day, started;
#endif
};

// What the log knows of a router.
typedef Account {
  byte life, num, issued, back, spent, res, from;
#ifdef WALL
  byte day;
#endif
};

// The memory of a router. Sums only grow in one incarnation.
typedef Wallet {
  byte life, num, issued, back, spent, lent, borrowed;
  byte promised, promisedAt; // a reserve and the tick from which it counts
  byte pending, pendingAt;
  byte asked, askedAt;       // those of the last draw
  byte heard, behind;        // tick of the last answer, and how late it was
  byte started;              // tick of the start
#ifdef WALL
  byte offset;               // how far the time of day is behind
#endif
  bool answered;
  bool answer;               // the answer to the last draw is on its way
  byte answerIssued, answerAt;
};

Draw way[2];
Account book[1];
Wallet w[2];
byte closed; // tokens lost with ended incarnations
byte now;
byte total; // spent by all incarnations

#define AGE(at) (now - (at))
#define PART(res, at) (AGE(at) >= UNLOCK -> 0 : ((res) * (UNLOCK - AGE(at))) / UNLOCK)
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define HELD(i) (w[i].issued + w[i].borrowed - w[i].back - w[i].spent - w[i].lent)

#ifdef NOPENDING
#define PROMISED(i) PART(w[i].promised, w[i].promisedAt)
#else
#define PROMISED(i) MAX(PART(w[i].promised, w[i].promisedAt), PART(w[i].pending, w[i].pendingAt))
#endif
#ifdef NOLOCK
#define LOCKED(i) 0
#else
#define LOCKED(i) PROMISED(i)
#endif
#define READY(i) (HELD(i) - LOCKED(i))

#ifdef LENDLOCKED
#define LENDABLE(i) HELD(i)
#else
#define LENDABLE(i) READY(i)
#endif

#define OUT (book[0].issued - book[0].back + closed)

// A router starts with an empty memory.
inline start(i) {
  w[i].life++;
  w[i].num = 0; w[i].issued = 0; w[i].back = 0; w[i].spent = 0; w[i].lent = 0; w[i].borrowed = 0;
  w[i].promised = 0; w[i].promisedAt = 0; w[i].pending = 0; w[i].pendingAt = 0; w[i].asked = 0; w[i].askedAt = 0;
  w[i].answered = false; w[i].answer = false; w[i].answerIssued = 0; w[i].answerAt = 0;
  w[i].heard = now; w[i].behind = 0;
#ifdef WALL
  w[i].offset = 2;
#endif
  w[i].started = now
}

// A router names a reserve and may give back what is ready.
inline draw(i, place) {
  if
  :: READY(i) > 0 && w[i].back < w[i].issued -> w[i].back++
  :: true
  fi;
  w[i].num++;
  if
  :: w[i].answered -> w[i].askedAt = now
  :: else -> w[i].askedAt = w[i].heard
  fi;
  if
  :: true -> w[i].asked = HELD(i)
  :: HELD(i) > 1 -> w[i].asked = HELD(i) - 1
  :: true -> w[i].asked = 0
  fi;
  w[i].answered = false;
  w[i].answer = false;
  w[i].pending = MAX(w[i].pending, w[i].asked);
  w[i].pendingAt = MAX(w[i].pendingAt, w[i].askedAt);
  way[place].there = true;
  way[place].life = w[i].life;
  way[place].num = w[i].num;
  way[place].had = w[i].issued;
  way[place].back = w[i].back;
  way[place].spent = w[i].spent;
  way[place].res = w[i].asked;
  way[place].from = (w[i].askedAt >= w[i].behind -> w[i].askedAt - w[i].behind : 0);
#ifdef WALL
  way[place].day = w[i].askedAt + 2 - w[i].offset;
  way[place].started = w[i].started + 2 - w[i].offset;
#endif
  way[place].up = now - w[i].started
}

// The age of the promise of an ended incarnation, at most. The Go code takes the longer one
// of this and the age by the time of day, and so takes back no more.
#ifdef WALL
#define ENDED(place, i) (way[place].started >= book[i].day -> way[place].started - book[i].day : UNLOCK)
#else
#define ENDED(place, i) (now >= way[place].up + book[i].from -> now - way[place].up - book[i].from : 0)
#endif
#define INTACT(place, i) (ENDED(place, i) >= UNLOCK -> 0 : (book[i].res * (UNLOCK - ENDED(place, i))) / UNLOCK)

#ifdef NOLIFE
#define STALE(place, i) false
#else
#define STALE(place, i) (way[place].life < book[i].life || (way[place].life == book[i].life && way[place].num <= book[i].num))
#endif

byte more;

// The log takes a draw.
inline take(i, place) {
  if
  :: STALE(place, i)
  :: else ->
    if
    :: way[place].life > book[i].life ->
#ifdef ALLBACK
      closed = closed + book[i].spent;
#else
      closed = closed + book[i].issued - book[i].back - INTACT(place, i);
#endif
      book[i].issued = 0; book[i].back = 0; book[i].spent = 0;
      book[i].life = way[place].life
    :: else
    fi;
    book[i].num = way[place].num;
    book[i].back = MAX(book[i].back, MIN(way[place].back, book[i].issued));
    book[i].spent = MAX(book[i].spent, way[place].spent);
    book[i].res = MIN(way[place].res, book[i].issued - book[i].back);
    book[i].from = way[place].from;
#ifdef WALL
    book[i].day = way[place].day;
#endif
    more = 0;
    if
    :: way[place].had == book[i].issued && OUT < GRANT ->
      if
      :: more = 1
      :: more = GRANT - OUT
      fi
    :: else
    fi;
    book[i].issued = book[i].issued + more;
    if
    :: way[place].life == w[i].life && way[place].num == w[i].num ->
      w[i].answer = true; w[i].answerIssued = book[i].issued; w[i].answerAt = now
    :: else
    fi
  fi;
  if
  :: way[place].there = false
  :: true // it comes again
  fi
}

// A router receives the answer to its last draw.
inline hear(i) {
  w[i].answer = false;
  w[i].issued = MAX(w[i].issued, w[i].answerIssued);
  w[i].promised = w[i].asked; w[i].promisedAt = w[i].askedAt;
  w[i].pending = 0; w[i].pendingAt = 0;
  w[i].heard = now; w[i].behind = now - w[i].answerAt; w[i].answered = true
}

inline spend(i) {
  w[i].spent++;
  total++;
  assert(total <= GRANT)
}

// The lender counts a loan first; its answer may be lost.
inline lend(i, j) {
  w[i].lent++;
  if
  :: w[j].borrowed++
  :: true
  fi
}

active proctype fleet() {
  d_step { w[0].life = 1; w[1].life = 1 };
  do
  :: atomic { now < LAST -> now++ }
  :: atomic { w[0].num < DRAWS -> draw(0, 0) }
  :: atomic { w[0].num < DRAWS -> draw(0, 1) }
  :: atomic { way[0].there -> take(0, 0) }
  :: atomic { way[1].there -> take(0, 1) }
  :: atomic { w[0].answer -> hear(0) }
  :: atomic { READY(0) > 0 -> spend(0) }
  :: atomic { READY(1) > 0 -> spend(1) }
  :: atomic { LENDABLE(0) > 0 && w[0].lent < 1 -> lend(0, 1) }
  :: atomic { LENDABLE(1) > 0 && w[1].lent < 1 -> lend(1, 0) }
  :: atomic { w[0].life < LIVES -> start(0) }
  :: else -> break
  od
}
