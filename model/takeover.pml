/*
 * Model of the takeover of the planner's lease, implemented by internal/run/lead and
 * internal/run/engine. docs/PROOFS.md maps the names.
 *
 * The model has one task, two workers and two planners. The steps of the two planners
 * interleave arbitrarily, and a planner may stop after any step: this covers pauses and
 * crashes. A start order may be delivered at any time after it was sent, or never. A
 * worker may be unreachable for a planner. Time is abstract: a lease that a planner has
 * granted to a worker may expire at any moment, and when the last lease of a worker
 * expires, everything that runs there ends.
 *
 * Mutations, each of which must give a counterexample:
 *   -DNO_STORE_FENCE  the store accepts records of a planner that has been replaced
 *   -DNO_WORKER_FENCE workers execute orders of a planner that has been replaced
 *   -DNO_DEADLINE     a worker executes a start order after the lease named in it has expired
 *   -DNO_WAIT         the task of a worker that does not answer is considered ended at once
 *   -DNO_DURABLE      a start order is sent before its assignment is durable
 *   -DEARLY_ACK       the end of a run is acknowledged before it is durable
 */
#define PLANNERS 2
#define WORKERS 2
#define MAX_RUNS 4
#define NO_WORKER 9

#define WAITING 0
#define ASSIGNED 1
#define DONE 2

/* the store: the newest epoch and the task's record */
byte epoch = 0;
byte stored_phase = WAITING;
byte stored_run = 0;
byte stored_worker = NO_WORKER;

/* the workers */
byte highest_token[WORKERS]; /* highest fencing token that the worker has seen */
byte running[WORKERS];       /* number of the active run, 0 if none */
byte unacked_run[WORKERS];   /* number of the completed run whose end is not acknowledged, 0 if none */
byte last_ended[WORKERS];    /* highest number of a run that has ended on the worker */
bool acknowledged = false;   /* the end of a completed run has been acknowledged */

/* start orders in transit, at most one for each planner: run number (0 if none) and worker */
byte sent_run[PLANNERS];
byte sent_worker[PLANNERS];

bool worker_lease[4]; /* worker w has a lease granted by planner p: index 2 * p + w */
#define WORKER_LEASE(p, w) worker_lease[2 * (p) + (w)]

#ifdef NO_WAIT
#define LEASES_EXPIRED(w) true
#else
#define LEASES_EXPIRED(w) (!WORKER_LEASE(0, w) && !WORKER_LEASE(1, w))
#endif

inline check() {
  assert(!(running[0] > 0 && running[1] > 0)); /* the task never runs twice at the same time */
  assert(!acknowledged);                       /* it does not run again after its end was acknowledged */
}

/* delivers the start orders of planner p */
proctype delivery(byte p) {
  byte w;
end:
  do
  :: atomic {
      sent_run[p] > 0 ->
      w = sent_worker[p];
      if
#ifndef NO_WORKER_FENCE
      :: highest_token[w] > p + 1 -> skip
#endif
#ifndef NO_DEADLINE
      :: !WORKER_LEASE(p, w) -> skip
#endif
      :: sent_run[p] <= last_ended[w] || running[w] > 0 -> skip
      :: else ->
        highest_token[w] = (highest_token[w] > p + 1 -> highest_token[w] : p + 1);
        running[w] = sent_run[p];
        check()
      fi;
      sent_run[p] = 0
    }
  od
}

/* completes the run on a worker, and lets the leases of the worker expire */
active [WORKERS] proctype worker() {
  byte w = _pid % WORKERS;
end:
  do
  :: atomic { running[w] > 0 -> unacked_run[w] = running[w]; last_ended[w] = running[w]; running[w] = 0 }
  :: atomic {
      WORKER_LEASE(0, w) || WORKER_LEASE(1, w) ->
      if
      :: WORKER_LEASE(0, w) -> WORKER_LEASE(0, w) = false
      :: WORKER_LEASE(1, w) -> WORKER_LEASE(1, w) = false
      fi;
      if
      :: !WORKER_LEASE(0, w) && !WORKER_LEASE(1, w) && running[w] > 0 -> last_ended[w] = running[w]; running[w] = 0
      :: else -> skip
      fi
    }
  od
}

proctype planner(byte p) {
  byte phase, run_number, assigned_worker, w;
  byte steps = 0;
  bool answered[WORKERS];

  /* acquires the planner's lease and fences the store */
  atomic {
    if
    :: epoch > p + 1 -> goto stopped
    :: else -> epoch = p + 1
    fi
  }
  /* reads the stored record */
  atomic { phase = stored_phase; run_number = stored_run; assigned_worker = stored_worker }
  do
  :: phase == DONE || steps >= 6 -> break
  :: else ->
    steps++;
    if
    /* asks a worker for its state; from then on the worker refuses orders of earlier planners */
    :: atomic {
        if :: w = 0 :: w = 1 fi;
#ifndef NO_WORKER_FENCE
        if :: highest_token[w] > p + 1 -> goto stopped :: else -> skip fi;
        highest_token[w] = p + 1;
#endif
        answered[w] = true;
        if
        :: phase == ASSIGNED && assigned_worker == w && running[w] != run_number && unacked_run[w] != run_number && sent_run[p] == 0 -> phase = WAITING
        :: else -> skip
        fi
      }
    /* records the end of the run, then acknowledges it */
    :: phase == ASSIGNED && answered[assigned_worker] && unacked_run[assigned_worker] == run_number && run_number > 0 ->
#ifdef EARLY_ACK
      atomic { unacked_run[assigned_worker] = 0; acknowledged = true };
#endif
      atomic {
#ifndef NO_STORE_FENCE
        if :: epoch > p + 1 -> goto stopped :: else -> skip fi;
#endif
        stored_phase = DONE; phase = DONE
      };
      atomic {
#ifndef NO_WORKER_FENCE
        if :: highest_token[assigned_worker] > p + 1 -> goto stopped :: else -> skip fi;
#endif
        if :: unacked_run[assigned_worker] == run_number -> unacked_run[assigned_worker] = 0; acknowledged = true :: else -> skip fi
      }
    /* considers the task ended if its worker does not answer and all leases of that worker have expired */
    :: atomic {
        phase == ASSIGNED && !answered[assigned_worker] && LEASES_EXPIRED(assigned_worker) && sent_run[p] == 0 -> phase = WAITING
      }
    /* assigns the task to a worker that has answered, and starts it there */
    :: phase == WAITING && run_number < MAX_RUNS && sent_run[p] == 0 && (answered[0] || answered[1]) ->
      atomic {
        if :: answered[0] -> assigned_worker = 0 :: answered[1] -> assigned_worker = 1 fi;
        run_number++; phase = ASSIGNED;
#ifndef NO_DURABLE
#ifndef NO_STORE_FENCE
        if :: epoch > p + 1 -> goto stopped :: else -> skip fi;
#endif
        stored_phase = ASSIGNED; stored_run = run_number; stored_worker = assigned_worker;
#endif
        WORKER_LEASE(p, assigned_worker) = true
      };
      atomic { sent_worker[p] = assigned_worker; sent_run[p] = run_number }
    :: skip /* pauses */
    fi
  od;
stopped:
  skip
}

init {
  atomic { run delivery(0); run delivery(1); run planner(0); run planner(1) }
}
