/*
 * Model of the dispatch ledger, epoch fence and inquiry between ingresses and
 * gates.
 *
 * Any message can be delayed arbitrarily or never arrive, which covers silent
 * links and suspended processes. A restart of a gate clears its ledger and
 * breaks its links. Deadlines can pass at any time. A gate can drop its entries
 * of refused, settled and finished requests at any time, which covers the
 * bounds of its memory.
 *
 * Properties, checked as assertions:
 *  - a non-idempotent request runs at most once;
 *  - a request that was reported to its caller as "not run" has not run and
 *    never runs.
 *
 * Sizes: REQUESTS, INGRESSES, GATES, EPOCHS, RESTARTS, ROOM. Request r belongs
 * to ingress r % INGRESSES; only IDEMPOTENT_REQUEST may be repeated.
 * Injectable faults, which the assertions must detect: NO_EPOCH_FENCE,
 * NO_INCARNATION_CHECK, FORGET_DONE, RETRY_ANY.
 */

#ifndef INGRESSES
#define INGRESSES 2
#endif
#ifndef GATES
#define GATES 1
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define OWNER(r) ((r) % INGRESSES)
#ifndef IDEMPOTENT_REQUEST
#define IDEMPOTENT_REQUEST 1
#endif
#define IDEMPOTENT(r) ((r) == IDEMPOTENT_REQUEST)

#ifdef RETRY_ANY
#define MAY_RETRY(r) true
#else
#define MAY_RETRY(r) IDEMPOTENT(r)
#endif
#ifdef NO_INCARNATION_CHECK
#define OTHER_INCARNATION(a, b) false
#else
#define OTHER_INCARNATION(a, b) ((a) != (b))
#endif

#ifndef REQUESTS
#define REQUESTS 2
#endif
#define LINKS (INGRESSES * GATES * EPOCHS)
#define LINK(i, g, e) (((i) * GATES + (g)) * EPOCHS + (e) - 1)

/* Kinds of messages. */
#define HELLO 1
#define DISPATCH 2
#define INQUIRY 3
#define SETTLED 4
#define WELCOME 5
#define ANSWER 6
#define REFUSAL 7
#define NEVER_RUNS 8
#define FAILURE 9

/* States of a request in the ledger of a gate. */
#define UNKNOWN 0
#define QUEUED 1
#define RUNNING 2
#define DONE 3
#define NEVER 4
#define FORGOTTEN 5

/* States of a request at its ingress. */
#define OPEN 0
#define WAITING 1
#define ANSWERED 2
#define NOT_RUN 3
#define MAY_HAVE_RUN 4
#define INGRESS_LOST 5

/* Capacity of a link in each direction; further messages are lost. */
#ifndef ROOM
#define ROOM 3
#endif

/* Up leads to the gate, down to the ingress. A message has a kind, a request
   and a value: an incarnation in WELCOME and DISPATCH, otherwise 0. */
chan up[LINKS] = [ROOM] of { byte, byte, byte };
chan down[LINKS] = [ROOM] of { byte, byte, byte };

/* Gates. */
byte incarnation[GATES];
byte ledger[GATES * REQUESTS];
byte highestEpoch[INGRESSES * GATES];
bool broken[LINKS];

/* Ingresses. */
byte epoch[INGRESSES * GATES];
byte welcomed[INGRESSES * GATES];
byte state[REQUESTS];
byte sentTo[REQUESTS];
byte expectedIncarnation[REQUESTS];
bool attempted[REQUESTS * GATES];
bool outcomeUnknown[REQUESTS];

byte runs[REQUESTS];
byte restarts;

#ifdef NO_EPOCH_FENCE
#define FENCED(i, g, e) false
#else
#define FENCED(i, g, e) ((e) != HIGHEST_EPOCH(i, g))
#endif

#define LEDGER(g, r) ledger[(g) * REQUESTS + (r)]
#define HIGHEST_EPOCH(i, g) highestEpoch[(i) * GATES + (g)]
#define EPOCH(i, g) epoch[(i) * GATES + (g)]
#define WELCOMED(i, g) welcomed[(i) * GATES + (g)]
#define ATTEMPTED(r, g) attempted[(r) * GATES + (g)]

inline sendUp(l, kind, r, value) {
  if
  :: !broken[l] && len(up[l]) < ROOM -> up[l]!kind, r, value
  :: else -> skip
  fi
}

inline sendDown(l, kind, r, value) {
  if
  :: !broken[l] && len(down[l]) < ROOM -> down[l]!kind, r, value
  :: else -> skip
  fi
}

/* Sends on the current link to the ingress of a request, if there is one. */
inline sendToIngress(g, r, kind) {
  if
  :: HIGHEST_EPOCH(OWNER(r), g) > 0 ->
     sendDown(LINK(OWNER(r), g, HIGHEST_EPOCH(OWNER(r), g)), kind, r, 0)
  :: else -> skip
  fi
}

/* Reports "not run" to the caller, unless another gate may have run it. */
inline reportNotRun(r) {
  if
  :: outcomeUnknown[r] -> state[r] = MAY_HAVE_RUN
  :: else ->
     assert(runs[r] == 0);
     state[r] = NOT_RUN
  fi
}

/* The gate guarantees that the request does not run there. */
inline handleNotRun(r) {
  if
  :: state[r] = OPEN
  :: reportNotRun(r)
  fi
}

/* The request may have run at the gate it was sent to. */
inline handleMayHaveRun(r) {
  outcomeUnknown[r] = true;
  if
  :: MAY_RETRY(r) -> state[r] = OPEN
  :: state[r] = MAY_HAVE_RUN
  fi
}

inline gateReceives(i, g, e) {
  up[LINK(i, g, e)]?kind, r, value;
  if
  :: kind == HELLO ->
     if
     :: e > HIGHEST_EPOCH(i, g) ->
        HIGHEST_EPOCH(i, g) = e;
        sendDown(LINK(i, g, e), WELCOME, 0, incarnation[g])
     :: else -> skip
     fi
  :: kind == DISPATCH ->
     if
     :: LEDGER(g, r) == UNKNOWN ->
        if
        :: FENCED(i, g, e) || value != incarnation[g] ->
           LEDGER(g, r) = NEVER;
           sendDown(LINK(i, g, e), REFUSAL, r, 0)
        :: else ->
           if
           :: LEDGER(g, r) = QUEUED
           :: LEDGER(g, r) = NEVER;
              sendDown(LINK(i, g, e), REFUSAL, r, 0)
           fi
        fi
     :: LEDGER(g, r) == NEVER -> sendDown(LINK(i, g, e), REFUSAL, r, 0)
     :: LEDGER(g, r) == DONE && e == HIGHEST_EPOCH(i, g) ->
        sendDown(LINK(i, g, e), ANSWER, r, 0)
     :: LEDGER(g, r) == FORGOTTEN && e == HIGHEST_EPOCH(i, g) ->
        sendDown(LINK(i, g, e), FAILURE, r, 0)
     :: else -> skip
     fi
  :: kind == INQUIRY ->
     if
     :: e != HIGHEST_EPOCH(i, g) -> skip
     :: e == HIGHEST_EPOCH(i, g) && LEDGER(g, r) == UNKNOWN ->
        LEDGER(g, r) = NEVER;
        sendDown(LINK(i, g, e), NEVER_RUNS, r, 0)
     :: e == HIGHEST_EPOCH(i, g) && LEDGER(g, r) == NEVER ->
        sendDown(LINK(i, g, e), NEVER_RUNS, r, 0)
     :: e == HIGHEST_EPOCH(i, g) && LEDGER(g, r) == DONE ->
        sendDown(LINK(i, g, e), ANSWER, r, 0)
     :: e == HIGHEST_EPOCH(i, g) && LEDGER(g, r) == FORGOTTEN ->
        sendDown(LINK(i, g, e), FAILURE, r, 0)
     :: else -> skip
     fi
  :: kind == SETTLED ->
     if
     :: LEDGER(g, r) == DONE -> LEDGER(g, r) = UNKNOWN
     :: else -> skip
     fi
  fi;
  kind = 0; r = 0; value = 0
}

inline ingressReceives(i, g, e) {
  down[LINK(i, g, e)]?kind, r, value;
  if
  :: kind == WELCOME ->
     if
     :: e != EPOCH(i, g) -> skip
     :: else ->
        WELCOMED(i, g) = value;
        r = 0;
        do
        :: r < REQUESTS ->
           if
           :: OWNER(r) == i && state[r] == WAITING && sentTo[r] == g && e > 1 ->
              if
              :: OTHER_INCARNATION(value, expectedIncarnation[r]) ->
                 handleMayHaveRun(r)
              :: else -> sendUp(LINK(i, g, e), INQUIRY, r, 0)
              fi
           :: else -> skip
           fi;
           r++
        :: else -> break
        od
     fi
  :: kind == ANSWER ->
     if
     :: state[r] == WAITING || state[r] == OPEN -> state[r] = ANSWERED
     :: else -> skip
     fi;
     sendUp(LINK(i, g, EPOCH(i, g)), SETTLED, r, 0)
  :: kind == FAILURE ->
     if
     :: state[r] == WAITING && sentTo[r] == g -> handleMayHaveRun(r)
     :: else -> skip
     fi;
     sendUp(LINK(i, g, EPOCH(i, g)), SETTLED, r, 0)
  :: kind == REFUSAL || kind == NEVER_RUNS ->
     if
     :: state[r] == WAITING && sentTo[r] == g -> handleNotRun(r)
     :: else -> skip
     fi
  fi;
  kind = 0; r = 0; value = 0
}

/* The ingress abandons a link, which may only be slow, and opens the next. */
inline openLink(i, g) {
  EPOCH(i, g) = EPOCH(i, g) + 1;
  WELCOMED(i, g) = 0;
  sendUp(LINK(i, g, EPOCH(i, g)), HELLO, 0, 0)
}

inline dispatch(q, g) {
  ATTEMPTED(q, g) = true;
  state[q] = WAITING;
  sentTo[q] = g;
  expectedIncarnation[q] = WELCOMED(OWNER(q), g);
  sendUp(LINK(OWNER(q), g, EPOCH(OWNER(q), g)), DISPATCH, q,
         expectedIncarnation[q])
}

inline restartGate(g) {
  restarts++;
  incarnation[g] = incarnation[g] + 1;
  j = 0;
  do
  :: j < REQUESTS -> LEDGER(g, j) = UNKNOWN; j++
  :: else -> break
  od;
  j = 0;
  do
  :: j < INGRESSES ->
     HIGHEST_EPOCH(j, g) = 0;
     l = 1;
     do
     :: l <= EPOCHS ->
        if
        :: l <= EPOCH(j, g) ->
           broken[LINK(j, g, l)] = true;
           do
           :: nempty(up[LINK(j, g, l)]) -> up[LINK(j, g, l)]?_, _, _
           :: empty(up[LINK(j, g, l)]) -> break
           od;
           do
           :: nempty(down[LINK(j, g, l)]) -> down[LINK(j, g, l)]?_, _, _
           :: empty(down[LINK(j, g, l)]) -> break
           od
        :: else -> skip
        fi;
        l++
     :: else -> break
     od;
     j++
  :: else -> break
  od;
  j = 0; l = 0
}

#define LINK_STEPS(i, g, e)                                                    \
  :: atomic { nempty(up[LINK(i, g, e)]) -> gateReceives(i, g, e) }             \
  :: atomic { nempty(down[LINK(i, g, e)]) -> ingressReceives(i, g, e) }

#if EPOCHS == 2
#define PAIR_LINKS(i, g) LINK_STEPS(i, g, 1) LINK_STEPS(i, g, 2)
#elif EPOCHS == 3
#define PAIR_LINKS(i, g)                                                       \
  LINK_STEPS(i, g, 1) LINK_STEPS(i, g, 2) LINK_STEPS(i, g, 3)
#endif

#define PAIR_STEPS(i, g)                                                       \
  PAIR_LINKS(i, g)                                                             \
  :: atomic { EPOCH(i, g) < EPOCHS && EPOCH(i, g) > 0 -> openLink(i, g) }

#define GATE_STEPS(g)                                                          \
  :: atomic { restarts < RESTARTS -> restartGate(g) }

#define LEDGER_STEPS(g, q)                                                     \
  /* The request starts in time. */                                            \
  :: atomic { LEDGER(g, q) == QUEUED ->                                        \
       LEDGER(g, q) = RUNNING;                                                 \
       runs[q] = runs[q] + (runs[q] < 3 -> 1 : 0);                             \
       assert(IDEMPOTENT(q) || runs[q] <= 1);                                  \
       assert(state[q] != NOT_RUN) }                                           \
  /* The deadline passes while the request is queued. */                       \
  :: atomic { LEDGER(g, q) == QUEUED ->                                        \
       LEDGER(g, q) = NEVER;                                                   \
       sendToIngress(g, q, REFUSAL) }                                          \
  :: atomic { LEDGER(g, q) == RUNNING ->                                       \
       LEDGER(g, q) = DONE;                                                    \
       sendToIngress(g, q, ANSWER) }                                           \
  /* The ledger drops entries, because it is bounded. */                       \
  :: atomic { LEDGER(g, q) == NEVER -> LEDGER(g, q) = UNKNOWN }                \
  :: atomic { LEDGER(g, q) == DONE -> LEDGER(g, q) = EVICTED_DONE }            \
  :: atomic { state[q] == OPEN && !ATTEMPTED(q, g) &&                          \
       WELCOMED(OWNER(q), g) > 0 -> dispatch(q, g) }

#ifdef FORGET_DONE
#define EVICTED_DONE UNKNOWN
#else
#define EVICTED_DONE FORGOTTEN
#endif

#define REQUEST_STEPS(q)                                                       \
  /* The deadline of the caller passes. */                                     \
  :: atomic { state[q] == WAITING -> state[q] = MAY_HAVE_RUN }                 \
  :: atomic { state[q] == OPEN -> reportNotRun(q) }                            \
  /* An attempt times out. */                                                  \
  :: atomic { state[q] == WAITING && IDEMPOTENT(q) ->                          \
       outcomeUnknown[q] = true; state[q] = OPEN }                             \
  /* The ingress process ends. */                                              \
  :: atomic { (state[q] == OPEN || state[q] == WAITING) &&                     \
       restarts < RESTARTS -> restarts++; state[q] = INGRESS_LOST }

active proctype System() {
  byte kind, r, value, j, l;
  atomic {
    do
    :: j < GATES -> incarnation[j] = 1; j++
    :: else -> break
    od;
    j = 0;
    openLink(0, 0);
#if GATES == 2
    openLink(0, 1);
#endif
#if INGRESSES == 2
    openLink(1, 0);
#if GATES == 2
    openLink(1, 1);
#endif
#endif
  }
  do
  PAIR_STEPS(0, 0)
  GATE_STEPS(0)
  LEDGER_STEPS(0, 0)
#if REQUESTS == 2
  LEDGER_STEPS(0, 1)
#endif
#if GATES == 2
  PAIR_STEPS(0, 1)
  GATE_STEPS(1)
  LEDGER_STEPS(1, 0)
#if REQUESTS == 2
  LEDGER_STEPS(1, 1)
#endif
#endif
#if INGRESSES == 2
  PAIR_STEPS(1, 0)
#if GATES == 2
  PAIR_STEPS(1, 1)
#endif
#endif
  REQUEST_STEPS(0)
#if REQUESTS == 2
  REQUEST_STEPS(1)
#endif
  od
}
