/*
 * Leases of one worker, and the time after which its job may be placed elsewhere.
 *
 * Entry A owns the worker by term 1; entry B claims the shard but cannot reach the worker; A can.
 * Every message may be delayed without bound, either entry may pause between any two steps, and an
 * outage of the log is a period in which no step of the log is taken.  Timers hold the remaining
 * time, so that runs of any length have finitely many states; durations stand for OwnershipTimes.
 */
#ifdef NO_HOLDOFF
#define HOLDOFF 0
#else
#define HOLDOFF 3      /* OwnershipTimes::holdOff; a proof can last be used at PROOF - 1 */
#endif
#define PROOF 3        /* OwnershipTimes::proofDuration */
#define LEASE 4        /* OwnershipTimes::lease */
#ifdef ONE_LEASE_WAIT
#define WAITED 1
#else
#define WAITED 2       /* OwnershipTimes::expiryAfterClaim(), expiryAfterLastAnswer(): number of leases waited for */
#endif
#define NUMBERS 3      /* largest sync number of A */
#define NEVER 255

/* The log, as folded by OwnershipFold and the job fold. */
bool claimed;          /* ShardClaimed by B was accepted: A's term is stale */
bool evicted;          /* JobEvicted of attempt 1 was accepted */
byte resumed;          /* starts of attempt 2 on the other worker */

/* Entry A: ShardAuthority. */
byte aProofLeft;       /* remaining time of m_logProofAt or m_confirmedByAllAt, whichever is longer */
bool aLost;            /* Shard::isLost */
byte aNumber;          /* LeaseRenewal::m_lastSent */
byte aGranted;         /* LeaseRenewal::granted() */
byte aSilenceLeft = NEVER; /* time until LeaseRenewal::answeredAt() + expiryAfterLastAnswer() */
bool aBoot;            /* WorkerLease::boot */
bool aStarted;         /* StartTask was sent */
bool aSawMissing;      /* a sync reply did not list the started job */
/* Request for a proof: 0 none, 1 sent, 2 no claim was seen, 3 the claim was seen. */
byte askState; byte askAge;
bool aEvicts; bool bEvicts;        /* JobEvicted in flight to the log */

/* Entry B. */
byte bWaitLeft = NEVER;            /* time until Shard::readBackAt + expiryAfterClaim() */

/* Messages in flight: one bit per sync number. */
byte syncs; byte replies; byte repliesRunning;
byte repliesBoot; bool startInFlight; byte startLease; bool startBoot;

/* The workers. */
byte wNumber; byte wLeaseLeft; bool wRuns; bool wBoot;
bool otherRuns;

#define PROVED (!aLost && aProofLeft > 0)
#define BIT(n) (1 << (n))

inline check() { assert(!(wRuns && otherRuns)); assert(resumed <= 1) }

inline countDown(left) { if :: left > 0 && left != NEVER -> left-- :: else fi }
inline countUp(state, age) { if :: state > 0 && age < PROOF -> age++ :: else fi }
/* A proof is valid from the time when its request was sent. */
inline prove(age) { if :: PROOF - age > aProofLeft -> aProofLeft = PROOF - age :: else fi }

/* A has lost the shard: the replies that A still waits for have no effect. */
inline lose() { aLost = true; aProofLeft = 0; aSilenceLeft = NEVER; aSawMissing = false; replies = 0;
    repliesRunning = 0; repliesBoot = 0 }

/* JobEvicted, then JobPlaced of the next attempt and its start on another worker. */
inline resume() {
    evicted = true; resumed++; otherRuns = true;
    /* The remaining waits have no effect. */
    aSilenceLeft = NEVER; aSawMissing = false;
    if :: bWaitLeft != NEVER -> bWaitLeft = 0 :: else fi
}

active proctype system()
{
    byte n;
    do
    /* Time passes; an expired lease ends the worker's task at once. */
    :: atomic { true ->
        countDown(aProofLeft); countDown(aSilenceLeft); countDown(bWaitLeft); countDown(wLeaseLeft);
        countUp(askState, askAge);
        if :: wLeaseLeft == 0 -> wRuns = false :: else fi }

    /* A requests a proof, from the log or in a heartbeat to B; it is valid from the time of sending. */
    :: atomic { askState == 0 && !aLost -> askState = 1 }
    /* ShardAuthority::onTailRead: the read may find the claim. */
    :: atomic { askState == 1 -> askState = (claimed -> 3 : 2) }
    /* ShardAuthority::updateFromPeers: B may have read its claim back. */
#ifdef NO_WITNESS
    :: atomic { askState == 1 -> askState = 2 }
#else
    :: atomic { askState == 1 -> askState = (bWaitLeft != NEVER -> 3 : 2) }
#endif
    :: atomic { askState >= 2 ->
        if :: askState == 3 -> lose() :: else -> prove(askAge) fi;
        askState = 0; askAge = 0 }
#ifdef NO_PROOF
    /* The authority of A never expires. */
    :: atomic { !aLost -> aProofLeft = PROOF }
#endif

    /* ClaimPlanner::planClaims, ShardAuthority::onClaim. */
    :: atomic { !claimed -> claimed = true }
    :: atomic { claimed && bWaitLeft == NEVER ->
        bWaitLeft = (evicted -> 0 : HOLDOFF + WAITED * LEASE) }

    /* ShardAuthority::beginDueSyncs, LeaseRenewal::nextNumber. */
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
            :: n > wNumber -> wNumber = n; wLeaseLeft = LEASE;
                if :: !aLost -> replies = replies | BIT(n);
                    if :: wBoot -> repliesBoot = repliesBoot | BIT(n) :: else fi
                :: else fi;
                if :: wRuns && !aLost -> repliesRunning = repliesRunning | BIT(n) :: else fi
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
            :: n > aGranted -> aGranted = n; aBoot = (repliesBoot & BIT(n) -> 1 : 0); aSilenceLeft = (evicted -> NEVER : WAITED * LEASE);
                if
                :: aStarted && !evicted && n > startLease && !(repliesRunning & BIT(n)) -> aSawMissing = true
                :: else
                fi
            :: else
            fi;
            repliesRunning = repliesRunning & ~BIT(n); repliesBoot = repliesBoot & ~BIT(n)
        :: else
        fi; n = 0 }

    /* The worker restarts with empty memory. */
    :: atomic { !wBoot -> wBoot = true; wNumber = 0; wLeaseLeft = 0; wRuns = false }

    /* StartTask under the granted lease. */
    :: atomic { PROVED && !aStarted && aGranted > 0 && !evicted ->
        aStarted = true; startInFlight = true; startLease = aGranted;
        startBoot = aBoot }
    :: atomic { startInFlight -> startInFlight = false;
        if
#ifdef START_WITHOUT_LEASE
        :: wLeaseLeft > 0 -> wRuns = true
#else
#ifdef NO_BOOT
        :: wLeaseLeft > 0 && startLease == wNumber -> wRuns = true
#else
        :: wLeaseLeft > 0 && startLease == wNumber && startBoot == wBoot -> wRuns = true
#endif
#endif
        :: else
        fi;
        check() }

    /* A evicts its job: the worker does not list it, or did not reply for expiryAfterLastAnswer(). */
    :: atomic { aStarted && !aLost && !aEvicts && !evicted &&
            (aSawMissing || aSilenceLeft == 0) -> aEvicts = true }
    /* B evicts the job after expiryAfterClaim(): ShardAuthority::isLostWorkerExpired. */
    :: atomic { bWaitLeft == 0 && !bEvicts && !evicted -> bEvicts = true }
    /* The fold accepts an eviction of the current term and attempt. */
    :: atomic { aEvicts -> aEvicts = false;
#ifdef NO_ATTEMPT
        resume();
#else
        if :: !claimed && !evicted -> resume() :: else fi;
#endif
        check() }
    :: atomic { bEvicts -> bEvicts = false;
#ifdef NO_ATTEMPT
        resume();
#else
        if :: !evicted -> resume() :: else fi;
#endif
        check() }

    od
}
