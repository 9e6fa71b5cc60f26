/*
 * The protocol that starts one non-idempotent job on a gang of two members:
 * internal/run/gang and internal/core/ledger. docs/PROOFS.md maps the names.
 *
 * Two coordinators (planners that both believe it is their turn, or an old one and
 * its successor) have one turn and two: an attempt, a settlement or an answer each. Every step of one may come between
 * any two steps of the other: that covers pauses and crashes, since a coordinator
 * that never moves again is one that is never scheduled. Requests and replies may
 * be lost, reservations lapse at any time, each worker may restart once and forget
 * its tokens, and the log may be down at any append.
 *
 * Mutations, each of which must give a counterexample:
 *   -DNO_CLAIM      start without a claim in the log
 *   -DNO_ARM_CHECK  a worker arms a token that has lapsed or was released
 *   -DNO_GO_CHECK   a worker starts a token that is not armed
 *   -DNO_ORDER      go visits the members in the reverse order of release
 *   -DDEAD_IS_PROOF a worker that has forgotten a token is taken to say "released"
 *   -DNO_HOLDER     the ledger voids a claim by its attempt's number, whoever holds it
 *   -DNO_ADMIT      the ledger takes "not run" while a claim stands
 */
#define TOKENS 3 /* one gang of tokens for each try: the first coordinator has one, the second two */
#define NOBODY 9

/* states of a token at its worker */
#define NONE 0
#define RESERVED 1
#define ARMED 2
#define RUNNING 3
#define RELEASED 4 /* never started and never will: released or lapsed */
#define FORGOTTEN 5
#define ENDED 6

/* answers in the ledger */
#define OPEN 0
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 3

byte tok0[TOKENS]; /* the first member's worker */
byte tok1[TOKENS]; /* the second member's worker */
bool began0[TOKENS];
bool began1[TOKENS];
bool armed1[TOKENS];
bool restarted0, restarted1;

byte holder = NOBODY; /* gang whose claim stands */
byte attempts = 0;
byte answer = OPEN;

#define HOLDS(t) (t == RESERVED || t == ARMED || t == RUNNING)
#define FREE0 (!HOLDS(tok0[0]) && !HOLDS(tok0[1]) && !HOLDS(tok0[2]))
#define FREE1 (!HOLDS(tok1[0]) && !HOLDS(tok1[1]) && !HOLDS(tok1[2]))
#define BEGAN(k) (began0[k] || began1[k])
#define BEGUN (BEGAN(0) + BEGAN(1) + BEGAN(2))

/* the invariants, checked after every start and every answer */
inline check() {
  assert(BEGUN <= 1);                                /* at most one attempt runs */
  assert(answer != NOT_RUN || BEGUN == 0);           /* "not run" is true for ever */
}

inline start0(k) {
  tok0[k] = RUNNING; began0[k] = true;
  assert(armed1[k]);                                 /* the whole gang was armed */
  check()
}

inline start1(k) {
  tok1[k] = RUNNING; began1[k] = true;
  assert(began0[k]);                                 /* never without the first */
  check()
}

/* worker: go */
inline go0(k) {
#ifdef NO_GO_CHECK
  if :: tok0[k] != FORGOTTEN && tok0[k] != RUNNING && tok0[k] != ENDED -> start0(k) :: else fi
#else
  if :: tok0[k] == ARMED -> start0(k) :: else fi
#endif
}

inline go1(k) {
#ifdef NO_GO_CHECK
  if :: tok1[k] != FORGOTTEN && tok1[k] != RUNNING && tok1[k] != ENDED -> start1(k) :: else fi
#else
  if :: tok1[k] == ARMED -> start1(k) :: else fi
#endif
}

/* the ledger's fold of a claim */
inline fold_claim(k) {
  if
  :: holder == NOBODY && answer == OPEN && attempts == try_no -> holder = k; attempts++; won = true
  :: else -> won = false
  fi
}

inline fold_void(k, att) {
#ifdef NO_HOLDER
  if :: answer == OPEN && holder != NOBODY && attempts == att -> holder = NOBODY :: else fi
#else
  if :: answer == OPEN && holder == k -> holder = NOBODY :: else fi
#endif
}

inline fold_close(a) {
#ifdef NO_ADMIT
  if :: answer == OPEN -> answer = a; check() :: else fi
#else
  if
  :: answer == OPEN && (a != NOT_RUN || holder == NOBODY) -> answer = a; check()
  :: else
  fi
#endif
}

/* carryOn: start the members after the first, which has begun */
inline carry_on(k) {
  if
  :: true -> atomic { go1(k) }
  :: true -> skip /* the request is lost */
  fi
}

/* release: the first member decides; verdict 0 in doubt, 1 never started, 2 begun */
inline release(k) {
  verdict = 0;
  atomic {
    if
    :: true ->
       if
       :: tok0[k] == RESERVED || tok0[k] == ARMED || tok0[k] == RELEASED -> tok0[k] = RELEASED; verdict = 1
       :: tok0[k] == RUNNING || tok0[k] == ENDED -> verdict = 2
       :: tok0[k] == FORGOTTEN || tok0[k] == NONE ->
#ifdef DEAD_IS_PROOF
          verdict = 1
#else
          verdict = 0
#endif
       fi
    :: true -> verdict = 0 /* no reply */
    fi
  }
  if
  :: verdict == 1 ->
     atomic { if :: tok1[k] == RESERVED || tok1[k] == ARMED -> tok1[k] = RELEASED :: else fi }
  :: verdict == 2 -> carry_on(k)
  :: else
  fi
}

/* goAll */
inline go_all(k) {
#ifdef NO_ORDER
  atomic { go1(k) }
  atomic { go0(k) }
#else
  if
  :: true -> atomic { go0(k); lost = !(tok0[k] == RUNNING || tok0[k] == ENDED) }
  :: true -> atomic { go0(k); lost = true } /* the reply is lost */
  :: lost = true                    /* the request is lost */
  fi;
  if
  :: lost -> release(k)
  :: else -> carry_on(k); verdict = 2
  fi
#endif
}

/* forgets what a turn has left behind, so that equal states are seen to be equal */
#define RESET d_step { k = 0; other = 0; try_no = 0; att = 0; verdict = 0; won = 0; lost = 0; ok = 0 }

proctype coordinator(byte base, limit) {
  byte k, other, try_no, att, verdict;
  byte tries = 0;
  bool won, lost, ok;

  do
  :: answer != OPEN || tries == limit -> break

  /* settle: a claim stands that is not of a gang in hand here */
  :: answer == OPEN && tries < limit && holder != NOBODY ->
     atomic { other = holder; att = attempts; tries++ }
     if
     :: other == NOBODY
     :: else ->
        release(other);
        if
        :: verdict == 1 -> atomic { fold_void(other, att) }
        :: verdict == 2 -> atomic { fold_close(RAN) }
        :: verdict == 0 -> /* asked again until it is too late; then not known */
           if
           :: skip
           :: true -> atomic { fold_close(UNKNOWN) }
           fi
        fi
     fi;
     RESET

  /* the deadline has passed, or the caller has cancelled */
  :: answer == OPEN && tries < limit -> tries++; atomic { fold_close(NOT_RUN) }

  /* an attempt */
  :: answer == OPEN && tries < limit && (holder == NOBODY || tries > 0) ->
     atomic { k = base + tries; tries++; try_no = attempts }
     ok = true;
     /* reserve */
     atomic { if :: FREE0 && tok0[k] == NONE -> tok0[k] = RESERVED :: else -> ok = false fi }
     atomic { if :: FREE1 && tok1[k] == NONE -> tok1[k] = RESERVED :: else -> ok = false fi }
     if
     :: !ok ->
        release(k);
        /* nothing was claimed; a void that is written all the same must do no harm */
        if :: true -> atomic { fold_void(k, try_no + 1) } :: true -> skip fi
     :: else ->
        won = true; lost = false;
#ifndef NO_CLAIM
        if
        :: true -> atomic { fold_claim(k) }
        :: true -> atomic { fold_claim(k); lost = true } /* took effect; the reply is lost */
        :: atomic { won = false; lost = true }   /* the log is down */
        fi;
#endif
        if
        :: !won || lost -> release(k)
        :: else ->
           /* arm */
           atomic {
#ifdef NO_ARM_CHECK
             if :: tok0[k] == RESERVED || tok0[k] == RELEASED -> tok0[k] = ARMED :: else -> ok = false fi
#else
             if :: tok0[k] == RESERVED -> tok0[k] = ARMED :: else -> ok = false fi
#endif
           }
           atomic {
#ifdef NO_ARM_CHECK
             if :: tok1[k] == RESERVED || tok1[k] == RELEASED -> tok1[k] = ARMED; armed1[k] = true :: else -> ok = false fi
#else
             if :: tok1[k] == RESERVED -> tok1[k] = ARMED; armed1[k] = true :: else -> ok = false fi
#endif
           }
           if
           :: ok -> go_all(k)
           :: else -> release(k)
           fi;
           if
           :: verdict == 1 -> atomic { fold_void(k, try_no + 1) }
           :: verdict == 2 -> atomic { fold_close(RAN) }
           :: else
           fi
        fi
     fi;
     RESET
  od
}

#define LAPSE(t) t == RESERVED || t == ARMED -> t = RELEASED
#define END(t) t == RUNNING -> t = ENDED
#define LOSE(t) t = (t == NONE -> NONE : FORGOTTEN)

/* reservations lapse, tasks end, each worker may restart once */
proctype workers() {
end:
  do
  :: d_step { LAPSE(tok0[0]) } :: d_step { LAPSE(tok0[1]) } :: d_step { LAPSE(tok0[2]) }
  :: d_step { LAPSE(tok1[0]) } :: d_step { LAPSE(tok1[1]) } :: d_step { LAPSE(tok1[2]) }
  :: d_step { END(tok0[0]) } :: d_step { END(tok0[1]) } :: d_step { END(tok0[2]) }
  :: d_step { END(tok1[0]) } :: d_step { END(tok1[1]) } :: d_step { END(tok1[2]) }
  :: d_step { !restarted0 -> restarted0 = true; LOSE(tok0[0]); LOSE(tok0[1]); LOSE(tok0[2]) }
  :: d_step { !restarted1 -> restarted1 = true; LOSE(tok1[0]); LOSE(tok1[1]); LOSE(tok1[2]) }
  od
}

init {
  atomic { run coordinator(0, 1); run coordinator(1, 2); run workers() }
}
