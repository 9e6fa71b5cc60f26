/*
 * The planner's lease and its takeover: internal/run/lead and internal/run/engine.
 * docs/PROOFS.md maps the names.
 *
 * One task, two workers, two planners. Each step of one planner may come between any
 * two steps of the other, and a planner may stop anywhere: that covers pauses,
 * freezes and crashes. A start may arrive at any time after it was sent, or never. A
 * worker may be out of a planner's reach. Time is abstract: a grant is a lease that a
 * planner has given to a worker; it expires at any moment, and with the last one all
 * that runs there ends.
 *
 * Mutations, each of which must give a counterexample:
 *   -DNO_STORE_FENCE  the store takes records of a planner that has been replaced
 *   -DNO_WORKER_FENCE workers obey a planner that has been replaced
 *   -DNO_DEADLINE     a worker carries out a start after the lease that it names
 *   -DNO_WAIT         a silent worker's task is taken for gone at once
 *   -DNO_DURABLE      a start is sent before its assignment is durable
 *   -DEARLY_ACK       an end is acknowledged before it is durable
 */
#define PLANNERS 2
#define WORKERS 2
#define MOST_RUNS 4
#define NOWHERE 9

#define WAITING 0
#define ASSIGNED 1
#define DONE 2

/* the store: the newest epoch, and the task's record */
byte epoch = 0;
byte rec = WAITING;
byte rec_run = 0;
byte rec_at = NOWHERE;

/* the workers */
byte seen[WORKERS];    /* highest token */
byte running[WORKERS]; /* run, 0 for none */
byte ended[WORKERS];   /* run that is done and not acknowledged */
byte highest[WORKERS]; /* run that has ended there */
bool settled = false;  /* a done run has been acknowledged */

/* starts on their way: one a planner */
byte sent_run[PLANNERS];
byte sent_to[PLANNERS];

bool grant[4]; /* of planner p to worker w, at 2 * p + w */
#define GRANT(p, w) grant[2 * (p) + (w)]

#ifdef NO_WAIT
#define LAPSED(w) true
#else
#define LAPSED(w) (!GRANT(0, w) && !GRANT(1, w))
#endif

inline check() {
  assert(!(running[0] > 0 && running[1] > 0)); /* never twice at a time */
  assert(!settled);                            /* nor again after its end */
}

/* a start arrives */
proctype delivery(byte p) {
  byte w;
end:
  do
  :: atomic {
      sent_run[p] > 0 ->
      w = sent_to[p];
      if
#ifndef NO_WORKER_FENCE
      :: seen[w] > p + 1 -> skip
#endif
#ifndef NO_DEADLINE
      :: !GRANT(p, w) -> skip
#endif
      :: sent_run[p] <= highest[w] || running[w] > 0 -> skip
      :: else ->
        seen[w] = (seen[w] > p + 1 -> seen[w] : p + 1);
        running[w] = sent_run[p];
        check()
      fi;
      sent_run[p] = 0
    }
  od
}

/* what runs on a worker is done, and leases expire */
active [WORKERS] proctype worker() {
  byte w = _pid % WORKERS;
end:
  do
  :: atomic { running[w] > 0 -> ended[w] = running[w]; highest[w] = running[w]; running[w] = 0 }
  :: atomic {
      GRANT(0, w) || GRANT(1, w) ->
      if
      :: GRANT(0, w) -> GRANT(0, w) = false
      :: GRANT(1, w) -> GRANT(1, w) = false
      fi;
      if
      :: !GRANT(0, w) && !GRANT(1, w) && running[w] > 0 -> highest[w] = running[w]; running[w] = 0
      :: else -> skip
      fi
    }
  od
}

proctype planner(byte p) {
  byte phase, attempt, at, w;
  byte steps = 0;
  bool reached[WORKERS];

  /* it takes the lease, and fences the store */
  atomic {
    if
    :: epoch > p + 1 -> goto stopped
    :: else -> epoch = p + 1
    fi
  }
  /* it reads what is kept */
  atomic { phase = rec; attempt = rec_run; at = rec_at }
  do
  :: phase == DONE || steps >= 6 -> break
  :: else ->
    steps++;
    if
    /* it asks a worker, which then obeys no planner before */
    :: atomic {
        if :: w = 0 :: w = 1 fi;
#ifndef NO_WORKER_FENCE
        if :: seen[w] > p + 1 -> goto stopped :: else -> skip fi;
        seen[w] = p + 1;
#endif
        reached[w] = true;
        if
        :: phase == ASSIGNED && at == w && running[w] != attempt && ended[w] != attempt && sent_run[p] == 0 -> phase = WAITING
        :: else -> skip
        fi
      }
    /* an end is recorded, then acknowledged */
    :: phase == ASSIGNED && reached[at] && ended[at] == attempt && attempt > 0 ->
#ifdef EARLY_ACK
      atomic { ended[at] = 0; settled = true };
#endif
      atomic {
#ifndef NO_STORE_FENCE
        if :: epoch > p + 1 -> goto stopped :: else -> skip fi;
#endif
        rec = DONE; phase = DONE
      };
      atomic {
#ifndef NO_WORKER_FENCE
        if :: seen[at] > p + 1 -> goto stopped :: else -> skip fi;
#endif
        if :: ended[at] == attempt -> ended[at] = 0; settled = true :: else -> skip fi
      }
    /* a silent worker's task is gone once every lease there has expired */
    :: atomic {
        phase == ASSIGNED && !reached[at] && LAPSED(at) && sent_run[p] == 0 -> phase = WAITING
      }
    /* the task is assigned to a worker that has answered, and started there */
    :: phase == WAITING && attempt < MOST_RUNS && sent_run[p] == 0 && (reached[0] || reached[1]) ->
      atomic {
        if :: reached[0] -> at = 0 :: reached[1] -> at = 1 fi;
        attempt++; phase = ASSIGNED;
#ifndef NO_DURABLE
#ifndef NO_STORE_FENCE
        if :: epoch > p + 1 -> goto stopped :: else -> skip fi;
#endif
        rec = ASSIGNED; rec_run = attempt; rec_at = at;
#endif
        GRANT(p, at) = true
      };
      atomic { sent_to[p] = at; sent_run[p] = attempt }
    :: skip /* it pauses */
    fi
  od;
stopped:
  skip
}

init {
  atomic { run delivery(0); run delivery(1); run planner(0); run planner(1) }
}
