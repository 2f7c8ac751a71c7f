/*
 * Leases of one worker, and when its job may be placed again.
 *
 * Entry A owns the worker by term 1; entry B claims the shard and cannot reach the worker, A can.
 * Every message may be late without bound, and either entry may stop between any two steps.
 * One step of `now` is one unit; durations stand for OwnershipTimes.
 */
#ifdef NO_HOLDOFF
#define HOLDOFF 0
#else
#define HOLDOFF 2      /* OwnershipTimes::holdOff */
#endif
#define PROOF 1        /* OwnershipTimes::proofDuration */
#define LEASE 2        /* OwnershipTimes::lease */
#ifdef ONE_LEASE_WAIT
#define WAITED 1
#else
#define WAITED 2       /* OwnershipTimes::strangerWait(), silenceWait(): leases awaited */
#endif
#ifndef END
#define END 11         /* last moment of the run */
#endif
#define NUMBERS 3      /* syncs of A */
#define NEVER 255

byte now = 2;
bool logUp = true;

/* The log: what OwnershipFold and the job fold make of it. */
bool claimed;          /* ShardClaimed by B was accepted: terms of A are stale */
bool evicted;          /* JobEvicted of attempt 1 was accepted */
byte resumed;          /* starts of attempt 2 on the other worker */

/* Entry A: ShardAuthority. */
byte aProof = 2;       /* m_logProofAt */
byte aWitness = 0;     /* m_allWitnessedAt */
bool aLost;            /* Shard::lost */
byte aNumber;          /* LeaseRenewal::m_number */
byte aGranted;         /* LeaseRenewal::granted() */
byte aAnsweredAt = NEVER;
bool aStarted;         /* StartTask was sent */
bool aSawMissing;      /* a sync reply did not list the started job */
byte readSentAt; byte readState;   /* 0 none, 1 sent, 2 read no claim, 3 read the claim */
byte askSentAt; byte askState;     /* heartbeat exchange with B, likewise */
bool aEvicts; bool bEvicts;        /* JobEvicted in flight to the log */

/* Entry B. */
byte bReadBackAt = NEVER;          /* Shard::readBackAt */

/* Messages in flight: a bit per sync number. */
byte syncs; byte replies; byte repliesRunning;
bool startInFlight; byte startLease;

/* The workers. */
byte wNumber; byte wLeaseEnds; bool wRuns;
bool otherRuns;

#define PROVED (!aLost && (now < aProof + PROOF || now < aWitness + PROOF))
#define BIT(n) (1 << (n))

inline check() { assert(!(wRuns && otherRuns)); assert(resumed <= 1) }

/* JobEvicted, then JobPlaced of the next attempt and its start on another worker. */
inline resume() { evicted = true; resumed++; otherRuns = true }

active proctype system()
{
    byte n;
    do
    /* Time; a lapsed lease ends the worker's task at once. */
    :: atomic { now < END -> now++;
        if :: now >= wLeaseEnds -> wRuns = false :: else fi }
    :: atomic { logUp -> logUp = false }
    :: atomic { !logUp -> logUp = true }

    /* ShardAuthority::onTailRead: the proof counts from when the read was sent. */
    :: atomic { readState == 0 && !aLost -> readState = 1; readSentAt = now }
    :: atomic { readState == 1 && logUp ->
        if :: claimed -> readState = 3 :: else -> readState = 2 fi }
    :: atomic { readState >= 2 ->
        if :: readState == 3 -> aLost = true :: else -> aProof = readSentAt fi;
        readState = 0; readSentAt = 0 }
    /* ShardAuthority::onWitnesses: B has read no claim. */
    :: atomic { askState == 0 && !aLost -> askState = 1; askSentAt = now }
    :: atomic { askState == 1 ->
        if :: bReadBackAt != NEVER -> askState = 3 :: else -> askState = 2 fi }
    :: atomic { askState >= 2 ->
        if :: askState == 3 -> aLost = true :: else -> aWitness = askSentAt fi;
        askState = 0; askSentAt = 0 }
#ifdef NO_PROOF
    /* Authority of A never expires. */
    :: atomic { !aLost && aProof < now -> aProof = now }
#endif
#ifdef NO_WITNESS
    /* A goes on during an outage of the log without asking B. */
    :: atomic { !logUp && !aLost && aWitness < now -> aWitness = now }
#endif

    /* ClaimPlanner::planClaims, ShardAuthority::onClaim. */
    :: atomic { logUp && !claimed -> claimed = true }
    :: atomic { logUp && claimed && bReadBackAt == NEVER -> bReadBackAt = now }

    /* ShardAuthority::takeDueSyncs, LeaseRenewal::next. */
    :: atomic { PROVED && aNumber < NUMBERS && aNumber == aGranted ->
        aNumber++; syncs = syncs | BIT(aNumber) }
    :: atomic { PROVED && aNumber > aGranted -> syncs = syncs | BIT(aNumber) }
#ifdef CHAINED_RENEWALS
    :: atomic { PROVED && aNumber < NUMBERS && aNumber > aGranted ->
        aNumber++; syncs = syncs | BIT(aNumber) }
#endif
    /* WorkerSync arrives. */
    :: atomic { syncs != 0 ->
        if :: n = 1 :: n = 2 :: n = 3 fi;
        if
        :: syncs & BIT(n) ->
            syncs = syncs & ~BIT(n);
            if
            :: n > wNumber -> wNumber = n; wLeaseEnds = now + LEASE;
                replies = replies | BIT(n);
                if :: wRuns -> repliesRunning = repliesRunning | BIT(n) :: else fi
            :: else
            fi
        :: else
        fi; n = 0 }
    /* LeaseRenewal::onAnswer, and the task list of the reply. */
    :: atomic { replies != 0 ->
        if :: n = 1 :: n = 2 :: n = 3 fi;
        if
        :: (replies & BIT(n)) ->
            replies = replies & ~BIT(n);
            if
            :: n > aGranted -> aGranted = n; aAnsweredAt = now;
                if
                :: aStarted && n > startLease && !(repliesRunning & BIT(n)) -> aSawMissing = true
                :: else
                fi
            :: else
            fi;
            repliesRunning = repliesRunning & ~BIT(n)
        :: else
        fi; n = 0 }

    /* StartTask under the granted lease. */
    :: atomic { PROVED && !aStarted && aGranted > 0 && !evicted ->
        aStarted = true; startInFlight = true; startLease = aGranted }
    :: atomic { startInFlight -> startInFlight = false;
        if
#ifdef START_WITHOUT_LEASE
        :: now < wLeaseEnds -> wRuns = true
#else
        :: now < wLeaseEnds && startLease == wNumber -> wRuns = true
#endif
        :: else
        fi;
        check() }

    /* A gives its job up: the worker does not list it, or was silent for silenceWait(). */
    :: atomic { aStarted && !aLost && !aEvicts && !evicted
            && (aSawMissing || now >= aAnsweredAt + WAITED * LEASE) -> aEvicts = true }
    /* B gives it up after strangerWait(): ShardAuthority::lostWorkerStopped. */
    :: atomic { bReadBackAt != NEVER && !bEvicts && !evicted
            && now >= bReadBackAt + HOLDOFF + WAITED * LEASE -> bEvicts = true }
    /* The fold takes an eviction of the current term and attempt. */
    :: atomic { aEvicts && logUp -> aEvicts = false;
#ifdef NO_ATTEMPT
        resume();
#else
        if :: !claimed && !evicted -> resume() :: else fi;
#endif
        check() }
    :: atomic { bEvicts && logUp -> bEvicts = false;
#ifdef NO_ATTEMPT
        resume();
#else
        if :: !evicted -> resume() :: else fi;
#endif
        check() }

    :: now == END -> break
    od
}
