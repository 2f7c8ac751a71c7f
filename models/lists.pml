/*
 * Versions of a list, and a start/stop switch of planned work, on two entries.
 *
 * Operators edit concurrently; appends arrive late, and twice if their reply was lost; entries read
 * the log, send their versions to each other, and restart with empty memory.
 */
#define RECORDS 5      /* length of the log */
#define EDITS 3
#define ENTRIES 2

/* The log; a record is an edit with its base version, or a switch with its sequence number. */
byte length;
byte base[RECORDS];    /* base version + 1; 0 for a switch */
byte sequence[RECORDS];

/* Operators: appends in flight. */
byte edit[2];          /* base version + 1 */
byte edits;
byte switches;         /* sequence numbers assigned */
bool lateSwitch[3];    /* a copy of the switch with this number is in flight */

/* Entries. */
byte applied[ENTRIES]; byte version[ENTRIES]; byte lastSequence[ENTRIES];
byte switchedBy[ENTRIES];     /* sequence number of the switch in force */
bool serves[ENTRIES];         /* has caught up since its start */
byte inForceAt[ENTRIES]; byte switchInForceAt[ENTRIES];

/* Called after each change of a serving entry: versions in force never decrease. */
inline checkInForce(e) {
    if
    :: serves[e] ->
        assert(version[e] >= inForceAt[e]); inForceAt[e] = version[e];
        assert(switchedBy[e] >= switchInForceAt[e]); switchInForceAt[e] = switchedBy[e]
    :: else
    fi
}

/* Folds the next record: only an edit of the newest version takes effect. */
inline applyNext(e) {
    if
    :: base[applied[e]] > 0 ->
        if
#ifdef NO_BASE_CHECK
        :: true ->
            assert(base[applied[e]] - 1 == version[e]);
#else
        :: base[applied[e]] - 1 == version[e] ->
#endif
            version[e] = applied[e] + 1
        :: else
        fi
    :: else ->
        if
#ifdef NO_SEQUENCE
        :: true ->
#else
        :: sequence[applied[e]] > lastSequence[e] ->
#endif
            lastSequence[e] = sequence[applied[e]]; switchedBy[e] = sequence[applied[e]]
        :: else
        fi
    fi;
    applied[e]++
}

proctype operators()
{
    byte it;
    do
    /* Each operator edits the newest version that one of the entries shows. */
    :: atomic { edits < EDITS ->
        if :: it = 0 :: it = 1 fi;
        if :: edit[it] == 0 -> edits++; edit[it] = version[it] + 1 :: else fi; it = 0 }
    :: atomic { length < RECORDS ->
        if :: it = 0 :: it = 1 fi;
        if :: edit[it] > 0 -> base[length] = edit[it]; length++; edit[it] = 0 :: else fi; it = 0 }
    /* The reply of a switch's append may be lost: a copy stays in flight. */
    :: atomic { length < RECORDS && switches < 2 -> switches++;
        sequence[length] = switches; length++;
        if :: lateSwitch[switches] = true :: skip fi }
    :: atomic { length < RECORDS ->
        if :: it = 1 :: it = 2 fi;
        if :: lateSwitch[it] -> lateSwitch[it] = false; sequence[length] = it; length++ :: else fi;
        it = 0 }
    od
}

proctype entry(byte me)
{
    byte peer = 1 - me;
    bool restarted;
    do
    :: atomic { applied[me] < length -> applyNext(me);
#ifdef SERVE_BEFORE_CATCH_UP
        serves[me] = true;
#else
        /* A read of the tail ends the catch-up. */
        if :: applied[me] == length -> serves[me] = true :: else fi;
#endif
        checkInForce(me) }
    /* A heartbeat carries the peer's version and its log position. */
    :: atomic { serves[peer] && serves[me] ->
        if
#ifdef VERSION_GOES_BACK
        :: true ->
#else
        :: applied[peer] > applied[me] ->
#endif
            applied[me] = applied[peer]; version[me] = version[peer];
            lastSequence[me] = lastSequence[peer]; switchedBy[me] = switchedBy[peer]
        :: else
        fi;
        checkInForce(me) }
    /* Restart with empty memory. */
    :: atomic { !restarted -> restarted = true; serves[me] = false;
        applied[me] = 0; version[me] = 0; lastSequence[me] = 0; switchedBy[me] = 0 }
    od
}

init { atomic { run operators(); run entry(0); run entry(1) } }
