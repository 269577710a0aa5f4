/*
 * Model of version adoption: nodes hold a version before they apply it, and
 * restart without stored state.
 *
 * Initially NODES nodes have applied version 1. A restart clears the state of a
 * node. Any node can read the source, which can at any time return the version
 * before the newest one.
 *
 *   Hold rule (disabled by NO_HOLD_RULE): a node applies a version only after
 *   HOLDERS other nodes announced that they hold it or a newer one.
 *   Return rule (disabled by NO_RETURN_RULE): a restarted node receives an
 *   announcement of every node that is up before it applies a version, and
 *   pulls the highest version that they hold.
 *   Consistency rule (disabled by NO_WHOLE_RULE): a read gets a manifest and a
 *   part, between which an update can be published; a part of another version
 *   makes the read start again.
 *
 * Loss, delay, suspended processes and partitions: every exchange is a separate
 * step that can happen late or never, and an announcement stays recorded after
 * its sender has restarted.
 *
 * Limits of the coverage: at most DOWN nodes are down or not yet ready again at
 * the same time, with RESTARTS restarts and VERSIONS versions in total; the
 * timeouts after which a node applies without reachable peers are not modelled.
 */
#ifndef NODES
#define NODES 4
#endif
#ifndef HOLDERS
#define HOLDERS 2
#endif
#ifndef DOWN
#define DOWN 2
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef VERSIONS
#define VERSIONS 2
#endif

#define BIT(x) (1 << (x))
#define IS(set, x) (((set) & BIT(x)) != 0)
#define ALL (BIT(NODES) - 1)
#define OTHERS_UP(x) (up & (ALL - BIT(x)))
#define HEARD_FROM_ALL(x) ((heardFrom[x] & OTHERS_UP(x)) == OTHERS_UP(x))
#define COUNT(bits) (((bits) & 1) + (((bits) >> 1) & 1) + (((bits) >> 2) & 1) + (((bits) >> 3) & 1) + (((bits) >> 4) & 1))

#ifdef NO_HOLD_RULE
#define HELD_BY_ENOUGH(x) true
#else
#define HELD_BY_ENOUGH(x) (COUNT(confirmedBy[x]) >= HOLDERS)
#endif

#ifdef NO_RETURN_RULE
#define MAY_APPLY(x) true
#else
#define MAY_APPLY(x) (IS(ready, x) || HEARD_FROM_ALL(x))
#endif

#ifdef NO_WHOLE_RULE
#define MIXES_VERSIONS false
#else
#define MIXES_VERSIONS (manifestVersion != partVersion)
#endif

byte published = 1;
byte held[NODES] = 1;    /* 0: none */
byte applied[NODES] = 1; /* since the node started */
byte highestApplied[NODES] = 1; /* over all restarts */
byte confirmedBy[NODES]; /* others that announced the held version or newer */
byte heardFrom[NODES]; /* others heard from since the start, until ready */
byte up = ALL;
byte ready = ALL;
byte restarts = 0;

/* Sets target to a version that the source can return now. */
inline observeVersion(target) {
  if
  :: target = published
  :: published > 1 -> target = published - 1
  fi
}

/* Reads a manifest and a part; an update can be published between them. */
inline readSource(i) {
  observeVersion(manifestVersion);
  if
  :: published < VERSIONS -> published++
  :: true
  fi;
  observeVersion(partVersion);
  if
  :: MIXES_VERSIONS || manifestVersion <= held[i] -> skip
  :: else ->
     assert(manifestVersion == partVersion); /* no mixed versions */
     held[i] = manifestVersion;
     confirmedBy[i] = 0
  fi
}

inline pullFrom(i, j) {
  held[i] = held[j];
  confirmedBy[i] = 0
}

/* i receives the announcement of j; a node that is not ready pulls a higher
   version. */
inline receiveAnnounce(i, j) {
  if
  :: !IS(ready, i) ->
     heardFrom[i] = heardFrom[i] | BIT(j);
     if
     :: held[j] > held[i] -> pullFrom(i, j)
     :: else
     fi
  :: else
  fi;
  if
  :: held[i] > applied[i] && held[j] >= held[i] ->
     confirmedBy[i] = confirmedBy[i] | BIT(j)
  :: else
  fi
}

inline apply(i) {
  assert(held[i] >= highestApplied[i]); /* no regression, also over restarts */
  applied[i] = held[i];
  highestApplied[i] = held[i];
  ready = ready | BIT(i);
  confirmedBy[i] = 0;
  heardFrom[i] = 0
}

inline stop(i) {
  restarts++;
  up = up & (ALL - BIT(i));
  ready = ready & (ALL - BIT(i));
  held[i] = 0;
  applied[i] = 0;
  confirmedBy[i] = 0;
  heardFrom[i] = 0
}

/* Steps of a node, and steps of a pair of nodes. */
#define READS(i) \
  :: atomic { IS(up, i) && held[i] < published -> \
       readSource(i); manifestVersion = 0; partVersion = 0 }
#define APPLIES(i) \
  :: atomic { IS(up, i) && held[i] > applied[i] && HELD_BY_ENOUGH(i) && \
       MAY_APPLY(i) -> apply(i) }
#define STOPS(i) \
  :: atomic { IS(ready, i) && restarts < RESTARTS && \
       COUNT(ALL - ready) < DOWN -> stop(i) }
#define STARTS(i) \
  :: atomic { !IS(up, i) -> up = up | BIT(i) }
#define RECEIVES(i, j) \
  :: atomic { IS(up, i) && IS(up, j) && \
       ((held[i] > applied[i] && held[j] >= held[i] && \
         !IS(confirmedBy[i], j) && !HELD_BY_ENOUGH(i)) || \
        (!IS(ready, i) && !IS(heardFrom[i], j))) -> \
       receiveAnnounce(i, j) }
#define PULLS(i, j) \
  :: atomic { IS(up, i) && IS(up, j) && held[j] > held[i] -> pullFrom(i, j) }
#define PAIR(i, j) RECEIVES(i, j) PULLS(i, j) RECEIVES(j, i) PULLS(j, i)
#define NODE(i) READS(i) APPLIES(i) STOPS(i) STARTS(i)

active proctype System() {
  byte manifestVersion, partVersion;
  do
  :: atomic { published < VERSIONS -> published++ }
  NODE(0) NODE(1) NODE(2)
  PAIR(0, 1) PAIR(0, 2) PAIR(1, 2)
#if NODES > 3
  NODE(3)
  PAIR(0, 3) PAIR(1, 3) PAIR(2, 3)
#endif
#if NODES > 4
  NODE(4)
  PAIR(0, 4) PAIR(1, 4) PAIR(2, 4) PAIR(3, 4)
#endif
  od
}
