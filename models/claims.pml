/*
 * Two entries compete for one shard and send calls to its worker; the worker fences by term.
 *
 * Claims and calls may be delayed without bound, an append whose reply was lost may arrive twice, and
 * an entry may pause between its check and its send.  Time is not modelled: fencing must not depend
 * on it.
 */
#define ENTRIES 2
#define TERMS 4        /* claims that the log accepts */
#define CAPACITY 1     /* slots of the worker */

/* State of OwnershipFold. */
byte owner = 255; byte term = 0; byte offset = 0;
/* ShardClaimed in flight: previous term + 1, or 0 if none. */
byte claim[ENTRIES]; bool claimTwice[ENTRIES];

/* State of ShardAuthority, and the calls that the owner counts as running on the worker. */
byte mine[ENTRIES];    /* term of the claim that was read back */
bool fenced[ENTRIES];  /* LeaseRenewal::granted() > 0 */
byte used[ENTRIES];
/* Messages in flight, by the term they carry. */
byte sync[ENTRIES]; byte reply[ENTRIES]; byte replyUsed[ENTRIES]; byte call[ENTRIES];
/* Completion of a call, in flight to the entry that sent it: the term of the call. */
byte ended[ENTRIES];

/* State of the worker. */
byte highestTerm; byte running[ENTRIES]; byte runningTerm[ENTRIES];
#define RUNNING (running[0] + running[1])

/* True for terms that the worker accepts. */
#ifdef NO_TERM
#define FRESH(t) (true)
#else
#define FRESH(t) ((t) >= highestTerm)
#endif

inline checkCapacity() { assert(RUNNING <= CAPACITY) }

proctype entry(byte me)
{
    byte seen;
    do
    /* ClaimPlanner::planClaims: the claim carries the term that this entry has read. */
    :: atomic { claim[me] == 0 && owner != me && offset < TERMS -> claim[me] = term + 1;
        if :: claimTwice[me] = true :: claimTwice[me] = false fi }
    /* The append arrives; OwnershipFold::apply rejects it if the term has changed since. */
    :: atomic { claim[me] > 0 && offset < TERMS ->
        offset++;
        seen = claim[me] - 1;
        if
        :: seen == term -> term = offset; owner = me
        :: else
        fi;
        if :: claimTwice[me] -> claimTwice[me] = false :: else -> claim[me] = 0 fi;
        seen = 0 }
    /* ShardAuthority::onClaim: the claim is read back, after any delay. */
    :: atomic { owner == me && mine[me] != term ->
        mine[me] = term; fenced[me] = false; used[me] = 0; sync[me] = 0; reply[me] = 0 }
    /* beginDueSyncs, onSyncReply. */
    :: atomic { mine[me] > 0 && !fenced[me] && sync[me] == 0 && reply[me] == 0 ->
        sync[me] = mine[me] }
    :: atomic { reply[me] > 0 ->
        if
        :: reply[me] == mine[me] -> fenced[me] = true; used[me] = replyUsed[me]
        :: else
        fi;
        reply[me] = 0; replyUsed[me] = 0 }
    /* mayGiveWork; the call may arrive at any later time. */
#ifdef NO_FENCE
    :: atomic { mine[me] > 0 && used[me] < CAPACITY && call[me] == 0 ->
#else
    :: atomic { mine[me] > 0 && fenced[me] && used[me] < CAPACITY && call[me] == 0 ->
#endif
        call[me] = mine[me]; used[me]++ }
    /* The end of a call frees its slot; calls of earlier terms are part of the sync's count instead. */
    :: atomic { ended[me] > 0 ->
#ifdef NO_CALL_TERM
        if :: used[me] > 0 -> used[me]-- :: else fi;
#else
        if :: ended[me] == mine[me] -> used[me]-- :: else fi;
#endif
        ended[me] = 0 }
    od
}

proctype worker()
{
    byte it;
    do
    :: atomic {
        if :: it = 0 :: it = 1 fi;
        if
        :: sync[it] > 0 ->
            if
            :: FRESH(sync[it]) -> highestTerm = sync[it]; reply[it] = sync[it]; replyUsed[it] = RUNNING
            :: else
            fi;
            sync[it] = 0
        :: call[it] > 0 ->
            if
            :: FRESH(call[it]) -> highestTerm = call[it]; running[it]++;
                runningTerm[it] = call[it]; checkCapacity()
            :: else
            fi;
            call[it] = 0
        :: running[it] > 0 && ended[it] == 0 -> running[it]--;
            ended[it] = runningTerm[it]; runningTerm[it] = 0
        :: else
        fi; it = 0 }
    od
}

init { atomic { run entry(0); run entry(1); run worker() } }
