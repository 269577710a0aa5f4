/*
 * Adoption of versions: hold before apply, and return without memory.
 *
 * NODES nodes have applied version 1. They forget everything when they restart. Any of them may read the
 * source, which may show the version before the newest one at any time.
 *
 *   Hold rule (off with NO_HOLD_RULE): a version is applied only once HOLDERS
 *   others were heard to hold it or a newer one.
 *   Return rule (off with NO_RETURN_RULE): a node that started hears every
 *   node that is up before it applies anything, and takes the highest version
 *   that they hold.
 *   Whole rule (off with NO_WHOLE_RULE): a reading takes a manifest and
 *   a part, which an update may cross; a part of another version makes it start
 *   anew.
 *
 * Loss, delay, freezes and partitions: every exchange is a step of its own that
 * may happen late or never, and what was heard of a node stays known after that
 * node has restarted.
 *
 * Where the coverage ends: at most DOWN nodes are down or not yet ready again
 * at the same time, RESTARTS restarts and VERSIONS versions in all; the
 * timeouts that let a node apply without reachable peers are left out.
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
byte held[NODES] = 1;    /* 0 stands for none */
byte applied[NODES] = 1; /* in this life of the node */
byte highestApplied[NODES] = 1; /* in all lives */
byte confirmedBy[NODES]; /* others heard to hold what this node holds */
byte heardFrom[NODES]; /* others heard since the start, until ready */
byte up = ALL;
byte ready = ALL;
byte restarts = 0;

/* A value that the source may show now. */
inline observeVersion(target) {
  if
  :: target = published
  :: published > 1 -> target = published - 1
  fi
}

/* An update may cross the reading, between its manifest and its part. */
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
     assert(manifestVersion == partVersion); /* never in part */
     held[i] = manifestVersion;
     confirmedBy[i] = 0
  fi
}

inline pullFrom(i, j) {
  held[i] = held[j];
  confirmedBy[i] = 0
}

/* i hears what j holds; a node that is not ready takes what is higher. */
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
  assert(held[i] >= highestApplied[i]); /* never older, over restarts too */
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

/* A step of any node, and a step of any pair. */
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
