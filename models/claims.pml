/*
 * Two entries race for one shard and give its worker calls; the worker fences by term.
 *
 * Claims and calls may be late without bound, an append whose reply was lost may come twice, and an
 * entry may stop between its check and its send.  Time is left out: fencing must hold without it.
 */
#define ENTRIES 2
#define TERMS 4        /* claims that the log takes */
#define CAPACITY 1     /* slots of the worker */

/* OwnershipFold. */
byte owner = 255; byte term = 0; byte offset = 0;
/* ShardClaimed in flight: previous term + 1; 0 none. */
byte claim[ENTRIES]; bool claimTwice[ENTRIES];

/* ShardAuthority and what the owner counts as running on the worker. */
byte mine[ENTRIES];    /* term of the claim that was read back */
bool fenced[ENTRIES];  /* LeaseRenewal::granted() > 0 */
byte used[ENTRIES];
/* Messages in flight, by the term they carry. */
byte sync[ENTRIES]; byte reply[ENTRIES]; byte replyUsed[ENTRIES]; byte call[ENTRIES];
/* The call's end, on its way to the entry that gave it: the term of the call. */
byte ended[ENTRIES];

/* The worker. */
byte highestTerm; byte running[ENTRIES]; byte runningTerm[ENTRIES];
#define RUNNING (running[0] + running[1])

/* True for messages the worker takes. */
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
    /* ClaimPlanner::planClaims names the term that this entry read. */
    :: atomic { claim[me] == 0 && owner != me && offset < TERMS -> claim[me] = term + 1;
        if :: claimTwice[me] = true :: claimTwice[me] = false fi }
    /* The append arrives; OwnershipFold::apply refuses it when the term moved on. */
    :: atomic { claim[me] > 0 && offset < TERMS ->
        offset++;
        seen = claim[me] - 1;
        if
        :: seen == term -> term = offset; owner = me
        :: else
        fi;
        if :: claimTwice[me] -> claimTwice[me] = false :: else -> claim[me] = 0 fi;
        seen = 0 }
    /* ShardAuthority::onClaim: read back, late at will. */
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
    /* mayGiveWork; the call leaves at some later time. */
#ifdef NO_FENCE
    :: atomic { mine[me] > 0 && used[me] < CAPACITY && call[me] == 0 ->
#else
    :: atomic { mine[me] > 0 && fenced[me] && used[me] < CAPACITY && call[me] == 0 ->
#endif
        call[me] = mine[me]; used[me]++ }
    /* The end of a call frees its slot; calls of earlier terms are in the sync's count instead. */
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
