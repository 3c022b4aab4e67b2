/*
 * Publication of the configuration through a log whose append answers can be
 * lost, and whose oldest records are trimmed.
 *
 * Two operators publish one change each; a node appends snapshots; readers
 * read in order, may start late, and may start after old records were trimmed. A
 * change is accepted only if it names the current version as its base.
 *
 * spin -a config.pml && gcc -O2 -DSAFETY -DMEMLIM=2048 -o pan pan.c && ./pan -m100000
 *
 * Mutations (-D to spin): NO_CONDITION, NO_READ_BACK, REBUILT_RETRY, SNAPSHOT_ANYWHERE.
 */
#define OPERATORS 2
#define MAX_RECORDS 4
#define MAX_TRIES 2 /* of the first operator; the second tries once */
#define NONE 255

/* Records of the log; `base` is the version that a change is based on. */
#define CHANGE 1
#define SNAPSHOT 2
byte kind[MAX_RECORDS];
byte author[MAX_RECORDS];
byte base[MAX_RECORDS];
byte through[MAX_RECORDS]; /* of a snapshot: offset after the last record that it covers */
byte count = 0;            /* offset of the next record */
byte first = 0;            /* offset of the oldest record that is retained */

/* Correct state after each prefix of the log, for the assertions. */
byte version_at[7];  /* version after each prefix */
byte winner[7];      /* author of that version */
byte accepted[OPERATORS];

inline update_expected() {
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

inline append_change(me, base_version) {
  kind[count] = CHANGE;
  author[count] = me;
#ifdef REBUILT_RETRY
  base[count] = version_at[count];
#else
  base[count] = base_version;
#endif
  count++;
  update_expected()
}

proctype LateAppend(byte me; byte base_version) {
  atomic {
    if
    :: count < MAX_RECORDS -> append_change(me, base_version)
    :: true
    fi
  }
}

byte reported[OPERATORS]; /* 1: accepted, 2: conflict */

proctype Operator(byte me) {
  byte seen_version = 0, cursor = 0, made_by = NONE, tries = 0, base_version;
  bool is_accepted = false, is_refused = false;
  /* Read the log to its end and base the change on the current version. */
  do
  :: atomic { cursor < count -> apply(cursor, seen_version, made_by); cursor++ }
  :: atomic { cursor == count -> base_version = seen_version; break }
  od;
  do
  :: tries < MAX_TRIES - me && count < MAX_RECORDS ->
       tries++;
       if
       :: atomic { count < MAX_RECORDS -> append_change(me, base_version) }
       :: me == 0 -> run LateAppend(me, base_version) /* is appended later, or never */
       fi;
#ifdef NO_READ_BACK
       /* Trusts the response to the append, which may be lost. */
       if
       :: reported[me] = 1; break
       :: reported[me] = 2; break
       fi;
#else
       /* Reads further to learn the result; the first record of this author decides. */
       do
       :: atomic { cursor < count ->
            if
            :: kind[cursor] == CHANGE && author[cursor] == me ->
                 if
                 :: base[cursor] == seen_version && made_by != me -> is_accepted = true
                 :: else -> is_refused = true
                 fi
            :: else
            fi;
            apply(cursor, seen_version, made_by);
            cursor++ }
       :: atomic { cursor == count -> break }
       od;
       if
       :: is_accepted -> reported[me] = 1; break
       :: !is_accepted && is_refused -> reported[me] = 2; break
       :: else
       fi
#endif
  :: else -> break /* the operator is told that the result is unknown */
  od
}

/* Appends a snapshot of some prefix of the log, immediately or later. */
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
         update_expected()
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

/*
 * Reads from the start, and continues from a snapshot if its next record was
 * trimmed.
 */
proctype Follower() {
  byte cursor = 0, version = 0, made_by = NONE, at, before;
  byte steps = 0;
  do
  :: steps < 7 ->
    steps++;
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
      /*
       * Every reader has the state of the prefix that it has read, and its
       * version never decreases.
       */
      assert(version == version_at[cursor]);
      assert(version == 0 || made_by == winner[cursor]);
      assert(version >= before)
    }
  :: else -> break
  od
}

/* Results reported to operators are true, and each change is accepted at most once. */
proctype Checker() {
  byte operator = 0;
  atomic {
    do
    :: operator < OPERATORS ->
         assert(accepted[operator] <= 1);
         assert(reported[operator] != 1 || accepted[operator] == 1);
         assert(reported[operator] != 2 || accepted[operator] == 0);
         operator++
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
  /*
   * The assertions on reported results hold in every state; the final one is
   * checked.
   */
  _nr_pr == 1;
  run Checker()
}
