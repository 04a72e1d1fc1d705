// Package eventer defines the numbers, names and meanings of the logged events.
// docs/EVENTS.md is generated from the catalogue; a test checks that it is up to
// date.
package eventer

// Event is the number of a logged event.
type Event int

// Numbers of the events. The number of a removed event is not reused.
const (
	InstanceStarted     Event = 100
	InstanceStopped     Event = 101
	SettingsRejected    Event = 102
	InstanceDraining    Event = 103
	InstanceDrained     Event = 104
	LinkUp              Event = 110
	LinkDown            Event = 111
	LinkRefused         Event = 112
	MessageRejected     Event = 113
	RecordUnreadable    Event = 114
	LogUnavailable      Event = 120
	LogAvailable        Event = 121
	InstanceJoined      Event = 130
	ViewChanged         Event = 131
	MemberSuspected     Event = 132
	MemberRemoved       Event = 133
	HistoryLost         Event = 134
	ViewComplete        Event = 135
	ViewSynced          Event = 136
	ProcessPaused       Event = 137
	InstanceRejoining   Event = 138
	RevisionApplied     Event = 140
	RevisionUnreadable  Event = 141
	RevisionConflict    Event = 142
	SubmissionAccepted  Event = 200
	SubmissionAttached  Event = 201
	SubmissionRefused   Event = 202
	CallRedirected      Event = 203
	SubmissionClaimed   Event = 204
	SubmissionFinished  Event = 205
	SubmissionTakenOver Event = 206
	UpdateRefused       Event = 207
	PlacementMade       Event = 300
	PlacementCanceled   Event = 301
	StartRefused        Event = 302
	StartUncertain      Event = 303
	LeaseFenced         Event = 304
	TaskAdopted         Event = 305
	TaskUnknown         Event = 306
	WorkerQuarantined   Event = 307
	LeaseAcquired       Event = 308
	LeaseEnded          Event = 309
	RequestRouted       Event = 400
	RequestRefused      Event = 401
	RequestNoResponse   Event = 402
	MinionQuarantined   Event = 403
	MinionDraining      Event = 404
	JobAccepted         Event = 500
	JobAttached         Event = 501
	JobRefused          Event = 502
	JobCompleted        Event = 503
	JobFailed           Event = 504
	JobCanceled         Event = 505
	JobAborted          Event = 506
	JobWaiting          Event = 507
	TaskPlaced          Event = 510
	TaskNotStarted      Event = 511
	TaskEnded           Event = 512
	RunMoved            Event = 513
	RunMissing          Event = 514
	RunOrphaned         Event = 515
	CapacityReserved    Event = 516
	RunLost             Event = 517
	RunUnknown          Event = 518
	StopFenced          Event = 519
	WorkerListed        Event = 520
	WorkerDraining      Event = 521
	WorkerRemoved       Event = 522
	WorkerRestarted     Event = 523
	WorkerReachable     Event = 524
	WorkerUnreachable   Event = 525
	WorkerCrashed       Event = 526
	NoticeWithdrawn     Event = 527
	NoticeChanged       Event = 528
	WorkerEntryCurrent  Event = 529
	ConfigApplied       Event = 530
	ConfigRejected      Event = 531
	ListEntryRejected   Event = 532
	StoreUnavailable    Event = 533
	StoreAvailable      Event = 534
	PeerReachable       Event = 535
	PeerUnreachable     Event = 536
	ClockJumped         Event = 537
	SettingsReloaded    Event = 538
	LogLinesDropped     Event = 539
	WorkerOwned         Event = 541
	OwnershipClaimed    Event = 542
	OwnershipReleased   Event = 543
	WorkerSpeedChanged  Event = 545
	MessagesLate        Event = 546
	RunOutlivesInstance Event = 547
	RunTagChanged       Event = 548
	RunListOvertaken    Event = 549
	CallRefused         Event = 540
	// 550 to 559 are the operator's evacuations.
	EvacuationBegun       Event = 550
	EvacuationEnded       Event = 551
	EvacuationNoWorkers   Event = 552
	EvacuationUnreadable  Event = 553
	OperatorRecordIgnored Event = 554
	NoDomainLeft          Event = 555
	EvacuationWithdrawn   Event = 556
	BalancingStarted      Event = 560
	BalancingEnded        Event = 561
	LoadRejected          Event = 562
	InterferenceFound     Event = 580
	InterferenceEnded     Event = 581
	InterferenceRejected  Event = 582
	WorkerClaimed         Event = 570
	WorkerClaimLost       Event = 571
	StartPhaseEnded       Event = 575
)

// Entry describes an event in the catalogue. The names of its fields are keys in
// the JSON output of the command events.
type Entry struct {
	Event Event
	// Name is the message of the event's log lines.
	Name string
	// Meaning says when the event is logged and what an operator should do, if
	// anything.
	Meaning string
}

// Catalogue returns the entries of all events, in the order of docs/EVENTS.md.
func Catalogue() []Entry {
	return []Entry{
		{InstanceStarted, "started", "The instance serves calls. No action is needed."},
		{InstanceStopped, "stopped", "The instance has closed all its connections and listeners."},
		{SettingsRejected, "settings refused", "The settings are invalid; each finding names the file, section and key. Nothing was opened."},
		{InstanceDraining, "draining", "The instance accepts no new work and finishes what it runs."},
		{InstanceDrained, "drained", "The instance has left its domain's view, or has finished its calls, and can be stopped."},
		{LinkUp, "link up", "A link to a peer was established."},
		{LinkDown, "link down", "The link to a peer was lost; the instance reconnects with backoff."},
		{LinkRefused, "link refused", "A link with a peer was refused or could not be established, for example because of another protocol version, a wrong peer key, or an incarnation that was already removed."},
		{MessageRejected, "message refused", "A message from a peer was malformed, or came from an incarnation that was removed; it was ignored."},
		{RecordUnreadable, "record refused", "A record in the log cannot be decoded. All instances skip it."},
		{LogUnavailable, "log down", "The platform's log does not respond. See docs/operators/outage.md."},
		{LogAvailable, "log up", "The platform's log responds again."},
		{InstanceJoined, "joined", "This instance is a member of its domain's view."},
		{ViewChanged, "view changed", "The members of a domain have changed."},
		{MemberSuspected, "suspected", "A member was silent for too long, or does not receive this instance's messages; a record that evicts it was appended to the log."},
		{MemberRemoved, "evicted", "This instance, or the named one, is no longer a member."},
		{HistoryLost, "history lost", "Members were removed before the others had synced, so submissions may be unknown; calls with older keys are answered with history-lost for as long as keys are retained."},
		{ViewComplete, "complete", "This instance has received all directory entries that it needs to own keys in the current view."},
		{ViewSynced, "settled", "Another member also holds everything that this instance holds."},
		{ProcessPaused, "paused", "This process was paused; it accepts no new work until it has read the log or a peer has confirmed its view."},
		{InstanceRejoining, "rejoining", "This instance was evicted while it was running; it joins again under a new incarnation."},
		{RevisionApplied, "revision in force", "A new configuration is in force on this instance."},
		{RevisionUnreadable, "revision unreadable", "A revision cannot be parsed; the previous one stays in force."},
		{RevisionConflict, "revision outdated", "A revision was rejected because another one was accepted on the same base first."},
		{SubmissionAccepted, "accepted", "A submission was accepted; this instance is its primary, and the field where names its backup, if it has one."},
		{SubmissionAttached, "attached", "A submission was sent again; the call waits for the answer of the first one."},
		{SubmissionRefused, "refused", "Work was refused; the line has the reason and whether the work has run."},
		{CallRedirected, "redirected", "A call was redirected to the instance that runs its submission."},
		{SubmissionClaimed, "claimed", "A submission was claimed in the log because no successor could acknowledge it."},
		{SubmissionFinished, "finished", "A submission has its terminal answer."},
		{SubmissionTakenOver, "taken over", "The primary of a submission was removed; this instance took it over."},
		{UpdateRefused, "update refused", "A backup refused an update because it acts in another view; the update is sent again."},
		{PlacementMade, "placed", "A task was assigned to a worker."},
		{PlacementCanceled, "placement void", "A placement was canceled before the task had started; the task is placed again."},
		{StartRefused, "start refused", "A worker refused a start; the task has not run and is placed again."},
		{StartUncertain, "start doubtful", "It is unknown whether tasks have started, because the worker did not respond or the lease ended; the lease is fenced to find out."},
		{LeaseFenced, "fenced", "A worker has confirmed that a lease has ended and which of its tasks have started."},
		{TaskAdopted, "task adopted", "A running task continues under this instance's lease."},
		{TaskUnknown, "task lost", "It cannot be determined whether a task has run; its job fails and the answer says so."},
		{WorkerQuarantined, "worker set aside", "Starts or tasks fail on a worker, or it is much slower than the others; it gets no new tasks until a backoff ends."},
		{LeaseAcquired, "lease gained", "A worker has granted a lease."},
		{LeaseEnded, "lease ended", "A lease has expired or cannot be renewed."},
		{RequestRouted, "routed", "A request was sent to a minion."},
		{RequestRefused, "route refused", "A minion refused a request; the request has not run."},
		{RequestNoResponse, "route lost", "A minion did not answer a request; an unrepeatable request is not sent again."},
		{MinionQuarantined, "minion set aside", "Requests fail on a minion; it gets no new requests until a backoff ends."},
		{MinionDraining, "minion leaving", "A minion is draining; it gets no new requests."},
		{JobAccepted, "job taken", "A job whose caller waits was accepted; the line has its objective, the predicted run time and the number of tasks that wait before it."},
		{JobAttached, "job attached", "A client sent a job again that is still open here; both calls get the same answer."},
		{JobRefused, "job refused", "Nothing of the job has run or will run; the answer says when to retry. The line has the number of live peers, of this instance's workers that can accept a start, and of other owners that were sent a reserve request, the predicted wait, and the job's kind, priority and class of size."},
		{JobCompleted, "job completed", "All tasks have succeeded and the caller was answered."},
		{JobFailed, "job failed", "A task of the job has failed in each of its attempts."},
		{JobAborted, "job given up", "The job can no longer finish in time; its runs are stopped and the caller may submit it again."},
		{JobCanceled, "job abandoned", "The caller has disconnected; the job's runs are stopped."},
		{JobWaiting, "job waits", "No owner that was asked has free capacity; the line has the predicted wait, the longest wait that leaves time to run, and the job's kind, priority and class of size, which determine its share. See docs/operators/floods.md."},
		{TaskPlaced, "task placed", "A start was sent to a worker; age_ms is the age of the last report from the worker."},
		{TaskNotStarted, "task not started", "A worker refused a start or did not respond to it; the task is queued again, or the worker is asked whether it has started."},
		{TaskEnded, "task ended", "A worker reported the end of a run; age_ms is its run time."},
		{RunMoved, "task moved", "A run is too slow for its job; it is stopped, and the task is started on another worker once the stop is acknowledged."},
		{RunMissing, "task vanished", "A worker reports neither a run nor its end; the task is started again."},
		{RunOrphaned, "run abandoned", "A run was stopped because its instance is silent or doesn't know it, or because its job was sent again to this instance."},
		{CapacityReserved, "capacity reserved", "The owner of a worker has reserved capacity for a task of another instance; the line has what is left after it."},
		{RunLost, "run lost", "A run was on a worker that has crashed. After the first crash its task gets a worker for itself, after the second its job fails."},
		{RunUnknown, "run unknown", "A worker lists a run that its own instance doesn't know: it was given up, and its start was carried out late. It is stopped."},
		{StopFenced, "stop rejected", "A worker has rejected the stop of a run because another instance has claimed the worker; the line has the supposed owner, and age_ms is how long that has been silent."},
		{WorkerListed, "worker listed", "The platform lists a new worker."},
		{WorkerDraining, "worker draining", "A worker is draining; left_ms is how long it stays at least. It gets only tasks that end well before, and none if that is unknown."},
		{WorkerRemoved, "worker gone", "The platform no longer lists a worker."},
		{WorkerRestarted, "worker reborn", "A worker has restarted; all its earlier runs have ended. The line has how that was found: by its entry of the list, its list of runs or a peer."},
		{WorkerEntryCurrent, "worker entry current", "The list has the entry of a worker that has restarted; age_ms is how long after the restart was found, and cores is its capacity."},
		{WorkerReachable, "worker heard", "A worker responds again; age_ms is how long it was silent."},
		{WorkerUnreachable, "worker silent", "A worker does not respond; it gets no starts until it does."},
		{WorkerCrashed, "worker crashed", "A worker's address refuses connections: its process has ended, or a network device rejects the packets. The line has the number of runs there."},
		{NoticeWithdrawn, "notice withdrawn", "A worker is no longer draining; it gets starts again."},
		{NoticeChanged, "notice changed", "A draining worker leaves at another time than it had said; left_ms is how long it stays at least."},
		{ConfigApplied, "configuration applied", "A newer configuration was read; the line has whether it was applied."},
		{ConfigRejected, "configuration rejected", "A configuration is invalid; the previous one stays in force."},
		{ListEntryRejected, "entry rejected", "An entry of the platform's list cannot be decoded and is ignored."},
		{StoreUnavailable, "store down", "The platform's store does not respond; the instance continues with the last state that it has read."},
		{StoreAvailable, "store up", "The platform's store responds again."},
		{PeerReachable, "peer heard", "A first heartbeat from another instance was received."},
		{PeerUnreachable, "peer silent", "Another instance is silent; its runs count as abandoned."},
		{ClockJumped, "clock jumped", "The process was paused, or the system clock was set; the line has the length of the jump."},
		{SettingsReloaded, "settings reloaded", "The settings file has changed and was read again; the line has the number of seeds, which take effect at once."},
		{WorkerOwned, "worker taken", "This instance has become the owner of a worker and polls it; the field waiting is the number of live peers."},
		{OwnershipClaimed, "ownership claimed", "This instance owns workers of its domain from now on, because too few instances that rank above it do; the line has the number of live owners of the domain."},
		{OwnershipReleased, "ownership released", "This instance owns no workers any more, because enough instances that rank above it do, or because it is draining."},
		{WorkerSpeedChanged, "worker speed", "A worker that this instance owns has turned out to be slow, fast or normal again; the line has the factor on predicted run times and the number of runs that it was learned from. Jobs with little time left get the faster workers; see docs/operators/worker-speed.md."},
		{MessagesLate, "messages late", "Messages of another instance are handled long after they were sent: this process, that one or the network stands still at times. The line has the delay of one of them, and is logged at most once a second for each peer. If it goes on, give the instance more processor time."},
		{RunOutlivesInstance, "run outlives instance", "A worker lists a run of an instance that is silent for so long that the run's lease should have ended; the line has the silence, by the time at which the last message was sent. The run's task may be started a second time. Please report it with the logs of all instances."},
		{RunTagChanged, "run tag changed", "Another instance has the same run tag; this one marks its runs with another tag from now on."},
		{RunListOvertaken, "run list overtaken", "A worker's list of runs has arrived after one that the worker wrote later; age_ms is the time since its request, and runs is how many known runs of other instances it lacks."},
		{LogLinesDropped, "lines dropped", "More lines were logged than the limits allow; the line has how many were dropped."},
		{EvacuationBegun, "evacuation begun", "The operator has requested the evacuation of a failure domain: nothing more is started there. The line has the number of listed workers there, and of the running tasks that this instance knows of, which go on."},
		{EvacuationEnded, "evacuation ended", "The operator has taken an evacuation back; the workers of the domain are used again. The fields are those of evacuation begun."},
		{EvacuationNoWorkers, "evacuation without workers", "No listed worker is in a domain that is to be evacuated. The request stays in force for workers that come there; compare the name with those of the domains."},
		{EvacuationUnreadable, "evacuation unreadable", "A request for an evacuation can't be decoded. If its key names a domain, the domain is evacuated all the same; otherwise it is ignored."},
		{OperatorRecordIgnored, "operator record ignored", "The operator's topic has a key that this version doesn't know; its record is ignored. Logged once for each key."},
		{NoDomainLeft, "no domain left", "All listed workers are in evacuated domains: every job is refused as not run until a domain is taken back."},
		{EvacuationWithdrawn, "evacuation withdrawn", "The operator has requested an evacuation and taken it back before this instance read either; it had no effect here."},
		{WorkerClaimed, "worker claimed", "A worker that does not check its capacity gets starts of this instance only from now on; the line has how long that took."},
		{WorkerClaimLost, "worker claim lost", "Another instance has claimed a worker that this one owns, which gets no starts from here until it is claimed again. If it goes on, instances do not hear each other."},
		{StartPhaseEnded, "start phase ended", "A phase of this instance's start has ended: configuration, worker list, owners, capacity, first start; the line has the time since the start. docs/design/startup.md has the targets."},
		{CallRefused, "call refused", "A call was malformed, or no route in force matches it; the line has the status."},
		{BalancingStarted, "balancing started", "This instance's domain has more work than its share; part of the tasks go to other domains from now on, see docs/operators/uneven-demand.md."},
		{BalancingEnded, "balancing ended", "All tasks stay in this instance's domain again while there is room."},
		{LoadRejected, "load rejected", "A peer has reported an impossible load of its workers; it isn't taken into account. The peer has another version or a fault."},
		{InterferenceFound, "interference found", "Tasks of a kind take longer beside another kind on one worker; the line has the kinds and the factor. They are kept apart where there is room; see docs/operators/interference.md."},
		{InterferenceEnded, "interference ended", "Two kinds don't slow each other down any more, or haven't met for 30 s, after which it is tried again."},
		{InterferenceRejected, "interference rejected", "A peer has reported impossible factors, which are ignored; the line has how many."},
	}
}

var eventNames = namesByEvent()

func namesByEvent() map[Event]string {
	m := make(map[Event]string)
	for _, entry := range Catalogue() {
		m[entry.Event] = entry.Name
	}
	return m
}

// Name returns the message of the event's log lines.
func (e Event) Name() string { return eventNames[e] }
