/*
 * Model of the protocol that starts one non-idempotent job on a gang of two members,
 * implemented by internal/run/gang and internal/core/ledger. docs/PROOFS.md maps the
 * names.
 *
 * Two coordinators run concurrently: two planners that both consider themselves
 * active, or an old one and its successor. The first takes one turn, the second two. In
 * a turn, a coordinator makes an attempt, settles a claim or answers "not run". The steps
 * of the two interleave arbitrarily. This covers pauses and crashes: a crashed
 * coordinator is one that is never scheduled again. Requests and replies may be lost,
 * reservations may expire at any time, each worker may restart once and lose its tokens,
 * and the log may be down when a claim is appended.
 *
 * Mutations, each of which must give a counterexample:
 *   -DNO_CLAIM            a gang starts without a claim in the log
 *   -DNO_ARM_CHECK        a worker arms a token that has expired or been released
 *   -DNO_GO_CHECK         a worker starts a token that is not armed
 *   -DNO_ORDER            go starts the second member first, although release asks the first one
 *   -DMISSING_IS_RELEASED a worker that no longer knows a token counts as having released it
 *   -DNO_HOLDER_CHECK     the ledger voids a claim by its attempt number, whichever gang holds it
 *   -DNO_CLAIM_CHECK      the ledger accepts "not run" while a claim is in effect
 */
#define GANGS 3 /* one for each attempt: the first coordinator makes one, the second two */
#define NO_GANG 9

/* state of a token at its worker */
#define NONE 0
#define RESERVED 1
#define ARMED 2
#define RUNNING 3
#define RELEASED 4 /* has not started and never will: released or expired */
#define MISSING 5
#define ENDED 6

/* the job's answer in the ledger */
#define OPEN 0
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 3

/* state of each gang's token at its worker */
byte token0[GANGS]; /* of the first member */
byte token1[GANGS]; /* of the second member */
bool started0[GANGS];
bool started1[GANGS];
bool armed1[GANGS];
bool restarted0, restarted1;

byte holder = NO_GANG; /* gang whose claim is in effect */
byte attempts = 0;
byte answer = OPEN;

#define HOLDS(t) (t == RESERVED || t == ARMED || t == RUNNING)
#define FREE0 (!HOLDS(token0[0]) && !HOLDS(token0[1]) && !HOLDS(token0[2]))
#define FREE1 (!HOLDS(token1[0]) && !HOLDS(token1[1]) && !HOLDS(token1[2]))
#define STARTED(k) (started0[k] || started1[k])
#define STARTED_COUNT (STARTED(0) + STARTED(1) + STARTED(2))

/* the invariants, checked after each start and each answer */
inline check() {
  assert(STARTED_COUNT <= 1);                        /* at most one attempt runs */
  assert(answer != NOT_RUN || STARTED_COUNT == 0);   /* an answer "not run" remains true */
}

inline start0(k) {
  token0[k] = RUNNING; started0[k] = true;
  assert(armed1[k]);                                 /* all members are armed before one starts */
  check()
}

inline start1(k) {
  token1[k] = RUNNING; started1[k] = true;
  assert(started0[k]);                               /* never before the first member */
  check()
}

/* the worker's handling of go */
inline go0(k) {
#ifdef NO_GO_CHECK
  if :: token0[k] != MISSING && token0[k] != RUNNING && token0[k] != ENDED -> start0(k) :: else fi
#else
  if :: token0[k] == ARMED -> start0(k) :: else fi
#endif
}

inline go1(k) {
#ifdef NO_GO_CHECK
  if :: token1[k] != MISSING && token1[k] != RUNNING && token1[k] != ENDED -> start1(k) :: else fi
#else
  if :: token1[k] == ARMED -> start1(k) :: else fi
#endif
}

/* how the ledger applies records: a claim, the void of a claim, and an answer */
inline fold_claim(k) {
  if
  :: holder == NO_GANG && answer == OPEN && attempts == attempts_before -> holder = k; attempts++; won = true
  :: else -> won = false
  fi
}

inline fold_void(k, claim_attempt) {
#ifdef NO_HOLDER_CHECK
  if :: answer == OPEN && holder != NO_GANG && attempts == claim_attempt -> holder = NO_GANG :: else fi
#else
  if :: answer == OPEN && holder == k -> holder = NO_GANG :: else fi
#endif
}

inline fold_close(a) {
#ifdef NO_CLAIM_CHECK
  if :: answer == OPEN -> answer = a; check() :: else fi
#else
  if
  :: answer == OPEN && (a != NOT_RUN || holder == NO_GANG) -> answer = a; check()
  :: else
  fi
#endif
}

/* goRest: starts the second member; the first has already started */
inline go_rest(k) {
  if
  :: true -> atomic { go1(k) }
  :: true -> skip /* the request is lost */
  fi
}

/*
 * release: releases the first member, whose reply decides whether the second one is
 * released or started. verdict: 0 in doubt, 1 never started, 2 started
 */
inline release(k) {
  verdict = 0;
  atomic {
    if
    :: true ->
       if
       :: token0[k] == RESERVED || token0[k] == ARMED || token0[k] == RELEASED -> token0[k] = RELEASED; verdict = 1
       :: token0[k] == RUNNING || token0[k] == ENDED -> verdict = 2
       :: token0[k] == MISSING || token0[k] == NONE ->
#ifdef MISSING_IS_RELEASED
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
     atomic { if :: token1[k] == RESERVED || token1[k] == ARMED -> token1[k] = RELEASED :: else fi }
  :: verdict == 2 -> go_rest(k)
  :: else
  fi
}

/*
 * goAll: starts the first member, then the second. If the start of the first is not
 * confirmed, release determines whether it has started.
 */
inline go_all(k) {
#ifdef NO_ORDER
  atomic { go1(k) }
  atomic { go0(k) }
#else
  if
  :: true -> atomic { go0(k); lost = !(token0[k] == RUNNING || token0[k] == ENDED) }
  :: true -> atomic { go0(k); lost = true } /* the reply is lost */
  :: lost = true                    /* the request is lost */
  fi;
  if
  :: lost -> release(k)
  :: else -> go_rest(k); verdict = 2
  fi
#endif
}

/* resets the local variables after a turn, which lets the checker identify equal states */
#define RESET d_step { k = 0; claimed_gang = 0; attempts_before = 0; claim_attempt = 0; verdict = 0; won = 0; lost = 0; ok = 0 }

proctype coordinator(byte base, limit) {
  byte k, claimed_gang, attempts_before, claim_attempt, verdict;
  byte turns = 0;
  bool won, lost, ok;

  do
  :: answer != OPEN || turns == limit -> break

  /* settles a claim: one is in effect while this coordinator has no attempt in progress */
  :: answer == OPEN && turns < limit && holder != NO_GANG ->
     atomic { claimed_gang = holder; claim_attempt = attempts; turns++ }
     if
     :: claimed_gang == NO_GANG
     :: else ->
        release(claimed_gang);
        if
        :: verdict == 1 -> atomic { fold_void(claimed_gang, claim_attempt) }
        :: verdict == 2 -> atomic { fold_close(RAN) }
        :: verdict == 0 -> /* in doubt: retries later, or answers "unknown" after the time limit */
           if
           :: skip
           :: true -> atomic { fold_close(UNKNOWN) }
           fi
        fi
     fi;
     RESET

  /* the deadline has passed or the caller has cancelled the job */
  :: answer == OPEN && turns < limit -> turns++; atomic { fold_close(NOT_RUN) }

  /* makes an attempt */
  :: answer == OPEN && turns < limit && (holder == NO_GANG || turns > 0) ->
     atomic { k = base + turns; turns++; attempts_before = attempts }
     ok = true;
     /* reserve */
     atomic { if :: FREE0 && token0[k] == NONE -> token0[k] = RESERVED :: else -> ok = false fi }
     atomic { if :: FREE1 && token1[k] == NONE -> token1[k] = RESERVED :: else -> ok = false fi }
     if
     :: !ok ->
        release(k);
        /* nothing was claimed; a void record that is written nevertheless must have no effect */
        if :: true -> atomic { fold_void(k, attempts_before + 1) } :: true -> skip fi
     :: else ->
        won = true; lost = false;
#ifndef NO_CLAIM
        if
        :: true -> atomic { fold_claim(k) }
        :: true -> atomic { fold_claim(k); lost = true } /* the claim takes effect; the reply is lost */
        :: atomic { won = false; lost = true }   /* the log is down */
        fi;
#endif
        if
        :: !won || lost -> release(k)
        :: else ->
           /* arm */
           atomic {
#ifdef NO_ARM_CHECK
             if :: token0[k] == RESERVED || token0[k] == RELEASED -> token0[k] = ARMED :: else -> ok = false fi
#else
             if :: token0[k] == RESERVED -> token0[k] = ARMED :: else -> ok = false fi
#endif
           }
           atomic {
#ifdef NO_ARM_CHECK
             if :: token1[k] == RESERVED || token1[k] == RELEASED -> token1[k] = ARMED; armed1[k] = true :: else -> ok = false fi
#else
             if :: token1[k] == RESERVED -> token1[k] = ARMED; armed1[k] = true :: else -> ok = false fi
#endif
           }
           if
           :: ok -> go_all(k)
           :: else -> release(k)
           fi;
           if
           :: verdict == 1 -> atomic { fold_void(k, attempts_before + 1) }
           :: verdict == 2 -> atomic { fold_close(RAN) }
           :: else
           fi
        fi
     fi;
     RESET
  od
}

#define EXPIRE(t) t == RESERVED || t == ARMED -> t = RELEASED
#define END(t) t == RUNNING -> t = ENDED
#define DROP_TOKEN(t) t = (t == NONE -> NONE : MISSING)

/* reservations expire, tasks end, and each worker may restart once */
proctype workers() {
end:
  do
  :: d_step { EXPIRE(token0[0]) } :: d_step { EXPIRE(token0[1]) } :: d_step { EXPIRE(token0[2]) }
  :: d_step { EXPIRE(token1[0]) } :: d_step { EXPIRE(token1[1]) } :: d_step { EXPIRE(token1[2]) }
  :: d_step { END(token0[0]) } :: d_step { END(token0[1]) } :: d_step { END(token0[2]) }
  :: d_step { END(token1[0]) } :: d_step { END(token1[1]) } :: d_step { END(token1[2]) }
  :: d_step { !restarted0 -> restarted0 = true; DROP_TOKEN(token0[0]); DROP_TOKEN(token0[1]); DROP_TOKEN(token0[2]) }
  :: d_step { !restarted1 -> restarted1 = true; DROP_TOKEN(token1[0]); DROP_TOKEN(token1[1]); DROP_TOKEN(token1[2]) }
  od
}

init {
  atomic { run coordinator(0, 1); run coordinator(1, 2); run workers() }
}
