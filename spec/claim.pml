/*
 * At most one run for each idempotency key: claim, revocation, retry, takeover.
 *
 * Two entries have requests with the same key and share a log without
 * conditional appends. A record may reach the log long after its sender timed
 * out, and a sender may never learn that its record was appended. Server 0 may
 * restart; offers and revocations may arrive at any later time or never.
 *
 * Each NO_... mutation removes one rule; Spin must then find a violated assertion.
 */
#define ENTRIES 2
#define TRIES 2
#define CLAIMS 4 /* claim numbers are entry * TRIES + try */
#ifndef LAST_ENTRY_TRIES
#define LAST_ENTRY_TRIES TRIES
#endif
#define triesOf(e) (e == ENTRIES - 1 -> LAST_ENTRY_TRIES : TRIES)
#define NONE 9
#define SERVERS 2
#define RECORDS 8

#ifdef NO_EARLIER_CHECK
#define TAKEOVER_NAMES_OWNER true
#else
#define TAKEOVER_NAMES_OWNER (records[position].earlier == owner)
#endif
#ifdef NO_OFFER_INCARNATION
#define OFFER_IS_FOR_THIS_START(c) true
#else
#define OFFER_IS_FOR_THIS_START(c) (claimIncarnation[c] == incarnation[me])
#endif
#ifdef NO_REVOKE_INCARNATION
#define REVOKE_IS_FOR_THIS_START(c) true
#else
#define REVOKE_IS_FOR_THIS_START(c) (claimIncarnation[c] == incarnation[me])
#endif
#ifdef NO_REVOKE_MEMORY
#define IS_REFUSED(c) false
#else
#define IS_REFUSED(c) (refused[c])
#endif
#ifdef NO_STARTED_CHECK
#define IS_STARTED(c) false
#else
#define IS_STARTED(c) (started[c])
#endif

mtype = { claimRecord, takeoverRecord, endRecord };

typedef Record {
  mtype kind;
  byte claim;
  byte earlier
};

Record records[RECORDS];
byte recordCount = 0;

/* Server, and incarnation of its agent, that each claim names. */
byte claimServer[CLAIMS];
byte claimIncarnation[CLAIMS];

/* Messages between entries and agents; each may arrive at any later time, or never. */
bool offerSent[CLAIMS];
bool offerToOtherServer[CLAIMS];
bool revokeSent[CLAIMS];
bool promised[CLAIMS];
bool reported[CLAIMS];

/* State of the agents; a restart clears all of it and increments the incarnation. */
byte incarnation[SERVERS];
bool refused[CLAIMS];
bool started[CLAIMS];

/* Results that only the assertions read. */
byte runs = 0;
bool hasRun[CLAIMS];
bool toldNotRun[CLAIMS];

inline appendRecord(k, c, e) {
  d_step {
    assert(recordCount < RECORDS);
    records[recordCount].kind = k;
    records[recordCount].claim = c;
    records[recordCount].earlier = e;
    recordCount++
  }
}

/* Applies the next record; every reader applies the same rules. */
inline applyRecord() {
  d_step {
    if
    :: records[position].kind == claimRecord && owner == NONE ->
      owner = records[position].claim;
      if :: owner == mine -> won = true :: else fi
    :: records[position].kind == takeoverRecord && !ended && TAKEOVER_NAMES_OWNER ->
      owner = records[position].claim;
      if :: owner == mine -> won = true :: else fi
    :: records[position].kind == endRecord && records[position].claim == owner ->
      ended = true
    :: else
    fi;
    if :: records[position].claim == mine && records[position].kind != endRecord -> seen = true :: else fi;
    position++
  }
}

inline readToEnd() {
  atomic {
    do
    :: position < recordCount -> applyRecord()
    :: else -> break
    od;
    won = false;
    seen = false
  }
}

inline runWork(c) {
  assert(!toldNotRun[c]);
  runs++;
  assert(runs <= 1);
  started[c] = true;
  hasRun[c] = true;
  reported[c] = true
}

inline receiveOffer(c) {
  offerSent[c] = false;
  if
  :: OFFER_IS_FOR_THIS_START(c) && !IS_REFUSED(c) -> runWork(c)
  :: else
  fi
}

inline receiveRevoke(c) {
  revokeSent[c] = false;
  if
  :: REVOKE_IS_FOR_THIS_START(c) ->
    if
    :: IS_STARTED(c) -> reported[c] = true
    :: else -> refused[c] = true; promised[c] = true
    fi
  :: else
  fi
}

inline clearClaimState(c) {
  if
  :: claimServer[c] == me -> refused[c] = false; started[c] = false; reported[c] = false
  :: else
  fi
}

#define OFFER(c) atomic { (offerSent[c] && claimServer[c] == me) -> receiveOffer(c) }
#define REVOKE(c) atomic { (revokeSent[c] && claimServer[c] == me) -> receiveRevoke(c) }
#define OTHER_SERVER(c) atomic { (offerToOtherServer[c] && claimServer[c] != me) -> offerToOtherServer[c] = false; runWork(c) }

proctype Agent(byte me) {
end:
  do
  :: atomic { (me == 0 && incarnation[0] == 0) ->
      incarnation[0] = 1;
      clearClaimState(0); clearClaimState(1); clearClaimState(2); clearClaimState(3) }
  :: OFFER(0) :: OFFER(1) :: OFFER(2) :: OFFER(3)
  :: REVOKE(0) :: REVOKE(1) :: REVOKE(2) :: REVOKE(3)
#ifdef NO_SINGLE_SERVER
  :: OTHER_SERVER(0) :: OTHER_SERVER(1) :: OTHER_SERVER(2) :: OTHER_SERVER(3)
#endif
  od
}

proctype Entry(byte me) {
  byte position = 0;
  byte owner = NONE;
  byte mine = NONE;
  byte earlier = NONE;
  byte tries = 0;
  bool ended = false;
  bool won = false;
  bool seen = false;

#ifdef NO_REPLAY
  position = recordCount;
#endif
decide:
  atomic {
    readToEnd();
    if
    :: ended -> goto done
    :: !ended && owner != NONE && owner != earlier -> goto ask
    :: !ended && (owner == NONE || owner == earlier) && tries < triesOf(me) -> skip
    :: !ended && (owner == NONE || owner == earlier) && tries == triesOf(me) -> goto done
    fi;
    /* Choose a server for a claim or a takeover. */
    mine = me * TRIES + tries;
    tries++;
    if :: claimServer[mine] = 0 :: claimServer[mine] = 1 fi;
    claimIncarnation[mine] = incarnation[claimServer[mine]]
  };
  atomic {
    if
    :: owner == NONE -> appendRecord(claimRecord, mine, NONE)
    :: owner != NONE -> appendRecord(takeoverRecord, mine, earlier)
    fi;
    if
    /* The entry crashes, or times out before it reads the record back. */
    :: toldNotRun[mine] = true; goto done
    :: skip
    fi
  };
  atomic {
#ifdef NO_READ_BACK
    won = true;
#else
    do
    :: seen -> break
    :: !seen -> (position < recordCount); applyRecord()
    od;
#endif
    if
    :: !won -> goto decide
    :: won -> skip
    fi;
    /* An offer that is never delivered also models a crash before it is sent. */
    offerSent[mine] = true;
#ifdef NO_SINGLE_SERVER
    if :: offerToOtherServer[mine] = true :: skip fi;
#endif
    owner = mine
  };

  /*
   * Ask the agent about the claim that holds the key: the entry's own, if its
   * result is unknown, or another's.
   */
ask:
  atomic {
    won = false;
    seen = false;
    revokeSent[owner] = true
  };
  if
  :: atomic { reported[owner] ->
    assert(hasRun[owner]);
    if :: appendRecord(endRecord, owner, NONE) :: skip fi;
    goto done }
  :: atomic { promised[owner] ->
    if :: owner == mine -> assert(!hasRun[mine]); toldNotRun[mine] = true :: else fi;
    earlier = owner;
    goto decide }
  :: atomic { position < recordCount -> goto decide }
#ifdef NO_PROMISE
  :: atomic { earlier = owner; goto decide }
#endif
#ifdef NO_UNKNOWN
  :: atomic { claimIncarnation[owner] != incarnation[claimServer[owner]] ->
    earlier = owner; goto decide }
#endif
  :: goto done /* no answer arrived; the outcome is unknown */
  fi;
done:
  atomic {
    position = 0;
    owner = NONE;
    mine = NONE;
    earlier = NONE;
    tries = 0;
    ended = false;
    won = false;
    seen = false
  }
}

init {
  atomic {
    run Agent(0);
    run Agent(1);
    run Entry(0);
    run Entry(1)
  }
}
