/*
 * Model of the proof that a configuration is the newest one: node 0 calls the
 * store, each further node learns of it by the notices of the node before it,
 * and an operator takes a key away.
 *
 * A node accepts a request with the key while the configuration that it holds
 * has the key and its proof is at most MAX_AGE old. It must accept none that is
 * sent later than MAX_AGE after the store acknowledged the revocation.
 *
 *   Call rule (disabled by NO_CALL_RULE): a reply proves as of the moment at
 *   which the call was issued, not as of that at which it is read.
 *   Probe rule (disabled by NO_PROBE_RULE): the age of a notice counts from the
 *   moment at which the probe that it repeats was sent, not from that at which
 *   the notice is read.
 *   Age rule (disabled by NO_AGE_RULE): a notice states the age of the sender's
 *   proof.
 *   Held rule (disabled by NO_HELD_RULE): a proof of a version counts once that
 *   version is held.
 *   Check rule (disabled by NO_CHECK_RULE): a node checks the age of its proof
 *   when it accepts a request, not some time before.
 *
 * Loss, delay, cuts, and processes that stand still: every exchange and every
 * step of a node is a separate step that can happen late or never, while time
 * goes on; what was sent waits until it is read. A notice brings what changed
 * or lacks it.
 *
 * Time is unbounded: the model keeps ages, up to the one from which nothing is
 * proved. Limits of the coverage: one revocation, one message of each kind
 * underway on each link, nodes that do not restart; histories of a restored
 * store are not modelled.
 */
#ifndef MAX_AGE
#define MAX_AGE 2
#endif
#ifndef NODES
#define NODES 2
#endif

#define LINKS (NODES - 1)
#define OLD (MAX_AGE + 1)
#define NOT_REVOKED 255

byte revokedAgo = NOT_REVOKED; /* since then version 2 is the newest */
#define NEWEST (revokedAgo == NOT_REVOKED -> 1 : 2)

byte held[NODES] = 1;
byte proved[NODES]; /* version; 0: none */
byte proofAge[NODES];
bool checked[NODES];

/* The call of node 0: 0 none, 1 issued, 2 answered. */
byte call = 0;
byte callAge = 0;
byte replied = 0;

/* By link: a probe underway, the latest probe that the sender of the notices
   has received, and a notice underway. */
byte probeAge[LINKS] = OLD;
byte receivedAge[LINKS] = OLD;
bool noticeSent[LINKS];
byte noticeHeld[LINKS];
byte noticeProved[LINKS];
byte noticeStated[LINKS];
byte noticeProbeAge[LINKS];

inline grow(age) {
  if
  :: age < OLD -> age++
  :: else
  fi
}

/* A proof that is too old is none. */
inline dropOld(i) {
  if
  :: proofAge[i] >= OLD -> proved[i] = 0; proofAge[i] = 0
  :: else
  fi
}

inline passTime() {
  if
  :: revokedAgo < OLD -> revokedAgo++
  :: else
  fi;
  grow(callAge);
  if
  :: call == 0 -> callAge = 0
  :: else
  fi;
  byte each;
  for (each : 0 .. NODES - 1) {
    grow(proofAge[each]);
    dropOld(each);
    if
    :: proved[each] == 0 -> proofAge[each] = 0
    :: else
    fi
  }
  for (each : 0 .. LINKS - 1) {
    grow(probeAge[each]);
    grow(receivedAge[each]);
    if
    :: noticeSent[each] -> grow(noticeProbeAge[each])
    :: else
    fi
  }
  each = 0
}

/* A proof is replaced by a later one. */
inline prove(i, version, age) {
  if
  :: age < OLD && (proved[i] == 0 || age <= proofAge[i]) ->
     proved[i] = version;
     proofAge[i] = age
  :: else
  fi
}

#ifdef NO_HELD_RULE
#define COUNTS(i) (proved[i] != 0)
#else
#define COUNTS(i) (proved[i] != 0 && held[i] >= proved[i])
#endif
#define MAY_ACCEPT(i) (held[i] == 1 && COUNTS(i))

#ifdef NO_CHECK_RULE
#define CHECKED(i) checked[i]
#define CHECKS(i) :: atomic { MAY_ACCEPT(i) && !checked[i] -> checked[i] = true }
#else
#define CHECKED(i) MAY_ACCEPT(i)
#define CHECKS(i)
#endif

inline accept(i) {
  assert(revokedAgo == NOT_REVOKED || revokedAgo <= MAX_AGE);
  checked[i] = false
}

inline readReply() {
  if
  :: replied > held[0] -> held[0] = replied
  :: else
  fi;
#ifdef NO_CALL_RULE
  prove(0, replied, 0);
#else
  prove(0, replied, callAge);
#endif
  call = 0;
  callAge = 0;
  replied = 0
}

inline sendNotice(l) {
  noticeSent[l] = true;
  noticeHeld[l] = held[l];
  noticeProved[l] = proved[l];
#ifndef NO_AGE_RULE
  noticeStated[l] = proofAge[l];
#endif
  noticeProbeAge[l] = receivedAge[l]
}

inline readNotice(l) {
  if
  :: noticeHeld[l] > held[l + 1] -> held[l + 1] = noticeHeld[l]
  :: true
  fi;
  if
#ifdef NO_PROBE_RULE
  :: noticeProved[l] != 0 -> prove(l + 1, noticeProved[l], noticeStated[l])
#else
  :: noticeProved[l] != 0 && noticeProbeAge[l] < OLD ->
     prove(l + 1, noticeProved[l], noticeStated[l] + noticeProbeAge[l])
#endif
  :: else
  fi;
  noticeSent[l] = false;
  noticeHeld[l] = 0;
  noticeProved[l] = 0;
  noticeStated[l] = 0;
  noticeProbeAge[l] = 0
}

#define NODE(i) \
  CHECKS(i) \
  :: atomic { CHECKED(i) && held[i] == 1 && revokedAgo != NOT_REVOKED -> accept(i) }
#define LINK(l) \
  :: atomic { probeAge[l] == OLD -> probeAge[l] = 0 } \
  :: atomic { probeAge[l] < OLD -> receivedAge[l] = probeAge[l]; probeAge[l] = OLD } \
  :: atomic { !noticeSent[l] -> sendNotice(l) } \
  :: atomic { noticeSent[l] -> readNotice(l) }

active proctype System() {
  do
  :: atomic { true -> passTime() }
  :: atomic { revokedAgo == NOT_REVOKED -> revokedAgo = 0 }
  /* The store answers as of a moment during the call. */
  :: atomic { call == 0 -> call = 1 }
  :: atomic { call == 1 -> call = 2; replied = NEWEST }
  :: atomic { call == 2 -> readReply() }
  NODE(0) NODE(1) LINK(0)
#if NODES > 2
  NODE(2) LINK(1)
#endif
  od
}
