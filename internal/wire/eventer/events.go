// Package eventer defines the numbers, names and meanings of the logged events.
// docs/EVENTS.md is generated from the catalogue; a test checks that it is up to
// date.
package eventer

// Event is the number of a logged event.
type Event int

// Numbers of the events. The number of a removed event is not reused.
const (
	Started        Event = 100
	Stopped        Event = 101
	SettingsBad    Event = 102
	Draining       Event = 103
	Drained        Event = 104
	LinkUp         Event = 110
	LinkDown       Event = 111
	LinkRefused    Event = 112
	MessageBad     Event = 113
	RecordBad      Event = 114
	LogDown        Event = 120
	LogUp          Event = 121
	Joined         Event = 130
	ViewChanged    Event = 131
	Suspected      Event = 132
	Evicted        Event = 133
	HistoryLost    Event = 134
	Complete       Event = 135
	SettledView    Event = 136
	Paused         Event = 137
	Rejoining      Event = 138
	RevisionTaken  Event = 140
	RevisionBad    Event = 141
	RevisionLost   Event = 142
	Accepted       Event = 200
	Attached       Event = 201
	RefusedWork    Event = 202
	Redirected     Event = 203
	Claimed        Event = 204
	Finished       Event = 205
	TakenOver      Event = 206
	Nacked         Event = 207
	Placed         Event = 300
	PlacementVoid  Event = 301
	StartRefused   Event = 302
	StartDoubtful  Event = 303
	Fenced         Event = 304
	TaskAdopted    Event = 305
	TaskLost       Event = 306
	WorkerAside    Event = 307
	LeaseGained    Event = 308
	LeaseEnded     Event = 309
	Routed         Event = 400
	RouteRefused   Event = 401
	RouteLost      Event = 402
	MinionAside    Event = 403
	MinionLeaving  Event = 404
	JobTaken       Event = 500
	JobAttached    Event = 501
	JobRefused     Event = 502
	JobCompleted   Event = 503
	JobFailed      Event = 504
	JobAbandoned   Event = 505
	JobGivenUp     Event = 506
	TaskPlaced     Event = 510
	TaskNotStarted Event = 511
	TaskEnded      Event = 512
	TaskMoved      Event = 513
	TaskVanished   Event = 514
	RunAbandoned   Event = 515
	WorkerListed   Event = 520
	WorkerDraining Event = 521
	WorkerGone     Event = 522
	WorkerReborn   Event = 523
	WorkerHeard    Event = 524
	WorkerSilent   Event = 525
	ConfigApplied  Event = 530
	ConfigBad      Event = 531
	ListBad        Event = 532
	StoreDown      Event = 533
	StoreUp        Event = 534
	PeerHeard      Event = 535
	PeerSilent     Event = 536
	ClockJumped    Event = 537
	Reloaded       Event = 538
	LinesDropped   Event = 539
	WorkerHome     Event = 541
	CallRefused    Event = 540
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
		{Started, "started", "The instance serves calls. No action is needed."},
		{Stopped, "stopped", "The instance has closed all its connections and listeners."},
		{SettingsBad, "settings refused", "The settings are invalid; each finding names the file, section and key. Nothing was opened."},
		{Draining, "draining", "The instance accepts no new work and finishes what it runs."},
		{Drained, "drained", "The instance has left its domain's view, or has finished its calls, and can be stopped."},
		{LinkUp, "link up", "A link to a peer was established."},
		{LinkDown, "link down", "The link to a peer was lost; the instance reconnects with backoff."},
		{LinkRefused, "link refused", "A link with a peer was refused or could not be established, for example because of another protocol version, a wrong peer key, or an incarnation that was already removed."},
		{MessageBad, "message refused", "A message from a peer was malformed, or came from an incarnation that was removed; it was ignored."},
		{RecordBad, "record refused", "A record in the log cannot be decoded. All instances skip it."},
		{LogDown, "log down", "The platform's log does not respond. See docs/operators/outage.md."},
		{LogUp, "log up", "The platform's log responds again."},
		{Joined, "joined", "This instance is a member of its domain's view."},
		{ViewChanged, "view changed", "The members of a domain have changed."},
		{Suspected, "suspected", "A member was silent for too long, or does not receive this instance's messages; a record that evicts it was appended to the log."},
		{Evicted, "evicted", "This instance, or the named one, is no longer a member."},
		{HistoryLost, "history lost", "Members were removed before the others had synced, so submissions may be unknown; calls with older keys are answered with history-lost for as long as keys are retained."},
		{Complete, "complete", "This instance has received all directory entries that it needs to own keys in the current view."},
		{SettledView, "settled", "Another member also holds everything that this instance holds."},
		{Paused, "paused", "This process was paused; it accepts no new work until it has read the log or a peer has confirmed its view."},
		{Rejoining, "rejoining", "This instance was evicted while it was running; it joins again under a new incarnation."},
		{RevisionTaken, "revision in force", "A new configuration is in force on this instance."},
		{RevisionBad, "revision unreadable", "A revision cannot be parsed; the previous one stays in force."},
		{RevisionLost, "revision outdated", "A revision was rejected because another one was accepted on the same base first."},
		{Accepted, "accepted", "A submission was accepted; this instance is its primary, and where is its backup, if it has one."},
		{Attached, "attached", "A submission was sent again; the call waits for the answer of the first one."},
		{RefusedWork, "refused", "Work was refused; the line has the reason and whether the work has run."},
		{Redirected, "redirected", "A call was redirected to the instance that runs its submission."},
		{Claimed, "claimed", "A submission was claimed in the log because no successor could acknowledge it."},
		{Finished, "finished", "A submission has its terminal answer."},
		{TakenOver, "taken over", "The primary of a submission was removed; this instance took it over."},
		{Nacked, "update refused", "A backup refused an update because it acts in another view; the update is sent again."},
		{Placed, "placed", "A task was assigned to a worker."},
		{PlacementVoid, "placement void", "A placement was canceled before the task had started; the task is placed again."},
		{StartRefused, "start refused", "A worker refused a start; the task has not run and is placed again."},
		{StartDoubtful, "start doubtful", "It is unknown whether tasks have started, because the worker did not respond or the lease ended; the lease is fenced to find out."},
		{Fenced, "fenced", "A worker has confirmed that a lease has ended and which of its tasks have started."},
		{TaskAdopted, "task adopted", "A running task continues under this instance's lease."},
		{TaskLost, "task lost", "It cannot be determined whether a task has run; its job fails and the answer says so."},
		{WorkerAside, "worker set aside", "Starts or tasks fail on a worker, or it is much slower than the others; it gets no new tasks until a backoff ends."},
		{LeaseGained, "lease gained", "A worker has granted a lease."},
		{LeaseEnded, "lease ended", "A lease has expired or cannot be renewed."},
		{Routed, "routed", "A request was sent to a minion."},
		{RouteRefused, "route refused", "A minion refused a request; the request has not run."},
		{RouteLost, "route lost", "A minion did not answer a request; an unrepeatable request is not sent again."},
		{MinionAside, "minion set aside", "Requests fail on a minion; it gets no new requests until a backoff ends."},
		{MinionLeaving, "minion leaving", "A minion is draining; it gets no new requests."},
		{JobTaken, "job taken", "A job whose caller waits was accepted; the line has its objective, the predicted run time and the number of tasks that wait before it."},
		{JobAttached, "job attached", "A client sent a job again that is still open here; both calls get the same answer."},
		{JobRefused, "job refused", "Nothing of the job has run or will run; the caller was told when to retry. The line has the number of live peers, of this instance's workers that can accept a start, and of other owners that were sent a reserve request."},
		{JobCompleted, "job completed", "All tasks have succeeded and the caller was answered."},
		{JobFailed, "job failed", "A task of the job has failed in each of its attempts."},
		{JobGivenUp, "job given up", "The job can no longer finish in time; its runs are stopped and the caller may submit it again."},
		{JobAbandoned, "job abandoned", "The caller has disconnected; the job's runs are stopped."},
		{TaskPlaced, "task placed", "A start was sent to a worker; age_ms is the age of the last report from the worker."},
		{TaskNotStarted, "task not started", "A worker refused a start or did not respond to it; the task is queued again, or the worker is asked whether it has started."},
		{TaskEnded, "task ended", "A worker reported the end of a run; age_ms is its run time."},
		{TaskMoved, "task moved", "A run is too slow for its job; it is stopped, and the task is started on another worker once the stop is acknowledged."},
		{TaskVanished, "task vanished", "A worker reports neither a run nor its end; the task is started again."},
		{RunAbandoned, "run abandoned", "A run was stopped because its instance is silent, or because its job was sent again to this instance."},
		{WorkerListed, "worker listed", "The platform lists a new worker."},
		{WorkerDraining, "worker draining", "A worker is draining; it gets no new starts."},
		{WorkerGone, "worker gone", "The platform no longer lists a worker."},
		{WorkerReborn, "worker reborn", "A worker has restarted; all its earlier runs have ended."},
		{WorkerHeard, "worker heard", "A worker responds again; age_ms is how long it was silent."},
		{WorkerSilent, "worker silent", "A worker does not respond; it gets no starts until it does."},
		{ConfigApplied, "configuration applied", "A newer configuration was read; the line has whether it was applied."},
		{ConfigBad, "configuration rejected", "A configuration is invalid; the previous one stays in force."},
		{ListBad, "entry rejected", "An entry of the platform's list cannot be decoded and is ignored."},
		{StoreDown, "store down", "The platform's store does not respond; the instance continues with the last state that it has read."},
		{StoreUp, "store up", "The platform's store responds again."},
		{PeerHeard, "peer heard", "A first heartbeat from another instance was received."},
		{PeerSilent, "peer silent", "Another instance is silent; its runs count as abandoned."},
		{ClockJumped, "clock jumped", "The process was paused, or the system clock was set; the line has the length of the jump."},
		{Reloaded, "settings reloaded", "The settings file has changed and was read again; the line has the number of seeds, which take effect at once."},
		{WorkerHome, "worker taken", "This instance has become the owner of a worker and polls it; waiting is the number of live peers."},
		{LinesDropped, "lines dropped", "More lines were logged than the limits allow; the line has how many were dropped."},
		{CallRefused, "call refused", "A call was malformed, or no route in force matches it; the line has the status."},
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
