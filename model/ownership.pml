/*
 * Ownership of a key: which instance may start a task. The model has two entry
 * instances of one failure domain, the platform's log as the only means of
 * agreement, a worker with leases, and a client that submits the same key
 * repeatedly at either instance.
 *
 * A process may stop between any two steps, for any time or forever, which
 * covers pauses and crashes. Peer messages can be delayed, duplicated and lost;
 * starts can be delayed. Appends to the log can be lost; an append whose
 * response is lost looks to the sender like one that is still pending. An
 * evicted instance rejoins as a new incarnation without any state.
 *
 * Checked: a task starts at most once; a task that was reported as not run is
 * never started; there is only one final answer. The checker must refute each
 * variant that breaks a rule:
 *   NOFENCE  the new primary does not fence the old primary's lease
 *   NOACK    the owner starts tasks before the successor has acknowledged
 *   NOVIEW   the successor acknowledges whatever its view is
 *   NOCLAIM  an owner without a successor does not claim the key in the log
 *   NOSYNC   an instance that joins owns keys before it has received the other
 *            instance's directory
 *   NOEVER   an instance accepts submissions before it has ever been synced
 *   NOCHAIN  the new primary fences only the old primary's lease, not that of
 *            the placement
 *   NODENY   an owner answers "not run" without asking the successor or the log
 */

#ifndef LOGMAX
#define LOGMAX 5
#endif
#ifndef LOSSMAX
#define LOSSMAX 1
#endif
#ifndef CALLMAX
#define CALLMAX 2
#endif

/* The state of an instance's record of the key, the kinds of log records, and the
 * kinds of peer messages. */
mtype = { NONE, PROPOSED, BACKUP, COMMITTED };
mtype = { EVICT, JOIN, CLAIM, MARK_SYNCED };
mtype = { SUBMIT, REPLICATE, ACK, SYNC, DENY, DENIED };

/* The log. For each record: its kind, the instance that it is about or from, the
 * sender's view, and whether the client had called before. */
mtype log_kind[LOGMAX];
byte log_subject[LOGMAX];
byte log_view[LOGMAX];
bool log_after_call[LOGMAX];
byte log_length = 0;

/* A placement encodes an instance and one of its leases in one number. */
#define NO_PLACEMENT 255
#define PLACEMENT(i, l) ((i) * 16 + (l))
#define HOLDER(p) ((p) / 16)
#define LEASE(p) ((p) % 16)

/* Peer messages: the kind, the sender's view, whether the sender has the final
 * answer, and the placement. In a SYNC, the last field says instead whether the
 * sender's directory has the key. */
chan inbox[2] = [1] of { mtype, byte, bool, byte };

/* Starts in transit to the worker: the instance that holds the lease, and the
 * lease. */
chan start_calls = [2] of { byte, byte };

/* The worker: the current lease of each instance, and the number of task starts. */
byte current_lease[2];
byte starts = 0;

/* The answers sent to clients: whether one said that the task was not run, and the
 * final answer, or zero. */
bool not_run_answered = false;
byte final_answer = 0;
/* How often the key was accepted, so far and by the time of the last denial. */
byte accepts = 0;
byte accepts_at_denial = 0;
byte calls = 0;
byte losses = 0;

inline answer_client(answer) {
	assert(final_answer == 0 || final_answer == answer);
	final_answer = answer
}

inline send_message(to, message, sender_view, sent_has_answer, sent_placement) {
	if
	:: nfull(inbox[to]) -> inbox[to]!message, sender_view, sent_has_answer, sent_placement
	:: losses < LOSSMAX -> losses++
	:: full(inbox[to]) -> skip
	fi
}

inline append_record(new_kind, new_subject) {
	if
	:: log_kind[log_length] = new_kind; log_subject[log_length] = new_subject; log_view[log_length] = view;
	   log_after_call[log_length] = (calls > 0); log_length++; append_pending = true
	:: losses < LOSSMAX -> losses++
	fi
}

inline enter_view() {
	view++;
	append_pending = false;
	synced[0] = false;
	synced[1] = false;
	backup_acked = false;
	backup_has_answer = false
}

/* Handles a client's submission at the instance that owns the key. */
inline handle_submission() {
	if
	:: record == NONE && !other_is_primary && !claimed_by_other && view_complete && ever_synced[me] && !history_lost ->
		if
#ifdef NODENY
		:: not_run_answered = true
#else
		:: other_is_member && empty(inbox[other]) -> send_message(other, DENY, view, false, 0)
		:: !other_is_member && log_position == log_length -> not_run_answered = true
#endif
		:: not_run_answered = false; accepts++; record = PROPOSED
		fi
	:: else -> skip /* the answer is unchanged, or unknown */
	fi
}

proctype worker() {
	byte holder, start_lease;
end:	do
	:: atomic { start_calls?holder, start_lease ->
		if
		:: start_lease == current_lease[holder] ->
			assert(starts == 0);
			assert(!not_run_answered);
			starts++
		:: else -> skip
		fi }
	od
}

proctype instance(byte me) {
	byte other = 1 - me;
	byte log_position = 0;
	byte view = 0;
	bool is_member = true;
	bool other_is_member = true;
	bool view_complete = true;      /* no directory entries are missing */
	bool history_lost = false;      /* earlier submissions may be unknown */
	bool synced[2];                 /* synced in this view */
	bool ever_synced[2];            /* synced at some time since it joined */
	mtype record = NONE;
	bool backup_acked = false;      /* the current backup holds the record */
	bool other_is_primary = false;  /* the other runs the key's task */
	bool claimed_by_other = false;  /* claimed in the log */
	bool claimed_by_me = false;
	bool start_sent = false;
	bool fence_pending = false;     /* the old primary's lease is not fenced yet */
	byte placement = NO_PLACEMENT;  /* where the task may have been started */
	bool has_answer = false;        /* the final answer is known */
	bool backup_has_answer = false; /* the backup holds the final answer */
	bool append_pending = false;    /* appended in this view, not read back yet */
	mtype msg_kind;
	byte msg_view;
	bool msg_has_answer;
	byte msg_placement;

	synced[0] = true;
	synced[1] = true;
	ever_synced[0] = true;
	ever_synced[1] = true;

end:	do
	/* Read the next record of the log. */
	:: atomic { log_position < log_length ->
		if
		:: log_kind[log_position] == EVICT && log_subject[log_position] == other && is_member && other_is_member ->
			history_lost = history_lost || (ever_synced[other] && !synced[me] && log_after_call[log_position]);
			enter_view();
			other_is_member = false;
			view_complete = true;
			if
			:: record == BACKUP -> record = COMMITTED; fence_pending = true; start_sent = false
			:: else -> skip
			fi
		:: log_kind[log_position] == EVICT && log_subject[log_position] == me && is_member && other_is_member ->
			history_lost = history_lost || (ever_synced[me] && !synced[other] && log_after_call[log_position]);
			claimed_by_other = claimed_by_other || claimed_by_me;
			enter_view();
			is_member = false; record = NONE; start_sent = false; fence_pending = false; placement = NO_PLACEMENT;
			has_answer = false; other_is_primary = false; claimed_by_me = false; view_complete = false
		:: log_kind[log_position] == JOIN && log_subject[log_position] == me && !is_member ->
			enter_view();
			is_member = true;
			ever_synced[me] = false;
#ifdef NOSYNC
			view_complete = true;
#endif
#if defined(NOEVER) || defined(NOSYNC)
			ever_synced[me] = true
#endif
		:: log_kind[log_position] == JOIN && log_subject[log_position] == other && is_member && !other_is_member ->
			enter_view();
			other_is_member = true;
			ever_synced[other] = false
		:: log_kind[log_position] == MARK_SYNCED && log_view[log_position] == view ->
			synced[log_subject[log_position]] = true;
			ever_synced[log_subject[log_position]] = true;
			append_pending = append_pending && log_subject[log_position] != me
		/* A claim is valid if its sender owns the key at this log offset. */
		:: log_kind[log_position] == CLAIM && log_subject[log_position] == me && is_member && (me == 0 || !other_is_member) && !claimed_by_other ->
			claimed_by_me = true;
			append_pending = false;
			if
			:: record == PROPOSED -> record = COMMITTED
			:: else -> skip
			fi
		:: log_kind[log_position] == CLAIM && log_subject[log_position] == other && !claimed_by_me && (!is_member || (other_is_member && other == 0)) ->
			claimed_by_other = true
		:: else -> skip
		fi;
		log_position++ }

	/* The other may be suspected at any time, also wrongly. */
	:: atomic { is_member && other_is_member && !append_pending && log_length < LOGMAX - 1 -> append_record(EVICT, other) }
	:: atomic { !is_member && !append_pending && log_position == log_length && log_length < LOGMAX -> append_record(JOIN, me) }
	:: atomic { is_member && other_is_member && view_complete && !synced[me] && !append_pending && (record == NONE || record == BACKUP || backup_acked) && log_length < LOGMAX -> append_record(MARK_SYNCED, me) }
	:: atomic { is_member && other_is_member && view > 0 && empty(inbox[other]) -> send_message(other, SYNC, view, false, (record != NONE || other_is_primary -> 1 : 0)) }

	/* A client calls this instance. */
	:: atomic { calls < CALLMAX && is_member ->
		calls++;
		if
		:: me == 0 || !other_is_member -> handle_submission()
		:: else -> send_message(other, SUBMIT, view, false, 0)
		fi }

	/* Receive a peer message. One that is left in the channel is delivered again. */
	:: atomic { nempty(inbox[me]) ->
		if
		:: inbox[me]?msg_kind, msg_view, msg_has_answer, msg_placement
		:: inbox[me]?<msg_kind, msg_view, msg_has_answer, msg_placement>
		fi;
		if
		:: msg_kind == SUBMIT && is_member && (me == 0 || !other_is_member) -> handle_submission()
#ifdef NOVIEW
		:: msg_kind == REPLICATE && record != COMMITTED && record != PROPOSED && is_member ->
#else
		:: msg_kind == REPLICATE && msg_view == view && view_complete && ever_synced[me] && is_member && other_is_member && record != COMMITTED && record != PROPOSED ->
#endif
			record = BACKUP;
			has_answer = has_answer || msg_has_answer;
			if
			:: msg_placement != NO_PLACEMENT -> placement = msg_placement
			:: else -> skip
			fi;
			send_message(other, ACK, msg_view, msg_has_answer, msg_placement)
		:: msg_kind == ACK && msg_view == view && is_member && other_is_member && (record == PROPOSED || record == COMMITTED) ->
			backup_acked = backup_acked || (msg_placement != NO_PLACEMENT && msg_placement == placement);
			backup_has_answer = backup_has_answer || (msg_has_answer && has_answer);
			record = COMMITTED
		:: msg_kind == DENY && msg_view == view && view_complete && ever_synced[me] && is_member && other_is_member && record == NONE && !other_is_primary && !claimed_by_other && !history_lost ->
			accepts_at_denial = accepts;
			send_message(other, DENIED, msg_view, false, 0)
		:: msg_kind == DENIED && msg_view == view && is_member && other_is_member && record == NONE && accepts == accepts_at_denial ->
			not_run_answered = true
		:: msg_kind == SYNC && msg_view == view && is_member && !view_complete ->
			view_complete = true;
			other_is_primary = (msg_placement == 1)
		:: else -> skip
		fi;
		msg_kind = NONE; msg_view = 0; msg_has_answer = false; msg_placement = 0 }

	/* The primary replicates the record. The backup acknowledges a single
	 * placement, under a single lease. */
	:: atomic { is_member && other_is_member && (record == PROPOSED || record == COMMITTED) && (!backup_acked || (has_answer && !backup_has_answer)) && empty(inbox[other]) ->
		if
		:: !start_sent && !fence_pending && placement == NO_PLACEMENT -> placement = PLACEMENT(me, current_lease[me])
		:: else -> skip
		fi;
		send_message(other, REPLICATE, view, has_answer, placement) }
	:: atomic { is_member && record == PROPOSED && !other_is_member && !append_pending && log_length < LOGMAX -> append_record(CLAIM, me) }
#ifdef NOCLAIM
	:: atomic { is_member && record == PROPOSED && !other_is_member -> record = COMMITTED }
#endif
	:: atomic { is_member && record == COMMITTED && fence_pending ->
#ifndef NOFENCE
		/* End the old primary's lease and that of the placement, because the old
		 * primary may itself have taken the task over from another. */
		current_lease[other]++;
#ifndef NOCHAIN
		if
		:: placement != NO_PLACEMENT && current_lease[HOLDER(placement)] == LEASE(placement) -> current_lease[HOLDER(placement)]++
		:: else -> skip
		fi;
#endif
#endif
		fence_pending = false;
		backup_acked = false;
		if
		:: starts > 0 -> start_sent = true
		:: else -> start_sent = false; placement = NO_PLACEMENT
		fi }
	/* A start may stay in transit for any time. A process that pauses just before
	 * it sends looks the same. */
#ifdef NOACK
	:: atomic { is_member && (record == COMMITTED || record == PROPOSED) && !start_sent && !fence_pending && !has_answer && nfull(start_calls) ->
#else
	:: atomic { is_member && record == COMMITTED && !start_sent && !fence_pending && !has_answer && (backup_acked || !other_is_member) && nfull(start_calls) ->
#endif
		if
		:: placement == NO_PLACEMENT -> placement = PLACEMENT(me, current_lease[me])
		:: else -> skip
		fi;
		start_sent = true;
		start_calls!HOLDER(placement), LEASE(placement) }
	:: atomic { is_member && record == COMMITTED && start_sent && !fence_pending && starts > 0 && !has_answer -> has_answer = true }
	:: atomic { is_member && record == COMMITTED && has_answer && (backup_has_answer || !other_is_member) && final_answer == 0 -> answer_client(1) }
	od
}

init {
	atomic {
		run worker();
		run instance(0);
		run instance(1)
	}
}
