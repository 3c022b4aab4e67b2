/*
 * Publication of the configuration through a log whose append answers can be
 * lost, and whose oldest records are trimmed.
 *
 * Two operators publish one change each; a node appends snapshots; readers
 * follow in order, join late and join behind the trim. A change is accepted
 * only on top of the version that it names.
 *
 * spin -a config.pml && gcc -O2 -DSAFETY -DMEMLIM=2048 -o pan pan.c && ./pan -m100000
 *
 * Mutations (-D to spin): NO_CONDITION, NO_READ_BACK, REBUILT_RETRY, SNAPSHOT_ANYWHERE.
 */
#define OPERATORS 2
#define MAX_RECORDS 4
#define MAX_TRIES 2 /* of the first operator; the second tries once */
#define NONE 255

/* The log: kind of each record, its author, and what it builds on or certifies. */
#define CHANGE 1
#define SNAPSHOT 2
byte kind[MAX_RECORDS];
byte author[MAX_RECORDS];
byte base[MAX_RECORDS];
byte through[MAX_RECORDS]; /* of a snapshot: offset after the last record seen */
byte count = 0;            /* offset of the next record */
byte first = 0;            /* oldest record that is kept */

/* What is true of the whole stream, kept for the checks. */
byte version_at[7];  /* version after each prefix */
byte winner[7];      /* who made each version, for each prefix length */
byte accepted[OPERATORS];

inline note_append() {
  version_at[count] = version_at[count - 1];
  winner[count] = winner[count - 1];
  if
  :: kind[count - 1] == CHANGE && base[count - 1] == version_at[count - 1] &&
     winner[count - 1] != author[count - 1] ->
       version_at[count]++;
       winner[count] = author[count - 1];
       accepted[author[count - 1]]++
  :: else
  fi
}

/* One step of a reader over the record at `cursor`. */
inline apply(cursor, version, made_by) {
  if
#ifdef NO_CONDITION
  :: kind[cursor] == CHANGE ->
#else
  :: kind[cursor] == CHANGE && base[cursor] == version &&
     made_by != author[cursor] ->
#endif
       version++;
       made_by = author[cursor]
  :: else
  fi
}

inline append_change(me, built_on) {
  kind[count] = CHANGE;
  author[count] = me;
#ifdef REBUILT_RETRY
  base[count] = version_at[count];
#else
  base[count] = built_on;
#endif
  count++;
  note_append()
}

proctype Late(byte me; byte built_on) {
  atomic {
    if
    :: count < MAX_RECORDS -> append_change(me, built_on)
    :: true
    fi
  }
}

byte claimed[OPERATORS]; /* 1: told accepted, 2: told conflict */

proctype Operator(byte me) {
  byte seen_version = 0, cursor = 0, made_by = NONE, tries = 0, built_on;
  bool is_mine = false, is_refused = false;
  /* Read the stream to its end and build on what is current. */
  do
  :: atomic { cursor < count -> apply(cursor, seen_version, made_by); cursor++ }
  :: atomic { cursor == count -> built_on = seen_version; break }
  od;
  do
  :: tries < MAX_TRIES - me && count < MAX_RECORDS ->
       tries++;
       if
       :: atomic { count < MAX_RECORDS -> append_change(me, built_on) }
       :: me == 0 -> run Late(me, built_on) /* takes effect later, or never */
       fi;
#ifdef NO_READ_BACK
       /* Believes the answer of the append, which may be lost. */
       if
       :: claimed[me] = 1; break
       :: claimed[me] = 2; break
       fi;
#else
       /* Settles by reading on: the first record of this author decides. */
       do
       :: atomic { cursor < count ->
            if
            :: kind[cursor] == CHANGE && author[cursor] == me ->
                 if
                 :: base[cursor] == seen_version && made_by != me -> is_mine = true
                 :: else -> is_refused = true
                 fi
            :: else
            fi;
            apply(cursor, seen_version, made_by);
            cursor++ }
       :: atomic { cursor == count -> break }
       od;
       if
       :: is_mine -> claimed[me] = 1; break
       :: !is_mine && is_refused -> claimed[me] = 2; break
       :: else
       fi
#endif
  :: else -> break /* not known; the operator is told so */
  od
}

/* A node at some prefix certifies it, at once or late. */
proctype Snapshotter() {
  byte seen;
  if
  :: seen = count
  fi;
  atomic {
    if
    :: count < MAX_RECORDS && seen > 0 ->
         kind[count] = SNAPSHOT;
         author[count] = NONE;
         through[count] = seen;
         count++;
         note_append()
    :: else
    fi
  }
}

proctype Retention() {
  do
  :: atomic { first < count -> first++ }
  :: break
  od
}

/* Follows from the start, falls behind at any time, and joins from a snapshot. */
proctype Follower() {
  byte cursor = 0, version = 0, made_by = NONE, at, before;
  byte turns = 0;
  do
  :: turns < 7 ->
    turns++;
    before = version;
    atomic {
      if
      :: cursor >= first && cursor < count ->
           apply(cursor, version, made_by);
           cursor++
      :: cursor < first ->
           at = first;
           do
           :: at < count && !(kind[at] == SNAPSHOT
#ifndef SNAPSHOT_ANYWHERE
                && through[at] >= first
#endif
              ) -> at++
           :: else -> break
           od;
           if
           :: at < count ->
                version = version_at[through[at]];
                made_by = winner[through[at]];
#ifdef SNAPSHOT_ANYWHERE
                cursor = at + 1
#else
                cursor = through[at]
#endif
           :: else
           fi
      :: else
      fi;
      /* Alike everywhere: the state is that of the prefix, and never reverts. */
      assert(version == version_at[cursor]);
      assert(version == 0 || made_by == winner[cursor]);
      assert(version >= before)
    }
  :: else -> break
  od
}

/* What operators are told is true, and each change takes effect at most once. */
proctype Checker() {
  byte each = 0;
  atomic {
    do
    :: each < OPERATORS ->
         assert(accepted[each] <= 1);
         assert(claimed[each] != 1 || accepted[each] == 1);
         assert(claimed[each] != 2 || accepted[each] == 0);
         each++
    :: else -> break
    od
  }
}

init {
  atomic {
    winner[0] = NONE;
    run Operator(0);
    run Operator(1);
    run Snapshotter();
    run Retention();
    run Follower()
  };
  /* The checks of what was told hold at every moment, so at the end too. */
  _nr_pr == 1;
  run Checker()
}
