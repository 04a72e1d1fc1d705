/*
 * Who may start a task: two entry instances of one failure domain, the
 * platform's log as the only agreement, a worker with leases, and a client
 * that submits one key again and again at either instance.
 *
 * Any process may stand still between any two steps, for any length of time
 * or for ever: that is a pause or a death. Peer messages are delayed, doubled
 * and lost; starts are delayed. Appends to the log may be lost; an append
 * whose answer is lost looks to its sender like one that has not come yet. An
 * instance that was evicted comes back as a new incarnation, knowing nothing.
 *
 * Checked: a task starts once; "not run" is true; there is one terminal
 * answer. Variants that break a rule must be refuted:
 *   NOFENCE  the new runner does not fence the old one's lease
 *   NOACK    the owner starts before the heir has acknowledged
 *   NOVIEW   the heir acknowledges whatever its view is
 *   NOCLAIM  an owner without an heir does not claim in the log
 *   NOSYNC   an instance that joins owns keys before it has heard the others
 *   NOEVER   an instance takes submissions in before it has settled once
 *   NOCHAIN  it fences that lease alone, and not the placement's own
 *   NODENY   an owner refuses without asking the heir or the log
 */

#ifndef LOGMAX
#define LOGMAX 5
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef ASKS
#define ASKS 2
#endif

mtype = { NONE, PROPOSED, BACKUP, HELD };
mtype = { EVICT, JOIN, CLAIM, SETTLE };
mtype = { SUBMIT, REPLICATE, ACK, SYNC, DENY, DENIED };

/* The log: what, about or by whom, under which view, and whether the client
 * had asked for the first time before. */
mtype kind[LOGMAX];
byte who[LOGMAX];
byte under[LOGMAX];
bool after_ask[LOGMAX];
byte count = 0;

/* A placement is an instance and one of its leases in one number. */
#define NOWHERE 255
#define PLACE(i, l) ((i) * 16 + (l))
#define HOLDER(p) ((p) / 16)
#define LEASE(p) ((p) % 16)

/* Peer messages: what, the view it was sent under, whether it has a final
 * answer, and the placement or, in a SYNC, whether the key is known. */
chan link[2] = [1] of { mtype, byte, bool, byte };

/* Starts on their way to the worker: whose, and under which lease. */
chan starting = [2] of { byte, byte };

/* The worker. */
byte lease[2];
byte starts = 0;

/* What callers were told: that it has not run, and the terminal answer. */
bool told_no = false;
byte told = 0;
/* How often the key was taken in, and how often when it was last denied. */
byte taken = 0;
byte taken_at_denial = 0;
byte asks = 0;
byte losses = 0;

inline say(answer) {
	assert(told == 0 || told == answer);
	told = answer
}

inline post(to, part, sender_view, has_final, place) {
	if
	:: nfull(link[to]) -> link[to]!part, sender_view, has_final, place
	:: losses < LOSSES -> losses++
	:: full(link[to]) -> skip
	fi
}

inline append(entry, about) {
	if
	:: kind[count] = entry; who[count] = about; under[count] = view;
	   after_ask[count] = (asks > 0); count++; asked = true
	:: losses < LOSSES -> losses++
	fi
}

inline new_view() {
	view++;
	asked = false;
	settled[0] = false;
	settled[1] = false;
	acked = false;
	shown = false
}

/* A client asks an instance that owns the key. */
inline consider() {
	if
	:: rec == NONE && !elsewhere && !claimed && complete && ever[me] && !lost ->
		if
#ifdef NODENY
		:: told_no = true
#else
		:: with && empty(link[other]) -> post(other, DENY, view, false, 0)
		:: !with && pos == count -> told_no = true
#endif
		:: told_no = false; taken++; rec = PROPOSED
		fi
	:: else -> skip /* the same answer, or unknown */
	fi
}

proctype worker() {
	byte i, l;
end:	do
	:: atomic { starting?i, l ->
		if
		:: l == lease[i] ->
			assert(starts == 0);
			assert(!told_no);
			starts++
		:: else -> skip
		fi }
	od
}

proctype instance(byte me) {
	byte other = 1 - me;
	byte pos = 0;
	byte view = 0;
	bool in = true;      /* this instance is a member */
	bool with = true;    /* the other is */
	bool complete = true;
	bool lost = false;   /* the domain's history is not whole */
	bool settled[2];
	bool ever[2];        /* has settled since it joined */
	mtype rec = NONE;
	bool acked = false;  /* the present backup holds the record */
	bool elsewhere = false; /* the other runs the key */
	bool claimed = false;   /* by the other, in the log */
	bool mine = false;      /* by this instance, in the log */
	bool sent = false;
	bool doubt = false;  /* the old runner's lease is not fenced yet */
	byte placed = NOWHERE; /* where the task may have been started */
	bool final = false;
	bool shown = false;  /* the backup holds the final answer */
	bool asked = false;  /* of the log, in this view, and not heard yet */
	mtype what;
	byte v;
	bool f;
	byte k;

	settled[0] = true;
	settled[1] = true;
	ever[0] = true;
	ever[1] = true;

end:	do
	/* The next record of the log. */
	:: atomic { pos < count ->
		if
		:: kind[pos] == EVICT && who[pos] == other && in && with ->
			lost = lost || (ever[other] && !settled[me] && after_ask[pos]);
			new_view();
			with = false;
			complete = true;
			if
			:: rec == BACKUP -> rec = HELD; doubt = true; sent = false
			:: else -> skip
			fi
		:: kind[pos] == EVICT && who[pos] == me && in && with ->
			lost = lost || (ever[me] && !settled[other] && after_ask[pos]);
			claimed = claimed || mine;
			new_view();
			in = false; rec = NONE; sent = false; doubt = false; placed = NOWHERE;
			final = false; elsewhere = false; mine = false; complete = false
		:: kind[pos] == JOIN && who[pos] == me && !in ->
			new_view();
			in = true;
			ever[me] = false;
#ifdef NOSYNC
			complete = true;
#endif
#if defined(NOEVER) || defined(NOSYNC)
			ever[me] = true
#endif
		:: kind[pos] == JOIN && who[pos] == other && in && !with ->
			new_view();
			with = true;
			ever[other] = false
		:: kind[pos] == SETTLE && under[pos] == view ->
			settled[who[pos]] = true;
			ever[who[pos]] = true;
			asked = asked && who[pos] != me
		/* A claim counts where its sender owns the key at this place. */
		:: kind[pos] == CLAIM && who[pos] == me && in && (me == 0 || !with) && !claimed ->
			mine = true;
			asked = false;
			if
			:: rec == PROPOSED -> rec = HELD
			:: else -> skip
			fi
		:: kind[pos] == CLAIM && who[pos] == other && !mine && (!in || (with && other == 0)) ->
			claimed = true
		:: else -> skip
		fi;
		pos++ }

	/* Suspicion may be wrong, and comes at any time. */
	:: atomic { in && with && !asked && count < LOGMAX - 1 -> append(EVICT, other) }
	:: atomic { !in && !asked && pos == count && count < LOGMAX -> append(JOIN, me) }
	:: atomic { in && with && complete && !settled[me] && !asked && (rec == NONE || rec == BACKUP || acked) && count < LOGMAX -> append(SETTLE, me) }
	:: atomic { in && with && view > 0 && empty(link[other]) -> post(other, SYNC, view, false, (rec != NONE || elsewhere -> 1 : 0)) }

	/* A client asks here. */
	:: atomic { asks < ASKS && in ->
		asks++;
		if
		:: me == 0 || !with -> consider()
		:: else -> post(other, SUBMIT, view, false, 0)
		fi }

	/* A message from the other. Leaving it in the channel doubles it. */
	:: atomic { nempty(link[me]) ->
		if
		:: link[me]?what, v, f, k
		:: link[me]?<what, v, f, k>
		fi;
		if
		:: what == SUBMIT && in && (me == 0 || !with) -> consider()
#ifdef NOVIEW
		:: what == REPLICATE && rec != HELD && rec != PROPOSED && in ->
#else
		:: what == REPLICATE && v == view && complete && ever[me] && in && with && rec != HELD && rec != PROPOSED ->
#endif
			rec = BACKUP;
			final = final || f;
			if
			:: k != NOWHERE -> placed = k
			:: else -> skip
			fi;
			post(other, ACK, v, f, k)
		:: what == ACK && v == view && in && with && (rec == PROPOSED || rec == HELD) ->
			acked = acked || (k != NOWHERE && k == placed);
			shown = shown || (f && final);
			rec = HELD
		:: what == DENY && v == view && complete && ever[me] && in && with && rec == NONE && !elsewhere && !claimed && !lost ->
			taken_at_denial = taken;
			post(other, DENIED, v, false, 0)
		:: what == DENIED && v == view && in && with && rec == NONE && taken == taken_at_denial ->
			told_no = true
		:: what == SYNC && v == view && in && !complete ->
			complete = true;
			elsewhere = (k == 1)
		:: else -> skip
		fi;
		what = NONE; v = 0; f = false; k = 0 }

	/* The runner's work. What the backup acknowledges is one placement, under
	 * one lease. */
	:: atomic { in && with && (rec == PROPOSED || rec == HELD) && (!acked || (final && !shown)) && empty(link[other]) ->
		if
		:: !sent && !doubt && placed == NOWHERE -> placed = PLACE(me, lease[me])
		:: else -> skip
		fi;
		post(other, REPLICATE, view, final, placed) }
	:: atomic { in && rec == PROPOSED && !with && !asked && count < LOGMAX -> append(CLAIM, me) }
#ifdef NOCLAIM
	:: atomic { in && rec == PROPOSED && !with -> rec = HELD }
#endif
	:: atomic { in && rec == HELD && doubt ->
#ifndef NOFENCE
		/* The old runner's lease is ended, and that of the placement, which
		 * the old runner may have taken over itself. */
		lease[other]++;
#ifndef NOCHAIN
		if
		:: placed != NOWHERE && lease[HOLDER(placed)] == LEASE(placed) -> lease[HOLDER(placed)]++
		:: else -> skip
		fi;
#endif
#endif
		doubt = false;
		acked = false;
		if
		:: starts > 0 -> sent = true
		:: else -> sent = false; placed = NOWHERE
		fi }
	/* A start that has left may be on its way for as long as it likes, which
	 * is also how a process that stands still before it sends looks. */
#ifdef NOACK
	:: atomic { in && (rec == HELD || rec == PROPOSED) && !sent && !doubt && !final && nfull(starting) ->
#else
	:: atomic { in && rec == HELD && !sent && !doubt && !final && (acked || !with) && nfull(starting) ->
#endif
		if
		:: placed == NOWHERE -> placed = PLACE(me, lease[me])
		:: else -> skip
		fi;
		sent = true;
		starting!HOLDER(placed), LEASE(placed) }
	:: atomic { in && rec == HELD && sent && !doubt && starts > 0 && !final -> final = true }
	:: atomic { in && rec == HELD && final && (shown || !with) && told == 0 -> say(1) }
	od
}

init {
	atomic {
		run worker();
		run instance(0);
		run instance(1)
	}
}
